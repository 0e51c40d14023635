package lab

import (
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"sagelever/agent"
)

// flags is a fleet in the likeness of a flag service: short looks, changes that pay most, steps that run once.
func flags(agents, appliances int) Scenario {
	ms := time.Millisecond
	return Scenario{Seed: 1, Agents: agents, Appliances: appliances, Cores: 3, Queue: 50, Load: 0.55, Span: 20 * time.Second,
		Network: ms / 2, Patience: 1, Workloads: []Workload{
			{"look", 0.37, 40 * ms, 300 * ms, 750 * ms, 1, "pure"},
			{"bundle", 0.31, 65 * ms, 600 * ms, 2500 * ms, 1, "pure"},
			{"change", 0.21, 100 * ms, 600 * ms, 2000 * ms, 5, "receipted"},
			{"step", 0.11, 100 * ms, 750 * ms, 2000 * ms, 2, "effectful"}}}
}

// The same seed gives the same day, another another.
func TestSameSeedSameDay(t *testing.T) {
	s := flags(8, 6)
	s.Span = 5 * time.Second
	one, two := Play(s), Play(s)
	if !reflect.DeepEqual(one.Seconds, two.Seconds) || one.Total(0, s.Span).Taken == 0 {
		t.Error("the same seed gave two days")
	}
	s.Seed = 2
	if reflect.DeepEqual(one.Seconds, Play(s).Seconds) {
		t.Error("another seed gave the same day")
	}
}

// earned is the payoff of a stretch by what was asked for.
func earned(w *World, from, to time.Duration) float64 {
	c := w.Total(from, to)
	return c.Earned / c.Asked
}

// report is what a test that fails shows.
func report(t *testing.T, w *World) {
	t.Helper()
	for s := time.Duration(0); s < w.Span; s += 2 * time.Second {
		c := w.Total(s, s+2*time.Second)
		t.Logf("%4s earned %.3f taken %d goal %d late %d deferred %d off %d whys %v sends %v votes %v", s, c.Earned/c.Asked,
			c.Taken, c.InGoal, c.Late, c.Deferred, c.BrokenOff, c.Whys, c.Sends, c.Votes)
	}
	t.Errorf("moves %v, broken %v", w.Platform.Moves, w.Broken)
}

// Fleets of 80 agents: a calm one earns nearly all; one in which seven in ten agents die while appliances pause earns
// nearly all of what comes to those alive; nobody is left without an answer, nothing is answered twice.
func TestFleetsEarn(t *testing.T) {
	calm := flags(80, 60)
	if w := Play(calm); earned(w, 2*time.Second, 20*time.Second) < 0.98 || w.Broken != nil {
		report(t, w)
	}
	herd := flags(80, 60)
	herd.Troubles = []Trouble{{8 * time.Second, func(w *World) {
		for i, n := range w.Nodes {
			if i%10 < 7 {
				n.Kill()
				w.After(2*time.Second, n.Start)
			}
		}
	}}}
	for at := 6 * time.Second; at < 16*time.Second; at += time.Second {
		herd.Troubles = append(herd.Troubles, Trouble{at, func(w *World) {
			for _, m := range w.Machines {
				if w.Dice().IntN(10) < 2 {
					m.Pause(500 * time.Millisecond)
				}
			}
		}})
	}
	if w := Play(herd); earned(w, 2*time.Second, 20*time.Second) < 0.95 || w.Broken != nil {
		report(t, w)
	}
}

