package httpagent

import (
	"fmt"
	"testing"
	"time"

	"sagelever/agent"
	"sagelever/life"
)

// Each final answer and each send is counted once, under its word, and told once.
func TestOutcomeCounters(t *testing.T) {
	var c outcomeCounters
	ls := newBackendClients(time.Second, time.Minute, 8, 32<<20)
	c.countResult(life.Result{State: life.Succeeded})
	c.countResult(life.Result{State: life.Deferred, Reason: agent.ReasonConcurrencyLimit})
	c.countResult(life.Result{State: life.Deferred, Reason: agent.ReasonConcurrencyLimit})
	c.countResult(life.Result{State: life.Failed, Reason: agent.ReasonMayHaveRun})
	c.countResult(life.Result{State: life.ClientGone, Reason: agent.ReasonDeadline}) // no reason counts where nothing was given up
	c.countAttempt(agent.Succeeded)
	c.countAttempt(agent.ConnectionLost)
	ls.dials.Add(3)
	want := "[satisfied 1 deferred 2 broken_off 1 left 1 for_bounded 2 for_may_have_run 1 sends_ok 1 sends_cut 1 dials 3]"
	if got := fmt.Sprint(c.takeFields(ls)); got != want {
		t.Errorf("told %s, want %s", got, want)
	}
	if again := c.takeFields(ls); again != nil {
		t.Errorf("told again: %v", again)
	}
}
