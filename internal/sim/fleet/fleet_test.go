package fleet

import (
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"sagelever/internal/agent/api"
)

// testScenario returns a fleet like that of a feature-flag service: short look-ups, changes with the highest payoff,
// and steps that must not run twice.
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

// Runs with the same seed are identical; runs with different seeds differ.
func TestDeterministic(t *testing.T) {
	s := testScenario(8, 6)
	s.Duration = 5 * time.Second
	one, two := Run(s), Run(s)
	if !reflect.DeepEqual(one.Seconds, two.Seconds) || one.Total(0, s.Duration).Accepted == 0 {
		t.Error("two runs with the same seed differ or accepted no transactions")
	}
	s.Seed = 2
	if reflect.DeepEqual(one.Seconds, Run(s).Seconds) {
		t.Error("runs with different seeds are identical")
	}
}

// payoffShare returns the earned payoff of a period as a share of the offered one.
func payoffShare(sim *Simulation, from, to time.Duration) float64 {
	c := sim.Total(from, to)
	return c.Earned / c.Offered
}

// report fails the test and logs the counts over time.
func report(t *testing.T, sim *Simulation) {
	t.Helper()
	for s := time.Duration(0); s < sim.Duration; s += 2 * time.Second {
		c := sim.Total(s, s+2*time.Second)
		t.Logf("%4s: earned %.3f accepted %d in goal %d late %d deferred %d failed %d reasons %v attempts %v votes %v", s,
			c.Earned/c.Offered, c.Accepted, c.InGoal, c.Late, c.Deferred, c.Failed, c.Reasons, c.Attempts, c.Votes)
	}
	t.Errorf("rollout changes %v, violations %v", sim.Platform.Moves, sim.Violations)
}

// A fleet of 80 agents without faults earns nearly all of the offered payoff, and so does a fleet in which seven in ten
// agents are killed while backends pause. Every transaction of an agent that is alive is answered exactly once.
func TestFleetPayoff(t *testing.T) {
	calm := testScenario(80, 60)
	if sim := Run(calm); payoffShare(sim, 2*time.Second, 20*time.Second) < 0.98 || sim.Violations != nil {
		report(t, sim)
	}
	killed := testScenario(80, 60)
	killed.Events = []ScheduledEvent{{8 * time.Second, func(sim *Simulation) {
		for i, n := range sim.Nodes {
			if i%10 < 7 {
				n.Kill()
				sim.After(2*time.Second, n.Start)
			}
		}
	}}}
	for at := 6 * time.Second; at < 16*time.Second; at += time.Second {
		killed.Events = append(killed.Events, ScheduledEvent{at, func(sim *Simulation) {
			for _, b := range sim.Fleet {
				if sim.Random().IntN(10) < 2 {
					b.Pause(500 * time.Millisecond)
				}
			}
		}})
	}
	if sim := Run(killed); payoffShare(sim, 2*time.Second, 20*time.Second) < 0.95 || sim.Violations != nil {
		report(t, sim)
	}
}

// 80 agents, each with few observations, release a good build, and roll back one that fails a third of its attempts in
// the first stage.
func TestFleetRollout(t *testing.T) {
	unhealthy := func(sim *Simulation) {
		for _, b := range sim.Fleet {
			if sim.Random().IntN(8) == 0 {
				b.ErrorRate = 0.3 + 0.7*sim.Random().Float64()
				sim.After(12*time.Second, func() { b.ErrorRate = 0 })
			}
		}
	}
	for name, c := range map[string]struct {
		prepare func(*Backend)
		disturb func(*Simulation)
		seed    uint64
		want    api.Phase
	}{
		"good": {func(b *Backend) { b.Slowdown = 0.95 }, func(*Simulation) {}, 1, api.PhaseReleased},
		"bad": {func(b *Backend) { b.ErrorRate = 0.3 }, func(*Simulation) {}, 1,
			api.PhaseRollingBack},
		"good, unhealthy trial backend":      {func(b *Backend) { b.Slowdown = 0.95 }, unhealthy, 2, api.PhaseReleased},
		"good, two unhealthy in first stage": {func(b *Backend) { b.Slowdown = 0.95 }, unhealthy, 3, api.PhaseReleased},
	} {
		s := testScenario(80, 60)
		s.Seed, s.Duration = c.seed, 26*time.Second
		s.Events = []ScheduledEvent{{4 * time.Second, func(sim *Simulation) { sim.OfferBuild(2, c.prepare) }},
			{6 * time.Second, c.disturb}}
		sim := Run(s)
		if last := sim.Platform.Moves[len(sim.Platform.Moves)-1]; last.Phase != c.want || sim.Violations != nil {
			t.Errorf("%s: last rollout change %v", name, last)
			report(t, sim)
		}
	}
}

