package upstream

import (
	"bytes"
	"io"
	"net/http"
	"sync/atomic"
)

// Exchange is one request and the response to it, on the connection that is assigned to it. The functions are set
// before it is assigned, and each may be nil.
type Exchange struct {
	// WriteGate is called for each write of the request. It calls write, or returns false to forbid it, which makes the
	// connection unusable. If it is nil all is permitted.
	WriteGate func(write func()) bool

	// MatchesResponse reports, from the header, whether a response is to this request. Others are skipped. If it is nil
	// all are.
	MatchesResponse func(http.Header) bool

	// ValidateResponse returns why a response, judged by its header, cannot be trusted. If it is nil all can.
	ValidateResponse func(*http.Response) error

	// RequestWritten reports whether the request has been written completely. If it is nil it has once there is a
	// response.
	RequestWritten func() bool

	noResponseBody   bool        // the response has no body, whatever its header says; set before writeStarted
	writeStarted     atomic.Bool // something has been written
	responseStarted  atomic.Bool // something of a response has arrived
	responseComplete atomic.Bool // the response has been read completely
}

// WriteStarted reports whether anything of the request may have been written.
func (e *Exchange) WriteStarted() bool { return e.writeStarted.Load() }

// ResponseStarted reports whether anything of a response has arrived.
func (e *Exchange) ResponseStarted() bool { return e.responseStarted.Load() }

// awaitsResponse reports whether a response may arrive now.
func (e *Exchange) awaitsResponse() bool {
	return e.writeStarted.Load() && !e.responseComplete.Load()
}

// SetNonReplayableBody gives a request a body that cannot be read again, even if it is empty. http.Transport sends a
// request without a body, or with one that it can read again, a second time by itself when a connection fails;
// whether a request is sent again is not for the Transport to decide.
func SetNonReplayableBody(req *http.Request, body []byte) {
	req.Body = io.NopCloser(bytes.NewReader(body))
	req.GetBody = nil
	req.ContentLength = int64(len(body))
	if len(body) == 0 {
		req.TransferEncoding = []string{"identity"} // a body of unknown length would be sent in chunks
	}
}
