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

// replyUnavailable answers with the promise that the request has not run and never will, and when to come again.
func (p *Proxy) replyUnavailable(w http.ResponseWriter, reason string, retryAfter time.Duration) {
	p.counters.refused.Add(1)
	w.Header().Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	http.Error(w, reason, http.StatusServiceUnavailable)
}

func (p *Proxy) replyRejected(w http.ResponseWriter, status int, reason string) {
	p.counters.refused.Add(1)
	http.Error(w, reason, status)
}

// replyFailed answers a request that may have run.
func (p *Proxy) replyFailed(w http.ResponseWriter, status int, reason string) {
	p.counters.failed.Add(1)
	http.Error(w, reason, status)
}

// respond gives the client what the rule of the last send says. What an earlier send may have run is never refused.
func (p *Proxy) respond(w http.ResponseWriter, req *balancer.Request, result *sendResult) {
	defer result.close()
	notExecuted := req.Execution == retry.NotExecuted
	switch {
	case result.rule.Response == retry.Forwarded && (notExecuted || result.rule.Execution != retry.NotExecuted):
		p.forwardResponse(w, result)
	case result.rule.Response == retry.ServiceUnavailable && notExecuted:
		p.replyNoCapacity(w, req)
	case result.rule.Response == retry.GatewayTimeout:
		p.replyFailed(w, http.StatusGatewayTimeout, "no answer in time")
	default:
		p.replyFailed(w, http.StatusBadGateway, "its answer was lost")
	}
}

// replyNoCapacity refuses a request that has not run, with the time after which places have usually come free.
func (p *Proxy) replyNoCapacity(w http.ResponseWriter, req *balancer.Request) {
	p.mu.Lock()
	retryAfter := p.balancer.TypicalLatency(req.Service, time.Now())
	p.mu.Unlock()
	p.replyUnavailable(w, "no appliance has room", max(minRetryAfter, retryAfter))
}

// forwardResponse gives the client the answer of the last send.
func (p *Proxy) forwardResponse(w http.ResponseWriter, result *sendResult) {
	copyResponseHeader(w.Header(), result)
	control := http.NewResponseController(w)
	defer control.SetWriteDeadline(time.Time{})
	if err := p.writeResponse(w, control, result); err != nil {
		p.counters.aborted.Add(1)
		panic(http.ErrAbortHandler) // an answer that ends early must not look complete
	}
	if !result.Succeeded {
		p.counters.failed.Add(1)
		return
	}
	if p.counters.served.Add(1) == 1 {
		p.log.Info("first request served", zap.Int64("sinceStartMs", time.Since(p.startedAt).Milliseconds()))
	}
}

// copyResponseHeader gives a client the head of an appliance's answer.
func copyResponseHeader(header http.Header, result *sendResult) {
	for k, v := range result.header {
		if !hopByHopHeaders[k] && k != "Date" {
			header[k] = v
		}
	}
	removeConnectionHeaders(header, result.header)
	if result.length >= 0 {
		header.Set("Content-Length", strconv.FormatInt(result.length, 10))
	}
}

// writeResponse writes an answer, a long one as it comes. A client that does not read is not waited for without end.
func (p *Proxy) writeResponse(w http.ResponseWriter, control *http.ResponseController, result *sendResult) error {
	idleTimeout := defaultLimits.IdleTimeout
	if table := p.routingTable.Load(); table != nil && table.Limits.IdleTimeout > 0 {
		idleTimeout = table.Limits.IdleTimeout
	}
	control.SetWriteDeadline(time.Now().Add(idleTimeout))
	w.WriteHeader(result.Status)
	_, err := w.Write(result.body)
	if result.remainder == nil {
		return err
	}
	result.attempt.streaming.Store(true)
	defer result.abortOnDisconnect()() // it has run; nobody can take the rest
	for err == nil {
		control.SetWriteDeadline(time.Now().Add(idleTimeout))
		_, err = io.CopyN(w, result.remainder, maxBufferedBody/4)
	}
	if err == io.EOF { // the answer's own end, as its head or its last chunk says
		result.attempt.complete.Store(true)
		return nil
	}
	return err
}
