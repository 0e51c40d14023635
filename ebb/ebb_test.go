package ebb

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1_800_000_000, 0)

// The table at the head of the package, row by row.
func TestTable(t *testing.T) {
	type step struct {
		do   func(s *Stand, at time.Time)
		want State
	}
	set := func(w Why) func(*Stand, time.Time) { return func(s *Stand, at time.Time) { s.Set(w, at) } }
	sent := func(s *Stand, _ time.Time) { s.Sent(true) }
	back := func(s *Stand, _ time.Time) { s.Back(true) }
	end := func(s *Stand, at time.Time) { s.End(at) }
	for name, steps := range map[string][]step{
		"finishes what is out":       {{sent, Serving}, {sent, Serving}, {set(Itself), Leaving}, {back, Leaving}, {back, Left}},
		"nothing out":                {{set(Cleared), Left}, {set(0), Serving}},
		"taken back, then again":     {{sent, Serving}, {set(Ordered), Leaving}, {set(0), Serving}, {sent, Serving}, {set(Ordered), Leaving}, {back, Leaving}, {back, Left}},
		"two reasons, one withdrawn": {{set(Ordered | Cleared), Left}, {set(Cleared), Left}, {set(0), Serving}},
		"killed in the middle":       {{sent, Serving}, {set(Itself), Leaving}, {end, Gone}, {set(0), Gone}, {back, Gone}},
	} {
		s := &Stand{}
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
			if !s.Since().Equal(since) {
				t.Errorf("%s, step %d: nothing new from %v, want %v", name, i+1, s.Since(), since)
			}
		}
	}
}

// However words, answers and time come, an appliance is covered only within a term of a word that it was not leaving, and
// one that closes behind its answers only by its own.
func TestLeaveRunsOut(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		empty := rapid.SampledFrom([]time.Duration{0, time.Second, 3 * time.Second, 9 * time.Second}).Draw(t, "empty")
		l, s := NewLeave(empty), &Stand{}
		now := start
		var word, core time.Time
		closes, closer := 0, false
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
			before := now.Add(-time.Duration(rapid.IntRange(0, 900).Draw(t, "old")) * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0:
				l.Heard(before)
				if before.After(core) {
					core = before
				}
			case 1:
				s.Answered(before, false)
				closes = 0
				if before.After(word) {
					word = before
				}
			case 2:
				s.Answered(before, true)
				closes++
			case 3:
				s.Asked(before, true)
				closer, closes = closer || closes >= mayLeave, 0
				if before.After(word) {
					word = before
				}
			case 4:
				s.Asked(before, false)
			}
			term := Term(empty)
			want := (now.Sub(core) < term || now.Sub(word) < term) && (closes < mayLeave || closer)
			if got := s.Covered(&l, now); got != want {
				t.Fatalf("covered: %v, want %v; core %v, own %v ago, closes %d", got, want, now.Sub(core), now.Sub(word), closes)
			}
		}
	})
}

// The arithmetic of docs/leaving.md: a leave outlasts the pull that has brought it and the next one, with a fifth to spare,
// and keeps a quarter of `empty` for a request on its way and a member that has just lost the others.
func TestTerms(t *testing.T) {
	for _, empty := range []time.Duration{0, 400 * time.Millisecond, time.Second, 3 * time.Second, 4 * time.Second, time.Minute} {
		term, wait := Term(empty), Wait(empty)
		if wait <= 0 || 2*wait+term/5 > term || empty > 0 && term > empty*3/4 || term > most {
			t.Errorf("empty %v: a leave of %v, pulls of %v", empty, term, wait)
		}
	}
}

func spots(n int, zone, region string) (out []Spot) {
	for i := range n {
		out = append(out, Spot{ID: fmt.Sprint(zone, i), Service: "s", Zone: zone, Region: region, Slots: 3, Serves: true})
	}
	return out
}

// What a removal leaves has to carry the load: everywhere, and within the homes of what is bound to some regions; removals
// under way are added up, cold ones count for what they bear, and the last appliance does not go while anything asks for it.
func TestRoom(t *testing.T) {
	all := append(append(spots(5, "a1", "a"), spots(5, "b1", "b")...), spots(5, "c1", "c")...)
	any := []Load{{"s", "", 100, 0.15}, {"s", "", 80, 0.15}} // 27 slots of 45
	homes := append([]Load{{"s", "a,b", 120, 0.15}}, any...) // and 18 more, in a and b alone
	zone := func(z string) func(Spot) bool { return func(s Spot) bool { return s.Zone == z } }
	none := func(Spot) bool { return false }
	change := func(f func(i int, s *Spot)) []Spot {
		out := append([]Spot(nil), all...)
		for i := range out {
			f(i, &out[i])
		}
		return out
	}
	for name, x := range map[string]struct {
		loads   []Load
		spots   []Spot
		leaving func(Spot) bool
		short   int
	}{
		"one zone of three":                     {any, all, zone("a1"), 0},
		"a zone while another is going":         {any, change(func(_ int, s *Spot) { s.Serves = s.Zone != "b1" }), zone("a1"), 1},
		"a home region, all would be too few":   {homes, all, zone("a1"), 2},
		"a zone outside the homes":              {homes[:1], all, zone("c1"), 0},
		"the others are cold":                   {any, change(func(_ int, s *Spot) { s.ColdRate = 5 }), zone("a1"), 1},
		"all of a service without load":         {nil, all, func(Spot) bool { return true }, 1},
		"nothing goes, though it is short":      {[]Load{{"s", "", 1000, 1}}, all, none, 0},
		"short already, and nothing of it goes": {append([]Load{{"z", "", 1000, 1}}, any...), append([]Spot{{ID: "z", Service: "z", Zone: "c1", Region: "c", Slots: 1, Serves: true}}, all...), zone("a1"), 0},
	} {
		if got := Room(x.loads, x.spots, x.leaving); len(got) != x.short {
			t.Errorf("%s: %v, want %d", name, got, x.short)
		}
	}
	// At 0.9 of its room a service of 30 bears the loss of one and not of three.
	most := []Load{{"s", "", 540, 0.15}}
	thirty := spots(30, "a1", "a")
	for gone, short := range map[int]int{1: 0, 3: 1} {
		if got := Room(most, thirty, func(s Spot) bool { return s.ID < fmt.Sprint("a1", gone) && len(s.ID) == 3 }); len(got) != short {
			t.Errorf("%d of 30 at 0.9: %v", gone, got)
		}
	}
}