// A good build is released by 80 agents that see little each, one that fails a third goes back from its first stage.
func TestFleetsJudge(t *testing.T) {
	sick := func(w *World) {
		for _, m := range w.Machines {
			if w.Dice().IntN(8) == 0 {
				m.Fails = 0.3 + 0.7*w.Dice().Float64()
				w.After(12*time.Second, func() { m.Fails = 0 })
			}
		}
	}
	for name, c := range map[string]struct {
		made func(*Machine)
		also func(*World)
		seed uint64
		last agent.Phase
	}{
		"good":                        {func(m *Machine) { m.Slow = 0.95 }, func(*World) {}, 1, agent.Released},
		"bad":                         {func(m *Machine) { m.Fails = 0.3 }, func(*World) {}, 1, agent.GoingBack},
		"good, sick trial machine":    {func(m *Machine) { m.Slow = 0.95 }, sick, 2, agent.Released},
		"good, two sick in its first": {func(m *Machine) { m.Slow = 0.95 }, sick, 3, agent.Released},
	} {
		s := flags(80, 60)
		s.Seed, s.Span = c.seed, 26*time.Second
		s.Troubles = []Trouble{{4 * time.Second, func(w *World) { w.Offer(2, c.made) }}, {6 * time.Second, c.also}}
		w := Play(s)
		if last := w.Platform.Moves[len(w.Platform.Moves)-1]; last.Phase != c.last || w.Broken != nil {
			t.Errorf("%s build: %v", name, last)
			report(t, w)
		}
	}
}

// Four in ten machines pause again and again and one in eight fails: agents that see a machine every few seconds avoid
// what others have found sick, at a cost of messages that does not grow with all to all.
func TestFleetAvoidsTheSick(t *testing.T) {
	s, dice := flags(80, 60), rand.New(rand.NewPCG(1, 99))
	s.Troubles = []Trouble{{3 * time.Second, func(w *World) {
		for _, m := range w.Machines {
			if dice.IntN(10) < 4 {
				var pause func()
				pause = func() {
					m.Pause(time.Duration(500+dice.IntN(1500)) * time.Millisecond)
					w.After(time.Duration(2500+dice.IntN(4000))*time.Millisecond, pause)
				}
				w.After(time.Duration(dice.IntN(4000))*time.Millisecond, pause)
			}
			if dice.IntN(8) == 0 {
				m.Fails = 0.3 + 0.7*dice.Float64()
			}
		}
	}}}
	w := Play(s)
	c := w.Total(5*time.Second, 20*time.Second)
	if got := earned(w, 5*time.Second, 20*time.Second); got < 0.955 || c.Told > 4*c.Taken || w.Broken != nil {
		t.Errorf("earned %.3f, %d messages for %d transactions", got, c.Told, c.Taken)
		report(t, w)
	}
}

// Half of the machines is lost and comes back cold under a fleet of 300 agents, of whom seven in ten die and come back
// at the same moment; a tenth of all answers is lost on the way. No cold machine is pushed over, no step runs twice, and
// nobody is left without an answer. The checkers are shown to fail below.
func TestColdMachinesAndLostAnswers(t *testing.T) {
	s := flags(300, 60)
	s.Span, s.Load = 12*time.Second, 0.9
	s.Troubles = []Trouble{{3 * time.Second, func(w *World) {
		for i, m := range w.Machines {
			m.Loses = 0.1
			if i%2 == 0 {
				m.Lose()
				w.After(3*time.Second, m.Restart)
			}
		}
	}}, {5900 * time.Millisecond, func(w *World) {
		for i, n := range w.Nodes {
			if i%10 < 7 {
				n.Kill()
				w.After(500*time.Millisecond, n.Start)
			}
		}
	}}}
	if w := Play(s); w.Broken != nil || w.Total(0, s.Span).Earned == 0 {
		report(t, w)
	}
}

func TestCheckersFindFaults(t *testing.T) {
	w := &World{Scenario: flags(1, 1)}
	m := w.machine(0, 1, 0)
	for range 3 * 6 { // 9 s of work at once, where 3.6 s may be
		m.pushed(500 * time.Millisecond)
	}
	if len(w.Broken) != 1 {
		t.Errorf("a machine that is pushed over: %v", w.Broken)
	}
	n := &Node{world: w, open: map[agent.TransactionID]*held{"x": {}}}
	n.close("x")
	if n.close("x"); len(w.Broken) != 2 {
		t.Errorf("a second answer: %v", w.Broken)
	}
}
