package relay

import (
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"sagelever/plan"
)

// readBody reads a request's body whole, up to a bound; rest is what is left of a longer one.
func (r *Relay) readBody(w http.ResponseWriter, q *http.Request, limits plan.Bound) (body []byte, rest io.Reader, ok bool) {
	if q.ContentLength == 0 || q.Body == nil || q.Body == http.NoBody {
		return nil, nil, true
	}
	most := limits.Body
	if most <= 0 {
		most = bound.Body
	}
	if q.ContentLength > most {
		r.deny(w, http.StatusRequestEntityTooLarge, "the body is too long")
		return nil, nil, false
	}
	if r.held.Load() > r.room {
		r.refuse(w, "no room for the body", leastGap)
		return nil, nil, false
	}
	control := http.NewResponseController(w)
	if limits.Quiet > 0 {
		control.SetReadDeadline(time.Now().Add(limits.Quiet))
		defer control.SetReadDeadline(time.Time{})
	}
	in := http.MaxBytesReader(w, q.Body, most)
	room := min(max(q.ContentLength, 0), largest)
	body = make([]byte, 0, room+512)
	for {
		n, err := in.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err == io.EOF {
			r.held.Add(int64(len(body)))
			return body, nil, true
		}
		if err != nil {
			if _, long := errors.Into[*http.MaxBytesError](err); long {
				r.deny(w, http.StatusRequestEntityTooLarge, "the body is too long")
			} else {
				w.Header().Set("Connection", "close")
				r.deny(w, http.StatusBadRequest, "the body can't be read")
			}
			return nil, nil, false
		}
		if len(body) > largest {
			r.held.Add(int64(len(body)))
			return body, in, true
		}
		if len(body) == cap(body) {
			body = append(body, 0)[:len(body)]
		}
	}
}
