package proxy

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"sagelever/internal/control/routing"
	"sagelever/internal/proxy/balancer"
	"sagelever/internal/proxy/retry"
)

const (
	maxBufferedBody = 1 << 20 // bytes of a body that are kept, so that a request can be sent again; longer ones are streamed
	minRetryAfter   = 100 * time.Millisecond
)

// ServeHTTP takes a client's request.
func (l *listener) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p := l.proxy
	now := time.Now()
	p.counters.received.Add(1)
	header := w.Header()
	header["Date"] = nil
	if p.draining.Load() {
		header.Set("Connection", "close")
	}
	id := r.Header.Get(headerTryID)
	if id != "" {
		header.Set(headerTryID, id)
	}
	table := p.routingTable.Load()
	if table == nil {
		p.replyUnavailable(w, "no configuration yet", minRetryAfter)
		return
	}
	if id == "" {
		p.replyRejected(w, http.StatusBadRequest, "no "+headerTryID)
		return
	}
	route := table.FindRoute(r.Host, r.URL.Path)
	if route == nil {
		p.replyNoRoute(w)
		return
	}
	req := &balancer.Request{Route: route, ArrivedAt: now, Deadline: now.Add(requestTimeout(r, route)), Granted: make(chan *balancer.Backend, 1)}
	body, remainder, ok := p.readRequestBody(w, r, table.Limits)
	if !ok {
		return
	}
	defer p.bufferedBytes.Add(-int64(len(body)))
	p.mu.Lock()
	p.balancer.StartRequest(req, now)
	p.mu.Unlock()
	p.forward(w, r, req, body, remainder)
}

// replyNoRoute answers a request that no route fits: only who was told the whole configuration knows that there is none.
func (p *Proxy) replyNoRoute(w http.ResponseWriter) {
	if !p.synced.Load() {
		p.replyUnavailable(w, "the configuration may not be whole yet", minRetryAfter)
		return
	}
	p.replyRejected(w, http.StatusNotFound, "no route")
}

// requestTimeout is how long a request may take: as long as its route says, and no longer than its client waits.
func requestTimeout(r *http.Request, route *routing.Route) time.Duration {
	ms, err := strconv.ParseInt(r.Header.Get(headerTimeLeft), 10, 64)
	if err == nil && ms >= 0 && ms < route.Timeout.Milliseconds() {
		return time.Duration(ms) * time.Millisecond
	}
	return route.Timeout
}

// forward has a request served: it asks for an appliance, sends, and again while that is allowed.
func (p *Proxy) forward(w http.ResponseWriter, r *http.Request, req *balancer.Request, body []byte, remainder io.Reader) {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(r.Context()), req.Deadline)
	defer cancel()
	stopWatching := context.AfterFunc(r.Context(), func() {
		if req.Route.Idempotent { // nobody waits for it; what may have effects is let finish once it is written
			cancel()
		}
	})
	defer stopWatching()
	queueUntil := p.queueDeadline(req)
	for {
		backend, event := p.acquireBackend(ctx, r, req, queueUntil)
		if backend == nil {
			p.respond(w, req, &sendResult{rule: retry.Decide(retry.Queued, event)})
			return
		}
		result := p.send(ctx, r, req, backend, body, remainder)
		if remainder == nil && p.shouldRetry(req, backend, result) {
			result.close()
			continue
		}
		result.abortOnDisconnect = func() func() bool { return context.AfterFunc(r.Context(), cancel) }
		p.respond(w, req, result)
		return
	}
}

// acquireBackend finds an appliance for a request, or gives the event that ended its wait for one.
func (p *Proxy) acquireBackend(ctx context.Context, r *http.Request, req *balancer.Request, queueUntil time.Time) (*balancer.Backend, retry.Event) {
	now := time.Now()
	p.mu.Lock()
	backend := p.balancer.Pick(req, now)
	if backend == nil {
		p.balancer.Enqueue(req)
	}
	checks := p.balancer.TakeHealthChecks()
	p.mu.Unlock()
	p.startHealthChecks(checks)
	if backend != nil {
		return backend, 0
	}
	return p.waitForBackend(ctx, r, req, queueUntil)
}

// shouldRetry notes what came of a send and tells whether the request is sent again.
func (p *Proxy) shouldRetry(req *balancer.Request, backend *balancer.Backend, result *sendResult) bool {
	now := time.Now()
	p.mu.Lock()
	p.balancer.ReportOutcome(req, backend, result.Outcome, now)
	retryAllowed := result.rule.Retry.Allows(req.Route.Idempotent) && p.balancer.MayRetry(req, result.Outcome, now)
	p.mu.Unlock()
	switch {
	case retryAllowed && result.Withheld:
		p.counters.withheld.Add(1)
	case retryAllowed:
		p.counters.retries.Add(1)
	}
	return retryAllowed
}

// queueDeadline is how long a request may wait for a place: a quarter of its target, as one refused within it may be served
// in time from its next try.
func (p *Proxy) queueDeadline(req *balancer.Request) time.Time {
	target := req.Route.LatencyTarget
	if target <= 0 {
		target = req.Route.Timeout
	}
	deadline := req.ArrivedAt.Add(target * 9 / 40)
	if deadline.After(req.Deadline) {
		return req.Deadline
	}
	return deadline
}

// waitForBackend waits in line for a place, or gives the event that ended the wait.
func (p *Proxy) waitForBackend(ctx context.Context, r *http.Request, req *balancer.Request, queueUntil time.Time) (*balancer.Backend, retry.Event) {
	p.counters.queued.Add(1)
	select {
	case p.requestQueued <- struct{}{}:
	default:
	}
	timer := time.NewTimer(time.Until(queueUntil))
	defer timer.Stop()
	event := retry.Timeout
	select {
	case backend := <-req.Granted:
		return backend, event
	case <-timer.C:
	case <-ctx.Done():
	case <-r.Context().Done(): // nothing is begun for a client that is gone
		event = retry.ClientDisconnected
	}
	p.mu.Lock()
	removed := p.balancer.Dequeue(req)
	p.mu.Unlock()
	if removed {
		return nil, event
	}
	return <-req.Granted, event
}
