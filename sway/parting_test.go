package sway

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sagelever/ebb"
	"sagelever/internal/control/quorum"
	"sagelever/lore"
	"sagelever/plan"
	"sagelever/verdict"
)

// silentView is a relay whose core has yet to say a word.
func silentView(zone string) *Sway {
	c := settings(zone)
	c.Bounds.Empty = 3 * time.Second
	s := New(c, rand.New(rand.NewPCG(1, 2)).Float64)
	s.Count(1, 1, start)
	s.Configure(table(nil), start)
	return s
}

func (s *Sway) phase(id, phase string, count int64, now time.Time) {
	a := s.apps[id].App
	a.Phase, a.Heard = phase, now.UnixMilli()
	s.Hear(id, lore.Version(count, false), &a, now)
}

func drained(list ...plan.Drain) quorum.Value {
	v := quorum.Value{}
	for _, d := range list {
		v = plan.BeginDrain(d, func(string) bool { return false }, start)(v)
	}
	return v
}

// A relay that was cut off while it holds fifty risky requests: all of them end where they are, once; nothing new goes
// there after the leave has run out, and what was given and not yet written is withheld.
func TestCutOffWithFiftyOut(t *testing.T) {
	s := silentView("a1")
	for i := range 20 {
		s.join(fmt.Sprint("i", i), "a1", "v1", 0, start)
	}
	s.Heard(start)
	type send struct {
		r *Request
		a *App
	}
	var out []send
	for len(out) < 50 {
		r := s.ask("/o/1", start)
		a := s.Pick(r, start)
		if a == nil {
			t.Fatalf("only %d are out", len(out))
		}
		out = append(out, send{r, a})
	}
	late := start.Add(ebb.Term(3 * time.Second))
	if s.Pick(s.ask("/s/1", late), late) != nil || s.Open(out[0].a, late) {
		t.Error("it sends on, and nobody has said a word")
	}
	if q := s.Asks(); len(q) != 1 || q[0].Path != "/h" {
		t.Errorf("asked: %v", q)
	}
	for i, x := range out {
		o := good
		if i%10 == 0 {
			o = lost
		}
		o.Took = late.Sub(start) // sent before: it says nothing of now
		s.Ended(x.r, x.a, o, late)
		if s.Again(x.r, o, late) {
			t.Fatal("a risky request that may have run goes elsewhere")
		}
	}
	for id, a := range s.apps {
		if a.Stand.Out() != 0 {
			t.Errorf("%s: %d out", id, a.Stand.Out())
		}
	}
}

// A word of the appliance itself lets a relay without a core go on: an answer that leaves the connection open, or its health
// answer. One that closes behind its answers, or says that it is leaving, or answers under another name, gets nothing.
func TestOwnWord(t *testing.T) {
	s := silentView("a1")
	s.join("i1", "a1", "v1", 0, start)
	now := start
	if s.Pick(s.ask("/s/1", now), now) != nil {
		t.Fatal("it sends though nobody has said a word")
	}
	if q := s.Asks(); len(q) != 1 || q[0].ID != "i1" {
		t.Fatalf("asked: %v", q)
	}
	if s.Pick(s.ask("/s/1", now), now); len(s.Asks()) != 0 {
		t.Error("asked again at once")
	}
	waiting := s.ask("/o/1", now)
	s.Wait(waiting)
	s.Answered("i1", Word{Asked: now, Reached: true, Serves: true}, now.Add(time.Millisecond))
	if len(waiting.Granted) != 1 {
		t.Fatal("it says that it serves, and what waits is not given to it")
	}
	s.Ended(waiting, <-waiting.Granted, good, now.Add(time.Second))
	for range 5 { // answers renew its word
		now = now.Add(2 * time.Second)
		r := s.ask("/s/1", now)
		a := s.Pick(r, now)
		if a == nil {
			t.Fatal("its answers do not count as its word")
		}
		s.Ended(r, a, good, now.Add(100*time.Millisecond))
	}
	for i := range 2 {
		closing := good
		closing.Closes = true
		r := s.ask("/s/1", now)
		a := s.Pick(r, now)
		if a == nil {
			t.Fatalf("closed %d times, and it gets nothing", i)
		}
		s.Ended(r, a, closing, now)
	}
	if s.Pick(s.ask("/s/1", now), now) != nil {
		t.Error("two answers in a row closed the connection, and it gets new work unasked")
	}
	if len(s.Asks()) != 1 {
		t.Error("it is not asked")
	}
	s.Answered("i1", Word{Asked: now, Reached: true}, now)
	if s.Pick(s.ask("/s/1", now), now) != nil {
		t.Error("it says that it does not serve, and gets work")
	}
	s.Answered("i1", Word{Asked: now, Reached: true, Serves: true, Warm: time.Second}, now)
	if a := s.apps["i1"]; a.cold != now.Add(time.Second) {
		t.Error("its own word that it is cold does not count")
	}
	s.Answered("i1", Word{Reached: true, Other: true}, now)
	if s.App("i1") != nil {
		t.Error("another answers there, and it is still known")
	}
}

