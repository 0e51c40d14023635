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

// sendResult is what came of a send.
type sendResult struct {
	balancer.Outcome
	rule              retry.Rule // what follows
	attempt           *attempt
	header            http.Header
	body              []byte
	length            int64 // -1 where it is not known
	remainder         io.ReadCloser
	release           func()
	abortOnDisconnect func() (stop func() bool) // has the rest of the answer broken off once the client is gone
}

func (r *sendResult) close() {
	if r.remainder != nil {
		r.remainder.Close()
	}
	if r.release != nil {
		r.release()
		r.release = nil
	}
}

// send carries a request to an appliance once and reads the answer. It never sends by itself a second time.
func (p *Proxy) send(ctx context.Context, r *http.Request, req *balancer.Request, backend *balancer.Backend, body []byte, remainder io.Reader) *sendResult {
	startedAt := time.Now()
	attempt := newAttempt(r, func() (retry.Event, bool) { return p.writeGate(r, backend) })
	if p.onAttempt != nil {
		p.onAttempt(r, attempt)
	}
	result := &sendResult{attempt: attempt, length: -1}
	defer func() { result.Latency = time.Since(startedAt) }()
	resp, err := p.roundTrip(ctx, attempt, newBackendRequest(r, req, body, remainder), body, remainder != nil)
	result.Connected = attempt.connected.Load() && attempt.exchange.WriteStarted()
	if err != nil {
		p.recordFailure(ctx, result, attempt.failureEvent(ctx, err))
		return result
	}
	attempt.headerRead.Store(true)
	result.Status, result.header, result.ClosesConnection = resp.StatusCode, resp.Header, resp.Close
	if err := p.readResponseBody(result, resp); err != nil {
		resp.Body.Close()
		p.recordFailure(ctx, result, attempt.failureEvent(ctx, err))
		return result
	}
	p.recordResponse(result, responseEvent(result.Status, result.header))
	p.counters.sendsByDistance[req.SentTo.Distance].Add(1)
	p.counters.bytesByDistance[req.SentTo.Distance].Add(int64(len(body)) + max(0, result.length))
	return result
}

// writeGate is asked before the first byte of a send: nothing is begun for a client that is gone, or at an appliance that
// leaves meanwhile.
func (p *Proxy) writeGate(r *http.Request, backend *balancer.Backend) (event retry.Event, forbidden bool) {
	p.mu.Lock()
	open := p.balancer.MayWrite(backend, time.Now())
	p.mu.Unlock()
	if r.Context().Err() != nil {
		return retry.ClientDisconnected, true
	}
	return retry.PermissionRevoked, !open
}

// maxNewConns is how many new connections one send may use up: one that was opened ahead may have ended since.
const maxNewConns = 2

// roundTrip writes a request once and reads the head of its answer. A kept connection that has ended before anything was
// written on it is passed over for the next.
func (p *Proxy) roundTrip(ctx context.Context, a *attempt, outbound *http.Request, body []byte, streamed bool) (*http.Response, error) {
	outbound = outbound.WithContext(httptrace.WithClientTrace(ctx, a.clientTrace()))
	for newConns := 0; ; {
		if !streamed {
			upstream.SetNonReplayableBody(outbound, body)
		}
		a.resetConnection()
		resp, err := p.transport.RoundTrip(outbound)
		switch {
		case err == nil, streamed, !a.connected.Load(), a.exchange.WriteStarted(), a.withheldBy.Load() != nil, ctx.Err() != nil:
			return resp, err
		case !a.reused.Load():
			if newConns++; newConns == maxNewConns {
				return nil, err
			}
		}
	}
}

// recordFailure notes what follows from an event that left no whole answer.
func (p *Proxy) recordFailure(ctx context.Context, result *sendResult, event retry.Event) {
	result.rule = retry.Decide(result.attempt.phase(), event)
	result.Execution = result.rule.Execution
	result.Withheld = result.attempt.withheldBy.Load() != nil
	result.Cancelled = ctx.Err() != nil
	result.TimedOut = errors.Is(ctx.Err(), context.DeadlineExceeded)
}

// recordResponse notes what follows from an answer.
func (p *Proxy) recordResponse(result *sendResult, event retry.Event) {
	phase := result.attempt.phase()
	if !result.attempt.requestWritten.Load() { // it has come early
		phase = retry.WritingBody
	}
	result.rule = retry.Decide(phase, event)
	result.Execution = result.rule.Execution
	result.Succeeded = event == retry.ResponseReceived && result.Status/100 == 2
	result.attempt.complete.Store(result.remainder == nil)
}

// readResponseBody reads an answer's body whole where it is short; the rest of a longer one is passed on as it comes.
func (p *Proxy) readResponseBody(result *sendResult, resp *http.Response) error {
	result.length = resp.ContentLength
	if result.attempt.method == http.MethodHead {
		return resp.Body.Close()
	}
	reserved := resp.ContentLength
	if reserved < 0 || reserved > maxBufferedBody {
		reserved = maxBufferedBody
	}
	p.bufferedBytes.Add(reserved)
	result.release = func() { p.bufferedBytes.Add(-reserved) }
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
