package proxy

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"sagelever/internal/proxy/balancer"
	"sagelever/internal/proxy/retry"
)

// streamChunk is the number of bytes of a long response that are forwarded per write deadline.
const streamChunk = maxBufferedBody / 4

// replyUnavailable responds with 503, which promises the client that its request was not executed and never will be,
// and that it may retry after the given time. attempts are all attempts that were made for the request.
func (p *Proxy) replyUnavailable(w http.ResponseWriter, attempts attemptRecords, reason string,
	retryAfter time.Duration) {
	p.counters.rejected.Add(1)
	p.recordRefusal(w.Header().Get(headerTryID), attempts, reason)
	w.Header().Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	http.Error(w, reason, http.StatusServiceUnavailable)
}

// replyShuttingDown responds to a request that was not sent to a backend by the shutdown deadline.
func (p *Proxy) replyShuttingDown(w http.ResponseWriter) {
	p.announceShutdown(w.Header())
	p.replyUnavailable(w, nil, "shutting down", minRetryAfter)
}

// replyRejected responds to an invalid request that was not executed.
func (p *Proxy) replyRejected(w http.ResponseWriter, status int, reason string) {
	p.counters.rejected.Add(1)
	http.Error(w, reason, status)
}

// replyFailed responds to a request that may have been executed.
func (p *Proxy) replyFailed(w http.ResponseWriter, status int, reason string) {
	p.counters.failed.Add(1)
	http.Error(w, reason, status)
}

// respond responds to the client according to the retry rule of the last attempt. A response that promises that the
// request was not executed is only sent if that holds for all attempts, which are passed in their order.
func (p *Proxy) respond(w http.ResponseWriter, request *balancer.Request, result *attemptResult,
	attempts attemptRecords) {
	defer result.close()
	p.announceShutdown(w.Header()) // the shutdown may have begun since the request arrived
	rule := result.rule
	neverExecuted := request.Execution == retry.NotExecuted
	switch {
	case rule.Response == retry.Forwarded && (neverExecuted || rule.Execution != retry.NotExecuted):
		p.forwardResponse(w, result)
	case rule.Response == retry.ServiceUnavailable && neverExecuted:
		p.replyNoCapacity(w, request, attempts)
	case rule.Response == retry.GatewayTimeout:
		p.replyFailed(w, http.StatusGatewayTimeout, "no response in time")
	default:
		p.replyFailed(w, http.StatusBadGateway, "the response was lost")
	}
}

// replyNoCapacity rejects a request that was not executed. Retry-After is the service's typical latency, after which
// requests in flight have usually finished.
func (p *Proxy) replyNoCapacity(w http.ResponseWriter, request *balancer.Request, attempts attemptRecords) {
	p.mu.Lock()
	retryAfter := p.balancer.TypicalLatency(request.Service, time.Now())
	p.mu.Unlock()
	p.replyUnavailable(w, attempts, "no backend has capacity", max(minRetryAfter, retryAfter))
}

// forwardResponse forwards the response of the last attempt to the client. If that fails midway, it panics
// with http.ErrAbortHandler to close the connection, because a truncated response must not look complete.
func (p *Proxy) forwardResponse(w http.ResponseWriter, result *attemptResult) {
	copyResponseHeader(w.Header(), result)
	control := http.NewResponseController(w)
	defer func() { _ = control.SetWriteDeadline(time.Time{}) }() // irrelevant if the connection is closed
	if err := p.writeResponse(w, control, result); err != nil {
		p.counters.aborted.Add(1)
		panic(http.ErrAbortHandler)
	}
	if !result.Succeeded {
		p.counters.failed.Add(1)
		return
	}
	if p.counters.served.Add(1) == 1 {
		p.log.Info("first request served", zap.Int64("sinceStartMs", time.Since(p.startedAt).Milliseconds()))
	}
}

// copyResponseHeader copies the end-to-end headers of a backend's response.
func copyResponseHeader(header http.Header, result *attemptResult) {
	for name, values := range result.header {
		if !hopByHopHeaders[name] && name != "Date" {
			header[name] = values
		}
	}
	removeConnectionHeaders(header, result.header)
	if result.length >= 0 {
		header.Set("Content-Length", strconv.FormatInt(result.length, 10))
	}
}

// writeResponse writes a response to the client, streaming a long one as it arrives. Each write has the idle timeout as
// its deadline, so that a client that stops reading does not keep the request open.
func (p *Proxy) writeResponse(w http.ResponseWriter, control *http.ResponseController, result *attemptResult) error {
	idleTimeout := p.clientIdleTimeout()
	extendDeadline := func() {
		_ = control.SetWriteDeadline(time.Now().Add(idleTimeout)) // if the connection is closed, the write fails
	}
	extendDeadline()
	w.WriteHeader(result.Status)
	_, err := w.Write(result.body)
	if result.remainder == nil {
		return err
	}
	result.attempt.streaming.Store(true)
	stop := result.cancelOnDisconnect() // after a disconnect the rest of the response has no recipient
	defer stop()
	for err == nil {
		extendDeadline()
		_, err = io.CopyN(w, result.remainder, streamChunk)
	}
	if err == io.EOF { // the response is complete according to its length or its last chunk
		result.attempt.complete.Store(true)
		return nil
	}
	return err
}

// clientIdleTimeout returns the configured time without progress after which a client's connection is closed.
func (p *Proxy) clientIdleTimeout() time.Duration {
	if table := p.routingTable.Load(); table != nil && table.Limits.IdleTimeout > 0 {
		return table.Limits.IdleTimeout
	}
	return defaultLimits.IdleTimeout
}
