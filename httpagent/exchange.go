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

// backendResponse is what a backend has answered, read whole. Whoever has it releases it.
type backendResponse struct {
	status  int
	header  http.Header
	body    []byte
	release func()
}

// outcomeOf tells how an attempt ended. Only what is certain counts as never run.
func outcomeOf(response *backendResponse, err error) api.Outcome {
	if err == nil {
		return responseOutcome(response)
	}
	neverRan := transaction.NeverRan(err)
	canceled := errors.Is(err, transaction.ErrCanceled)
	switch {
	case neverRan && (canceled || errors.Is(err, errNoDescriptors)):
		return api.NotSent // the agent's doing, not the backend's
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

// responseOutcome tells how an attempt ended that was answered. A backend that says Not-Started has not run it.
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

// inTransitGrace is how long a response that is on its way may take to arrive once an attempt is given up: several
// times what a network within one site takes.
const inTransitGrace = 10 * time.Millisecond

// do sends one request to a backend and reads the response whole. The attempt is given up when ctx ends, whose cause
// says why. That ends only the sending: a response that was written before is still read, as the backend did carry the
// request out. A kept connection that turns out to be useless before anything is written on it is replaced by the next
// one, as nothing has been sent then.
func (c *backendClient) do(ctx context.Context, req *http.Request, body []byte) (*backendResponse, error) {
	for {
		upstream.SetNonReplayableBody(req, body)
		response, stale, err := c.doOnce(ctx, req)
		if !stale {
			return response, err
		}
	}
}

// doOnce sends a request on one connection. stale says that it was a kept one on which nothing could be written.
func (c *backendClient) doOnce(ctx context.Context, req *http.Request) (response *backendResponse, stale bool,
	err error) {
	// The request's own context outlives ctx, so that a response in transit can be read.
	requestCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	x := &exchange{ctx: ctx, use: upstream.Exchange{WriteGate: transaction.WriteGuardFrom(ctx).Do}}
	stop := context.AfterFunc(ctx, func() { x.giveUp(cancel) })
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

// exchange is one request on one connection, with what the transport tells of it.
type exchange struct {
	ctx                 context.Context // of the attempt
	use                 upstream.Exchange
	conn                atomic.Pointer[upstream.Conn]
	reused              atomic.Bool // the connection was a kept one
	writeFailed         atomic.Bool // the last byte was not written, for certain
	canceledBeforeWrite atomic.Bool // it was given up before anything was written
}

func (x *exchange) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn:      x.gotConn,
		WroteRequest: func(info httptrace.WroteRequestInfo) { x.writeFailed.Store(info.Err != nil) },
		// Interim responses are let pass; upstream.Conn bounds them.
		Got1xxResponse: func(int, textproto.MIMEHeader) error { return nil },
	}
}

// gotConn takes up the connection. If the attempt was given up by then, the connection is closed here, as giveUp may
// run only after the write.
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

// giveUp ends the sending, and the reading after inTransitGrace. A connection that has just delivered the whole
// response carries the next request and is left alone.
func (x *exchange) giveUp(cancel context.CancelFunc) {
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

// connIsStale reports whether the request failed as a kept connection was of no use, and may go to another.
func (x *exchange) connIsStale() bool {
	return x.conn.Load() != nil && !x.use.WriteStarted() && x.reused.Load() && x.ctx.Err() == nil
}

// stage tells how far a request had come that has no response.
func (x *exchange) stage() transaction.AttemptStage {
	switch {
	case x.conn.Load() == nil:
		return transaction.NotConnected
	case x.writeFailed.Load(), x.canceledBeforeWrite.Load(), !x.use.WriteStarted():
		return transaction.NotWritten
	}
	return transaction.Written
}

// failure is the error of an attempt without a usable response.
func (x *exchange) failure(stage transaction.AttemptStage, err error) error {
	switch {
	case x.use.ResponseStarted(): // what came is no response, or never ended, or broke off
		err = errMalformedResponse
	case x.ctx.Err() != nil:
		err = context.Cause(x.ctx)
	}
	return &transaction.AttemptError{Stage: stage, Cause: err}
}

// closeIfHalfClosed closes the connection of an attempt that was given up but answered: giveUp has closed its writing
// half, so it must not be used again.
func (x *exchange) closeIfHalfClosed() {
	if conn := x.conn.Load(); x.ctx.Err() != nil && conn.AssignedTo(&x.use) {
		closeConn(conn)
	}
}

func closeConn(conn *upstream.Conn) {
	_ = conn.Close() // it is not used any more, and nobody waits for it
}

// readResponse reads a response whole, if all of them together leave room for it.
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

// readBounded reads a body whose length is known, or one that ends by itself within a limit.
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
