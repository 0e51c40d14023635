package httpagent

import (
	"context"
	"sync/atomic"
	"time"

	"sagelever/internal/agent/api"
	"sagelever/internal/agent/transaction"
)

// outcomeCounters counts the outcomes of transactions and attempts for the log line written every countersLogInterval.
// tools/account adds these lines up over a fleet.
type outcomeCounters struct {
	results  [transaction.ClientGone + 1]atomic.Int64
	reasons  [api.ReasonCount]atomic.Int64 // why transactions were deferred or failed
	attempts [api.InvalidRequest + 1]atomic.Int64
}

// countersLogInterval keeps the cost of logging low while being short enough to reconstruct the timeline of an
// incident.
const countersLogInterval = 5 * time.Second

// attemptNames maps api.Outcome to its name in the log; docs/oncall.md documents the names.
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

// takeFields returns the counts since the previous call as log fields and resets them. Zero counts are omitted.
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

// logCounters periodically logs the counters that changed, until ctx is canceled.
func (a *Agent) logCounters(ctx context.Context) {
	for sleep(ctx, countersLogInterval) {
		if fields := a.counters.takeFields(a.backends); fields != nil {
			a.log.Info("account", append(fields, "open_links", a.backends.openConns.Load())...)
		}
	}
}
