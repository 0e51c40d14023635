package balancer

import (
	"time"

	"sagelever/internal/proxy/retry"
)

// passiveHealth is what a relay holds against an appliance. One that takes no connection rests, each time longer, and is then
// tried with one request at a time; once it takes them again it may have come back cold without a word of it.
type passiveHealth struct {
	failures    int
	pausedUntil time.Time // it rests until then
	refusedAt   time.Time // when it last took no connection
	refusing    bool      // it has taken none since
}

const (
	initialPause = 250 * time.Millisecond
	maxPause     = 4 * time.Second // some pulses: by then the core has said whether it is there
)

// admits tells whether the appliance may have a request in spite of the doubt.
func (h *passiveHealth) admits(backend *Backend, request *Request, now time.Time) bool {
	if h.pausedUntil.After(now) {
		return false
	}
	if h.failures >= 2 && backend.Drain.InFlight() > 0 {
		return false // one at a time until one has come back
	}
	if h.failures >= 2 && !request.Route.Idempotent && !h.refusing {
		return false // what may be lost is not risked on it
	}
	return true
}

// observe weighs how a send ended.
func (h *passiveHealth) observe(backend *Backend, outcome Outcome, now time.Time) {
	switch {
	case outcome.Cancelled && !outcome.TimedOut:
	case !outcome.Connected && outcome.Execution == retry.NotExecuted:
		h.refusing, h.refusedAt = true, now
		h.recordFailure(now)
	case outcome.Execution == retry.Executed && outcome.Status < 500, outcome.Succeeded:
		if h.refusing {
			h.refusing = false
			backend.extendWarmUp(now.Add(reconnectWarmUp), now)
		}
		h.failures, h.pausedUntil = 0, time.Time{}
	case outcome.Execution == retry.NotExecuted: // it is full, and says so
		h.pausedUntil = now.Add(initialPause)
	case outcome.Execution == retry.MaybeExecuted:
		h.recordFailure(now)
	}
}

// reconnectWarmUp is for how long an appliance that is back counts as cold unless its pulses tell: longer than they take.
const reconnectWarmUp = 2 * time.Second

func (h *passiveHealth) recordFailure(now time.Time) {
	if h.failures++; h.failures == 1 && !h.refusing {
		return // a single answer may be lost anywhere
	}
	pause := initialPause << min(h.failures-1, 6)
	h.pausedUntil = now.Add(min(pause, maxPause))
}
