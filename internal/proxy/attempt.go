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

// attempt is one send of a request to one appliance, and how far it has come. Its phase may be asked for at any time.
type attempt struct {
	exchange   upstream.Exchange
	method     string
	tryID      string                      // of the try, as the client sent it
	withheldBy atomic.Pointer[retry.Event] // why nothing was written

	connected, reused               atomic.Bool // it has a connection; one that has carried a request before
	headerWritten, requestWritten   atomic.Bool // handed to the connection whole: its head, all of it
	headerRead, streaming, complete atomic.Bool // of its answer: the head is whole, the client has part of it, it is whole
}

// newAttempt makes an attempt; gate is asked before its first byte is written, and gives the event that forbids it.
func newAttempt(r *http.Request, gate func() (retry.Event, bool)) *attempt {
	a := &attempt{method: r.Method, tryID: r.Header.Get(headerTryID)}
	a.exchange.MatchesResponse = func(h http.Header) bool { return h.Get(headerTryID) == a.tryID || h.Get(headerTryID) == "" }
	a.exchange.ValidateResponse = a.validateResponse
	a.exchange.RequestWritten = a.requestWritten.Load
	a.exchange.WriteGate = func(write func()) bool {
		if !a.exchange.WriteStarted() { // what has begun there ends there
			if event, forbidden := gate(); forbidden {
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
	errUnidentifiedResponse = errors.New("the answer carries no try's id")
	errMissingSeal          = errors.New("a success without the appliance's seal")
	errUnknownLength        = errors.New("the answer does not say where it ends, so that a part of it would look whole")
)

// validateResponse tells why an answer that stands in the place of the awaited one may not be believed.
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

// resetConnection makes the attempt ready for another connection, as nothing was written on the one before.
func (a *attempt) resetConnection() {
	for _, flag := range []*atomic.Bool{&a.connected, &a.reused, &a.headerWritten, &a.requestWritten} {
		flag.Store(false)
	}
}

// clientTrace has the transport tell how far it has come.
func (a *attempt) clientTrace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			a.connected.Store(true)
			a.reused.Store(info.Reused)
			info.Conn.(*upstream.Conn).Assign(&a.exchange)
		},
		WroteHeaders: func() { a.headerWritten.Store(true) },
		WroteRequest: func(info httptrace.WroteRequestInfo) { a.requestWritten.Store(info.Err == nil) },
	}
}

// phase tells how far the attempt has come. What waits in a buffer in front of the connection is not yet written.
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

// failureEvent reads the event that ended an attempt without a whole answer.
func (a *attempt) failureEvent(ctx context.Context, err error) retry.Event {
	if event := a.withheldBy.Load(); event != nil {
		return *event
	}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return retry.Timeout
	case ctx.Err() != nil:
		return retry.ClientDisconnected
	case errors.Is(err, errUnidentifiedResponse):
		return retry.UnidentifiedResponse
	case errors.Is(err, errMissingSeal):
		return retry.UnsealedResponse
	case errors.Is(err, upstream.ErrMalformedResponse):
		return retry.MalformedResponse
	}
	if a.phase() == retry.Dialing {
		if netErr, ok := errors.Into[net.Error](err); ok && netErr.Timeout() {
			return retry.Timeout
		}
		return retry.ConnectionReset
	}
	for _, connErr := range []error{syscall.ECONNRESET, syscall.EPIPE, syscall.ETIMEDOUT} {
		if errors.Is(err, connErr) {
			return retry.ConnectionReset
		}
	}
	return retry.ConnectionClosed
}

// refusalStatuses are the statuses which tell a client that its request has not run and never will.
var refusalStatuses = map[int]bool{http.StatusRequestTimeout: true, http.StatusMisdirectedRequest: true,
	http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true}

// responseEvent reads the event of a whole answer. Only the header, and 421, say that the request did not run.
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
