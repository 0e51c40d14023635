package proxy

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"sagelever/internal/control/routing"
	"sagelever/internal/proxy/balancer"
	"sagelever/internal/proxy/retry"
	"sagelever/internal/tcp"
)

// minRetryAfter is the minimum Retry-After of a rejected request.
const minRetryAfter = 100 * time.Millisecond

// serveClient handles a request from a client.
func (p *Proxy) serveClient(w http.ResponseWriter, r *http.Request) {
	arrivedAt := time.Now()
	p.counters.received.Add(1)
	tryID := r.Header.Get(headerTryID)
	if tcp.ConnClosed(r.Context()) {
		p.counters.aborted.Add(1)
		panic(http.ErrAbortHandler)
	}
	tracked := p.inFlight.add(tryID, arrivedAt)
	defer p.inFlight.remove(tracked)
	p.setCommonHeaders(w.Header(), tryID)
	if p.deadline.passed() {
		p.replyShuttingDown(w)
		return
	}
	table := p.routingTable.Load()
	if table == nil || table.ItemCount == 0 {
		p.replyUnavailable(w, nil, "no configuration yet", minRetryAfter)
		return
	}
	if tryID == "" {
		p.replyRejected(w, http.StatusBadRequest, "no "+headerTryID)
		return
	}
	route := table.FindRoute(r.Host, r.URL.Path)
	if route == nil {
		p.replyNoRoute(w)
		return
	}
	request := &balancer.Request{
		Route:     route,
		ArrivedAt: arrivedAt,
		Deadline:  arrivedAt.Add(requestTimeout(r, route)),
		Granted:   make(chan *balancer.Backend, 1),
	}
	body, ok := p.readRequestBody(w, r, table.Limits)
	if !ok {
		return
	}
	defer p.bufferedBytes.Add(-int64(len(body.buffered)))
	p.mu.Lock()
	p.balancer.StartRequest(request, arrivedAt)
	p.mu.Unlock()
	p.forward(w, r, request, body, tracked)
}

// setCommonHeaders sets the headers of every response, whether forwarded or written by the proxy itself.
func (p *Proxy) setCommonHeaders(header http.Header, tryID string) {
	header["Date"] = nil // prevents the server from adding one
	p.announceShutdown(header)
	if tryID != "" {
		header.Set(headerTryID, tryID)
	}
}

// announceShutdown tells the client of a response that the proxy closes the connection, if it is shutting down.
func (p *Proxy) announceShutdown(header http.Header) {
	if p.draining.Load() {
		header.Set("Connection", "close")
	}
}

// replyNoRoute answers a request that matches no route. The response is a final 404 only if the configuration is known
// to be complete and up to date; otherwise the route may exist and another proxy may serve it.
func (p *Proxy) replyNoRoute(w http.ResponseWriter) {
	if !p.holdsAuthority(time.Now()) {
		p.replyUnavailable(w, nil, "the configuration may be incomplete or outdated", minRetryAfter)
		return
	}
	p.counters.noRoute.Add(1)
	p.replyRejected(w, http.StatusNotFound, "no route")
}

// requestTimeout returns the timeout of a request: that of its route, or the client's remaining time if it is shorter.
func requestTimeout(r *http.Request, route *routing.Route) time.Duration {
	ms, err := strconv.ParseInt(r.Header.Get(headerTimeLeft), 10, 64)
	if err == nil && ms >= 0 && ms < route.Timeout.Milliseconds() {
		return time.Duration(ms) * time.Millisecond
	}
	return route.Timeout
}

