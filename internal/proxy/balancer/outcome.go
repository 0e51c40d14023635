package balancer

import (
	"net/http"
	"time"

	"sagelever/internal/proxy/retry"
)

const (
	// maxRelativeLatency caps a single observation of a backend's relative latency.
	maxRelativeLatency = 10
	// typicalLatencyPriorWeight draws the typical latency of a service towards 0 while little has been observed.
	typicalLatencyPriorWeight = 0.001
)

// Outcome is how an attempt ended.
type Outcome struct {
	Execution        retry.Execution
	Status           int  // of the backend's response, 0 where there is none
	Succeeded        bool // a success with the backend's seal and its whole body
	Connected        bool // there was a connection
	Cancelled        bool // the proxy broke it off: its client is gone, or its time is over
	TimedOut         bool // its time was over before it was answered
	Latency          time.Duration
	ClosesConnection bool // the response closes its connection
	// Withheld says that nothing was written, as the backend began to drain while the connection came up. The backend
	// is not to blame.
	Withheld bool
}

// clientError reports whether the backend answered with a 4xx status.
func (o *Outcome) clientError() bool {
	return o.Status >= http.StatusBadRequest && o.Status < http.StatusInternalServerError
}

// ReportOutcome takes the outcome of an attempt that Pick assigned to a backend. It must be called once for each.
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
	backend.health.observe(backend, outcome, now)
	if outcome.Status == http.StatusMisdirectedRequest { // another backend has its address
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

// observeLatency records how long a successful response took, for the service and relative to it for the backend.
func (s *serviceState) observeLatency(backend *Backend, latency time.Duration, now time.Time) {
	seconds := latency.Seconds()
	typical := s.latency.Estimate(sinceOrigin(now), statsHalfLife, seconds, 1)
	s.latency.Add(sinceOrigin(now), statsHalfLife, seconds)
	if typical > 0 {
		backend.relativeLatency.Add(sinceOrigin(now), statsHalfLife, min(seconds/typical, maxRelativeLatency))
	}
}

// undoSend takes back what was counted of an attempt that was withheld.
func (s *serviceState) undoSend(request *Request) {
	request.Sends--
	canary := s.canary
	if canary == nil || canary.tally.ServiceRequests <= 0 {
		return
	}
	canary.tally.ServiceRequests--
	if request.toCanary {
		canary.tally.NewBuildRequests--
	}
}

// TypicalLatency returns how long a response of a service has taken of late; 0 where nothing is known.
func (b *Balancer) TypicalLatency(name string, now time.Time) time.Duration {
	seconds := b.service(name).latency.Estimate(sinceOrigin(now), statsHalfLife, 0, typicalLatencyPriorWeight)
	return time.Duration(seconds * float64(time.Second))
}
