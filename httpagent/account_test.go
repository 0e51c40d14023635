package httpagent

import (
	"fmt"
	"testing"
	"time"

	"sagelever/agent"
	"sagelever/life"
)

// Each final answer and each send is counted once, under its word, and told once.
func TestAccount(t *testing.T) {
	var c account
	ls := newLinks(time.Second, time.Minute, 8, 32<<20)
	c.final(life.Final{State: life.Satisfied})
	c.final(life.Final{State: life.Deferred, Why: agent.Bounded})
	c.final(life.Final{State: life.Deferred, Why: agent.Bounded})
	c.final(life.Final{State: life.BrokenOff, Why: agent.MayHaveRun})
	c.final(life.Final{State: life.Left, Why: agent.TimeUp}) // no reason counts where nothing was given up
	c.sent(agent.Satisfied)
	c.sent(agent.Cut)
	ls.dials.Add(3)
	want := "[satisfied 1 deferred 2 broken_off 1 left 1 for_bounded 2 for_may_have_run 1 sends_ok 1 sends_cut 1 dials 3]"
	if got := fmt.Sprint(c.pairs(ls)); got != want {
		t.Errorf("told %s, want %s", got, want)
	}
	if again := c.pairs(ls); again != nil {
		t.Errorf("told again: %v", again)
	}
}
