package balancer

import (
	"time"

	"sagelever/internal/proxy/retry"
)

const (
	// maxRelativeLatency caps a single observation of a backend's relative latency.
	maxRelativeLatency = 10
	// typicalLatencyPriorWeight draws the typical latency of a service towards 0 while little has been observed.
	typicalLatencyPriorWeight = 0.001

	// convincingDial is how long a connection must have taken to come up for the end of the request's time to count
	// against the backend: several round trips between regions.
	convincingDial = 300 * time.Millisecond
	// minConvincingSilence and convincingSilence bound the same for a response: four times what it takes usually.
	minConvincingSilence = 300 * time.Millisecond
	convincingSilence    = time.Second
)

// Outcome is how an attempt ended.
type Outcome struct {
	Execution        retry.Execution
	Status           int  // of the backend's response, 0 where there is none
	Succeeded        bool // a success, with the backend's seal and a complete body
	Connected        bool // there was a connection to the backend, and the request was written on it, or begun to be
	StaleConnection  bool // an idle connection turned out to be closed before anything was written on it
	Cancelled        bool // by the proxy: the client is gone, or the deadline has passed
	TimedOut         bool // the deadline passed before the response
	Latency          time.Duration
	ClosesConnection bool // the response closes its connection
	// Withheld means that nothing was written because the backend began to drain while the connection came up. It does
	// not count against the backend.
	Withheld bool
}

// clientError reports whether the backend answered with a 4xx status.
func (o *Outcome) clientError() bool {
	return o.Status >= statusBadRequest && o.Status < statusInternalServerError
}

// conclusive reports whether the outcome says anything of the backend's health, given the typical latency of its
// service. A send that was ended by its client, or by the time that the client gave it, says nothing unless the backend
// had longer than a healthy one takes: otherwise any client could take a healthy backend away from all others.
func (o *Outcome) conclusive(typicalLatency time.Duration) bool {
	switch {
	case o.StaleConnection:
		return false // a backend closes idle connections when it likes
	case !o.Cancelled:
		return true
	case !o.TimedOut:
		return false
	case !o.Connected:
		return o.Latency >= convincingDial
	}
	return o.Latency >= silenceThreshold(typicalLatency)
}

// silenceThreshold is how long a backend must have been silent for that to count against it: four times the typical
// latency, within bounds.
func silenceThreshold(typicalLatency time.Duration) time.Duration {
	if typicalLatency <= 0 {
		return convincingSilence
	}
	return min(max(4*typicalLatency, minConvincingSilence), max(convincingSilence, 2*typicalLatency))
}

// ReportOutcome records the outcome of an attempt that Pick assigned to a backend. It must be called exactly once for
// each attempt. A place that comes free is granted to queued requests.
func (b *Balancer) ReportOutcome(request *Request, backend *Backend, outcome Outcome, now time.Time) {
	backend.Drain.RequestFinished(!request.Route.Idempotent)
	if backend.Drain.InFlight() == 0 {
		delete(b.departed, backend.ID)
	}
	svc := b.service(request.Service)
	if outcome.Withheld {
		svc.undoSend(request)
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
	if outcome.Status == statusMisdirectedRequest { // another backend has its address
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

// undoSend reverts what assign counted for an attempt that was then withheld.
func (s *serviceState) undoSend(request *Request) {
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

// TypicalLatency returns the recent mean latency of a service's responses, and 0 where there were none.
func (b *Balancer) TypicalLatency(name string, now time.Time) time.Duration {
	seconds := b.service(name).latency.Estimate(sinceOrigin(now), statsHalfLife, 0, typicalLatencyPriorWeight)
	return time.Duration(seconds * float64(time.Second))
}
