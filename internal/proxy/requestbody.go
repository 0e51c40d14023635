package proxy

import (
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"sagelever/internal/control/routing"
)

// readRequestBody reads a request's body whole, up to a bound; rest is what is left of a longer one.
func (p *Proxy) readRequestBody(w http.ResponseWriter, r *http.Request, limits routing.RequestLimits) (body []byte, remainder io.Reader, ok bool) {
	if r.ContentLength == 0 || r.Body == nil || r.Body == http.NoBody {
		return nil, nil, true
	}
	maxBytes := limits.MaxBodyBytes
	if maxBytes <= 0 {
		maxBytes = defaultLimits.MaxBodyBytes
	}
	if r.ContentLength > maxBytes {
		p.replyRejected(w, http.StatusRequestEntityTooLarge, "the body is too long")
		return nil, nil, false
	}
	if p.bufferedBytes.Load() > p.bufferLimit {
		p.replyUnavailable(w, "no room for the body", minRetryAfter)
		return nil, nil, false
	}
	control := http.NewResponseController(w)
	if limits.IdleTimeout > 0 {
		control.SetReadDeadline(time.Now().Add(limits.IdleTimeout))
		defer control.SetReadDeadline(time.Time{})
	}
	reader := http.MaxBytesReader(w, r.Body, maxBytes)
	sizeHint := min(max(r.ContentLength, 0), maxBufferedBody)
	body = make([]byte, 0, sizeHint+512)
	for {
		n, err := reader.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err == io.EOF {
			p.bufferedBytes.Add(int64(len(body)))
			return body, nil, true
		}
		if err != nil {
			if _, long := errors.Into[*http.MaxBytesError](err); long {
				p.replyRejected(w, http.StatusRequestEntityTooLarge, "the body is too long")
			} else {
				w.Header().Set("Connection", "close")
				p.replyRejected(w, http.StatusBadRequest, "the body can't be read")
			}
			return nil, nil, false
		}
		if len(body) > maxBufferedBody {
			p.bufferedBytes.Add(int64(len(body)))
			return body, reader, true
		}
		if len(body) == cap(body) {
			body = append(body, 0)[:len(body)]
		}
	}
}
