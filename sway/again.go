package sway

import (
	"time"

	"sagelever/boot"
	"sagelever/verdict"
)

// earn lets a request add its share to the further tries that this relay may make. The allowance beside the share is
// split over the agents that there may be, with room for some that are not yet known; it is a cap on what is saved up and
// never given anew, so that in any period all relays together send again at most the share of what was asked in it, and
// the allowance once. A relay that starts has saved nothing: its life before may have spent all.
func (x *service) earn(b boot.Bounds, agents int) {
	x.tokens = min(x.tokens+b.RetryShare, b.ExtraTries/float64(agents+spares(agents)))
}

// spares is how many agents more than known are reckoned with: those that start before the news of them comes.
func spares(agents int) int { return agents/2 + 2 }

// Again tells whether a request may be sent to another appliance after what has come of it, and takes the further try
// off the budget.
func (s *Sway) Again(r *Request, o Outcome, now time.Time) bool {
	if o.Withheld {
		return now.Before(r.Deadline) // it went nowhere: where it takes the place of a further try, that one is paid for
	}
	if o.Served || o.Ours || !now.Before(r.Deadline) {
		return false
	}
	if !r.Way.Harmless && r.Verdict != verdict.NeverRan {
		return false // it may have run: it is never sent again
	}
	if o.Verdict == verdict.Ran && o.Status < 500 {
		return false // an answer like any other, or its own fault wherever it is sent
	}
	if r.Arrivals >= r.Way.Tries || r.Sends >= r.Way.Tries+2 {
		return false // what never reached an appliance does not count among its tries, within bounds
	}
	if r.Arrivals == 0 {
		return true // the next is the first that arrives
	}
	x := s.of(r.Service)
	if x.tokens < 1 {
		return false
	}
	x.tokens--
	return true
}
