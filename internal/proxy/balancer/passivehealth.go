package balancer

import (
	"time"

	"sagelever/internal/proxy/retry"
)

const (
	// initialPause is the pause after the first failure of a backend. It doubles with each further failure.
	initialPause = 250 * time.Millisecond
	// maxPause is the upper bound of the pause: several heartbeat intervals, after which the controllers have detected
	// whether the backend is alive.
	maxPause = 4 * time.Second
	// maxPauseDoublings limits the shift of the pause so that it does not overflow.
	maxPauseDoublings = 6
	// probeFailures is the number of consecutive failures from which a backend gets one request at a time.
	probeFailures = 2
	// reconnectWarmUp is how long a backend that accepts connections again counts as warming up unless its heartbeats
	// report otherwise. It is longer than these heartbeats take.
	reconnectWarmUp = 2 * time.Second
)

// passiveHealth is the health of a backend as inferred from the outcomes of this proxy's requests. A backend that
// refuses connections or loses responses gets no requests during a pause that grows with each failure, and is then
// probed with one request at a time. A backend that accepts connections again may have restarted, so it warms up.
type passiveHealth struct {
	failures            int // consecutive failures
	pausedUntil         time.Time
	refusedAt           time.Time // when the backend last refused a connection
	refusingConnections bool      // the backend has accepted no connection since refusedAt
}

// admits reports whether the backend may get the request.
func (h *passiveHealth) admits(backend *Backend, request *Request, now time.Time) bool {
	if h.pausedUntil.After(now) {
		return false
	}
	if h.failures >= probeFailures && backend.Drain.InFlight() > 0 {
		return false // one request at a time until one succeeds
	}
	if h.failures >= probeFailures && !request.Route.Idempotent && !h.refusingConnections {
		return false // the response may be lost, and a non-idempotent request could then not be retried
	}
	return true
}

// observe updates the health with a conclusive outcome of an attempt.
func (h *passiveHealth) observe(backend *Backend, outcome Outcome, now time.Time) {
	switch {
	case !outcome.Connected && outcome.Execution == retry.NotExecuted:
		h.refusingConnections = true
		h.refusedAt = now
		h.recordFailure(now)
	case outcome.Execution == retry.Executed && outcome.Status < statusInternalServerError, outcome.Succeeded:
		if h.refusingConnections {
			h.refusingConnections = false
			backend.extendWarmUp(now.Add(reconnectWarmUp), now)
		}
		h.failures = 0
		h.pausedUntil = time.Time{}
	case outcome.Execution == retry.NotExecuted: // the backend rejected the request because it is overloaded
		h.pausedUntil = now.Add(initialPause)
	case outcome.Execution == retry.MaybeExecuted:
		h.recordFailure(now)
	}
}

func (h *passiveHealth) recordFailure(now time.Time) {
	h.failures++
	if h.failures == 1 && !h.refusingConnections {
		return // a single lost response is not evidence against the backend: the network may have dropped it
	}
	pause := initialPause << min(h.failures-1, maxPauseDoublings)
	h.pausedUntil = now.Add(min(pause, maxPause))
}
