package proxy

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"syscall"

	"github.com/go-faster/errors"

	"sagelever/internal/proxy/retry"
	"sagelever/internal/upstream"
)

// attempt is the state of one attempt to send a request to a backend. Its phase may be read concurrently.
type attempt struct {
	exchange   upstream.Exchange
	method     string
	tryID      string // the client's id of the request, which the response must repeat
	backendID  string
	withheldBy atomic.Pointer[retry.Event] // the event that forbade writing; nil if writing was permitted

	// State of the current connection and of the request on it.
	connected      atomic.Bool
	conn           atomic.Pointer[upstream.Conn] // the latest connection; nil if there was none
	reused         atomic.Bool                   // the connection has carried a request before
	headerWritten  atomic.Bool
	requestWritten atomic.Bool

	// State of the response.
	headerRead atomic.Bool
	streaming  atomic.Bool // a part of it has been forwarded to the client
	complete   atomic.Bool
}

// newAttempt returns an attempt to send a request to a backend. checkWrite is called before the first byte is written
// and returns the event that forbids the write, if any. Later bytes are not checked, as the backend may already be
// processing the request.
func newAttempt(r *http.Request, backendID string, checkWrite func() (event retry.Event, forbidden bool)) *attempt {
	a := &attempt{method: r.Method, tryID: r.Header.Get(headerTryID), backendID: backendID}
	a.exchange.MatchesResponse = func(header http.Header) bool {
		id := header.Get(headerTryID)
		return id == a.tryID || id == "" // validateResponse rejects a response without an id
	}
	a.exchange.ValidateResponse = a.validateResponse
	a.exchange.RequestWritten = a.requestWritten.Load
	a.exchange.WriteGate = func(write func()) bool {
		if !a.exchange.WriteStarted() {
			if event, forbidden := checkWrite(); forbidden {
				a.withheldBy.Store(&event)
				return false
			}
		}
		write()
		return true
	}
	return a
}

var (
	errUnidentifiedResponse = errors.New("response has no try id")
	errMissingSeal          = errors.New("successful response has no backend seal")
	errUnknownLength        = errors.New("response has no length, so truncation would go undetected")
)

// validateResponse returns an error if a response must be rejected because of its header.
func (a *attempt) validateResponse(resp *http.Response) error {
	switch {
	case resp.Header.Get(headerTryID) == "":
		return errUnidentifiedResponse
	case resp.StatusCode/100 == 2 && resp.Header.Get(headerServerSeal) == "":
		return errMissingSeal
	case resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && a.method != http.MethodHead:
		return errUnknownLength
	}
	return nil
}

// resetConnection prepares the attempt for another connection. Nothing may have been written on the previous one.
func (a *attempt) resetConnection() {
	a.connected.Store(false)
	a.reused.Store(false)
	a.headerWritten.Store(false)
	a.requestWritten.Store(false)
}

// mayTakeNextConnection reports whether the attempt failed on a connection before anything was written, so that it can
// continue on another connection.
func (a *attempt) mayTakeNextConnection() bool {
	return a.connected.Load() && !a.exchange.WriteStarted() && a.withheldBy.Load() == nil
}

// clientTrace returns the hooks by which the transport records the progress of the attempt.
func (a *attempt) clientTrace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			a.connected.Store(true)
			a.reused.Store(info.Reused)
			conn := info.Conn.(*upstream.Conn)
			a.conn.Store(conn)
			conn.Assign(&a.exchange)
		},
		WroteHeaders: func() { a.headerWritten.Store(true) },
		WroteRequest: func(info httptrace.WroteRequestInfo) { a.requestWritten.Store(info.Err == nil) },
	}
}

// phase returns the phase of the attempt. Bytes that are still buffered before the connection count as not written.
func (a *attempt) phase() retry.Phase {
	switch {
	case a.complete.Load():
		return retry.Complete
	case a.streaming.Load():
		return retry.Streaming
	case a.headerRead.Load():
		return retry.ReadingBody
	case a.exchange.ResponseStarted():
		return retry.ReadingHeader
	case !a.connected.Load():
		return retry.Dialing
	case !a.exchange.WriteStarted():
		return retry.Connected
	case !a.headerWritten.Load():
		return retry.WritingHeader
	case !a.requestWritten.Load():
		return retry.WritingBody
	}
	return retry.AwaitingResponse
}

// failureEvent returns the event that ended an attempt without a complete response. ctx is the context of the attempt,
// and err is the error of the transport or of reading the body.
func (a *attempt) failureEvent(ctx context.Context, err error) retry.Event {
	if event := a.withheldBy.Load(); event != nil {
		return *event
	}
	switch {
	case ctx.Err() != nil:
		return cancellationEvent(ctx)
	case errors.Is(err, errUnidentifiedResponse):
		return retry.UnidentifiedResponse
	case errors.Is(err, errMissingSeal):
		return retry.UnsealedResponse
	case errors.Is(err, upstream.ErrMalformedResponse):
		return retry.MalformedResponse
	case a.phase() == retry.Dialing:
		return dialFailureEvent(err)
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE), errors.Is(err, syscall.ETIMEDOUT):
		return retry.ConnectionReset
	}
	return retry.ConnectionClosed
}

// dialFailureEvent returns the event of a failed dial.
func dialFailureEvent(err error) retry.Event {
	if netErr, ok := errors.Into[net.Error](err); ok && netErr.Timeout() {
		return retry.Timeout
	}
	return retry.ConnectionReset
}

// refusalStatuses are the statuses that promise a client that its request was not executed and never will be.
var refusalStatuses = map[int]bool{
	http.StatusRequestTimeout:     true,
	http.StatusMisdirectedRequest: true,
	http.StatusTooManyRequests:    true,
	http.StatusServiceUnavailable: true,
}

// responseEvent returns the event of a complete response. Only headerNotExecuted and status 421 confirm that the
// request was not executed.
func responseEvent(status int, header http.Header) retry.Event {
	switch {
	case header.Get(headerNotExecuted) != "" && status/100 == 4 && !refusalStatuses[status]:
		return retry.RequestRejected
	case header.Get(headerNotExecuted) != "":
		return retry.Declined
	case status == http.StatusMisdirectedRequest:
		return retry.Misdirected
	case refusalStatuses[status]:
		return retry.UnconfirmedRefusal
	case status >= http.StatusInternalServerError:
		return retry.ServerError
	}
	return retry.ResponseReceived
}
