package balancer

import (
	"time"

	"sagelever/internal/proxy/retry"
)

const (
	// maxRelativeLatency caps a single observation of a backend's relative latency.
	maxRelativeLatency = 10
	// typicalLatencyPriorWeight is the weight of the prior 0 in the typical latency of a service. It pulls the estimate
	// towards 0 while there are few recent observations.
	typicalLatencyPriorWeight = 0.001

	// dialTimeThreshold is how long dialing must have taken for a timeout while dialing to count against the backend:
	// several round trips between regions.
	dialTimeThreshold = 300 * time.Millisecond

	// silenceFactor is how many times the typical latency a backend must have been silent for a timeout while waiting
	// for the response to count against it.
	silenceFactor = 4
	// minSilenceThreshold is the lower bound of that threshold.
	minSilenceThreshold = 300 * time.Millisecond
	// defaultSilenceThreshold is the threshold if the typical latency is unknown. It is also the upper bound, unless
	// slowServiceSilenceFactor times the typical latency is longer.
	defaultSilenceThreshold  = time.Second
	slowServiceSilenceFactor = 2
)

// Outcome is how an attempt ended.
type Outcome struct {
	Execution        retry.Execution
	Status           int  // status of the backend's response, 0 if there is none
	Succeeded        bool // the response is a success, with the backend's seal and a complete body
	Connected        bool // at least part of the request was written on a connection to the backend
	StaleConnection  bool // a reused idle connection was already closed, before anything was written on it
	Cancelled        bool // the proxy cancelled the attempt because the client disconnected or the deadline passed
	TimedOut         bool // the deadline passed before the response
	Latency          time.Duration
	ClosesConnection bool // the response closes its connection
	// Withheld means that nothing was written because the backend began to drain while the connection was being
	// established. It does not count against the backend.
	Withheld bool
}

// clientError reports whether the backend answered with a 4xx status.
func (o *Outcome) clientError() bool {
	return o.Status >= statusBadRequest && o.Status < statusInternalServerError
}

// conclusive reports whether the outcome is evidence about the backend's health, given the typical latency of its
// service. An attempt that ended because its client disconnected is not. One that ended at the client's deadline is
// only if the backend had more time than a healthy backend takes. Otherwise any client that disconnects early or sets a
// short deadline could make a healthy backend unavailable to all other clients.
func (o *Outcome) conclusive(typicalLatency time.Duration) bool {
	switch {
	case o.StaleConnection:
		return false // backends may close idle connections at any time
	case !o.Cancelled:
		return true
	case !o.TimedOut:
		return false
	case !o.Connected:
		return o.Latency >= dialTimeThreshold
	}
	return o.Latency >= silenceThreshold(typicalLatency)
}

// silenceThreshold returns how long a backend must have been silent for a timeout to count against it: four times the
// typical latency, within bounds.
func silenceThreshold(typicalLatency time.Duration) time.Duration {
	if typicalLatency <= 0 {
		return defaultSilenceThreshold
	}
	return min(max(silenceFactor*typicalLatency, minSilenceThreshold),
		max(defaultSilenceThreshold, slowServiceSilenceFactor*typicalLatency))
}

// ReportOutcome records the outcome of an attempt that Pick assigned to a backend. It must be called exactly once for
// each attempt. It dispatches queued requests, since the backend may have free capacity again.
func (b *Balancer) ReportOutcome(request *Request, backend *Backend, outcome Outcome, now time.Time) {
	backend.Drain.RequestFinished(!request.Route.Idempotent)
	if backend.Drain.InFlight() == 0 {
		delete(b.removedInFlight, backend.ID)
	}
	svc := b.service(request.Service)
	if outcome.Withheld {
		svc.undoAttempt(request)
		return
	}
	if outcome.Status != 0 {
		backend.Drain.ObserveResponse(now.Add(-outcome.Latency), outcome.ClosesConnection)
	}
	request.Execution = retry.Combine(request.Execution, outcome.Execution)
	if outcome.Connected {
		request.Delivered++
	}
	if outcome.conclusive(b.TypicalLatency(request.Service, now)) {
		backend.health.observe(backend, outcome, now)
	}
	if outcome.Status == statusMisdirectedRequest { // the address belongs to another backend
		b.removeBackend(backend.ID, now)
	}
	if outcome.Succeeded {
		svc.observeLatency(backend, outcome.Latency, now)
	}
	if svc.canary != nil {
		svc.canary.recordOutcome(request, outcome, now)
	}
	b.DispatchQueue(request.Service, now)
}

// observeLatency records the latency of a successful response: for the service, and for the backend relative to the
// service's mean.
func (s *serviceState) observeLatency(backend *Backend, latency time.Duration, now time.Time) {
	seconds := latency.Seconds()
	typical := s.latency.Estimate(sinceOrigin(now), statsHalfLife, seconds, 1)
	s.latency.Add(sinceOrigin(now), statsHalfLife, seconds)
	if typical > 0 {
		backend.relativeLatency.Add(sinceOrigin(now), statsHalfLife, min(seconds/typical, maxRelativeLatency))
	}
}

// undoAttempt reverts the counts that assign made for an attempt that was then withheld.
func (s *serviceState) undoAttempt(request *Request) {
	request.Attempts--
	canary := s.canary
	if canary == nil || canary.tally.ServiceRequests <= 0 {
		return
	}
	canary.tally.ServiceRequests--
	if request.toCanary {
		canary.tally.NewBuildRequests--
	}
}

// TypicalLatency returns the recent mean latency of a service's successful responses, or 0 if there were none.
func (b *Balancer) TypicalLatency(name string, now time.Time) time.Duration {
	seconds := b.service(name).latency.Estimate(sinceOrigin(now), statsHalfLife, 0, typicalLatencyPriorWeight)
	return time.Duration(seconds * float64(time.Second))
}
