// Package fleet simulates a fleet in one process: agents with the real policy, backends, clients, discovery and the
// platform, all driven by one event queue. The clock is simulated and random numbers come from the scenario's seed, so
// that the same scenario always gives the same figures. The simulation finds faults that arise only from the
// interaction of many agents. It does not cover sockets.
package fleet

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"sagelever/internal/agent/api"
	"sagelever/internal/agent/policy"
)

// ScheduledEvent changes the simulation at a given time of a scenario.
type ScheduledEvent struct {
	At    time.Duration
	Apply func(*Simulation)
}

// Simulation is the state of a run of a scenario and, after the run, its results.
type Simulation struct {
	Scenario
	Now        time.Duration
	Seconds    []Counts // counts of each second
	Fleet      []*Backend
	Nodes      []*Node
	Platform   Platform
	Violations []string // violated rules, in the order of detection
	LogLines   []string // log lines of all policies

	random          *rand.Rand
	events          eventQueue
	lastEvent       int
	lastTransaction int
	version         int64 // latest version of discovery's list
}

// At schedules a call of do at the given time, or now if that has passed.
func (s *Simulation) At(at time.Duration, do func()) {
	s.lastEvent++
	heap.Push(&s.events, event{max(at, s.Now), s.lastEvent, do})
}

// After schedules a call of do after a delay.
func (s *Simulation) After(d time.Duration, do func()) { s.At(s.Now+d, do) }

// Random returns the source of random numbers of the scenario.
func (s *Simulation) Random() *rand.Rand { return s.random }

// counts returns the counts of the current second. Events after the end of the scenario are added to the last counts.
func (s *Simulation) counts() *Counts {
	second := min(int(s.Now/time.Second), len(s.Seconds)-1)
	return &s.Seconds[second]
}

func (s *Simulation) violation(format string, args ...any) {
	s.Violations = append(s.Violations, fmt.Sprintf(format, args...))
}

// backend returns the backend with the given ID, or nil if there is none.
func (s *Simulation) backend(id api.BackendID) *Backend {
	for _, backend := range s.Fleet {
		if backend.ID == id {
			return backend
		}
	}
	return nil
}

// Run runs a scenario to its end, and beyond it until all transactions are answered.
func Run(scenario Scenario) *Simulation {
	s := newSimulation(scenario)
	for _, scheduled := range scenario.Events {
		s.At(scheduled.At, func() { scheduled.Apply(s) })
	}
	s.startClients()
	for end := scenario.end(); len(s.events) > 0 && s.events[0].at < end; {
		next := heap.Pop(&s.events).(event)
		s.Now = next.at
		next.run()
	}
	for _, n := range s.Nodes {
		if n.alive && len(n.transactions) > 0 {
			s.violation("agent %d never answered %d transactions", n.number, len(n.transactions))
		}
	}
	return s
}

// initialBuild is the build that is released at the start.
const initialBuild = 1

// newSimulation starts the backends, all with the initial build, and the agents.
func newSimulation(scenario Scenario) *Simulation {
	s := &Simulation{
		Scenario: scenario,
		random:   rand.New(rand.NewPCG(scenario.Seed, scenario.Seed+1)),
		Seconds:  make([]Counts, int(scenario.Duration/time.Second)+1),
	}
	for i := range scenario.Backends {
		s.Fleet = append(s.Fleet, s.newBackend(i, initialBuild, api.UnknownStart))
	}
	s.Platform.rollout = api.RolloutUpdate{
		Result: api.VoteCounted,
		Build:  initialBuild,
		Cap:    1,
		Phase:  api.PhaseReleased,
	}
	for i := range scenario.Agents {
		n := &Node{simulation: s, number: i}
		s.Nodes = append(s.Nodes, n)
		n.Start()
	}
	return s
}

// newPolicy returns a new policy for an agent.
func (s *Simulation) newPolicy(number int) *policy.Balancer {
	return policy.New(s.random.Uint64(), s.settings(number))
}

// startClients makes clients arrive at random times, at the rate of the scenario's load, until its end.
func (s *Simulation) startClients() {
	rate := s.arrivalRate()
	var arrive func()
	arrive = func() {
		s.After(time.Duration(s.random.ExpFloat64()/rate*float64(time.Second)), arrive)
		if s.Now < s.Duration {
			s.newClient(s.pickWorkload(), s.MaxRetries)
		}
	}
	s.At(0, arrive)
}

// pickWorkload selects a random workload, weighted by its share.
func (s *Simulation) pickWorkload() *Workload {
	x := s.random.Float64()
	for i := range s.Workloads {
		if x -= s.Workloads[i].Share; x < 0 {
			return &s.Workloads[i]
		}
	}
	return &s.Workloads[len(s.Workloads)-1]
}

// newClient simulates a client that sends a transaction to a random agent that is alive, and retries up to the given
// number of times if it is deferred.
func (s *Simulation) newClient(workload *Workload, retries int) {
	s.counts().Accepted++
	s.counts().Offered += workload.Payoff
	var ask func(remaining int)
	ask = func(remaining int) {
		var alive []*Node
		for _, n := range s.Nodes {
			if n.alive {
				alive = append(alive, n)
			}
		}
		if len(alive) == 0 {
			s.counts().Unanswered++
			return
		}
		var retry func(time.Duration)
		if remaining > 0 {
			retry = func(wait time.Duration) { s.After(wait, func() { ask(remaining - 1) }) }
		}
		alive[s.random.IntN(len(alive))].accept(workload, retry)
	}
	ask(retries)
}

// event is a call that is scheduled for a given time.
type event struct {
	at       time.Duration
	sequence int // events for the same time run in the order in which they were scheduled
	run      func()
}

// eventQueue implements heap.Interface. The next event comes first.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	x := (*q)[last]
	*q = (*q)[:last]
	return x
}
