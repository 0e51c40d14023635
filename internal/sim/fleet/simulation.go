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
func (w *Simulation) At(at time.Duration, do func()) {
	w.lastEvent++
	heap.Push(&w.events, event{max(at, w.Now), w.lastEvent, do})
}

// After has something done after a time.
func (w *Simulation) After(d time.Duration, do func()) { w.At(w.Now+d, do) }

// Random is the scenario's source of random numbers.
func (w *Simulation) Random() *rand.Rand { return w.random }

// counts are those of the present second; the last ones also count what comes after the scenario's end.
func (w *Simulation) counts() *Counts {
	second := min(int(w.Now/time.Second), len(w.Seconds)-1)
	return &w.Seconds[second]
}

func (w *Simulation) violation(format string, args ...any) {
	w.Violations = append(w.Violations, fmt.Sprintf(format, args...))
}

// backend finds a backend by its id, nil if there is none.
func (w *Simulation) backend(id api.BackendID) *Backend {
	for _, backend := range w.Fleet {
		if backend.ID == id {
			return backend
		}
	}
	return nil
}

// Run runs a scenario to its end and a little on, until all transactions are answered.
func Run(scenario Scenario) *Simulation {
	w := newSimulation(scenario)
	for _, scheduled := range scenario.Events {
		w.At(scheduled.At, func() { scheduled.Apply(w) })
	}
	w.startClients()
	for end := scenario.end(); len(w.events) > 0 && w.events[0].at < end; {
		next := heap.Pop(&w.events).(event)
		w.Now = next.at
		next.run()
	}
	for _, n := range w.Nodes {
		if n.alive && len(n.transactions) > 0 {
			w.violation("agent %d never answered %d transactions", n.number, len(n.transactions))
		}
	}
	return w
}

// newSimulation starts backends and agents. Build 1 is released.
func newSimulation(scenario Scenario) *Simulation {
	w := &Simulation{
		Scenario: scenario,
		random:   rand.New(rand.NewPCG(scenario.Seed, scenario.Seed+1)),
		Seconds:  make([]Counts, int(scenario.Duration/time.Second)+1),
	}
	for i := range scenario.Backends {
		w.Fleet = append(w.Fleet, w.newBackend(i, 1, api.UnknownStart))
	}
	w.Platform.rollout = api.RolloutUpdate{Result: api.VoteCounted, Build: 1, Cap: 1, Phase: api.PhaseReleased}
	for i := range scenario.Agents {
		n := &Node{simulation: w, number: i}
		w.Nodes = append(w.Nodes, n)
		n.Start()
	}
	return w
}

// newPolicy makes the policy of an agent.
func (w *Simulation) newPolicy(number int) *policy.Balancer {
	return policy.New(w.random.Uint64(), w.settings(number))
}

// startClients has clients come at random, at the scenario's load, until its end.
func (w *Simulation) startClients() {
	rate := w.arrivalRate()
	var arrive func()
	arrive = func() {
		w.After(time.Duration(w.random.ExpFloat64()/rate*float64(time.Second)), arrive)
		if w.Now < w.Duration {
			w.newClient(w.pickWorkload(), w.MaxRetries)
		}
	}
	w.At(0, arrive)
}

// pickWorkload draws a workload by its share.
func (w *Simulation) pickWorkload() *Workload {
	x := w.random.Float64()
	for i := range w.Workloads {
		if x -= w.Workloads[i].Share; x < 0 {
			return &w.Workloads[i]
		}
	}
	return &w.Workloads[len(w.Workloads)-1]
}

// newClient is a client that asks any agent that is alive, and returns some times if it is deferred.
func (w *Simulation) newClient(workload *Workload, retries int) {
	w.counts().Accepted++
	w.counts().Offered += workload.Payoff
	var ask func(remaining int)
	ask = func(remaining int) {
		var alive []*Node
		for _, n := range w.Nodes {
			if n.alive {
				alive = append(alive, n)
			}
		}
		if len(alive) == 0 {
			w.counts().Unanswered++
			return
		}
		var retry func(time.Duration)
		if remaining > 0 {
			retry = func(wait time.Duration) { w.After(wait, func() { ask(remaining - 1) }) }
		}
		alive[w.random.IntN(len(alive))].accept(workload, retry)
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
