package ebb

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1_800_000_000, 0)

// The table at the head of the package, row by row.
func TestStateTransitions(t *testing.T) {
	type step struct {
		do   func(s *Tracker, at time.Time)
		want State
	}
	set := func(w Reasons) func(*Tracker, time.Time) {
		return func(s *Tracker, at time.Time) { s.SetReasons(w, at) }
	}
	sent := func(s *Tracker, _ time.Time) { s.RequestStarted(true) }
	back := func(s *Tracker, _ time.Time) { s.RequestFinished(true) }
	end := func(s *Tracker, at time.Time) { s.End(at) }
	for name, steps := range map[string][]step{
		"finishes what is out":       {{sent, Serving}, {sent, Serving}, {set(SelfReported), Draining}, {back, Draining}, {back, Drained}},
		"nothing out":                {{set(ZoneEvacuated), Drained}, {set(0), Serving}},
		"taken back, then again":     {{sent, Serving}, {set(OperatorDrain), Draining}, {set(0), Serving}, {sent, Serving}, {set(OperatorDrain), Draining}, {back, Draining}, {back, Drained}},
		"two reasons, one withdrawn": {{set(OperatorDrain | ZoneEvacuated), Drained}, {set(ZoneEvacuated), Drained}, {set(0), Serving}},
		"killed in the middle":       {{sent, Serving}, {set(SelfReported), Draining}, {end, Ended}, {set(0), Ended}, {back, Ended}},
	} {
		s := &Tracker{}
		var since time.Time
		for i, x := range steps {
			at := start.Add(time.Duration(i) * time.Second)
			was := s.State()
			x.do(s, at)
			if s.State() != x.want {
				t.Errorf("%s, step %d: %v, want %v", name, i+1, s.State(), x.want)
			}
			switch now := s.State(); {
			case was == Serving && now != Serving:
				since = at
			case now == Serving:
				since = time.Time{}
			}
			if !s.DrainingSince().Equal(since) {
				t.Errorf("%s, step %d: nothing new from %v, want %v", name, i+1, s.DrainingSince(), since)
			}
		}
	}
}

// However words, answers and time come, an appliance is covered only within a term of a word that it was not leaving, and
// one that closes behind its answers only by its own.
func TestSendLeaseExpires(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		empty := rapid.SampledFrom([]time.Duration{0, time.Second, 3 * time.Second, 9 * time.Second}).Draw(t, "empty")
		l, s := NewSendLease(empty), &Tracker{}
		now := start
		var word, core time.Time
		closes, closer := 0, false
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
			before := now.Add(-time.Duration(rapid.IntRange(0, 900).Draw(t, "old")) * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0:
				l.Renew(before)
				if before.After(core) {
					core = before
				}
			case 1:
				s.ObserveResponse(before, false)
				closes = 0
				if before.After(word) {
					word = before
				}
			case 2:
				s.ObserveResponse(before, true)
				closes++
			case 3:
				s.ObserveHealthCheck(before, true)
				closer, closes = closer || closes >= drainingCloseCount, 0
				if before.After(word) {
					word = before
				}
			case 4:
				s.ObserveHealthCheck(before, false)
			}
			term := LeaseDuration(empty)
			want := (now.Sub(core) < term || now.Sub(word) < term) && (closes < drainingCloseCount || closer)
			if got := s.Covered(&l, now); got != want {
				t.Fatalf("covered: %v, want %v; core %v, own %v ago, closes %d", got, want, now.Sub(core), now.Sub(word), closes)
			}
		}
	})
}

// The arithmetic of docs/leaving.md: a leave outlasts the pull that has brought it and the next one, with a fifth to spare,
// and keeps a quarter of `empty` for a request on its way and a member that has just lost the others.
func TestLeaseDurations(t *testing.T) {
	for _, empty := range []time.Duration{0, 400 * time.Millisecond, time.Second, 3 * time.Second, 4 * time.Second, time.Minute} {
		term, wait := LeaseDuration(empty), PullWait(empty)
		if wait <= 0 || 2*wait+term/5 > term || empty > 0 && term > empty*3/4 || term > maxLeaseDuration {
			t.Errorf("empty %v: a leave of %v, pulls of %v", empty, term, wait)
		}
	}
}

func newCapacities(n int, zone, region string) (out []BackendCapacity) {
	for i := range n {
		out = append(out, BackendCapacity{ID: fmt.Sprint(zone, i), Service: "s", Zone: zone, Region: region, Slots: 3, Serving: true})
	}
	return out
}

// What a removal leaves has to carry the load: everywhere, and within the homes of what is bound to some regions; removals
// under way are added up, cold ones count for what they bear, and the last appliance does not go while anything asks for it.
func TestCapacityShortfalls(t *testing.T) {
	all := append(append(newCapacities(5, "a1", "a"), newCapacities(5, "b1", "b")...), newCapacities(5, "c1", "c")...)
	any := []ServiceLoad{{"s", "", 100, 0.15}, {"s", "", 80, 0.15}} // 27 slots of 45
	homes := append([]ServiceLoad{{"s", "a,b", 120, 0.15}}, any...) // and 18 more, in a and b alone
	zone := func(z string) func(BackendCapacity) bool { return func(s BackendCapacity) bool { return s.Zone == z } }
	none := func(BackendCapacity) bool { return false }
	change := func(f func(i int, s *BackendCapacity)) []BackendCapacity {
		out := append([]BackendCapacity(nil), all...)
		for i := range out {
			f(i, &out[i])
		}
		return out
	}
	for name, x := range map[string]struct {
		loads   []ServiceLoad
		spots   []BackendCapacity
		leaving func(BackendCapacity) bool
		short   int
	}{
		"one zone of three":                     {any, all, zone("a1"), 0},
		"a zone while another is going":         {any, change(func(_ int, s *BackendCapacity) { s.Serving = s.Zone != "b1" }), zone("a1"), 1},
		"a home region, all would be too few":   {homes, all, zone("a1"), 2},
		"a zone outside the homes":              {homes[:1], all, zone("c1"), 0},
		"the others are cold":                   {any, change(func(_ int, s *BackendCapacity) { s.WarmUpRate = 5 }), zone("a1"), 1},
		"all of a service without load":         {nil, all, func(BackendCapacity) bool { return true }, 1},
		"nothing goes, though it is short":      {[]ServiceLoad{{"s", "", 1000, 1}}, all, none, 0},
		"short already, and nothing of it goes": {append([]ServiceLoad{{"z", "", 1000, 1}}, any...), append([]BackendCapacity{{ID: "z", Service: "z", Zone: "c1", Region: "c", Slots: 1, Serving: true}}, all...), zone("a1"), 0},
	} {
		if got := CapacityShortfalls(x.loads, x.spots, x.leaving); len(got) != x.short {
			t.Errorf("%s: %v, want %d", name, got, x.short)
		}
	}
	// At 0.9 of its room a service of 30 bears the loss of one and not of three.
	most := []ServiceLoad{{"s", "", 540, 0.15}}
	thirty := newCapacities(30, "a1", "a")
	for gone, short := range map[int]int{1: 0, 3: 1} {
		if got := CapacityShortfalls(most, thirty, func(s BackendCapacity) bool { return s.ID < fmt.Sprint("a1", gone) && len(s.ID) == 3 }); len(got) != short {
			t.Errorf("%d of 30 at 0.9: %v", gone, got)
		}
	}
}
