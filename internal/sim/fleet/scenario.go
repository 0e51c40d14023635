package fleet

import (
	"maps"
	"time"

	"sagelever/internal/agent/api"
)

// Workload is a class of transactions that clients send.
type Workload struct {
	Name    api.Workload
	Share   float64       // share of all transactions
	Work    time.Duration // mean work of an attempt, on one core
	Goal    time.Duration // a success within this time earns the payoff
	Abandon time.Duration // time after which clients give up
	Payoff  float64
	Effect  string // value of the effect setting
}

// Scenario describes a simulation. Times count from its start.
type Scenario struct {
	Seed         uint64
	Agents       int
	Backends     int
	Cores        int     // of each backend
	QueueLength  int     // of each backend
	Load         float64 // requested work as a share of the capacity of all backends
	Duration     time.Duration
	NetworkDelay time.Duration // one way
	Workloads    []Workload
	Settings     map[string]any // of the policies; they override those derived from the scenario
	Events       []ScheduledEvent
	MaxRetries   int // maximum number of retries of a deferred client, each after the delay that it was given
}

// arrivalRate returns the number of transactions per second.
func (s Scenario) arrivalRate() float64 {
	var work float64 // mean work of a transaction, in core seconds
	for _, workload := range s.Workloads {
		work += workload.Share * workload.Work.Seconds()
	}
	return s.Load * float64(s.Backends*s.Cores) / work
}

// end returns the time by which all transactions are answered, including those of clients that retry.
func (s Scenario) end() time.Duration {
	const longestWait = time.Second // before a retry after a deferral
	longest := time.Duration(0)
	for _, workload := range s.Workloads {
		longest = max(longest, workload.Abandon+longestWait)
	}
	return s.Duration + time.Duration(s.MaxRetries+1)*longest
}

// settings returns the settings of an agent's policy.
func (s Scenario) settings(number int) map[string]any {
	values := map[string]any{
		"tick":            time.Millisecond,
		"agents":          float64(s.Agents),
		"number":          float64(number),
		"payoff.by":       "request",
		"sends.most":      5.0,
		"may.calloff":     true,
		"may.copy":        true,
		"may.advise":      true,
		"may.tell":        true,
		"return.most":     500 * time.Millisecond,
		"answer.slack":    20 * time.Millisecond,
		"drain.grace":     500 * time.Millisecond,
		"cold.time":       slowStartTime,
		"cold.from":       slowStartFrom,
		"fall.multiple":   overloadFactor,
		"fall.time":       overloadWindow,
		"trial.allowance": 3.0,
		"trial.window":    6 * time.Second,
		"trial.control":   "single",
		"trial.counts":    "all",
		"trial.caps":      stageCaps,
		"vote.life":       4 * time.Second,
		"vote.wait":       1200 * time.Millisecond,
		"load.fields":     []string{"queue"},
		"discovery":       "pushed",
	}
	for _, workload := range s.Workloads {
		prefix := "workload." + string(workload.Name) + "."
		values[prefix+"goal"] = workload.Goal
		values[prefix+"abandon"] = workload.Abandon
		values[prefix+"payoff"] = workload.Payoff
		values[prefix+"effect"] = workload.Effect
		values[prefix+"group"] = "all"
		values[prefix+"memory"] = 2 * time.Second
	}
	maps.Copy(values, s.Settings)
	return values
}

// Counts counts what happened in one second, over the whole fleet.
type Counts struct {
	Accepted   int
	InGoal     int // succeeded within the goal
	Late       int // succeeded after the goal
	Deferred   int
	Failed     int
	Unanswered int     // requests while no agent was alive
	Offered    float64 // payoff of accepted transactions
	Earned     float64 // payoff of transactions that succeeded within the goal
	Reasons    [api.ReasonCount]int
	Attempts   [api.InvalidRequest + 1]int // by outcome
	Votes      [api.VerdictRollBack + 1]int
	Messages   int // messages between agents
}

// add adds the values of other to c.
func (c *Counts) add(other Counts) {
	c.Accepted += other.Accepted
	c.InGoal += other.InGoal
	c.Late += other.Late
	c.Deferred += other.Deferred
	c.Failed += other.Failed
	c.Unanswered += other.Unanswered
	c.Offered += other.Offered
	c.Earned += other.Earned
	c.Messages += other.Messages
	for i, n := range other.Reasons {
		c.Reasons[i] += n
	}
	for i, n := range other.Attempts {
		c.Attempts[i] += n
	}
	for i, n := range other.Votes {
		c.Votes[i] += n
	}
}

// Total returns the sum of the counts of all seconds in [from, to).
func (s *Simulation) Total(from, to time.Duration) (sum Counts) {
	end := min(int(to/time.Second), len(s.Seconds))
	for i := int(from / time.Second); i < end; i++ {
		sum.add(s.Seconds[i])
	}
	return sum
}
