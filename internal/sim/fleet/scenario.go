package fleet

import (
	"maps"
	"time"

	"sagelever/internal/agent/api"
)

// Workload is a kind of transactions that clients ask for.
type Workload struct {
	Name    api.Workload
	Share   float64       // of all transactions
	Work    time.Duration // mean, on one core
	Goal    time.Duration
	Abandon time.Duration // when clients give up
	Payoff  float64
	Effect  string
}

// Scenario is what is simulated. Times count from its start.
type Scenario struct {
	Seed         uint64
	Agents       int
	Backends     int
	Cores        int     // of each backend
	QueueLength  int     // of each backend
	Load         float64 // work asked for, as a share of what all backends can do
	Duration     time.Duration
	NetworkDelay time.Duration // one way
	Workloads    []Workload
	Settings     map[string]any // of the policies, beside those that follow from the rest
	Events       []ScheduledEvent
	MaxRetries   int // how often a client that is deferred returns, after the time it was told
}

// arrivalRate is how many transactions come a second.
func (s Scenario) arrivalRate() float64 {
	var work float64 // of the mean transaction, in core seconds
	for _, workload := range s.Workloads {
		work += workload.Share * workload.Work.Seconds()
	}
	return s.Load * float64(s.Backends*s.Cores) / work
}

// end is when all transactions are answered, those of clients that return included.
func (s Scenario) end() time.Duration {
	const longestWait = time.Second // after a deferral
	longest := time.Duration(0)
	for _, workload := range s.Workloads {
		longest = max(longest, workload.Abandon+longestWait)
	}
	return s.Duration + time.Duration(s.MaxRetries+1)*longest
}

// settings are the settings of an agent's policy.
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

// Counts are what happened in one second, over the fleet.
type Counts struct {
	Accepted   int
	InGoal     int // succeeded within the goal
	Late       int // succeeded after the goal
	Deferred   int
	Failed     int
	Unanswered int     // no agent was alive
	Offered    float64 // payoff of accepted transactions
	Earned     float64 // payoff of those within the goal
	Reasons    [api.ReasonCount]int
	Attempts   [api.InvalidRequest + 1]int // by outcome
	Votes      [api.VerdictRollBack + 1]int
	Messages   int // between agents
}

// add adds other counts.
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

// Total adds the counts of a stretch of time up.
func (s *Simulation) Total(from, to time.Duration) (sum Counts) {
	end := min(int(to/time.Second), len(s.Seconds))
	for i := int(from / time.Second); i < end; i++ {
		sum.add(s.Seconds[i])
	}
	return sum
}
