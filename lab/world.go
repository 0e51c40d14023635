// Package lab steps a whole fleet in one process: agents with the real decision module, appliances, clients, discovery and
// the platform, on one heap of moments. The clock and the seed are handed in, so that the same scenario gives the same
// figures every time. It is a model: it shows what agents that are harmless alone do together, and nothing about sockets.
package lab

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"sagelever/agent"
	"sagelever/decide"
)

// Workload is what clients ask for.
type Workload struct {
	Name          agent.Workload
	Share         float64 // of all transactions
	Work          time.Duration
	Goal, Abandon time.Duration
	Payoff        float64
	Effect        string
}

// Scenario is one day. Times count from its start.
type Scenario struct {
	Seed       uint64
	Agents     int
	Appliances int
	Cores      int     // of each appliance
	Queue      int     // places to wait at each appliance
	Load       float64 // work asked for, as a share of what all appliances can do
	Span       time.Duration
	Network    time.Duration // one way
	Workloads  []Workload
	Terms      map[string]any // beside those that follow from the rest
	Troubles   []Trouble
	Patience   int // how often a client that is deferred comes again, after the time it was told
}

// Trouble is something that happens at a moment.
type Trouble struct {
	At time.Duration
	Do func(*World)
}

// Count is what happened in one second, over the fleet.
type Count struct {
	Taken, InGoal, Late, Deferred, BrokenOff, Unanswered int
	Asked, Earned                                        float64 // payoff
	Whys                                                 [agent.Whys]int
	Sends                                                [agent.Unfit + 1]int
	Votes                                                [agent.Back + 1]int
	Told                                                 int // messages between agents
}

// World is a scenario being played.
type World struct {
	Scenario
	Now      time.Duration
	Seconds  []Count
	Machines []*Machine
	Nodes    []*Node
	Platform Platform
	Broken   []string // rules broken, as found
	Lines    []string // the modules' log

	dice    *rand.Rand
	moments moments
	number  int
	asked   int
	version int64
}

type moment struct {
	at     time.Duration
	number int // those of one moment in the order in which they were set
	do     func()
}

type moments []moment

func (m moments) Len() int { return len(m) }
func (m moments) Less(i, j int) bool {
	return m[i].at < m[j].at || m[i].at == m[j].at && m[i].number < m[j].number
}
func (m moments) Swap(i, j int) { m[i], m[j] = m[j], m[i] }
func (m *moments) Push(x any)   { *m = append(*m, x.(moment)) }
func (m *moments) Pop() any {
	last := len(*m) - 1
	x := (*m)[last]
	*m = (*m)[:last]
	return x
}

// At has something done at a moment, now if that has passed.
func (w *World) At(at time.Duration, do func()) {
	w.number++
	heap.Push(&w.moments, moment{max(at, w.Now), w.number, do})
}

// After has something done after a time.
func (w *World) After(d time.Duration, do func()) { w.At(w.Now+d, do) }

// Dice is the scenario's chance.
func (w *World) Dice() *rand.Rand { return w.dice }

func (w *World) second() *Count {
	i := min(int(w.Now/time.Second), len(w.Seconds)-1)
	return &w.Seconds[i]
}

