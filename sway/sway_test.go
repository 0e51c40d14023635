package sway

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sagelever/boot"
	"sagelever/ebb"
	"sagelever/internal/control/quorum"
	"sagelever/lore"
	"sagelever/plan"
	"sagelever/verdict"
)

var start = time.Unix(1_800_000_000, 0)

// settings as a site has them, in zone a1 of region a.
func settings(zone string) *boot.Settings {
	return &boot.Settings{Node: "n-" + zone, Zone: zone, Region: zone[:1],
		Zones:  map[string]string{"a1": "a", "a2": "a", "b1": "b"},
		Bounds: boot.Bounds{Pulse: 1300 * time.Millisecond, RetryShare: 0.2, ExtraTries: 64, BadShare: 0.1, BadLeeway: 50, WarmUpExcess: 1.5, WarmUpLeeway: 5}}
}

func table(more map[string]quorum.Value) *plan.Table {
	v := map[string]quorum.Value{
		plan.Key(plan.Services, "s"):  {Version: 1, Body: `{"checkPath":"/h","warmUp":"3s","warmingRateS":5.4}`},
		plan.Key(plan.Routes, "safe"): {Version: 1, Body: `{"host":"h","pathStart":"/s/","kind":"harmless","giveUp":"5s","target_time":"1s","service":"s","tries":2}`},
		plan.Key(plan.Routes, "once"): {Version: 1, Body: `{"host":"h","pathStart":"/o/","kind":"risky","giveUp":"5s","target_time":"1s","service":"s","tries":2,"homeRegions":["a"]}`},
	}
	for k, x := range more {
		v[k] = x
	}
	return plan.NewTable(v)
}

func view(zone string, more map[string]quorum.Value) *Sway {
	s := New(settings(zone), rand.New(rand.NewPCG(1, 2)).Float64)
	s.Count(1, 1, start)
	s.Heard(start.Add(time.Hour)) // in touch throughout
	s.Configure(table(more), start)
	return s
}

func (s *Sway) join(id, zone, build string, warm time.Duration, now time.Time) {
	a := &lore.App{Service: "s", Address: "10.0.0.1:1", Zone: zone, Build: build, Capacity: 3, Phase: lore.Ready, Heard: now.UnixMilli()}
	if warm > 0 {
		a.Warm = now.Add(warm).UnixMilli()
	}
	s.Hear(id, lore.Version(now.UnixMilli(), false), a, now)
}

func (s *Sway) ask(path string, now time.Time) *Request {
	r := &Request{Way: s.table.Find("h", path), Arrived: now, Deadline: now.Add(5 * time.Second), Granted: make(chan *App, 1)}
	s.Take(r, now)
	return r
}

var (
	good = Outcome{Verdict: verdict.Ran, Status: 200, Served: true, Dialled: true, Took: 100 * time.Millisecond}
	lost = Outcome{Verdict: verdict.MayHaveRun, Dialled: true}
	full = Outcome{Verdict: verdict.NeverRan, Status: 503, Dialled: true}
	dead = Outcome{Verdict: verdict.NeverRan}
	bad  = Outcome{Verdict: verdict.Ran, Status: 500, Dialled: true}
)

// A risky request that may have run is never sent again, whatever came before; one that never ran is.
func TestRiskyRunsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := view("a1", nil)
		for i := range 4 {
			s.join(fmt.Sprint("i", i), "a1", "v1", 0, start)
		}
		s.services["s"].tokens = 9
		r := s.ask("/o/1", start)
		ran := false
		for range 6 {
			a := s.Pick(r, start)
			if a == nil {
				return
			}
			if ran {
				t.Fatal("sent again though it may have run")
			}
			o := rapid.SampledFrom([]Outcome{lost, full, dead, bad, good}).Draw(t, "outcome")
			ran = ran || o.Verdict != verdict.NeverRan
			s.Ended(r, a, o, start)
			if again := s.Again(r, o, start); !again {
				return
			}
		}
	})
}