// A leave taken back, then given again; a late pulse; a life that ends in the middle: in every state what is out comes back
// there, and nothing new goes.
func TestLeavesTwice(t *testing.T) {
	s := view("a1", nil)
	s.join("i1", "a1", "v1", 0, start)
	first := s.ask("/o/1", start)
	a := s.Pick(first, start)
	count := int64(a.version>>1) + 1
	s.phase("i1", lore.Emptying, count, start)
	s.phase("i1", lore.Ready, count-1, start) // late
	if s.Pick(s.ask("/s/1", start), start) != nil || a.Stand.State() != ebb.Leaving {
		t.Fatalf("a late pulse has brought it back: %v", a.Stand.State())
	}
	s.phase("i1", lore.Ready, count+1, start)
	second := s.ask("/o/1", start)
	if s.Pick(second, start) != a {
		t.Fatal("it has taken its word back, and gets nothing")
	}
	s.phase("i1", lore.Emptying, count+2, start)
	if rows, _, _ := s.Census(start); len(rows) != 1 || rows[0].Risky != 2 {
		t.Errorf("the census tells %v", rows)
	}
	s.Hear("i1", lore.LeftVersion, &lore.App{Phase: lore.Left}, start) // killed
	if rows, _, _ := s.Census(start); len(rows) != 1 || rows[0].Risky != 2 {
		t.Errorf("gone, and the census tells %v", rows)
	}
	s.Ended(first, a, good, start)
	s.Ended(second, a, lost, start)
	if s.Again(second, lost, start) {
		t.Error("its answer was lost, and the request goes elsewhere")
	}
	if rows, _, _ := s.Census(start); len(rows) != 0 || len(s.gone) != 0 {
		t.Errorf("all is back: %v, %d kept", rows, len(s.gone))
	}
}

// The last appliance of a service leaves: a request gets its final answer, with the promise that it never ran; what that
// one turns away unrun goes to the next that comes, at once.
func TestTheLastOne(t *testing.T) {
	s := view("a1", nil)
	s.join("i1", "a1", "v1", 0, start)
	r := s.ask("/o/1", start)
	a := s.Pick(r, start)
	s.phase("i1", lore.Emptying, int64(a.version>>1)+1, start)
	if got := s.Pick(s.ask("/o/2", start), start); got != nil {
		t.Fatal("the last one is leaving, and gets new work")
	}
	s.Ended(r, a, full, start)
	if r.Verdict != verdict.NeverRan || !s.Again(r, full, start) && s.services["s"].tokens >= 1 {
		t.Errorf("turned away unrun: %v", r.Verdict)
	}
	s.join("i2", "a1", "v1", 0, start.Add(time.Millisecond))
	if got := s.Pick(r, start.Add(time.Millisecond)); got == nil || got.ID != "i2" {
		t.Errorf("it is not given to the one that has come: %v", got)
	}
}

// Whatever an operator drains gets nothing new from any relay, and what was given and not written is placed anew without
// costing a try; withdrawn, it comes back as cold.
func TestDrained(t *testing.T) {
	for name, d := range map[string]plan.Drain{"an appliance": {ID: "i1"}, "a service": {Service: "s"}, "a zone": {}} {
		s := view("a1", nil)
		s.join("i1", "a1", "v1", 0, start)
		s.join("far", "a2", "v1", 0, start)
		r := s.ask("/o/1", start)
		a := s.Pick(r, start)
		if a.ID != "i1" || !s.Open(a, start) {
			t.Fatalf("%s: %v", name, a)
		}
		on := drained(d)
		s.Configure(table(map[string]quorum.Value{plan.DrainKey("a1"): on}), start)
		if s.Open(a, start) {
			t.Errorf("%s: it is drained, and what was given to it may still be written", name)
		}
		o := Outcome{Verdict: verdict.NeverRan, Withheld: true}
		s.Ended(r, a, o, start)
		if !s.Again(r, o, start) || r.Arrivals != 0 || r.Sends != 0 || a.doubt.down {
			t.Errorf("%s: withheld, it counts: %+v", name, r)
		}
		if got := s.Pick(r, start); got == nil || got.ID != "far" {
			t.Errorf("%s: placed anew at %v", name, got)
		}
		s.Configure(table(map[string]quorum.Value{plan.DrainKey("a1"): plan.EndDrain(d)(on)}), start)
		if a.Stand.State() != ebb.Serving || !a.cold.After(start) {
			t.Errorf("%s: withdrawn, it is %v and cold until %v", name, a.Stand.State(), a.cold)
		}
	}
}

