package draining

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"sagelever/internal/lease"
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
		l, s := lease.NewSendLease(empty), &Tracker{}
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
			term := lease.LeaseDuration(empty)
			want := (now.Sub(core) < term || now.Sub(word) < term) && (closes < drainingCloseCount || closer)
			if got := s.Covered(&l, now); got != want {
				t.Fatalf("covered: %v, want %v; core %v, own %v ago, closes %d", got, want, now.Sub(core), now.Sub(word), closes)
			}
		}
	})
}
