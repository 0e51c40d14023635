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
	Attempts  int             // attempts so far, without those that were withheld
	Delivered int             // attempts that reached their backend or may have reached it
	Execution retry.Execution // combined over all attempts; NotExecuted before the first
	SentTo    Destination     // destination of the attempt in flight
	Granted   chan *Backend   // receives the backend of a queued request; must have a buffer of at least one

	triedBackends []string // IDs of the backends of all attempts
	toCanary      bool     // the attempt in flight goes to the canary
	queued        bool
}

// Destination is the backend of an attempt as of its assignment. Later updates of the backend do not change it.
type Destination struct {
	ID, Address string
	Distance    Distance
}

// StartRequest counts a request from a client and chooses the service that it goes to.
func (b *Balancer) StartRequest(request *Request, now time.Time) {
	request.Service = request.Route.PickService(b.random())
	request.Execution = retry.NotExecuted
	svc := b.service(request.Service)
	svc.countRequest(request.Route.HomeRegionList, now)
	svc.addRetryTokens(b.bounds, b.proxies)
	if svc.canary != nil {
		svc.canary.received++
	}
}