// forward sends a request to a backend, retries it on other backends while the retry rules allow it, and responds to
// the client.
//
// All attempts are bounded by the request's deadline and by the shutdown deadline. If the client disconnects, an
// idempotent request is cancelled. A non-idempotent request continues once it has been written, as it may already have
// had effects.
func (p *Proxy) forward(w http.ResponseWriter, r *http.Request, request *balancer.Request, body requestBody,
	tracked *inFlightRequest) {
	ctx, cancelCause := context.WithCancelCause(context.WithoutCancel(r.Context()))
	ctx, cancel := context.WithDeadline(ctx, request.Deadline)
	defer cancel()
	stopDeadline := p.deadline.whenPassed(func() { cancelCause(errShutdownDeadline) })
	defer stopDeadline()
	stopWatching := context.AfterFunc(r.Context(), func() {
		if request.Route.Idempotent {
			cancel()
		}
	})
	defer stopWatching()
	if !body.replayable() { // RoundTrip returns only after its last read of the body
		stopInterrupt := context.AfterFunc(ctx, func() { interruptBodyRead(w) })
		defer stopInterrupt()
	}
	queueUntil := queueDeadline(request)
	var attempts attemptRecords
	for {
		backend, event := p.acquireBackend(ctx, r, request, queueUntil)
		if backend == nil {
			p.respond(w, request, &attemptResult{rule: retry.Decide(retry.Queued, event)}, attempts)
			return
		}
		attempt := p.newAttempt(r, backend)
		tracked.attempt.Store(attempt)
		result := p.send(ctx, attempt, r, request, body)
		attempts = append(attempts, result.record())
		if p.reportOutcome(request, backend, result, body.replayable()) {
			result.close()
			continue
		}
		stopDeadline() // a response that is being forwarded continues until the process exits
		result.cancelOnDisconnect = func() (stop func() bool) { return context.AfterFunc(r.Context(), cancel) }
		p.respond(w, request, result, attempts)
		return
	}
}

// acquireBackend returns the backend for the next attempt, or nil and the event that ended the wait for one. The event
// is only valid if the backend is nil.
func (p *Proxy) acquireBackend(ctx context.Context, r *http.Request, request *balancer.Request,
	queueUntil time.Time) (*balancer.Backend, retry.Event) {
	now := time.Now()
	p.mu.Lock()
	backend := p.balancer.Pick(request, now)
	if backend == nil {
		p.balancer.Enqueue(request)
	}
	checks := p.balancer.TakeHealthChecks()
	p.mu.Unlock()
	p.startHealthChecks(checks)
	if backend != nil {
		return backend, 0
	}
	return p.waitForBackend(ctx, r, request, queueUntil)
}

// waitForBackend waits until the balancer grants the queued request a backend. It returns nil and the event that ended
// the wait if queueUntil passes, ctx ends or the client disconnects first.
func (p *Proxy) waitForBackend(ctx context.Context, r *http.Request, request *balancer.Request,
	queueUntil time.Time) (*balancer.Backend, retry.Event) {
	p.counters.queued.Add(1)
	select {
	case p.requestQueued <- struct{}{}:
	default: // the ticker has not yet received the previous signal
	}
	timer := time.NewTimer(time.Until(queueUntil))
	defer timer.Stop()
	event := retry.Timeout
	select {
	case backend := <-request.Granted:
		return backend, event
	case <-timer.C:
	case <-ctx.Done():
		event = cancellationEvent(ctx)
	case <-r.Context().Done():
		event = retry.ClientDisconnected
	}
	p.mu.Lock()
	removed := p.balancer.Dequeue(request)
	p.mu.Unlock()
	if removed {
		return nil, event
	}
	return <-request.Granted, event // granted after the wait ended and before the lock was taken
}

// reportOutcome reports the outcome of an attempt to the balancer and returns whether the request is sent again. That
// requires a replayable body, a retry rule that allows it, and balancer limits on attempts, time and the retry budget
// that are not exhausted.
func (p *Proxy) reportOutcome(request *balancer.Request, backend *balancer.Backend, result *attemptResult,
	replayable bool) (retryAllowed bool) {
	now := time.Now()
	p.mu.Lock()
	p.balancer.ReportOutcome(request, backend, result.Outcome, now)
	permitted := replayable && result.rule.Retry.Allows(request.Route.Idempotent)
	retryAllowed = permitted && p.balancer.AllowRetry(request, result.Outcome, now)
	p.mu.Unlock()
	switch {
	case retryAllowed && result.Withheld:
		p.counters.withheld.Add(1)
	case retryAllowed:
		p.counters.retries.Add(1)
	}
	return retryAllowed
}

// queueDeadline returns the time until which a request may wait for a backend. The wait is limited to 9/40 (just under
// a quarter) of the latency target, so that a rejected client can still be served within the target by a retry
// elsewhere.
func queueDeadline(request *balancer.Request) time.Time {
	target := request.Route.LatencyTarget
	if target <= 0 {
		target = request.Route.Timeout
	}
	deadline := request.ArrivedAt.Add(target * 9 / 40)
	if deadline.After(request.Deadline) {
		return request.Deadline
	}
	return deadline
}
