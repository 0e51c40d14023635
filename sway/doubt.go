package sway

import (
	"time"

	"sagelever/verdict"
)

// doubt is what a relay holds against an appliance. One that takes no connection rests, each time longer, and is then
// tried with one request at a time; once it takes them again it may have come back cold without a word of it.
type doubt struct {
	strikes int
	till    time.Time // it rests until then
	since   time.Time // when it last took no connection
	down    bool      // it has taken none since
}

const (
	restFirst = 250 * time.Millisecond
	restMost  = 4 * time.Second // some pulses: by then the core has said whether it is there
)

// open tells whether the appliance may have a request in spite of the doubt.
func (d *doubt) open(a *App, r *Request, now time.Time) bool {
	if d.till.After(now) {
		return false
	}
	if d.strikes >= 2 && a.Stand.Out() > 0 {
		return false // one at a time until one has come back
	}
	if d.strikes >= 2 && !r.Way.Harmless && !d.down {
		return false // what may be lost is not risked on it
	}
	return true
}

// ended weighs how a send ended.
func (d *doubt) ended(a *App, o Outcome, now time.Time) {
	switch {
	case o.Ours && !o.Late:
	case !o.Dialled && o.Verdict == verdict.NeverRan:
		d.down, d.since = true, now
		d.strike(now)
	case o.Verdict == verdict.Ran && o.Status < 500, o.Served:
		if d.down {
			d.down = false
			a.freeze(now.Add(warmGuess), now)
		}
		d.strikes, d.till = 0, time.Time{}
	case o.Verdict == verdict.NeverRan: // it is full, and says so
		d.till = now.Add(restFirst)
	case o.Verdict == verdict.MayHaveRun:
		d.strike(now)
	}
}

// warmGuess is for how long an appliance that is back counts as cold unless its pulses tell: longer than they take.
const warmGuess = 2 * time.Second

func (d *doubt) strike(now time.Time) {
	if d.strikes++; d.strikes == 1 && !d.down {
		return // a single answer may be lost anywhere
	}
	rest := restFirst << min(d.strikes-1, 6)
	d.till = now.Add(min(rest, restMost))
}
