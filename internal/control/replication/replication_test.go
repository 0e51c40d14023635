package replication

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const validHeartbeat = `{"service":"s","address":"10.0.0.9:8080","zone":"a1","version":"v1","capacity":3,"phase":"ready","warmLeft":"0ms","callCount":4}`

// Items merge to the same in whatever order and however often they come; a life that has left stays so.
func TestItemsConvergeInAnyOrder(t *testing.T) {
	app := Backend{Service: "s", Address: "10.0.0.9:8080", Zone: "a1", Capacity: 3, Phase: PhaseReady}
	items := []Item{
		app.ItemWithPhase("i1", PhaseReady, BackendVersion(4, false)), app.ItemWithPhase("i1", PhaseTimedOut, BackendVersion(4, true)),
		app.ItemWithPhase("i1", PhaseReady, BackendVersion(5, false)), app.ItemWithPhase("i1", PhaseDraining, BackendVersion(6, false)),
		app.ItemWithPhase("i1", PhaseLeft, LeftVersion), app.ItemWithPhase("i1", PhaseReady, BackendVersion(7, false)),
		(&Lease{Node: "n", Role: "edge"}).Item(3), (&Lease{Node: "n", Role: "edge", Ended: true}).Item(4),
	}
	rapid.Check(t, func(t *rapid.T) {
		f, g := NewItemStore("f@1", "f.1"), NewItemStore("g@1", "g.1")
		for _, it := range append(rapid.SliceOf(rapid.SampledFrom(items)).Draw(t, "some"), rapid.Permutation(items).Draw(t, "all")...) {
			f.Publish(it)
		}
		seen := uint64(0)
		for range 3 { // another that pulls by number comes to the same, and then lacks nothing
			for _, it := range f.Since(seen, nil) {
				g.Publish(it)
			}
			seen = f.LocalSequence()
		}
		for _, x := range []*ItemStore{f, g} {
			it, _ := x.Get(BackendKey + "i1")
			if a, ok := ReadBackend(it); !ok || a.Phase != PhaseLeft {
				t.Fatalf("%s holds %s", x.Source, it.Body)
			}
		}
		if n := len(f.Since(seen, nil)); n != 0 {
			t.Fatalf("%d items are told again", n)
		}
	})
}

// A pulse that says what is known is no news; one that says something else is.
func TestUpdateFromHeartbeat(t *testing.T) {
	now := time.Unix(100, 0)
	p, err := ParseHeartbeat([]byte(validHeartbeat))
	if err != nil {
		t.Fatal(err)
	}
	_, held, news := UpdateFromHeartbeat("i1", p, nil, "n1", now)
	if !news {
		t.Fatal("a new life is no news")
	}
	change := map[string]func(*Heartbeat){
		"nothing": func(*Heartbeat) {}, "emptying": func(p *Heartbeat) { p.Phase = PhaseDraining }, "cold": func(p *Heartbeat) { p.WarmUpLeft = "3s" },
		"address": func(p *Heartbeat) { p.Address = "10.0.0.9:8081" },
	}
	for what, f := range change {
		q := *p
		q.CallCount++
		f(&q)
		if _, _, news := UpdateFromHeartbeat("i1", &q, held, "n1", now.Add(time.Second)); news != (what != "nothing") {
			t.Errorf("%s: news %v", what, news)
		}
	}
	if _, _, news := UpdateFromHeartbeat("i1", p, held, "n2", now); !news {
		t.Error("that its pulses go to another agent is no news")
	}
}

func TestParseHeartbeatRejects(t *testing.T) {
	for _, x := range [][2]string{
		{`"ready"`, `"fine"`}, {`10.0.0.9:8080`, `nowhere`}, {`10.0.0.9:8080`, `10.0.0.9:0`}, {`"capacity":3`, `"capacity":0`},
		{`"capacity":3`, `"capacity":1e99`}, {`"callCount":4`, `"callCount":-1`}, {`"callCount":4`, `"callCount":"four"`},
		{`"0ms"`, `"soon"`}, {`"service":"s"`, `"service":""`}, {`}`, ``}, {`"zone":"a1"`, `"zone":["a1"]`},
	} {
		text := replace(validHeartbeat, x[0], x[1])
		if p, err := ParseHeartbeat([]byte(text)); err == nil {
			t.Errorf("%s passes for %+v", text, p)
		}
	}
}

func replace(s, a, b string) string {
	for i := 0; i+len(a) <= len(s); i++ {
		if s[i:i+len(a)] == a {
			return s[:i] + b + s[i+len(a):]
		}
	}
	return s
}

// Leases run out once, agents that lapsed still count for a while, and neither list grows with who was seen.
func TestMemberTable(t *testing.T) {
	r, now := NewMemberTable(2*time.Second, 30*time.Second), time.Unix(0, 0)
	for i := range 50 {
		r.RenewLease(fmt.Sprint("lease/n", i), "a1", now)
		r.RecordHeartbeat(fmt.Sprint("i", i), now)
	}
	r.RenewLease("lease/m", "b1", now.Add(time.Second))
	now = now.Add(2500 * time.Millisecond)
	if got := len(r.ExpireLeases(now)); got != 50 {
		t.Errorf("%d leases ran out", got)
	}
	if all, here := r.CountActive("b1", now); all != 51 || here != 1 {
		t.Errorf("%d agents, %d here", all, here)
	}
	if got := len(r.ExpireBackends(3*time.Second, now.Add(time.Second))); got != 50 {
		t.Errorf("%d appliances fell silent", got)
	}
	now = now.Add(time.Minute)
	if again := len(r.ExpireLeases(now)); again != 1 {
		t.Errorf("%d leases ran out", again)
	}
	if all, _ := r.CountActive("b1", now); all != 0 || len(r.lastSeen)+len(r.granted)+len(r.lastHeartbeat)+len(r.zones) != 0 {
		t.Errorf("%d agents are remembered for ever", all)
	}
}
