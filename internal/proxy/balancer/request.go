package balancer

import (
	"time"

	"sagelever/internal/control/routing"
	"sagelever/internal/proxy/retry"
)

// Request is a client's request, from its arrival to its final response.
type Request struct {
	Route     *routing.Route
	Service   string // set by StartRequest
	ArrivedAt time.Time
	Deadline  time.Time
	Attempts  int             // attempts so far
	Delivered int             // attempts that reached their backend, or may have
	Execution retry.Execution // over all attempts; NotExecuted while there is none
	SentTo    Destination     // of the attempt in flight
	Granted   chan *Backend   // gets the backend of a queued request; its buffer must hold one

	tried    []string // the backends of all attempts
	toCanary bool     // the attempt in flight goes to the build on trial
	queued   bool
}

// Destination is where an attempt goes. Later updates of the backend do not change it.
type Destination struct {
	ID, Address string
	Distance    Distance
}

// StartRequest counts a request that a client has sent, and chooses the service that it goes to.
func (b *Balancer) StartRequest(request *Request, now time.Time) {
	request.Service = request.Route.PickService(b.random())
	request.Execution = retry.NotExecuted
	svc := b.service(request.Service)
	svc.countRequest(request.Route.HomeRegionList, now)
	svc.earnRetryTokens(b.bounds, b.proxies)
	if svc.canary != nil {
		svc.canary.received++
	}
}
