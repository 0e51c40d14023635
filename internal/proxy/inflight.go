package proxy

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
)

// maxUnansweredLogged bounds the log lines about single requests that are unanswered when the process exits.
const maxUnansweredLogged = 5

// inFlightRequest is a client's request that the proxy has read, at least its header, and has not finished answering.
type inFlightRequest struct {
	tryID     string
	arrivedAt time.Time
	attempt   atomic.Pointer[attempt] // the latest attempt; nil if there is none yet
}

// phaseName returns the name of the phase of the latest attempt.
func (r *inFlightRequest) phaseName() string {
	if current := r.attempt.Load(); current != nil {
		return current.phase().String()
	}
	return "not sent"
}

// backendID returns the id of the backend of the latest attempt, or "" if there is none.
func (r *inFlightRequest) backendID() string {
	if current := r.attempt.Load(); current != nil {
		return current.backendID
	}
	return ""
}

// inFlightRequests is the set of the requests in flight. The zero value is empty and ready to use.
type inFlightRequests struct {
	mu       sync.Mutex
	requests map[*inFlightRequest]struct{}
}

// add adds a request that has just arrived. The caller must remove it.
func (s *inFlightRequests) add(tryID string, arrivedAt time.Time) *inFlightRequest {
	request := &inFlightRequest{tryID: tryID, arrivedAt: arrivedAt}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.requests == nil {
		s.requests = map[*inFlightRequest]struct{}{}
	}
	s.requests[request] = struct{}{}
	return request
}

// remove removes a request that has been answered or whose connection has been closed.
func (s *inFlightRequests) remove(request *inFlightRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.requests, request)
}

// count returns the number of requests.
func (s *inFlightRequests) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.requests)
}

// oldestFirst returns the requests in the order of their arrival.
func (s *inFlightRequests) oldestFirst() []*inFlightRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	requests := make([]*inFlightRequest, 0, len(s.requests))
	for request := range s.requests {
		requests = append(requests, request)
	}
	slices.SortFunc(requests, func(a, b *inFlightRequest) int {
		return cmp.Or(a.arrivedAt.Compare(b.arrivedAt), cmp.Compare(a.tryID, b.tryID))
	})
	return requests
}

// reportUnanswered counts the requests that are still in flight when the process exits, and logs the oldest of them.
func (p *Proxy) reportUnanswered(now time.Time) {
	unanswered := p.inFlight.oldestFirst()
	p.counters.unanswered.Add(int64(len(unanswered)))
	for _, request := range unanswered[:min(len(unanswered), maxUnansweredLogged)] {
		p.log.Warn("request unanswered at exit",
			zap.String("tryId", request.tryID),
			zap.String("phase", request.phaseName()),
			zap.String("backend", request.backendID()),
			zap.Int64("ageMs", now.Sub(request.arrivedAt).Milliseconds()))
	}
}
