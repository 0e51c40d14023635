package httpagent

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"sagelever/internal/agent/api"
	"sagelever/internal/agent/transaction"
)

// healthPath is the path of the agent's own health check.
const healthPath = "/_health"

// ServeHTTP answers the agent's health check, passes mounted paths to their handlers, and treats every other request as
// a transaction.
func (a *Agent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if a.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	if r.URL.Path == healthPath && checkFraming(r) == nil {
		if !a.ready.Load() {
			http.Error(w, "starting", http.StatusServiceUnavailable)
		}
		return
	}
	if handler := a.mounts[r.URL.Path]; handler != nil {
		handler.ServeHTTP(w, r)
		return
	}
	a.serveTransaction(w, r)
}

// serveTransaction runs a request as a transaction and writes its final answer.
func (a *Agent) serveTransaction(w http.ResponseWriter, r *http.Request) {
	request, err := a.parseRequest(w, r)
	var invalid requestError
	if errors.As(err, &invalid) {
		a.reject(w, r, invalid)
		return
	}
	defer a.bodyBytes.Add(-int64(len(request.body)))
	if !a.clientConns.claim(r) {
		panic(http.ErrAbortHandler) // the connection was closed and the client will retry: no attempt, no response
	}
	a.openTransactions.Add(1)
	defer a.openTransactions.Add(-1)
	err = transaction.Run(a.engine, request.TransactionAccepted, transaction.Handler{
		Send: func(ctx context.Context, action api.StartAttempt) transaction.AttemptResult {
			return a.runAttempt(ctx, request, action)
		},
		Respond:     func(result transaction.Result) { a.respond(w, request, result) },
		ClientGone:  r.Context().Done(),
		AnswerGrace: a.AnswerGrace(),
	})
	if err != nil {
		a.reject(w, r, requestError{http.StatusConflict, err.Error()})
	}
}

// reject answers a request that does not become a transaction. If the connection may have unread body bytes, it is
// closed after the response without reading them, as net/http would otherwise wait for them before it responds.
func (a *Agent) reject(w http.ResponseWriter, r *http.Request, cause requestError) {
	a.badRequestLog.warn("bad_request", "status", cause.status, "why", cause.message)
	if r.ContentLength != 0 || checkFraming(r) != nil {
		w.Header().Set("Connection", "close")
		setReadDeadline(w, time.Now())
	}
	http.Error(w, cause.message, cause.status)
}

// setReadDeadline sets the deadline for reading from a client. It fails only if an embedding program passes a
// ResponseWriter without deadlines; that program must then limit reads itself.
func setReadDeadline(w http.ResponseWriter, deadline time.Time) {
	_ = http.NewResponseController(w).SetReadDeadline(deadline)
}

// A client that disconnects with less than 1/fullWaitFraction of its timeout left counts as having waited for all of it.
const fullWaitFraction = 10

// respond writes the final answer of a transaction.
func (a *Agent) respond(w http.ResponseWriter, request *clientRequest, result transaction.Result) {
	a.counters.countResult(result)
	switch result.State {
	case transaction.Succeeded:
		if result.Response.ContentType != "" {
			w.Header().Set("Content-Type", result.Response.ContentType)
		}
		w.Header().Set("Content-Length", strconv.Itoa(len(result.Response.Body)))
		w.Write(result.Response.Body)
	case transaction.Deferred:
		if result.RetryAfter > 0 {
			w.Header().Set("Retry-After", strconv.FormatFloat(result.RetryAfter.Seconds(), 'f', 3, 64))
		}
		w.WriteHeader(http.StatusServiceUnavailable)
	case transaction.DeadlineExceeded:
		a.log.Error("overdue", "transaction", request.ID)
		w.WriteHeader(http.StatusInternalServerError)
	case transaction.Failed:
		w.WriteHeader(http.StatusInternalServerError)
	case transaction.ClientGone:
		// A client that waited for its whole timeout without an answer indicates that its request reached the agent
		// late.
		if left := time.Until(request.deadline); left < request.Timeout/fullWaitFraction {
			a.log.Warn("client_gave_up", "transaction", request.ID, "left", left, "of", request.Timeout)
		}
		panic(http.ErrAbortHandler) // closes the connection without a response
	}
}

// hopByHop lists the headers that apply to one connection only, or that the agent sets itself.
var hopByHop = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Expect", "Content-Length", "Request-Timeout"}

// runAttempt runs one attempt. A panic ends only this attempt.
func (a *Agent) runAttempt(
	ctx context.Context, request *clientRequest, action api.StartAttempt,
) (result transaction.AttemptResult) {
	defer func() {
		if p := recover(); p != nil {
			a.log.Error("send_panic", "transaction", request.ID, "panic", fmt.Sprint(p))
			cause := &transaction.AttemptError{Stage: transaction.Written, Cause: fmt.Errorf("%v", p)}
			result = transaction.AttemptResult{Outcome: outcomeOf(nil, cause)}
		}
	}()
	response, err := a.sendAttempt(ctx, request, action)
	result.Outcome = outcomeOf(response, err)
	a.counters.countAttempt(result.Outcome)
	if response != nil {
		result.Load = transaction.ParseLoadReport(response.header.Get("Server-Load"))
		result.Response = &transaction.Response{
			ContentType: response.header.Get("Content-Type"),
			Body:        response.body,
			Release:     response.release,
		}
	}
	return result
}

// sendAttempt forwards a client's request to a backend and reads the response. The request is forwarded unchanged
// except for hop-by-hop headers and the remaining time.
func (a *Agent) sendAttempt(
	ctx context.Context, request *clientRequest, action api.StartAttempt,
) (*backendResponse, error) {
	target := a.backends.get(action.Backend)
	if target == nil {
		return nil, &transaction.AttemptError{Stage: transaction.NotConnected, Cause: errBackendGone}
	}
	remaining := time.Until(request.deadline)
	if action.Timeout > 0 {
		remaining = min(remaining, action.Timeout)
	}
	ctx, cancel := context.WithTimeoutCause(ctx, remaining, transaction.ErrTimedOut)
	defer cancel()
	req := &http.Request{
		Method: request.request.Method,
		Host:   request.request.Host,
		Header: request.request.Header.Clone(),
		URL:    &url.URL{Scheme: "http", Host: target.address, Opaque: request.request.RequestURI},
	}
	for _, name := range hopByHop {
		req.Header.Del(name)
	}
	if req.Header["User-Agent"] == nil {
		req.Header["User-Agent"] = []string{""} // otherwise net/http adds its own
	}
	req.Header.Set("Request-Timeout", fmt.Sprintf("%du", max(remaining.Microseconds(), 1)))
	return target.do(ctx, req, request.body)
}

var errBackendGone = errors.New("backend is not listed any more")
