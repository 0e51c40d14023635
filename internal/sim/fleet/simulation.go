// Package lab steps a whole fleet in one process: agents with the real decision module, appliances, clients, discovery and
// the platform, on one heap of moments. The clock and the seed are handed in, so that the same scenario gives the same
// figures every time. It is a model: it shows what agents that are harmless alone do together, and nothing about sockets.
package fleet

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"sagelever/internal/agent/api"
	"sagelever/internal/agent/policy"
)

// Workload is what clients ask for.
type Workload struct {
	Name          api.Workload
	Share         float64 // of all transactions
	Work          time.Duration
	Goal, Abandon time.Duration
	Payoff        float64
	Effect        string
}

// Scenario is one day. Times count from its start.
type Scenario struct {
	Seed         uint64
	Agents       int
	Backends     int
	Cores        int     // of each appliance
	QueueLength  int     // places to wait at each appliance
	Load         float64 // work asked for, as a share of what all appliances can do
	Duration     time.Duration
	NetworkDelay time.Duration // one way
	Workloads    []Workload
	Settings     map[string]any // beside those that follow from the rest
	Events       []ScheduledEvent
	MaxRetries   int // how often a client that is deferred comes again, after the time it was told
}

// ScheduledEvent is something that happens at a moment.
type ScheduledEvent struct {
	At    time.Duration
	Apply func(*Simulation)
}

// Counts is what happened in one second, over the fleet.
type Counts struct {
	Accepted, InGoal, Late, Deferred, Failed, Unanswered int
	Offered, Earned                                      float64 // payoff
	Reasons                                              [api.ReasonCount]int
	Attempts                                             [api.InvalidRequest + 1]int
	Votes                                                [api.VerdictRollBack + 1]int
	Messages                                             int // messages between agents
}

// Simulation is a scenario being played.
type Simulation struct {
	Scenario
	Now        time.Duration
	Seconds    []Counts
	Fleet      []*Backend
	Nodes      []*Node
	Platform   Platform
	Violations []string // rules broken, as found
	LogLines   []string // the modules' log

	random          *rand.Rand
	events          eventQueue
	lastEvent       int
	lastTransaction int
	version         int64
}

type event struct {
	at       time.Duration
	sequence int // those of one moment in the order in which they were set
	run      func()
}

type eventQueue []event

func (m eventQueue) Len() int { return len(m) }
func (m eventQueue) Less(i, j int) bool {
	return m[i].at < m[j].at || m[i].at == m[j].at && m[i].sequence < m[j].sequence
}
func (m eventQueue) Swap(i, j int) { m[i], m[j] = m[j], m[i] }
func (m *eventQueue) Push(x any)   { *m = append(*m, x.(event)) }
func (m *eventQueue) Pop() any {
	last := len(*m) - 1
	x := (*m)[last]
	*m = (*m)[:last]
	return x
}

// At has something done at a moment, now if that has passed.
func (w *Simulation) At(at time.Duration, do func()) {
	w.lastEvent++
	heap.Push(&w.events, event{max(at, w.Now), w.lastEvent, do})
}

// After has something done after a time.
func (w *Simulation) After(d time.Duration, do func()) { w.At(w.Now+d, do) }

// Random is the scenario's chance.
func (w *Simulation) Random() *rand.Rand { return w.random }

func (w *Simulation) counts() *Counts {
	i := min(int(w.Now/time.Second), len(w.Seconds)-1)
	return &w.Seconds[i]
}

