package httpagent

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync/atomic"
	"time"

	"sagelever/internal/agent/api"
	"sagelever/internal/agent/transaction"
	"sagelever/internal/upstream"
)

var errMalformedResponse = upstream.ErrMalformedResponse

// backendResponse is a response that has been read completely. Its owner must call release.
type backendResponse struct {
	status  int
	header  http.Header
	body    []byte
	release func()
}

// outcomeOf returns the outcome of an attempt. An attempt counts as never run only if that is certain.
func outcomeOf(response *backendResponse, err error) api.Outcome {
	if err == nil {
		return responseOutcome(response)
	}
	neverRan := transaction.NeverRan(err)
	canceled := errors.Is(err, transaction.ErrCanceled)
	switch {
	case neverRan && (canceled || errors.Is(err, errNoDescriptors)):
		return api.NotSent // caused by the agent, not by the backend
	case neverRan:
		return api.Unreachable
	case errors.Is(err, errMalformedResponse):
		return api.MalformedResponse
	case canceled:
		return api.Canceled
	case errors.Is(err, transaction.ErrTimedOut):
		return api.TimedOut
	}
	return api.ConnectionLost
}

// responseOutcome returns the outcome of an attempt that got a response. A backend that sets Not-Started has not run
// the request.
func responseOutcome(response *backendResponse) api.Outcome {
	unavailable := response.status == http.StatusServiceUnavailable || response.status == http.StatusGatewayTimeout
	switch {
	case response.status == http.StatusOK:
		return api.Succeeded
	case unavailable && response.header.Get("Not-Started") == "1":
		return api.Rejected
	case response.status >= 400 && response.status < 500:
		return api.InvalidRequest
	}
	return api.ErrorResponse
}

// inTransitGrace is how long a canceled attempt waits for a response that is already in transit: several times the
// latency within one site.
const inTransitGrace = 10 * time.Millisecond

// do sends one request to a backend and reads the whole response. If ctx ends, the attempt is canceled with the cause
// of ctx. Cancellation ends only the sending: a response that the backend has already written is still read, as the
// backend has run the request. If a reused connection turns out to be closed before anything is written on it, do
// retries on another connection.
func (c *backendClient) do(ctx context.Context, req *http.Request, body []byte) (*backendResponse, error) {
	for {
		upstream.SetNonReplayableBody(req, body)
		response, stale, err := c.doOnce(ctx, req)
		if !stale {
			return response, err
		}
	}
}

// doOnce sends a request on one connection. stale reports that the connection was a reused one that failed before
// anything was written.
func (c *backendClient) doOnce(ctx context.Context, req *http.Request) (response *backendResponse, stale bool,
	err error) {
	// The request's own context outlives ctx, so that a response in transit can be read.
	requestCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	x := &exchange{ctx: ctx, use: upstream.Exchange{WriteGate: transaction.WriteGuardFrom(ctx).Do}}
	stop := context.AfterFunc(ctx, func() { x.abort(cancel) })
	defer stop()
	resp, err := c.transport.RoundTrip(req.WithContext(httptrace.WithClientTrace(requestCtx, x.trace())))
	if err != nil {
		if x.connIsStale() {
			return nil, true, err
		}
		return nil, false, x.failure(x.stage(), err)
	}
	defer resp.Body.Close()
	response, err = c.readResponse(resp)
	if err != nil {
		return nil, false, x.failure(transaction.ResponseStarted, err)
	}
	x.closeIfHalfClosed()
	return response, false, nil
}

// exchange tracks one request on one connection by way of httptrace.
type exchange struct {
	ctx                 context.Context // of the attempt
	use                 upstream.Exchange
	conn                atomic.Pointer[upstream.Conn]
	reused              atomic.Bool // the connection has carried a request before
	writeFailed         atomic.Bool // the request was certainly not written completely
	canceledBeforeWrite atomic.Bool // the attempt was canceled before anything was written
}

func (x *exchange) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn:      x.gotConn,
		WroteRequest: func(info httptrace.WroteRequestInfo) { x.writeFailed.Store(info.Err != nil) },
		// Accepts any number of interim responses; upstream.Conn limits them.
		Got1xxResponse: func(int, textproto.MIMEHeader) error { return nil },
	}
}

// gotConn records the connection. If the attempt has already been canceled, gotConn closes the connection, as cancel
// may run only after the write.
func (x *exchange) gotConn(info httptrace.GotConnInfo) {
	conn := info.Conn.(*upstream.Conn)
	x.reused.Store(info.Reused)
	conn.Assign(&x.use)
	x.conn.Store(conn)
	if x.ctx.Err() != nil {
		x.canceledBeforeWrite.Store(true)
		closeConn(conn)
	}
}

// abort ends the sending immediately, and the reading after inTransitGrace. A connection that has delivered the whole
// response may already carry another request and is left open.
func (x *exchange) abort(cancel context.CancelFunc) {
	conn := x.conn.Load()
	if conn != nil && !conn.AssignedTo(&x.use) {
		return
	}
	if conn == nil || conn.CloseWrite() != nil {
		cancel()
		return
	}
	time.AfterFunc(inTransitGrace, cancel)
}

// connIsStale reports whether the request failed because a reused connection was closed, and may be sent on another
// one.
func (x *exchange) connIsStale() bool {
	return x.conn.Load() != nil && !x.use.WriteStarted() && x.reused.Load() && x.ctx.Err() == nil
}

// stage returns how far a request without a response had got.
func (x *exchange) stage() transaction.AttemptStage {
	switch {
	case x.conn.Load() == nil:
		return transaction.NotConnected
	case x.writeFailed.Load(), x.canceledBeforeWrite.Load(), !x.use.WriteStarted():
		return transaction.NotWritten
	}
	return transaction.Written
}

// failure returns the error of an attempt without a usable response.
func (x *exchange) failure(stage transaction.AttemptStage, err error) error {
	switch {
	case x.use.ResponseStarted(): // the response is invalid or incomplete
		err = errMalformedResponse
	case x.ctx.Err() != nil:
		err = context.Cause(x.ctx)
	}
	return &transaction.AttemptError{Stage: stage, Cause: err}
}

// closeIfHalfClosed closes the connection of a canceled attempt that still got a response: abort has closed the
// writing half, so the connection must not be reused.
func (x *exchange) closeIfHalfClosed() {
	if conn := x.conn.Load(); x.ctx.Err() != nil && conn.AssignedTo(&x.use) {
		closeConn(conn)
	}
}

func closeConn(conn *upstream.Conn) {
	_ = conn.Close() // the connection is discarded, so the error does not matter
}

// readResponse reads a whole response if the memory limit for all responses allows it.
func (c *backendClient) readResponse(resp *http.Response) (*backendResponse, error) {
	reserved := resp.ContentLength
	if reserved < 0 {
		reserved = c.pool.maxResponseSize
	}
	release := func() { c.pool.responseBytes.Add(-reserved) }
	if c.pool.responseBytes.Add(reserved) > c.pool.maxResponseBytes {
		release()
		return nil, errMalformedResponse
	}
	body, err := readBounded(resp, reserved)
	if err != nil {
		release()
		return nil, err
	}
	return &backendResponse{resp.StatusCode, resp.Header, body, release}, nil
}

// readBounded reads a body. If its length is not known, the body may have at most limit bytes.
func readBounded(resp *http.Response, limit int64) ([]byte, error) {
	if resp.ContentLength >= 0 {
		body := make([]byte, resp.ContentLength)
		_, err := io.ReadFull(resp.Body, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err == nil && int64(len(body)) > limit {
		err = errMalformedResponse
	}
	return body, err
}
