package proxy

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"time"

	"github.com/go-faster/errors"

	"sagelever/internal/proxy/balancer"
	"sagelever/internal/proxy/retry"
	"sagelever/internal/upstream"
)

// maxNewConns bounds the new connections that one attempt may use. It is above 1 because the first may have been opened
// ahead of time and closed by the backend since.
const maxNewConns = 2

// attemptResult is the result of one attempt.
type attemptResult struct {
	balancer.Outcome
	phase     retry.Phase // in which the attempt ended
	event     retry.Event // that ended the attempt
	rule      retry.Rule  // the retry rule of phase and event
	attempt   *attempt    // nil if the request was never sent
	header    http.Header
	body      []byte        // the response's body, or the first part of a long one
	length    int64         // length of the response's body in bytes, -1 if unknown
	remainder io.ReadCloser // the rest of the body; nil if body is complete

	releaseBuffer func() // releases the memory reserved for body; nil if none is reserved

	// cancelOnDisconnect cancels the attempt once the client has disconnected, until stop is called.
	cancelOnDisconnect func() (stop func() bool)
}

// close releases the response's remainder and the reserved memory. It may be called more than once.
func (r *attemptResult) close() {
	if r.remainder != nil {
		_ = r.remainder.Close() // the remainder is no longer needed
	}
	if r.releaseBuffer != nil {
		r.releaseBuffer()
		r.releaseBuffer = nil
	}
}

// newAttempt returns an attempt to send a request to a backend.
func (p *Proxy) newAttempt(r *http.Request, backend *balancer.Backend) *attempt {
	attempt := newAttempt(r, backend.ID, func() (retry.Event, bool) { return p.checkWrite(r, backend) })
	if p.onAttempt != nil {
		p.onAttempt(r, attempt)
	}
	return attempt
}

// send makes one attempt: it sends a request to a backend and reads the response, up to maxBufferedBody bytes of its
// body. It never retries; the caller decides on retries by the rule in the result.
func (p *Proxy) send(ctx context.Context, attempt *attempt, r *http.Request, request *balancer.Request,
	body requestBody) *attemptResult {
	startedAt := time.Now()
	result := &attemptResult{attempt: attempt, length: -1}
	defer func() { result.Latency = time.Since(startedAt) }()
	resp, err := p.roundTrip(ctx, attempt, newBackendRequest(r, request, body), body)
	result.Connected = attempt.connected.Load() && attempt.exchange.WriteStarted()
	result.StaleConnection = attempt.mayTakeNextConnection() && attempt.reused.Load()
	if err != nil {
		result.recordFailure(ctx, attempt.failureEvent(ctx, err))
		return result
	}
	attempt.headerRead.Store(true)
	result.Status = resp.StatusCode
	result.header = resp.Header
	result.ClosesConnection = resp.Close
	if err := p.readResponseBody(result, resp); err != nil {
		_ = resp.Body.Close() // err is the error to report
		result.recordFailure(ctx, attempt.failureEvent(ctx, err))
		return result
	}
	result.recordResponse(responseEvent(result.Status, result.header))
	distance := request.SentTo.Distance
	p.counters.sendsByDistance[distance].Add(1)
	p.counters.bytesByDistance[distance].Add(int64(len(body.buffered)) + max(0, result.length))
	return result
}

// checkWrite is called immediately before the first byte of an attempt is written. It forbids the write and returns the
// event that forbids it if, since the backend was picked, the client has disconnected, the shutdown deadline has passed or
// the permission to send to the backend was revoked.
func (p *Proxy) checkWrite(r *http.Request, backend *balancer.Backend) (event retry.Event, forbidden bool) {
	p.mu.Lock()
	permitted := p.balancer.MayWrite(backend, time.Now())
	p.mu.Unlock()
	switch {
	case r.Context().Err() != nil:
		return retry.ClientDisconnected, true
	case p.deadline.passed(): // the goroutine that cancels the attempt may not have run yet
		return retry.ShutdownDeadline, true
	}
	return retry.PermissionRevoked, !permitted
}

// roundTrip writes a request once and reads the header of the response. If a connection fails before anything was
// written on it, the request is written on another one, as no backend has received any part of it.
func (p *Proxy) roundTrip(ctx context.Context, current *attempt, outbound *http.Request,
	body requestBody) (*http.Response, error) {
	outbound = outbound.WithContext(httptrace.WithClientTrace(ctx, current.clientTrace()))
	newConns := 0
	for {
		if body.replayable() {
			upstream.SetNonReplayableBody(outbound, body.buffered)
		}
		current.resetConnection()
		resp, err := p.transport.RoundTrip(outbound)
		if err == nil || !body.replayable() || !current.mayTakeNextConnection() || ctx.Err() != nil {
			return resp, err
		}
		if !current.reused.Load() {
			newConns++
			if newConns == maxNewConns {
				return nil, err
			}
		}
	}
}

// readResponseBody reads a response's body if it is short, and the first part of a longer one. It reserves the memory
// in p.bufferedBytes before reading.
func (p *Proxy) readResponseBody(result *attemptResult, resp *http.Response) error {
	result.length = resp.ContentLength
	if result.attempt.method == http.MethodHead {
		return resp.Body.Close()
	}
	reserved := resp.ContentLength
	if reserved < 0 || reserved > maxBufferedBody {
		reserved = maxBufferedBody
	}
	p.bufferedBytes.Add(reserved)
	result.releaseBuffer = func() { p.bufferedBytes.Add(-reserved) }
	if resp.ContentLength >= 0 && resp.ContentLength <= maxBufferedBody {
		result.body = make([]byte, resp.ContentLength)
		if _, err := io.ReadFull(resp.Body, result.body); err != nil {
			result.close()
			return err
		}
		return resp.Body.Close()
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBufferedBody))
	if err != nil {
		result.close()
		return err
	}
	result.body = body
	if len(body) < maxBufferedBody {
		result.length = int64(len(body))
		return resp.Body.Close()
	}
	result.remainder = resp.Body
	return nil
}

// decide records how the attempt ended and what follows from it.
func (r *attemptResult) decide(phase retry.Phase, event retry.Event) {
	r.phase, r.event = phase, event
	r.rule = retry.Decide(phase, event)
	r.Execution = r.rule.Execution
}

// recordFailure records the outcome of an attempt that ended with event and without a complete response.
func (r *attemptResult) recordFailure(ctx context.Context, event retry.Event) {
	r.decide(r.attempt.phase(), event)
	r.Withheld = r.attempt.withheldBy.Load() != nil
	r.Cancelled = ctx.Err() != nil
	r.TimedOut = errors.Is(ctx.Err(), context.DeadlineExceeded)
}

// recordResponse records the outcome of an attempt whose response has the given event.
func (r *attemptResult) recordResponse(event retry.Event) {
	phase := r.attempt.phase()
	if !r.attempt.requestWritten.Load() { // the backend responded before the request was complete
		phase = retry.WritingBody
	}
	r.decide(phase, event)
	r.Succeeded = event == retry.ResponseReceived && r.Status/100 == 2
	r.attempt.complete.Store(r.remainder == nil)
}
