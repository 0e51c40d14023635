// Package ebb is how an appliance leaves: no node sends it anything new from one moment on, what is out there comes back,
// and then it is free. It holds the state of each appliance as one node has it, the leave to send that ends by itself where
// nothing is heard, the room that a removal must leave, and what an operator is told of a removal under way. It is pure: the
// time is handed in.
//
//	state    input                                   next      effect
//	serving  a reason begins                         leaving   nothing new from now on; what waits is placed anew
//	serving  a reason begins, nothing is out there   left      the same
//	leaving  another reason begins or ends           leaving   the moment from which nothing new may go stays
//	leaving  the last answer comes back              left      free
//	leaving  its last reason ends                    serving   new work; cold where it may have restarted meanwhile
//	left     its last reason ends                    serving   the same
//	any      its life ends: signed off, lost, 421    gone      nothing more, ever; what is out is waited for
//	serving  the leave to send runs out              serving   nothing new until the core or it itself has said a word
//
// docs/leaving.md has the arithmetic of the times.
package draining

import (
	"strings"
	"time"
)

// State of an appliance at one node.
type State uint8

const (
	Serving  State = iota
	Draining       // nothing new goes there; something is out there
	Drained        // nothing new goes there, and nothing is out there
	Ended          // its life is over
)

func (s State) String() string { return [...]string{"serving", "leaving", "left", "gone"}[s] }

// Reasons is a set of reasons for which an appliance gets nothing new.
type Reasons uint8

const (
	SelfReported  Reasons = 1 << iota // its pulse says that it is emptying
	ZoneEvacuated                     // its zone is cleared out
	OperatorDrain                     // an operator drains it, its service there, or its zone
	BuildRetired                      // its build was sent back, or is no longer the one in force
)

func (r Reasons) String() string {
	var names []string
	for i, name := range []string{"emptying", "zone cleared out", "drained", "build out of service"} {
		if r&(1<<i) != 0 {
			names = append(names, name)
		}
	}
	return strings.Join(names, ", ")
}

// Tracker is an appliance as one node holds it. Its zero value serves.
type Tracker struct {
	reasons            Reasons
	ended              bool
	drainingSince      time.Time // from which nothing new may go; zero while it serves
	inFlight           [2]int    // requests of this node that are out there: harmless, risky
	confirmedAt        time.Time // when it last said itself that it was not leaving
	consecutiveCloses  int       // answers in a row with which it closed the connection
	closesWhileServing bool      // it does so though it serves
}

// State is where it stands.
func (t *Tracker) State() State {
	switch {
	case t.ended:
		return Ended
	case t.reasons == 0:
		return Serving
	case t.InFlight() > 0:
		return Draining
	}
	return Drained
}

// Reasons is for what it gets nothing new.
func (t *Tracker) Reasons() Reasons { return t.reasons }

// DrainingSince is the moment from which nothing new may go there; zero while it serves.
func (t *Tracker) DrainingSince() time.Time { return t.drainingSince }

// InFlight is how many requests of this node are out there.
func (t *Tracker) InFlight() int { return t.inFlight[0] + t.inFlight[1] }

// NonIdempotentInFlight is how many of them must run at most once.
func (t *Tracker) NonIdempotentInFlight() int { return t.inFlight[1] }

// SetReasons takes up the reasons as they stand; it tells whether it begins to leave, or serves again.
func (t *Tracker) SetReasons(reasons Reasons, now time.Time) (changed bool) {
	if t.ended {
		return false
	}
	previous := t.reasons
	t.reasons = reasons
	switch {
	case previous == 0 && reasons != 0:
		t.drainingSince = now
	case previous != 0 && reasons == 0:
		t.drainingSince = time.Time{}
	default:
		return false
	}
	return true
}

// End ends its life: whatever is heard later, it gets nothing more.
func (t *Tracker) End(now time.Time) {
	if !t.ended && t.reasons == 0 {
		t.drainingSince = now
	}
	t.ended = true
}

// RequestStarted notes that a request goes there.
func (t *Tracker) RequestStarted(nonIdempotent bool) { t.inFlight[kindIndex(nonIdempotent)]++ }

// RequestFinished notes that a request has come to its end there, however it ended. Nothing but this ends what is out.
func (t *Tracker) RequestFinished(nonIdempotent bool) { t.inFlight[kindIndex(nonIdempotent)]-- }

func kindIndex(nonIdempotent bool) int {
	if nonIdempotent {
		return 1
	}
	return 0
}
