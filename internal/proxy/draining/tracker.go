// Package draining decides whether a proxy may send to a backend that is being removed.
//
// From one moment on no proxy sends a draining backend anything new; the requests in flight finish there; then it is
// free to go. A Tracker holds the state of one backend as one proxy sees it. Together with the proxy's
// lease.SendLease it says whether a request may be sent. The package does no input or output: the time is passed in,
// and callers guard its values against concurrent use.
//
//	state     input                                    next      effect
//	serving   a reason begins                          draining  no new requests; queued ones are placed elsewhere
//	serving   a reason begins, nothing is in flight    drained   the same
//	draining  another reason begins or ends            draining  the moment from which nothing new may go stays
//	draining  the last response comes back             drained   free
//	draining  its last reason ends                     serving   new requests; warming up if it may have restarted
//	drained   its last reason ends                     serving   the same
//	any       its incarnation ends: sign-off, lost,    ended     no request ever again; what is in flight is waited for
//	          a 421 response
//	serving   the send lease expires                   serving   nothing new until a controller or the backend confirms
//
// docs/leaving.md derives the times.
package draining

import (
	"time"

	"sagelever/internal/lease"
)

// Tracker follows one backend at one proxy. Its zero value is a backend that serves.
//
// Invariant: drainingSince is zero exactly while the state is Serving.
type Tracker struct {
	reasons            Reasons
	ended              bool
	drainingSince      time.Time
	inFlight           [requestKinds]int // requests of this proxy, by kind
	confirmedAt        time.Time         // when it last said itself that it was not draining
	consecutiveCloses  int               // responses in a row that closed their connection
	closesWhileServing bool              // it closes connections though it said that it serves
}

// The kinds of requests that are counted apart.
const (
	idempotentKind = iota
	nonIdempotentKind
	requestKinds
)

// State returns the backend's state.
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

// Reasons returns why the backend gets no new requests.
func (t *Tracker) Reasons() Reasons { return t.reasons }

// DrainingSince returns the moment from which nothing new may be sent; zero while the backend serves.
func (t *Tracker) DrainingSince() time.Time { return t.drainingSince }

// InFlight returns the number of requests of this proxy that the backend has.
func (t *Tracker) InFlight() int { return t.inFlight[idempotentKind] + t.inFlight[nonIdempotentKind] }

// NonIdempotentInFlight returns how many of them must run at most once.
func (t *Tracker) NonIdempotentInFlight() int { return t.inFlight[nonIdempotentKind] }

// SetReasons replaces the reasons. It reports whether the backend begins to drain, or serves again.
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

// End records that the backend's incarnation is over. Later reasons change nothing.
func (t *Tracker) End(now time.Time) {
	if t.State() == Serving {
		t.drainingSince = now
	}
	t.ended = true
}

// RequestStarted counts a request that is about to be sent to the backend.
func (t *Tracker) RequestStarted(nonIdempotent bool) { t.inFlight[kindIndex(nonIdempotent)]++ }

// RequestFinished counts a request that has come to its end, however it ended. Nothing else lowers the number in
// flight.
func (t *Tracker) RequestFinished(nonIdempotent bool) { t.inFlight[kindIndex(nonIdempotent)]-- }

func kindIndex(nonIdempotent bool) int {
	if nonIdempotent {
		return nonIdempotentKind
	}
	return idempotentKind
}

// MaySend reports whether a request may go to the backend now, as far as confirmation goes: that of the controllers,
// which is the lease, or the backend's own, which lasts as long. A backend that may be draining before the
// controllers have said so, as it closed the connection of drainingCloseCount responses in a row, gets nothing until
// it answers a health check.
func (t *Tracker) MaySend(sendLease *lease.SendLease, now time.Time) bool {
	if t.suspectedDraining() {
		return false
	}
	return sendLease.Valid(now) || now.Before(t.confirmedAt.Add(sendLease.Duration()))
}

// drainingCloseCount is how many responses in a row with `Connection: close` say that a backend may be draining: all
// responses of a draining one have that header, and now and then another's does.
const drainingCloseCount = 2

// ObserveResponse records a response of the backend to a request sent at sentAt. One that keeps the connection open
// proves that the backend was not draining at that time.
func (t *Tracker) ObserveResponse(sentAt time.Time, closesConnection bool) {
	if closesConnection {
		t.consecutiveCloses++
		return
	}
	t.consecutiveCloses = 0
	t.confirm(sentAt)
}

// ObserveHealthCheck records the backend's answer to a health check sent at sentAt: whether it serves.
func (t *Tracker) ObserveHealthCheck(sentAt time.Time, serving bool) {
	if !serving {
		return
	}
	if t.suspectedDraining() {
		t.closesWhileServing = true
	}
	t.consecutiveCloses = 0
	t.confirm(sentAt)
}

// suspectedDraining reports whether the backend's closed connections suggest that it drains, and it has not shown that
// it closes them while it serves.
func (t *Tracker) suspectedDraining() bool {
	return t.consecutiveCloses >= drainingCloseCount && !t.closesWhileServing
}

func (t *Tracker) confirm(at time.Time) {
	if at.After(t.confirmedAt) {
		t.confirmedAt = at
	}
}