// Four in ten backends pause repeatedly, and one in eight returns errors. Agents that use a backend only every few
// seconds avoid backends that others have found unhealthy. The number of messages for this does not grow with the
// square of the number of agents.
func TestFleetAvoidsUnhealthyBackends(t *testing.T) {
	s, random := testScenario(80, 60), rand.New(rand.NewPCG(1, 99))
	s.Events = []ScheduledEvent{{3 * time.Second, func(sim *Simulation) {
		for _, b := range sim.Fleet {
			if random.IntN(10) < 4 {
				var pause func()
				pause = func() {
					b.Pause(time.Duration(500+random.IntN(1500)) * time.Millisecond)
					sim.After(time.Duration(2500+random.IntN(4000))*time.Millisecond, pause)
				}
				sim.After(time.Duration(random.IntN(4000))*time.Millisecond, pause)
			}
			if random.IntN(8) == 0 {
				b.ErrorRate = 0.3 + 0.7*random.Float64()
			}
		}
	}}}
	sim := Run(s)
	c := sim.Total(5*time.Second, 20*time.Second)
	if got := payoffShare(sim, 5*time.Second, 20*time.Second); got < 0.955 || c.Messages > 4*c.Accepted ||
		sim.Violations != nil {
		t.Errorf("payoff share %.3f, %d messages for %d transactions", got, c.Messages, c.Accepted)
		report(t, sim)
	}
}

// In a fleet of 300 agents, half of the backends crash and restart, seven in ten agents are killed and restart at about
// the same time, and a tenth of all responses is lost. No backend is overloaded during its slow start, no effect
// happens twice, and every client gets an answer. TestViolationsAreDetected shows that these checks can fail.
func TestSlowStartAndLostResponses(t *testing.T) {
	s := testScenario(300, 60)
	s.Duration, s.Load = 12*time.Second, 0.9
	s.Events = []ScheduledEvent{{3 * time.Second, func(sim *Simulation) {
		for i, b := range sim.Fleet {
			b.LossRate = 0.1
			if i%2 == 0 {
				b.Crash()
				sim.After(3*time.Second, b.Restart)
			}
		}
	}}, {5900 * time.Millisecond, func(sim *Simulation) {
		for i, n := range sim.Nodes {
			if i%10 < 7 {
				n.Kill()
				sim.After(500*time.Millisecond, n.Start)
			}
		}
	}}}
	if sim := Run(s); sim.Violations != nil || sim.Total(0, s.Duration).Earned == 0 {
		report(t, sim)
	}
}

func TestViolationsAreDetected(t *testing.T) {
	sim := &Simulation{Scenario: testScenario(1, 1)}
	b := sim.newBackend(0, 1, 0)
	for range 3 * 6 { // 9 s of work at the same time; the overload rule allows 3.6 s plus overloadSlack
		b.recordArrival(500 * time.Millisecond)
	}
	if len(sim.Violations) != 1 {
		t.Errorf("violations of an overloaded backend: %v", sim.Violations)
	}
	n := &Node{simulation: sim, transactions: map[api.TransactionID]*transaction{"x": {}}}
	n.finish("x")
	if n.finish("x"); len(sim.Violations) != 2 {
		t.Errorf("violations after a second answer: %v", sim.Violations)
	}
}
