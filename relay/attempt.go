package relay

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"syscall"

	"github.com/go-faster/errors"

	"sagelever/strand"
	"sagelever/verdict"
)

// attempt is one send of a request to one appliance, and how far it has come. Its phase may be asked for at any time.
type attempt struct {
	use      strand.Use
	method   string
	id       string                        // of the try, as the client sent it
	withheld atomic.Pointer[verdict.Event] // why nothing was written

	connected, reused           atomic.Bool // it has a connection; one that has carried a request before
	headWritten, written        atomic.Bool // handed to the connection whole: its head, all of it
	headRead, streams, complete atomic.Bool // of its answer: the head is whole, the client has part of it, it is whole
}

// newAttempt makes an attempt; gate is asked before its first byte is written, and gives the event that forbids it.
func newAttempt(q *http.Request, gate func() (verdict.Event, bool)) *attempt {
	a := &attempt{method: q.Method, id: q.Header.Get(tryID)}
	a.use.Ours = func(h http.Header) bool { return h.Get(tryID) == a.id || h.Get(tryID) == "" }
	a.use.Refuse = a.refuse
	a.use.Whole = a.written.Load
	a.use.Pass = func(write func()) bool {
		if !a.use.Wrote() { // what has begun there ends there
			if event, closed := gate(); closed {
				a.withheld.Store(&event)
				return false
			}
		}
		write()
		return true
	}
	return a
}

var (
	errUnnamed  = errors.New("the answer carries no try's id")
	errUnsealed = errors.New("a success without the appliance's seal")
	errUnended  = errors.New("the answer does not say where it ends, so that a part of it would look whole")
)

// refuse tells why an answer that stands in the place of the awaited one may not be believed.
func (a *attempt) refuse(resp *http.Response) error {
	switch {
	case resp.Header.Get(tryID) == "":
		return errUnnamed
	case resp.StatusCode/100 == 2 && resp.Header.Get(stamp) == "":
		return errUnsealed
	case resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && a.method != http.MethodHead:
		return errUnended
	}
	return nil
}

// begin makes the attempt ready for another connection, as nothing was written on the one before.
func (a *attempt) begin() {
	for _, x := range []*atomic.Bool{&a.connected, &a.reused, &a.headWritten, &a.written} {
		x.Store(false)
	}
}

// trace has the transport tell how far it has come.
func (a *attempt) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			a.connected.Store(true)
			a.reused.Store(info.Reused)
			info.Conn.(*strand.Conn).Take(&a.use)
		},
		WroteHeaders: func() { a.headWritten.Store(true) },
		WroteRequest: func(info httptrace.WroteRequestInfo) { a.written.Store(info.Err == nil) },
	}
}

// phase tells how far the attempt has come. What waits in a buffer in front of the connection is not yet written.
func (a *attempt) phase() verdict.Phase {
	switch {
	case a.complete.Load():
		return verdict.Complete
	case a.streams.Load():
		return verdict.Streaming
	case a.headRead.Load():
		return verdict.BodyReading
	case a.use.Began():
		return verdict.HeadReading
	case !a.connected.Load():
		return verdict.Dialing
	case !a.use.Wrote():
		return verdict.Connected
	case !a.headWritten.Load():
		return verdict.HeadWriting
	case !a.written.Load():
		return verdict.BodyWriting
	}
	return verdict.Written
}

// failure reads the event that ended an attempt without a whole answer.
func (a *attempt) failure(ctx context.Context, err error) verdict.Event {
	if e := a.withheld.Load(); e != nil {
		return *e
	}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return verdict.Silence
	case ctx.Err() != nil:
		return verdict.CallerGone
	case errors.Is(err, errUnnamed):
		return verdict.Unnamed
	case errors.Is(err, errUnsealed):
		return verdict.Unsealed
	case errors.Is(err, strand.ErrSpoilt):
		return verdict.Spoilt
	}
	if a.phase() == verdict.Dialing {
		if slow, ok := errors.Into[net.Error](err); ok && slow.Timeout() {
			return verdict.Silence
		}
		return verdict.Reset
	}
	for _, broken := range []error{syscall.ECONNRESET, syscall.EPIPE, syscall.ETIMEDOUT} {
		if errors.Is(err, broken) {
			return verdict.Reset
		}
	}
	return verdict.Close
}

// promises are the statuses which tell a client that its request has not run and never will.
var promises = map[int]bool{http.StatusRequestTimeout: true, http.StatusMisdirectedRequest: true,
	http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true}

// answered reads the event of a whole answer. Only the header, and 421, say that the request did not run.
func answered(status int, head http.Header) verdict.Event {
	switch {
	case head.Get(notRun) != "" && status/100 == 4 && !promises[status]:
		return verdict.Rejected
	case head.Get(notRun) != "":
		return verdict.NotRun
	case status == http.StatusMisdirectedRequest:
		return verdict.Misdirected
	case promises[status]:
		return verdict.Unproven
	case status >= http.StatusInternalServerError:
		return verdict.Failed
	}
	return verdict.Answered
}