// Over all relays, the tries beyond the first stay within the share and the allowance in any period, also when nearly all
// sends fail, when some relays start anew, and when each knows of fewer than there are.
func TestBudgetOverAllRelays(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		rng := rand.New(rand.NewPCG(seed, 1))
		const n, period = 12, 10
		known := rapid.IntRange(8, n).Draw(t, "known")
		var relays []*Sway
		renew := func() *Sway {
			s := view("a1", nil)
			s.Count(known, 3, start)
			for i := range 8 {
				s.join(fmt.Sprint("i", i), "a1", "v1", 0, start)
			}
			return s
		}
		for range n {
			relays = append(relays, renew())
		}
		var asked, again [30]float64 // by second
		for sec := range asked {
			now := start.Add(time.Duration(sec) * time.Second)
			for range rng.IntN(120) {
				k := rng.IntN(n)
				if rng.IntN(400) == 0 {
					relays[k] = renew()
				}
				s := relays[k]
				r := s.ask("/s/1", now)
				asked[sec]++
				for {
					a := s.Pick(r, now)
					if a == nil {
						break
					}
					a.doubt = doubt{}
					s.Ended(r, a, full, now)
					a.doubt = doubt{}
					if r.Arrivals > 1 {
						again[sec]++
					}
					if !s.Again(r, full, now) {
						break
					}
				}
			}
		}
		for sec := period; sec <= len(asked); sec++ {
			sum, of := 0.0, 0.0
			for i := sec - period; i < sec; i++ {
				sum, of = sum+again[i], of+asked[i]
			}
			if sum > 0.2*of+64 {
				t.Fatalf("%v tries beyond the first of %v in the %d s before second %d", sum, of, period, sec)
			}
		}
	})
}

// In no second do all relays of a zone together push a cold appliance over, and no relay of another zone feeds it.
func TestColdIsFedSlowly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		k := rapid.IntRange(1, 3).Draw(t, "relays")
		var relays []*Sway
		for range k {
			s := view("a1", nil)
			s.Count(12, k, start)
			relays = append(relays, s)
		}
		other := view("a2", nil)
		for _, s := range append(relays, other) {
			s.join("i1", "a1", "v1", 3*time.Second, start)
		}
		var sent []time.Time
		for ms := rapid.IntRange(0, 20).Draw(t, "phase"); ms < 3000; ms += 7 {
			now := start.Add(time.Duration(ms) * time.Millisecond)
			for _, s := range relays {
				r := s.ask("/s/1", now)
				if a := s.Pick(r, now); a != nil {
					sent = append(sent, now)
					s.Ended(r, a, good, now)
				}
			}
			if other.Pick(other.ask("/s/1", now), now) != nil {
				t.Fatal("a relay of another zone feeds a cold appliance")
			}
		}
		for i := range sent {
			n := 0
			for _, at := range sent[i:] {
				if at.Sub(sent[i]) < time.Second {
					n++
				}
			}
			if float64(n) > 5.4*1.5+5 {
				t.Fatalf("%d requests in a second", n)
			}
		}
		if len(sent) < 8 {
			t.Fatalf("%d requests in three seconds: it is hardly used", len(sent))
		}
	})
}

// Nothing new goes to an appliance that is emptying, has left, stands in a cleared zone or outside the homes of the route,
// or answered 421; and an older word changes none of that.
func TestWhoMayHaveIt(t *testing.T) {
	s := view("a1", map[string]quorum.Value{plan.ClearedKey("a2"): plan.Clear(true, 0)(quorum.Value{})})
	s.join("cleared", "a2", "v1", 0, start)
	s.join("abroad", "b1", "v1", 0, start)
	if s.Pick(s.ask("/o/1", start), start) != nil {
		t.Error("a request left its homes, or went to a cleared zone")
	}
	if a := s.Pick(s.ask("/s/1", start), start); a == nil || a.ID != "abroad" {
		t.Error("a request without homes stays without an appliance")
	}
	s.join("i1", "a1", "v1", 0, start)
	a := *s.App("i1")
	leaving := a.App
	leaving.Phase = lore.Emptying
	s.Hear("i1", a.version+2, &leaving, start)
	s.Hear("i1", a.version, &a.App, start) // a late word
	if s.Pick(s.ask("/o/1", start), start) != nil {
		t.Error("new work for an appliance that is emptying")
	}
	s.join("i2", "a1", "v1", 0, start)
	r := s.ask("/o/1", start)
	got := s.Pick(r, start)
	s.Ended(r, got, Outcome{Verdict: verdict.NeverRan, Status: 421, Dialled: true}, start)
	if s.App("i2") != nil {
		t.Error("an appliance whose address another has is still known")
	}
	// A zone taken back may have gone cold meanwhile.
	s.Configure(table(map[string]quorum.Value{plan.ClearedKey("a2"): {Version: 2, Body: "off"}}), start)
	if !s.App("cleared").cold.After(start) {
		t.Error("a zone that is taken back gets its whole load at once")
	}
}

