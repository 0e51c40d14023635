package httpagent

import (
	"fmt"
	"testing"
	"time"

	"sagelever/internal/agent/api"
	"sagelever/internal/agent/transaction"
)

// Each final answer and each attempt is counted once, under its name, and logged once.
func TestOutcomeCounters(t *testing.T) {
	var c outcomeCounters
	ls := newBackendClients(time.Second, time.Minute, 8, 32<<20)
	c.countResult(transaction.Result{State: transaction.Succeeded})
	c.countResult(transaction.Result{State: transaction.Deferred, Reason: api.ReasonConcurrencyLimit})
	c.countResult(transaction.Result{State: transaction.Deferred, Reason: api.ReasonConcurrencyLimit})
	c.countResult(transaction.Result{State: transaction.Failed, Reason: api.ReasonMayHaveRun})
	// a reason counts only where a transaction was given up
	c.countResult(transaction.Result{State: transaction.ClientGone, Reason: api.ReasonDeadline})
	c.countAttempt(api.Succeeded)
	c.countAttempt(api.ConnectionLost)
	ls.dials.Add(3)
	want := "[satisfied 1 deferred 2 broken_off 1 left 1 for_bounded 2 for_may_have_run 1 sends_ok 1 sends_cut 1 dials 3]"
	if got := fmt.Sprint(c.takeFields(ls)); got != want {
		t.Errorf("fields %s, want %s", got, want)
	}
	if again := c.takeFields(ls); again != nil {
		t.Errorf("fields again: %v", again)
	}
}
