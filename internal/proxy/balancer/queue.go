package balancer

import (
	"slices"
	"sort"
	"time"
)

// Enqueue queues a request for which Pick has returned nil. DispatchQueue sends the request its backend through the
// Granted channel.
func (b *Balancer) Enqueue(request *Request) {
	svc := b.service(request.Service)
	request.queued = true
	svc.queue = append(svc.queue, request)
}

// Dequeue removes a request from the queue. It returns false if the request is not queued because it was already
// granted a backend.
func (b *Balancer) Dequeue(request *Request) bool {
	if !request.queued {
		return false
	}
	request.queued = false
	svc := b.service(request.Service)
	if i := slices.Index(svc.queue, request); i >= 0 {
		svc.queue = append(svc.queue[:i:i], svc.queue[i+1:]...)
	}
	return true
}

// DispatchQueue grants backends to the queued requests of a service, by priority and then in order of arrival.
func (b *Balancer) DispatchQueue(name string, now time.Time) {
	svc := b.services[name]
	if svc == nil || len(svc.queue) == 0 {
		return
	}
	sort.SliceStable(svc.queue, func(i, j int) bool {
		first, second := svc.queue[i], svc.queue[j]
		if first.Route.Priority != second.Route.Priority {
			return first.Route.Priority < second.Route.Priority
		}
		return first.ArrivedAt.Before(second.ArrivedAt)
	})
	var waiting []*Request
	for _, request := range svc.queue {
		backend := b.Pick(request, now)
		if backend == nil {
			waiting = append(waiting, request)
			continue
		}
		request.queued = false
		request.Granted <- backend
	}
	svc.queue = waiting
}

// DispatchAll calls DispatchQueue for all services.
func (b *Balancer) DispatchAll(now time.Time) {
	for name := range b.services {
		b.DispatchQueue(name, now)
	}
}

// HasQueued reports whether any request waits for a backend.
func (b *Balancer) HasQueued() bool {
	for _, svc := range b.services {
		if len(svc.queue) > 0 {
			return true
		}
	}
	return false
}
