package proxy

import (
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"sagelever/internal/control/routing"
)

const (
	// maxBufferedBody is the maximum number of bytes of a body that are kept in memory. A request with a longer body is
	// streamed and cannot be sent twice; a longer response is forwarded as it arrives.
	maxBufferedBody = 1 << 20

	// bodyReadSlack is the number of bytes in a body's buffer beyond its announced length, so that the read that
	// returns io.EOF needs no reallocation.
	bodyReadSlack = 512
)

// requestBody is the body of a client's request.
type requestBody struct {
	buffered  []byte    // the body, or the first part of one that is too long to buffer
	remainder io.Reader // the rest of the body; nil if buffered is complete
}

// replayable reports whether the body can be sent more than once.
func (b requestBody) replayable() bool { return b.remainder == nil }

// readRequestBody reads the body of a request, or the first part of a long one, within the limits. If ok is false, it
// has already responded to the client. If ok is true, the caller must subtract the length of the buffered part from
// p.bufferedBytes after use.
func (p *Proxy) readRequestBody(w http.ResponseWriter, r *http.Request,
	limits routing.RequestLimits) (body requestBody, ok bool) {
	if r.ContentLength == 0 || r.Body == nil || r.Body == http.NoBody {
		return requestBody{}, true
	}
	maxBytes := limits.MaxBodyBytes
	if maxBytes <= 0 {
		maxBytes = defaultLimits.MaxBodyBytes
	}
	if r.ContentLength > maxBytes {
		p.replyRejected(w, http.StatusRequestEntityTooLarge, "the body is too long")
		return requestBody{}, false
	}
	if p.bufferedBytes.Load() > p.bufferLimit {
		p.replyUnavailable(w, nil, "no memory for the body", minRetryAfter)
		return requestBody{}, false
	}
	if limits.IdleTimeout > 0 {
		control := http.NewResponseController(w)
		_ = control.SetReadDeadline(time.Now().Add(limits.IdleTimeout)) // if the connection is closed, the read fails
		defer func() { _ = control.SetReadDeadline(time.Time{}) }()
	}
	stopDeadline := p.deadline.whenPassed(func() { interruptBodyRead(w) })
	defer stopDeadline()
	reader := http.MaxBytesReader(w, r.Body, maxBytes)
	body, err := bufferBody(reader, r.ContentLength)
	if err != nil {
		p.replyBodyError(w, err)
		return requestBody{}, false
	}
	p.bufferedBytes.Add(int64(len(body.buffered)))
	return body, true
}

// interruptBodyRead makes the current and all later reads of a request's body fail. It does not wait for them.
func interruptBodyRead(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetReadDeadline(time.Now()) // if the connection is closed, the read fails
}

// bufferBody reads a body into memory, and stops once more than maxBufferedBody bytes are read. contentLength is the
// announced length, negative if unknown.
func bufferBody(reader io.Reader, contentLength int64) (requestBody, error) {
	expected := min(max(contentLength, 0), maxBufferedBody)
	buffer := make([]byte, 0, expected+bodyReadSlack)
	for {
		n, err := reader.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if err == io.EOF {
			return requestBody{buffered: buffer}, nil
		}
		if err != nil {
			return requestBody{}, err
		}
		if len(buffer) > maxBufferedBody {
			return requestBody{buffered: buffer, remainder: reader}, nil
		}
		if len(buffer) == cap(buffer) {
			buffer = append(buffer, 0)[:len(buffer)] // grows the capacity
		}
	}
}

// replyBodyError responds to a request whose body could not be read.
func (p *Proxy) replyBodyError(w http.ResponseWriter, err error) {
	if _, tooLong := errors.Into[*http.MaxBytesError](err); tooLong {
		p.replyRejected(w, http.StatusRequestEntityTooLarge, "the body is too long")
		return
	}
	if p.deadline.passed() {
		p.replyShuttingDown(w)
		return
	}
	w.Header().Set("Connection", "close")
	p.replyRejected(w, http.StatusBadRequest, "the body can't be read")
}
