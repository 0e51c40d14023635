package fleet

import (
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"sagelever/internal/agent/api"
)

// testScenario is a fleet like that of a feature-flag service: short look-ups, changes that pay most, steps that run
// once.
func testScenario(agents, backends int) Scenario {
	ms := time.Millisecond
	return Scenario{Seed: 1, Agents: agents, Backends: backends, Cores: 3, QueueLength: 50, Load: 0.55,
		Duration:     20 * time.Second,
		NetworkDelay: ms / 2, MaxRetries: 1, Workloads: []Workload{
			{"look", 0.37, 40 * ms, 300 * ms, 750 * ms, 1, "pure"},
			{"bundle", 0.31, 65 * ms, 600 * ms, 2500 * ms, 1, "pure"},
			{"change", 0.21, 100 * ms, 600 * ms, 2000 * ms, 5, "receipted"},
			{"step", 0.11, 100 * ms, 750 * ms, 2000 * ms, 2, "effectful"}}}
}

// The same seed gives the same run, another seed another one.
func TestDeterministic(t *testing.T) {
	s := testScenario(8, 6)
	s.Duration = 5 * time.Second
	one, two := Run(s), Run(s)
	if !reflect.DeepEqual(one.Seconds, two.Seconds) || one.Total(0, s.Duration).Accepted == 0 {
		t.Error("the same seed gave two different runs")
	}
	s.Seed = 2
	if reflect.DeepEqual(one.Seconds, Run(s).Seconds) {
		t.Error("another seed gave the same run")
	}
}

// payoffShare is the payoff earned in a stretch of time, as a share of the payoff offered.
func payoffShare(w *Simulation, from, to time.Duration) float64 {
	c := w.Total(from, to)
	return c.Earned / c.Offered
}

// report logs what helps to explain a failure.
func report(t *testing.T, w *Simulation) {
	t.Helper()
	for s := time.Duration(0); s < w.Duration; s += 2 * time.Second {
		c := w.Total(s, s+2*time.Second)
		t.Logf("%4s earned %.3f taken %d goal %d late %d deferred %d off %d whys %v sends %v votes %v", s, c.Earned/c.Offered,
			c.Accepted, c.InGoal, c.Late, c.Deferred, c.Failed, c.Reasons, c.Attempts, c.Votes)
	}
	t.Errorf("moves %v, violations %v", w.Platform.Moves, w.Violations)
}

// Fleets of 80 agents: a calm one earns nearly all. One in which seven in ten agents die while backends pause earns
// nearly all of what comes to those alive; no client is left without an answer, and none is answered twice.
func TestFleetsEarn(t *testing.T) {
	calm := testScenario(80, 60)
	if w := Run(calm); payoffShare(w, 2*time.Second, 20*time.Second) < 0.98 || w.Violations != nil {
		report(t, w)
	}
	herd := testScenario(80, 60)
	herd.Events = []ScheduledEvent{{8 * time.Second, func(w *Simulation) {
		for i, n := range w.Nodes {
			if i%10 < 7 {
				n.Kill()
				w.After(2*time.Second, n.Start)
			}
		}
	}}}
	for at := 6 * time.Second; at < 16*time.Second; at += time.Second {
		herd.Events = append(herd.Events, ScheduledEvent{at, func(w *Simulation) {
			for _, m := range w.Fleet {
				if w.Random().IntN(10) < 2 {
					m.Pause(500 * time.Millisecond)
				}
			}
		}})
	}
	if w := Run(herd); payoffShare(w, 2*time.Second, 20*time.Second) < 0.95 || w.Violations != nil {
		report(t, w)
	}
}