// Run plays a scenario to its end and a little on, until all is answered.
func Run(scenario Scenario) *Simulation {
	simulation := &Simulation{Scenario: scenario, random: rand.New(rand.NewPCG(scenario.Seed, scenario.Seed+1)), Seconds: make([]Counts, int(scenario.Duration/time.Second)+1)}
	for i := range scenario.Backends {
		simulation.Fleet = append(simulation.Fleet, simulation.newBackend(i, 1, api.UnknownStart))
	}
	simulation.Platform.rollout = api.RolloutUpdate{Result: api.VoteCounted, Build: 1, Stage: 0, Cap: 1, Phase: api.PhaseReleased}
	for i := range scenario.Agents {
		n := &Node{simulation: simulation, number: i}
		simulation.Nodes = append(simulation.Nodes, n)
		n.Start()
	}
	for _, scheduled := range scenario.Events {
		simulation.At(scheduled.At, func() { scheduled.Apply(simulation) })
	}
	var work float64 // of the mean transaction, in core seconds
	for _, workload := range scenario.Workloads {
		work += workload.Share * workload.Work.Seconds()
	}
	rate := scenario.Load * float64(scenario.Backends*scenario.Cores) / work
	var arrive func()
	arrive = func() {
		simulation.After(time.Duration(simulation.random.ExpFloat64()/rate*float64(time.Second)), arrive)
		if simulation.Now < scenario.Duration {
			simulation.newClient(simulation.pick(), scenario.MaxRetries)
		}
	}
	simulation.At(0, arrive)
	longest := time.Duration(0) // that a transaction and the wait after its deferral take
	for _, workload := range scenario.Workloads {
		longest = max(longest, workload.Abandon+time.Second)
	}
	for end := scenario.Duration + time.Duration(scenario.MaxRetries+1)*longest; len(simulation.events) > 0 && simulation.events[0].at < end; {
		next := heap.Pop(&simulation.events).(event)
		simulation.Now = next.at
		next.run()
	}
	for _, n := range simulation.Nodes {
		if n.alive && len(n.transactions) > 0 {
			simulation.Violations = append(simulation.Violations, fmt.Sprintf("agent %d never answered %d transactions", n.number, len(n.transactions)))
		}
	}
	return simulation
}

// pick draws a workload by its share.
func (w *Simulation) pick() *Workload {
	x := w.random.Float64()
	for i := range w.Workloads {
		if x -= w.Workloads[i].Share; x < 0 {
			return &w.Workloads[i]
		}
	}
	return &w.Workloads[len(w.Workloads)-1]
}

// Total adds the seconds of a stretch up.
func (w *Simulation) Total(from, to time.Duration) (sum Counts) {
	for i := int(from / time.Second); i < min(int(to/time.Second), len(w.Seconds)); i++ {
		second := w.Seconds[i]
		sum.Accepted, sum.InGoal, sum.Late = sum.Accepted+second.Accepted, sum.InGoal+second.InGoal, sum.Late+second.Late
		sum.Deferred, sum.Failed = sum.Deferred+second.Deferred, sum.Failed+second.Failed
		sum.Unanswered, sum.Messages = sum.Unanswered+second.Unanswered, sum.Messages+second.Messages
		sum.Offered, sum.Earned = sum.Offered+second.Offered, sum.Earned+second.Earned
		for i, n := range second.Reasons {
			sum.Reasons[i] += n
		}
		for i, n := range second.Attempts {
			sum.Attempts[i] += n
		}
		for i, n := range second.Votes {
			sum.Votes[i] += n
		}
	}
	return sum
}

// settings are those of every agent, but for its number.
func (w *Simulation) settings(number int) map[string]any {
	values := map[string]any{"tick": time.Millisecond, "agents": float64(w.Agents), "number": float64(number),
		"payoff.by": "request", "sends.most": 5.0, "may.calloff": true, "may.copy": true, "may.advise": true, "may.tell": true,
		"return.most": 500 * time.Millisecond, "answer.slack": 20 * time.Millisecond, "drain.grace": 500 * time.Millisecond,
		"cold.time": slowStartTime, "cold.from": slowStartFrom, "fall.multiple": overloadFactor, "fall.time": overloadWindow,
		"trial.allowance": 3.0, "trial.window": 6 * time.Second, "trial.control": "single", "trial.counts": "all",
		"trial.caps": []float64{0.12, 0.42, 1}, "vote.life": 4 * time.Second, "vote.wait": 1200 * time.Millisecond,
		"load.fields": []string{"queue"}, "discovery": "pushed"}
	for _, workload := range w.Workloads {
		prefix := "workload." + string(workload.Name) + "."
		values[prefix+"goal"], values[prefix+"abandon"], values[prefix+"payoff"], values[prefix+"effect"] = workload.Goal, workload.Abandon, workload.Payoff, workload.Effect
		values[prefix+"group"], values[prefix+"memory"] = "all", 2*time.Second
	}
	for name, v := range w.Settings {
		values[name] = v
	}
	return values
}

// newPolicy is the module, as an agent has it.
func (w *Simulation) newPolicy(number int) *policy.Balancer {
	return policy.New(w.random.Uint64(), w.settings(number))
}
