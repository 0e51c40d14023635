package httpagent

import (
	"context"
	"sync/atomic"
	"time"

	"sagelever/internal/agent/api"
	"sagelever/internal/agent/transaction"
)

// outcomeCounters counts how transactions and sends ended, for a line in the log from time to time: over a fleet these lines,
// added up, tell what each agent alone does not show.
type outcomeCounters struct {
	results  [transaction.ClientGone + 1]atomic.Int64
	reasons  [api.ReasonCount]atomic.Int64
	attempts [api.InvalidRequest + 1]atomic.Int64
}

func (c *outcomeCounters) countResult(result transaction.Result) {
	c.results[result.State].Add(1)
	if result.State == transaction.Deferred || result.State == transaction.Failed {
		c.reasons[result.Reason].Add(1)
	}
}

func (c *outcomeCounters) countAttempt(o api.Outcome) { c.attempts[o].Add(1) }

var attemptNames = [api.InvalidRequest + 1]string{"ok", "fault", "rejected", "timed_out", "unreachable", "cut", "called_off", "not_sent",
	"spoilt", "unfit"}

// takeFields gives what has been counted since the last call, without what is 0.
func (c *outcomeCounters) takeFields(backends *backendClients) (fields []any) {
	put := func(name string, counter *atomic.Int64) {
		if n := counter.Swap(0); n > 0 {
			fields = append(fields, name, n)
		}
	}
	for i := range c.results {
		put(transaction.State(i).String(), &c.results[i])
	}
	for i := range c.reasons {
		put("for_"+api.Reason(i).String(), &c.reasons[i])
	}
	for i := range c.attempts {
		put("sends_"+attemptNames[i], &c.attempts[i])
	}
	put("dials", &backends.dials)
	put("dials_failed", &backends.failedDials)
	return fields
}

// countersLogInterval is seldom against what the log costs, and often against an incident.
const countersLogInterval = 5 * time.Second

// logCounters leaves a line on what was counted, where anything was.
func (a *Agent) logCounters(ctx context.Context) {
	for sleep(ctx, countersLogInterval) {
		if line := a.counters.takeFields(a.backends); line != nil {
			a.log.Info("account", append(line, "open_links", a.backends.openConns.Load())...)
		}
	}
}
