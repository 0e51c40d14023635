package draining

import "time"
import (
	"sagelever/internal/lease"
)

// Covered tells whether a request may go to the appliance now, as far as the leave goes: by the core's word, or by its own.
// One that has closed its connection behind two answers running may be leaving before the core has said so: then its own
// word counts alone.
func (s *Tracker) Covered(l *lease.SendLease, now time.Time) bool {
	if s.consecutiveCloses >= drainingCloseCount && !s.closesWhileServing {
		return false
	}
	return l.Valid(now) || now.Before(s.confirmedAt.Add(l.Span()))
}

// drainingCloseCount is how many answers in a row with `Connection: close` say that an appliance may be leaving: all answers of one
// that leaves have it, and now and then another's.
const drainingCloseCount = 2

// ObserveResponse takes an answer of the appliance to what was sent at a moment: one that leaves the connection open comes from an
// appliance that was not leaving then.
func (t *Tracker) ObserveResponse(sentAt time.Time, closesConnection bool) {
	if closesConnection {
		t.consecutiveCloses++
		return
	}
	t.consecutiveCloses = 0
	t.confirm(sentAt)
}

// ObserveHealthCheck takes the appliance's own word, asked for at a moment: that it serves, or not.
func (t *Tracker) ObserveHealthCheck(sentAt time.Time, serving bool) {
	if !serving {
		return
	}
	t.closesWhileServing = t.closesWhileServing || t.consecutiveCloses >= drainingCloseCount
	t.consecutiveCloses = 0
	t.confirm(sentAt)
}

func (t *Tracker) confirm(at time.Time) {
	if at.After(t.confirmedAt) {
		t.confirmedAt = at
	}
}