// Whatever the news, and whenever: nothing is picked, or written, that is leaving by the newest word, and every request
// that went out is counted until it is back.
func TestNothingNewByTheNewestWord(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := view("a1", nil)
		now := start
		newest, leaving := map[string]int64{}, map[string]bool{}
		cleared, version := false, uint64(1)
		type send struct {
			r *Request
			a *App
		}
		var out []send
		for range rapid.IntRange(10, 120).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "ms")) * time.Millisecond)
			id := fmt.Sprint("i", rapid.IntRange(0, 4).Draw(t, "id"))
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0: // a pulse, perhaps an old one
				count := newest[id] + int64(rapid.IntRange(-2, 2).Draw(t, "count"))
				phase := rapid.SampledFrom([]string{lore.Ready, lore.Emptying}).Draw(t, "phase")
				if count < 0 {
					continue
				}
				a := &lore.App{Service: "s", Address: "10.0.0.1:1", Zone: "a1", Build: "v1", Capacity: 3, Phase: phase, Heard: now.UnixMilli()}
				s.Hear(id, lore.Version(count, false), a, now)
				if _, known := newest[id]; !known || count > newest[id] {
					newest[id], leaving[id] = count, phase == lore.Emptying
				}
			case 1:
				cleared, version = !cleared, version+1
				word := map[bool]string{true: "on", false: "off"}[cleared]
				s.Configure(table(map[string]quorum.Value{plan.ClearedKey("a1"): {Version: version, Body: word}}), now)
			case 2, 3:
				r := s.ask(rapid.SampledFrom([]string{"/o/1", "/s/1"}).Draw(t, "path"), now)
				if a := s.Pick(r, now); a != nil {
					if leaving[a.ID] || cleared {
						t.Fatalf("%s is picked: leaving %v, cleared %v", a.ID, leaving[a.ID], cleared)
					}
					out = append(out, send{r, a})
				}
			default:
				if len(out) == 0 {
					continue
				}
				k := rapid.IntRange(0, len(out)-1).Draw(t, "which")
				x := out[k]
				if s.Open(x.a, now) && (leaving[x.a.ID] || cleared) {
					t.Fatalf("%s may be written to", x.a.ID)
				}
				out = append(out[:k], out[k+1:]...)
				s.Ended(x.r, x.a, rapid.SampledFrom([]Outcome{good, lost, bad}).Draw(t, "outcome"), now)
			}
			sum := 0
			for _, a := range s.apps {
				sum += a.Stand.Out()
			}
			for _, a := range s.gone {
				sum += a.Stand.Out()
			}
			if sum != len(out) {
				t.Fatalf("%d are out, and %d counted", len(out), sum)
			}
		}
	})
}

// The census tells what traffic is carried, by homes.
func TestCensus(t *testing.T) {
	s := view("a1", nil)
	for i := range 6 {
		s.join(fmt.Sprint("i", i), "a1", "v1", 0, start)
	}
	now := start
	for i := range 4000 { // forty seconds: 75 a second anywhere, 25 in region a
		now = start.Add(time.Duration(i) * 10 * time.Millisecond)
		r := s.ask(map[bool]string{true: "/o/1", false: "/s/1"}[i%4 == 0], now)
		if a := s.Pick(r, now); a != nil {
			s.Ended(r, a, good, now)
		}
	}
	_, loads, _ := s.Census(now)
	want := []ebb.Load{{Service: "s", Rate: 75, Work: 0.1}, {Service: "s", Homes: "a", Rate: 25, Work: 0.1}}
	for i, w := range want {
		if len(loads) != 2 || loads[i].Homes != w.Homes || loads[i].Rate < 0.97*w.Rate || loads[i].Rate > 1.03*w.Rate || loads[i].Work < 0.099 || loads[i].Work > 0.101 {
			t.Fatalf("%+v, want %+v", loads, want)
		}
	}
	if _, loads, _ := s.Census(now.Add(10 * time.Minute)); len(loads) != 0 {
		t.Errorf("traffic that ended long ago is told: %v", loads)
	}
}
