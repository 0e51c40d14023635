// Package draining decides whether a proxy may send to a backend that is being removed.
//
// Once a backend drains, no proxy sends it new requests. The requests in flight finish at the backend, after which it
// may shut down. A Tracker holds the state of one backend at one proxy. Together with the proxy's lease.SendLease it
// determines whether a request may be sent. The package does no I/O. The caller passes in the time and must guard the
// package's values against concurrent use.
//
//	state     input                                    next      effect
//	serving   first reason begins                      draining  no new requests; queued requests go to other backends
//	serving   first reason begins, none in flight      drained   the same
//	draining  another reason begins or ends            draining  none; DrainingSince does not change
//	draining  last request in flight ends              drained   the backend may shut down
//	draining  last reason ends                         serving   new requests; warm-up if it may have restarted
//	drained   last reason ends                         serving   the same
//	any       incarnation ends: the backend left, was  ended     no new requests ever; requests in flight finish
//	          lost, or responded with status 421
//	serving   send lease expires                       serving   no new requests until a controller or the backend
//	                                                             confirms that it serves
//
// docs/leaving.md derives the durations.
package draining

import (
	"time"

	"sagelever/internal/lease"
)

// Tracker tracks the state of one backend at one proxy. Its zero value is a backend that serves.
//
// Invariant: drainingSince is zero if and only if the state is Serving.
type Tracker struct {
	reasons            Reasons
	ended              bool
	drainingSince      time.Time
	inFlight           [requestKinds]int // requests of this proxy in flight, by kind
	confirmedAt        time.Time         // when the backend itself last confirmed that it was not draining
	consecutiveCloses  int               // number of consecutive responses that closed their connection
	closesWhileServing bool              // whether the backend is known to close connections while it serves
}

// The kinds of requests that are counted separately.
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

// DrainingSince returns the time from which no new requests may be sent, or the zero time while the backend serves.
func (t *Tracker) DrainingSince() time.Time { return t.drainingSince }

// InFlight returns the number of requests of this proxy in flight at the backend.
func (t *Tracker) InFlight() int { return t.inFlight[idempotentKind] + t.inFlight[nonIdempotentKind] }

// NonIdempotentInFlight returns how many of the requests in flight are non-idempotent.
func (t *Tracker) NonIdempotentInFlight() int { return t.inFlight[nonIdempotentKind] }

// SetReasons replaces the reasons. It reports whether the backend begins to drain or begins to serve again.
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

// End records that the backend's incarnation has ended. SetReasons has no effect after that.
func (t *Tracker) End(now time.Time) {
	if t.State() == Serving {
		t.drainingSince = now
	}
	t.ended = true
}

// RequestStarted adds a request in flight, which is about to be sent to the backend.
func (t *Tracker) RequestStarted(nonIdempotent bool) { t.inFlight[kindIndex(nonIdempotent)]++ }

// RequestFinished removes a request in flight that has ended in any way. No other method reduces the number of requests
// in flight.
func (t *Tracker) RequestFinished(nonIdempotent bool) { t.inFlight[kindIndex(nonIdempotent)]-- }

func kindIndex(nonIdempotent bool) int {
	if nonIdempotent {
		return nonIdempotentKind
	}
	return idempotentKind
}

// MaySend reports whether it is sufficiently confirmed that the backend serves for a request to be sent now. The
// confirmation is either the lease, which the controllers renew, or the backend's own, which is valid for the same
// duration. A backend that closed the connection after drainingCloseCount consecutive responses may be draining before
// the controllers report it: MaySend returns false until a health check confirms that the backend serves. MaySend does
// not take the state into account.
func (t *Tracker) MaySend(sendLease *lease.SendLease, now time.Time) bool {
	if t.suspectedDraining() {
		return false
	}
	return sendLease.Valid(now) || now.Before(t.confirmedAt.Add(sendLease.Duration()))
}

// drainingCloseCount is the number of consecutive responses with `Connection: close` after which a backend is suspected
// to be draining. All responses of a draining backend have that header, but other responses have it occasionally too.
const drainingCloseCount = 2

// ObserveResponse records a response of the backend to a request sent at sentAt. A response that keeps the connection
// open proves that the backend was not draining at sentAt.
func (t *Tracker) ObserveResponse(sentAt time.Time, closesConnection bool) {
	if closesConnection {
		t.consecutiveCloses++
		return
	}
	t.consecutiveCloses = 0
	t.confirm(sentAt)
}

// ObserveHealthCheck records the backend's response to a health check sent at sentAt.
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

// suspectedDraining reports whether the backend's closed connections suggest that it drains. They do not if the backend
// is known to close connections while it serves.
func (t *Tracker) suspectedDraining() bool {
	return t.consecutiveCloses >= drainingCloseCount && !t.closesWhileServing
}

func (t *Tracker) confirm(at time.Time) {
	if at.After(t.confirmedAt) {
		t.confirmedAt = at
	}
}