// An appliance that takes no connection rests and, once back, counts as cold; a single lost answer changes nothing.
func TestDoubt(t *testing.T) {
	s := view("a1", nil)
	s.join("i1", "a1", "v1", 0, start)
	now := start
	r := s.ask("/s/1", now)
	s.Ended(r, s.Pick(r, now), lost, now)
	if s.Pick(s.ask("/s/1", now), now) == nil {
		t.Fatal("one lost answer has put it to rest")
	}
	s.App("i1").Stand.Back(false)
	r = s.ask("/s/1", now)
	s.Ended(r, s.Pick(r, now), dead, now)
	if s.Pick(s.ask("/s/1", now), now) != nil {
		t.Error("it takes no connection and gets the next request at once")
	}
	now = now.Add(restMost)
	r = s.ask("/s/1", now)
	s.Ended(r, s.Pick(r, now), good, now)
	if !s.App("i1").cold.After(now) {
		t.Error("back from wherever it was, it gets its whole load at once")
	}
}

// Those who wait get places by rank, then in turn; one that has left the line gets none.
func TestLine(t *testing.T) {
	s := view("a1", nil)
	s.join("i1", "a1", "v1", 0, start)
	var out []*Request
	for {
		r := s.ask("/s/1", start)
		if s.Pick(r, start) == nil {
			break
		}
		out = append(out, r)
	}
	first, gone, second := s.ask("/s/1", start), s.ask("/s/1", start), s.ask("/s/1", start.Add(1))
	for _, r := range []*Request{second, gone, first} {
		s.Wait(r)
	}
	if !s.Leave(gone) {
		t.Fatal("it had no place")
	}
	s.Ended(out[0], s.App("i1"), good, start)
	if len(first.Granted) != 1 || len(second.Granted) != 0 || len(gone.Granted) != 0 {
		t.Error("the place went to another")
	}
	if s.Leave(first) {
		t.Error("it leaves the line and has a place")
	}
}

// trialOf plays a release over several relays that tell one another their counts, and gives the votes and the share.
func trialOf(t *testing.T, n int, seconds int, answer func(trial bool, loaded bool) Outcome) (votes map[string]int, sent, reached float64) {
	order := plan.Begin("v2", 16*time.Second, start)(quorum.Value{})
	var relays []*Sway
	for i := range n {
		s := New(settings("a1"), rand.New(rand.NewPCG(uint64(i), 5)).Float64)
		s.Count(n, n, start)
		s.Heard(start.Add(time.Hour))
		s.Configure(table(map[string]quorum.Value{plan.ReleaseKey("s"): order}), start)
		for k := range 6 {
			s.join(fmt.Sprint("old", k), "a1", "v1", 0, start)
			s.join(fmt.Sprint("new", k), "a1", "v2", 0, start)
		}
		relays = append(relays, s)
	}
	votes = map[string]int{}
	for tick := range seconds * 10 {
		now := start.Add(time.Duration(tick) * 100 * time.Millisecond)
		for i, s := range relays {
			r := s.ask("/s/1", now)
			if a := s.Pick(r, now); a != nil {
				s.Ended(r, a, answer(a.Build == "v2", s.services["s"].trial.loading(now)), now)
			}
			if tick%10 == 0 {
				for _, tally := range s.Tallies(fmt.Sprint(i), now) {
					for j, other := range relays {
						if j != i {
							other.Learn(fmt.Sprint("s/", i), tally)
						}
					}
					if tally.Vote != "" && votes[tally.Vote] == 0 {
						votes[tally.Vote] = tick / 10
						if votes[tally.Vote] == 0 {
							votes[tally.Vote] = 1
						}
					}
				}
			}
		}
	}
	for _, s := range relays {
		own := s.services["s"].trial.own
		sent, reached = sent+own.Sent, reached+own.Reached
	}
	return votes, sent, reached
}

