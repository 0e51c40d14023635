package httpagent

import (
	"context"
	"sync/atomic"
	"time"

	"sagelever/internal/agent/api"
	"sagelever/internal/agent/transaction"
)

// outcomeCounters counts how transactions and attempts ended, for a line in the log every countersLogInterval. Added up
// over a fleet, these lines tell what no agent shows alone; tools/account does it.
type outcomeCounters struct {
	results  [transaction.ClientGone + 1]atomic.Int64
	reasons  [api.ReasonCount]atomic.Int64 // of transactions that were deferred or failed
	attempts [api.InvalidRequest + 1]atomic.Int64
}

// countersLogInterval is rare enough that the log costs little, and often enough for the time line of an incident.
const countersLogInterval = 5 * time.Second

// attemptNames are the names of outcomes in the log, which docs/oncall.md describes.
var attemptNames = [api.InvalidRequest + 1]string{
	"ok", "fault", "rejected", "timed_out", "unreachable", "cut", "called_off", "not_sent", "spoilt", "unfit",
}

func (c *outcomeCounters) countResult(result transaction.Result) {
	c.results[result.State].Add(1)
	if result.State == transaction.Deferred || result.State == transaction.Failed {
		c.reasons[result.Reason].Add(1)
	}
}

func (c *outcomeCounters) countAttempt(outcome api.Outcome) { c.attempts[outcome].Add(1) }

// takeFields returns what has been counted since the last call as fields of a line in the log, without those that are
// 0.
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

// logCounters logs what was counted, where anything was, until the context ends.
func (a *Agent) logCounters(ctx context.Context) {
	for sleep(ctx, countersLogInterval) {
		if fields := a.counters.takeFields(a.backends); fields != nil {
			a.log.Info("account", append(fields, "open_links", a.backends.openConns.Load())...)
		}
	}
}
