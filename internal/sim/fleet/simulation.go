// Package fleet simulates a whole fleet in one process: agents with the real policy, backends, clients, discovery and
// the platform, on one queue of events. The clock and the seed are parameters, so that the same scenario gives the same
// figures every time. It is a model: it shows what agents do together that are harmless alone, and nothing about
// sockets.
package fleet

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"sagelever/internal/agent/api"
	"sagelever/internal/agent/policy"
)

// ScheduledEvent is something that happens at a moment of a scenario.
type ScheduledEvent struct {
	At    time.Duration
	Apply func(*Simulation)
}

// Simulation is a scenario that is being run, or was.
type Simulation struct {
	Scenario
	Now        time.Duration
	Seconds    []Counts // what happened in each second
	Fleet      []*Backend
	Nodes      []*Node
	Platform   Platform
	Violations []string // of the rules, as they were found
	LogLines   []string // of all policies

	random          *rand.Rand
	events          eventQueue
	lastEvent       int
	lastTransaction int
	version         int64 // of discovery's list
}

// At has something done at a moment, or now if that has passed.
func (s *Simulation) At(at time.Duration, do func()) {
	s.lastEvent++
	heap.Push(&s.events, event{max(at, s.Now), s.lastEvent, do})
}

// After has something done after a time.
func (s *Simulation) After(d time.Duration, do func()) { s.At(s.Now+d, do) }

// Random is the scenario's source of random numbers.
func (s *Simulation) Random() *rand.Rand { return s.random }

// counts are those of the present second; the last ones also count what comes after the scenario's end.
func (s *Simulation) counts() *Counts {
	second := min(int(s.Now/time.Second), len(s.Seconds)-1)
	return &s.Seconds[second]
}

func (s *Simulation) violation(format string, args ...any) {
	s.Violations = append(s.Violations, fmt.Sprintf(format, args...))
}

// backend finds a backend by its id, nil if there is none.
func (s *Simulation) backend(id api.BackendID) *Backend {
	for _, backend := range s.Fleet {
		if backend.ID == id {
			return backend
		}
	}
	return nil
}

// Run runs a scenario to its end and a little on, until all transactions are answered.
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

// newSimulation starts backends and agents. Build 1 is released.
func newSimulation(scenario Scenario) *Simulation {
	s := &Simulation{
		Scenario: scenario,
		random:   rand.New(rand.NewPCG(scenario.Seed, scenario.Seed+1)),
		Seconds:  make([]Counts, int(scenario.Duration/time.Second)+1),
	}
	for i := range scenario.Backends {
		s.Fleet = append(s.Fleet, s.newBackend(i, 1, api.UnknownStart))
	}
	s.Platform.rollout = api.RolloutUpdate{Result: api.VoteCounted, Build: 1, Cap: 1, Phase: api.PhaseReleased}
	for i := range scenario.Agents {
		n := &Node{simulation: s, number: i}
		s.Nodes = append(s.Nodes, n)
		n.Start()
	}
	return s
}

// newPolicy makes the policy of an agent.
func (s *Simulation) newPolicy(number int) *policy.Balancer {
	return policy.New(s.random.Uint64(), s.settings(number))
}

// startClients has clients come at random, at the scenario's load, until its end.
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

// pickWorkload draws a workload by its share.
func (s *Simulation) pickWorkload() *Workload {
	x := s.random.Float64()
	for i := range s.Workloads {
		if x -= s.Workloads[i].Share; x < 0 {
			return &s.Workloads[i]
		}
	}
	return &s.Workloads[len(s.Workloads)-1]
}

// newClient is a client that asks any agent that is alive, and returns some times if it is deferred.
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

// event is something that happens at a moment.
type event struct {
	at       time.Duration
	sequence int // events of one moment happen in the order in which they were set
	run      func()
}

// eventQueue is a heap for container/heap with the next event first.
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