// Bad builds of each kind are voted back, good ones on and not back; the trial's share stays within the cap.
func TestTrial(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	slow := good
	slow.Took = 2 * time.Second
	for what, x := range map[string]struct {
		answer func(trial, loaded bool) Outcome
		want   string
	}{
		"good": {func(bool, bool) Outcome { return good }, plan.VoteOn},
		"fails half": {func(trial, _ bool) Outcome {
			if trial && rng.IntN(2) == 0 {
				return bad
			}
			return good
		}, plan.VoteBack},
		"slow": {func(trial, _ bool) Outcome {
			if trial && rng.IntN(2) == 0 {
				return slow
			}
			return good
		}, plan.VoteBack},
		"fails under load": {func(trial, loaded bool) Outcome {
			if trial && loaded && rng.IntN(2) == 0 {
				return bad
			}
			return good
		}, plan.VoteBack},
		"all are slow": {func(bool, bool) Outcome { return slow }, ""},
	} {
		votes, sent, reached := trialOf(t, 12, 15, x.answer)
		if sent > 0.1*reached+50 {
			t.Errorf("%s: %v of %v went to the trial", what, sent, reached)
		}
		for _, word := range []string{plan.VoteOn, plan.VoteBack} {
			if got := votes[word] > 0; got != (word == x.want) && !(what == "all are slow" && word == plan.VoteOn) {
				t.Errorf("%s: vote %s at %d s", what, word, votes[word])
			}
		}
	}
}

// After its end a release binds: the build that was sent back gets nothing, the earlier one nothing once the new one is in
// force; and a build that no order has named gets nothing beside the one in force.
func TestAfterTheEnd(t *testing.T) {
	order := plan.Begin("v2", 16*time.Second, start)(quorum.Value{})
	for phase, want := range map[string]string{plan.Reverted: "v1", plan.Finished: "v2"} {
		s := view("a1", map[string]quorum.Value{plan.ReleaseKey("s"): order})
		s.join("old", "a1", "v1", 0, start)
		s.join("new", "a1", "v2", 0, start)
		s.Configure(table(map[string]quorum.Value{plan.ReleaseKey("s"): plan.Decide(1, phase)(order)}), start)
		s.join("odd", "a1", "v3", 0, start)
		for range 3 {
			if a := s.Pick(s.ask("/s/1", start), start); a == nil || a.Build != want {
				t.Errorf("%s: %v", phase, a)
			}
		}
	}
}

// The build in force is that of most appliances, in whatever order they are heard of: the first may be of a build whose
// trial has yet to be ordered. Taken for the one in force, it would get all requests.
func TestInForceByMost(t *testing.T) {
	s := view("a1", nil)
	for i, build := range []string{"v2", "v1", "v1", "v1"} {
		s.join(fmt.Sprint("i", i), "a1", build, 0, start)
	}
	s.Configure(table(map[string]quorum.Value{plan.ReleaseKey("s"): plan.Begin("v2", 16*time.Second, start)(quorum.Value{})}), start)
	for id, a := range s.apps {
		if a.Stand.State() != ebb.Serving {
			t.Errorf("%s is %v: %v", id, a.Stand.State(), a.Stand.Why())
		}
	}
	old := 0
	for range 9 {
		if a := s.Pick(s.ask("/s/1", start), start); a != nil && a.Build == "v1" {
			old++
		}
	}
	if old < 4 { // the others are the trial's allowance
		t.Errorf("%d of 9 requests went to the build in force", old)
	}
}

// Nothing grows with the requests, appliances and agents seen.
func TestNothingGrows(t *testing.T) {
	s := view("a1", nil)
	for i := range 2000 {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		id := fmt.Sprint("i", i)
		s.join(id, "a1", "v1", 0, now)
		r := s.ask("/s/1", now)
		if a := s.Pick(r, now); a != nil {
			s.Ended(r, a, good, now)
		}
		s.Hear(id, lore.LeftVersion, &lore.App{Phase: lore.Left}, now)
	}
	if len(s.apps) != 0 || len(s.services) != 1 || len(s.services["s"].apps) != 0 || len(s.services["s"].queue) != 0 {
		t.Errorf("%d appliances, %d services", len(s.apps), len(s.services))
	}
}

func BenchmarkPick(b *testing.B) {
	s := view("a1", nil)
	for i := range 30 {
		s.join(fmt.Sprint("i", i), []string{"a1", "a2", "b1"}[i%3], "v1", 0, start)
	}
	b.ReportAllocs()
	for b.Loop() {
		r := s.ask("/s/1", start)
		if a := s.Pick(r, start); a != nil {
			s.Ended(r, a, good, start)
		}
	}
}
