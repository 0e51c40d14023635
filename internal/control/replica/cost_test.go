package replica

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/mailru/easyjson"

	"sagelever/internal/control/quorum"
	"sagelever/lore"
	"sagelever/plan"
)

// calm is a core of six in three regions without faults: 1.4 ms between the zones of a region, so many between regions,
// and so long for a sync.
func calm(between, sync time.Duration) *world { return calmOf(6, 2, between, sync) }

func calmOf(n, f int, between, sync time.Duration) *world {
	w := newWorld(1, n, f, "")
	w.faulty = false
	w.wait = func(from, to int) time.Duration {
		if from/2 == to/2 {
			return 1400 * time.Microsecond
		}
		return between
	}
	w.sync = sync
	for _, x := range w.nodes {
		x.skew = 0
	}
	w.run(w.now.Add(4 * time.Second))
	return w
}

// write has a member write one item, and says how long that took and what it cost.
func (w *world) write(x *node, key string, version uint64) (took time.Duration, messages, syncs int) {
	begun, sent, synced, done := w.now, w.sent, w.syncs, false
	x.step(func(now time.Time) {
		x.dones[x.m.Write(now, now.Add(time.Second), map[string]quorum.Change{key: plan.Apply(quorum.Value{Version: version, Body: strings.Repeat("x", 200)})})] = func(d Done) {
			if d.Err != nil {
				w.fail("a write failed: %v", d.Err)
			}
			done, took = true, w.now.Sub(begun)
		}
	})
	w.run(w.now.Add(2 * time.Second))
	if !done {
		w.fail("a write has no end")
	}
	return took, w.sent - sent, w.syncs - synced
}

// What a write costs: two rounds to the nearest that suffice, and a sync in each. The least possible is one of both, to the
// nearest n-f; the first round is what it takes that nobody leads.
func TestCostOfAWrite(t *testing.T) {
	for _, x := range []struct{ between, sync, least time.Duration }{
		{1400 * time.Microsecond, time.Millisecond, 2 * (2*1400*time.Microsecond + time.Millisecond)},
		{35 * time.Millisecond, 5 * time.Millisecond, 2 * (2*35*time.Millisecond + 5*time.Millisecond)},
	} {
		w := calm(x.between, x.sync)
		took, messages, syncs := w.write(w.nodes[3], plan.Key(plan.Routes, "r"), 7)
		if w.wrong != "" {
			t.Fatal(w.wrong)
		}
		t.Logf("%v apart, a sync of %v: %v, %d messages, %d syncs on six disks; the least possible is half of %v", x.between, x.sync, took, messages, syncs, x.least)
		if took > x.least+2*time.Millisecond || messages > 20 || syncs > 18 {
			t.Errorf("%v, %d messages, %d syncs; want two rounds and two syncs, %v", took, messages, syncs, x.least)
		}
	}
}

// A member that was away is handed what it lacks and no more; after more than the bound it is told all. Both leave it with
// what the others know, and without what they have forgotten.
func TestHandedOver(t *testing.T) {
	for _, away := range []time.Duration{time.Second, 10 * time.Second, 60 * time.Second} {
		for _, restart := range []bool{false, true} {
			w := calm(35*time.Millisecond, 5*time.Millisecond)
			pulse := func(x *node, id string, phase string, count int64) {
				x.step(func(now time.Time) {
					x.m.Pulse(now, id, &lore.Pulse{Service: "s", Address: "10.0.1.1:80", Zone: x.me.Zone, Version: "v1", Capacity: 3, Phase: phase, WarmLeft: "0ms", CallCount: count})
				})
			}
			for i := range 45 {
				pulse(w.nodes[0], fmt.Sprint("i", i), lore.Ready, 1)
			}
			for i := range 20 {
				w.write(w.nodes[1], plan.Key(plan.Routes, fmt.Sprint("r", i)), 1)
			}
			w.run(w.now.Add(time.Second))
			x := w.nodes[5]
			if restart {
				x.kill()
			}
			for i := range w.n {
				x.cut[i], w.nodes[i].cut[5] = true, true
			}
			for i := range 4 { // meanwhile: an item changes each second of ten, and four appliances leave
				pulse(w.nodes[0], fmt.Sprint("i", i), lore.Emptying, 2)
				w.nodes[0].step(func(now time.Time) { w.nodes[0].m.SignOff(now, fmt.Sprint("i", i)) })
			}
			changes := int(min(away, 10*time.Second) / (2 * time.Second))
			for i := range changes {
				w.write(w.nodes[1], plan.Key(plan.Routes, fmt.Sprint("r", i)), 2)
			}
			ended := w.now.Add(away - time.Duration(changes)*2*time.Second)
			for w.now.Before(ended) { // the others go on calling
				for i := 4; i < 45; i++ {
					pulse(w.nodes[0], fmt.Sprint("i", i), lore.Ready, int64(2+w.now.Unix()-1_000_000))
				}
				w.run(w.now.Add(min(time.Second, ended.Sub(w.now))))
			}
			w.join()
			w.handed = 0
			back := w.now
			if restart {
				x.start()
			}
			w.to = 5
			whole := func() bool {
				if !x.m.Sound(x.clock()) || w.nodes[0].m.Phase("i9") != x.m.Phase("i9") {
					return false
				}
				for i := range 4 {
					if p := x.m.Phase(fmt.Sprint("i", i)); p != w.nodes[0].m.Phase(fmt.Sprint("i", i)) {
						return false
					}
				}
				for i := range changes {
					if x.m.Held(plan.Key(plan.Routes, fmt.Sprint("r", i))).Value.Version != 2 {
						return false
					}
				}
				return true
			}
			for !whole() && w.now.Sub(back) < 8*time.Second {
				w.run(w.now.Add(10 * time.Millisecond))
			}
			took := w.now.Sub(back)
			w.run(w.now.Add(time.Second))
			t.Logf("away %v, restarted %v: whole again after %v, %d bytes of news (unpacked)", away, restart, took, w.handed)
			if !whole() || took > 4*time.Second {
				t.Errorf("away %v, restarted %v: not whole after %v", away, restart, took)
			}
			if most := 3 * 8500; away < bound && w.handed > most { // three that are asked in one moment may hand over the same
				t.Errorf("away %v, restarted %v: handed %d bytes, want what it lacks, %d at most", away, restart, w.handed, most)
			}
		}
	}
}

