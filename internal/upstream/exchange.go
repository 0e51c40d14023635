package upstream

import (
	"bytes"
	"io"
	"net/http"
	"sync/atomic"
)

// Exchange is a request and its response on the connection that is assigned to it. The function fields must be set
// before the assignment; each may be nil.
type Exchange struct {
	// WriteGate is called for each write of the request. It must either call write and return true, or return false to
	// forbid the write, which makes the connection unusable. If WriteGate is nil, all writes are permitted.
	WriteGate func(write func()) bool

	// MatchesResponse reports whether a response with the given header belongs to this request. Other responses are
	// skipped. If MatchesResponse is nil, all responses match.
	MatchesResponse func(http.Header) bool

	// ValidateResponse returns an error if a response must be rejected because of its header. If ValidateResponse is
	// nil, all responses are accepted.
	ValidateResponse func(*http.Response) error

	// RequestWritten reports whether the request has been written completely. If RequestWritten is nil, a request
	// counts as written once its response arrives.
	RequestWritten func() bool

	noResponseBody   bool        // the response has no body, whatever its header announces; set before writeStarted
	writeStarted     atomic.Bool // a part of the request may have been written
	responseStarted  atomic.Bool // a part of a response has arrived
	responseComplete atomic.Bool // the response has been read completely
}

// WriteStarted reports whether any part of the request may have been written.
func (e *Exchange) WriteStarted() bool { return e.writeStarted.Load() }

// ResponseStarted reports whether any part of a response has arrived.
func (e *Exchange) ResponseStarted() bool { return e.responseStarted.Load() }

// awaitsResponse reports whether a response to the exchange is outstanding.
func (e *Exchange) awaitsResponse() bool {
	return e.writeStarted.Load() && !e.responseComplete.Load()
}

// SetNonReplayableBody sets a request body, possibly empty, that cannot be read a second time. It prevents
// http.Transport from retrying the request by itself after a connection failure, which it does for requests whose body
// is absent or can be read again. Only the caller decides on retries.
func SetNonReplayableBody(req *http.Request, body []byte) {
	req.Body = io.NopCloser(bytes.NewReader(body))
	req.GetBody = nil
	req.ContentLength = int64(len(body))
	if len(body) == 0 {
		req.TransferEncoding = []string{"identity"} // otherwise the body would be sent in chunks
	}
}
