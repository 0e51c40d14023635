package httpagent

import (
	"context"
	"sync/atomic"
	"time"

	"sagelever/agent"
	"sagelever/life"
)

// account counts how transactions and sends ended, for a line in the log from time to time: over a fleet these lines,
// added up, tell what each agent alone does not show.
type account struct {
	states [life.Left + 1]atomic.Int64
	whys   [agent.Whys]atomic.Int64
	sends  [agent.Unfit + 1]atomic.Int64
}

func (c *account) final(f life.Final) {
	c.states[f.State].Add(1)
	if f.State == life.Deferred || f.State == life.BrokenOff {
		c.whys[f.Why].Add(1)
	}
}

func (c *account) sent(o agent.Outcome) { c.sends[o].Add(1) }

var sendWords = [agent.Unfit + 1]string{"ok", "fault", "rejected", "timed_out", "unreachable", "cut", "called_off", "not_sent",
	"spoilt", "unfit"}

// pairs gives what has been counted since the last call, without what is 0.
func (c *account) pairs(ls *links) (line []any) {
	put := func(name string, x *atomic.Int64) {
		if n := x.Swap(0); n > 0 {
			line = append(line, name, n)
		}
	}
	for i := range c.states {
		put(life.State(i).String(), &c.states[i])
	}
	for i := range c.whys {
		put("for_"+agent.Why(i).String(), &c.whys[i])
	}
	for i := range c.sends {
		put("sends_"+sendWords[i], &c.sends[i])
	}
	put("dials", &ls.dials)
	put("dials_failed", &ls.failed)
	return line
}

// accounted is seldom against what the log costs, and often against an incident.
const accounted = 5 * time.Second

// tellAccount leaves a line on what was counted, where anything was.
func (a *Agent) tellAccount(ctx context.Context) {
	for pause(ctx, accounted) {
		if line := a.account.pairs(a.links); line != nil {
			a.log.Info("account", append(line, "open_links", a.links.open.Load())...)
		}
	}
}