// Play plays a scenario to its end and a little on, until all is answered.
func Play(s Scenario) *World {
	w := &World{Scenario: s, dice: rand.New(rand.NewPCG(s.Seed, s.Seed+1)), Seconds: make([]Count, int(s.Span/time.Second)+1)}
	for i := range s.Appliances {
		w.Machines = append(w.Machines, w.machine(i, 1, agent.LongAgo))
	}
	w.Platform.news = agent.TrialNews{Answer: agent.Counted, Build: 1, Stage: 0, Cap: 1, Phase: agent.Released}
	for i := range s.Agents {
		n := &Node{world: w, number: i}
		w.Nodes = append(w.Nodes, n)
		n.Start()
	}
	for _, t := range s.Troubles {
		w.At(t.At, func() { t.Do(w) })
	}
	var work float64 // of the mean transaction, in core seconds
	for _, x := range s.Workloads {
		work += x.Share * x.Work.Seconds()
	}
	rate := s.Load * float64(s.Appliances*s.Cores) / work
	var come func()
	come = func() {
		w.After(time.Duration(w.dice.ExpFloat64()/rate*float64(time.Second)), come)
		if w.Now < s.Span {
			w.client(w.pick(), s.Patience)
		}
	}
	w.At(0, come)
	longest := time.Duration(0) // that a transaction and the wait after its deferral take
	for _, x := range s.Workloads {
		longest = max(longest, x.Abandon+time.Second)
	}
	for end := s.Span + time.Duration(s.Patience+1)*longest; len(w.moments) > 0 && w.moments[0].at < end; {
		next := heap.Pop(&w.moments).(moment)
		w.Now = next.at
		next.do()
	}
	for _, n := range w.Nodes {
		if n.alive && len(n.open) > 0 {
			w.Broken = append(w.Broken, fmt.Sprintf("agent %d never answered %d transactions", n.number, len(n.open)))
		}
	}
	return w
}

// pick draws a workload by its share.
func (w *World) pick() *Workload {
	x := w.dice.Float64()
	for i := range w.Workloads {
		if x -= w.Workloads[i].Share; x < 0 {
			return &w.Workloads[i]
		}
	}
	return &w.Workloads[len(w.Workloads)-1]
}

// Total adds the seconds of a stretch up.
func (w *World) Total(from, to time.Duration) (sum Count) {
	for i := int(from / time.Second); i < min(int(to/time.Second), len(w.Seconds)); i++ {
		c := w.Seconds[i]
		sum.Taken, sum.InGoal, sum.Late = sum.Taken+c.Taken, sum.InGoal+c.InGoal, sum.Late+c.Late
		sum.Deferred, sum.BrokenOff = sum.Deferred+c.Deferred, sum.BrokenOff+c.BrokenOff
		sum.Unanswered, sum.Told = sum.Unanswered+c.Unanswered, sum.Told+c.Told
		sum.Asked, sum.Earned = sum.Asked+c.Asked, sum.Earned+c.Earned
		for i, n := range c.Whys {
			sum.Whys[i] += n
		}
		for i, n := range c.Sends {
			sum.Sends[i] += n
		}
		for i, n := range c.Votes {
			sum.Votes[i] += n
		}
	}
	return sum
}

// terms are those of every agent, but for its number.
func (w *World) terms(number int) map[string]any {
	terms := map[string]any{"tick": time.Millisecond, "agents": float64(w.Agents), "number": float64(number),
		"payoff.by": "request", "sends.most": 5.0, "may.calloff": true, "may.copy": true, "may.advise": true, "may.tell": true,
		"return.most": 500 * time.Millisecond, "answer.slack": 20 * time.Millisecond, "drain.grace": 500 * time.Millisecond,
		"cold.time": coldTime, "cold.from": coldFrom, "fall.multiple": fallTimes, "fall.time": fallTime,
		"trial.allowance": 3.0, "trial.window": 6 * time.Second, "trial.control": "single", "trial.counts": "all",
		"trial.caps": []float64{0.12, 0.42, 1}, "vote.life": 4 * time.Second, "vote.wait": 1200 * time.Millisecond,
		"load.fields": []string{"queue"}, "discovery": "pushed"}
	for _, x := range w.Workloads {
		p := "workload." + string(x.Name) + "."
		terms[p+"goal"], terms[p+"abandon"], terms[p+"payoff"], terms[p+"effect"] = x.Goal, x.Abandon, x.Payoff, x.Effect
		terms[p+"group"], terms[p+"memory"] = "all", 2*time.Second
	}
	for name, v := range w.Terms {
		terms[name] = v
	}
	return terms
}

// decider is the module, as an agent has it.
func (w *World) decider(number int) *decide.Balancer {
	return decide.New(w.dice.Uint64(), w.terms(number))
}
