package httpagent

import (
	"fmt"
	"testing"
	"time"

	"sagelever/internal/agent/api"
	"sagelever/internal/agent/transaction"
)

// Each final answer and each attempt is counted once under its name, and reported once.
func TestOutcomeCounters(t *testing.T) {
	var counters outcomeCounters
	clients := newBackendClients(time.Second, time.Minute, 8, 32<<20)
	counters.countResult(transaction.Result{State: transaction.Succeeded})
	counters.countResult(transaction.Result{State: transaction.Deferred, Reason: api.ReasonConcurrencyLimit})
	counters.countResult(transaction.Result{State: transaction.Deferred, Reason: api.ReasonConcurrencyLimit})
	counters.countResult(transaction.Result{State: transaction.Failed, Reason: api.ReasonMayHaveRun})
	// the reason is counted only for deferred and failed transactions
	counters.countResult(transaction.Result{State: transaction.ClientGone, Reason: api.ReasonDeadline})
	counters.countAttempt(api.Succeeded)
	counters.countAttempt(api.ConnectionLost)
	clients.dials.Add(3)
	want := "[satisfied 1 deferred 2 broken_off 1 left 1 for_bounded 2 for_may_have_run 1 sends_ok 1 sends_cut 1 dials 3]"
	if got := fmt.Sprint(counters.takeFields(clients)); got != want {
		t.Errorf("fields %s, want %s", got, want)
	}
	if again := counters.takeFields(clients); again != nil {
		t.Errorf("fields again: %v", again)
	}
}