// A good build is released by 80 agents that see little each; one that fails a third is rolled back from its first
// stage.
func TestFleetsJudge(t *testing.T) {
	unhealthy := func(w *Simulation) {
		for _, m := range w.Fleet {
			if w.Random().IntN(8) == 0 {
				m.ErrorRate = 0.3 + 0.7*w.Random().Float64()
				w.After(12*time.Second, func() { m.ErrorRate = 0 })
			}
		}
	}
	for name, c := range map[string]struct {
		made func(*Backend)
		also func(*Simulation)
		seed uint64
		last api.Phase
	}{
		"good": {func(m *Backend) { m.Slowdown = 0.95 }, func(*Simulation) {}, 1, api.PhaseReleased},
		"bad": {func(m *Backend) { m.ErrorRate = 0.3 }, func(*Simulation) {}, 1,
			api.PhaseRollingBack},
		"good, unhealthy trial backend":    {func(m *Backend) { m.Slowdown = 0.95 }, unhealthy, 2, api.PhaseReleased},
		"good, two unhealthy in its first": {func(m *Backend) { m.Slowdown = 0.95 }, unhealthy, 3, api.PhaseReleased},
	} {
		s := testScenario(80, 60)
		s.Seed, s.Duration = c.seed, 26*time.Second
		s.Events = []ScheduledEvent{{4 * time.Second, func(w *Simulation) { w.OfferBuild(2, c.made) }}, {6 * time.Second,
			c.also}}
		w := Run(s)
		if last := w.Platform.Moves[len(w.Platform.Moves)-1]; last.Phase != c.last || w.Violations != nil {
			t.Errorf("%s build: %v", name, last)
			report(t, w)
		}
	}
}

// Four in ten backends pause again and again and one in eight fails: agents that use a backend every few seconds avoid
// what others have found unhealthy, at a cost in messages that does not grow with the square of the agents.
func TestFleetAvoidsUnhealthyBackends(t *testing.T) {
	s, dice := testScenario(80, 60), rand.New(rand.NewPCG(1, 99))
	s.Events = []ScheduledEvent{{3 * time.Second, func(w *Simulation) {
		for _, m := range w.Fleet {
			if dice.IntN(10) < 4 {
				var pause func()
				pause = func() {
					m.Pause(time.Duration(500+dice.IntN(1500)) * time.Millisecond)
					w.After(time.Duration(2500+dice.IntN(4000))*time.Millisecond, pause)
				}
				w.After(time.Duration(dice.IntN(4000))*time.Millisecond, pause)
			}
			if dice.IntN(8) == 0 {
				m.ErrorRate = 0.3 + 0.7*dice.Float64()
			}
		}
	}}}
	w := Run(s)
	c := w.Total(5*time.Second, 20*time.Second)
	if got := payoffShare(w, 5*time.Second, 20*time.Second); got < 0.955 || c.Messages > 4*c.Accepted ||
		w.Violations != nil {
		t.Errorf("earned %.3f, %d messages for %d transactions", got, c.Messages, c.Accepted)
		report(t, w)
	}
}

// Half of the backends crash and restart under a fleet of 300 agents, of whom seven in ten die and restart at the same
// moment; a tenth of all responses is lost. No backend that warms up is overloaded, no effect happens twice, and no
// client is left without an answer. That these checks can fail is shown below.
func TestSlowStartAndLostResponses(t *testing.T) {
	s := testScenario(300, 60)
	s.Duration, s.Load = 12*time.Second, 0.9
	s.Events = []ScheduledEvent{{3 * time.Second, func(w *Simulation) {
		for i, m := range w.Fleet {
			m.LossRate = 0.1
			if i%2 == 0 {
				m.Crash()
				w.After(3*time.Second, m.Restart)
			}
		}
	}}, {5900 * time.Millisecond, func(w *Simulation) {
		for i, n := range w.Nodes {
			if i%10 < 7 {
				n.Kill()
				w.After(500*time.Millisecond, n.Start)
			}
		}
	}}}
	if w := Run(s); w.Violations != nil || w.Total(0, s.Duration).Earned == 0 {
		report(t, w)
	}
}

func TestViolationsAreDetected(t *testing.T) {
	w := &Simulation{Scenario: testScenario(1, 1)}
	m := w.newBackend(0, 1, 0)
	for range 3 * 6 { // 9 s of work at once, where 3.6 s may be
		m.recordArrival(500 * time.Millisecond)
	}
	if len(w.Violations) != 1 {
		t.Errorf("an overloaded backend: %v", w.Violations)
	}
	n := &Node{simulation: w, transactions: map[api.TransactionID]*transaction{"x": {}}}
	n.finish("x")
	if n.finish("x"); len(w.Violations) != 2 {
		t.Errorf("a second answer: %v", w.Violations)
	}
}