// An agent of the version before, which pulls by the source's own numbers, and a source of it are understood both ways.
func TestVersionBefore(t *testing.T) {
	w := calm(1400*time.Microsecond, time.Millisecond)
	w.write(w.nodes[0], plan.Key(plan.Routes, "r"), 7)
	x := w.nodes[1].m
	now := w.nodes[1].clock()
	// As the version before writes it: {"f":{...},"r":"edge","v":{},"w":1200,"c":"","l":5}
	old := &Pull{}
	if err := easyjson.Unmarshal([]byte(`{"f":{"n":"e9","z":"z1","a":""},"r":"edge","v":{},"w":1200,"c":"10.0.0.9:80","l":5}`), old); err != nil {
		t.Fatal(err)
	}
	n, ready := x.Answer(now, x.Pulled(now, old))
	if !ready || !n.Whole || n.Seq == 0 || len(n.Items) == 0 || n.Source == "" {
		t.Fatalf("a first pull of the version before: ready %v, %+v", ready, n)
	}
	old.Vector = map[string]uint64{n.Source: n.Seq}
	if n, ready := x.Answer(now, x.Pulled(now, old)); len(n.Items) > 1 || ready && len(n.Items) == 0 { // its own lease is news
		t.Errorf("it is told again: %v, %+v", ready, n)
	}
	// And its answers: items without numbers, which are told on as one's own.
	e := quorum.Entry{Key: plan.Key(plan.Routes, "q"), Accepted: quorum.Ballot{N: 9, Who: "m2"}, Value: quorum.Value{Version: 3, Body: "b"}, Chosen: true}
	body, _ := easyjson.Marshal(e)
	was := &News{}
	text := fmt.Sprintf(`{"s":"m2@abc","q":17,"i":[{"k":"reg/%s","v":3,"b":%q}],"o":true,"n":1,"h":1,"t":1000000000}`, e.Key, body)
	if err := easyjson.Unmarshal([]byte(text), was); err != nil {
		t.Fatal(err)
	}
	x.Told(now, w.nodes[2].me, x.Ask(now, w.nodes[2].me), was)
	if x.Held(e.Key).Value.Version != 3 {
		t.Error("what it told is not held")
	}
	if p := x.Ask(now, w.nodes[2].me); p.Vector["m2@abc"] != 17 {
		t.Errorf("asked next by %v", p.Vector)
	}
}

// Ballots do not follow the time of day: members whose clocks stand hours apart, and step while orders come, decide together.
// (Before the sets of members, a ballot over 10 s ahead of a member's clock was refused, so that a wiped member's floor lay
// after all that it can have promised; epochs fence that off without a clock.)
func TestClocksApart(t *testing.T) {
	w := calm(1400*time.Microsecond, time.Millisecond)
	for round, hours := range []int{0, 3, -3, 10, -10, 1} {
		for i, x := range w.nodes {
			x.skew = time.Duration((i%3-1)*hours) * time.Hour
		}
		w.run(w.now.Add(5 * time.Second)) // leases and pulls go by the clock that stepped
		for i, x := range w.nodes {
			w.write(x, plan.Key(plan.Routes, "r"), uint64(1+round*len(w.nodes)+i))
			if w.wrong != "" {
				t.Fatalf("clocks %d hours apart, member %d: %s", hours, i, w.wrong)
			}
		}
	}
}
