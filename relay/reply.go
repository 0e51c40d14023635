package relay

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"sagelever/sway"
	"sagelever/verdict"
)

// refuse answers with the promise that the request has not run and never will, and when to come again.
func (r *Relay) refuse(w http.ResponseWriter, why string, after time.Duration) {
	r.counts.refused.Add(1)
	w.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	http.Error(w, why, http.StatusServiceUnavailable)
}

func (r *Relay) deny(w http.ResponseWriter, status int, why string) {
	r.counts.refused.Add(1)
	http.Error(w, why, status)
}

// fail answers a request that may have run.
func (r *Relay) fail(w http.ResponseWriter, status int, why string) {
	r.counts.failed.Add(1)
	http.Error(w, why, status)
}

// reply gives the client what the rule of the last send says. What an earlier send may have run is never refused.
func (r *Relay) reply(w http.ResponseWriter, req *sway.Request, out *sent) {
	defer out.close()
	unrun := req.Verdict == verdict.NeverRan
	switch {
	case out.rule.Caller == verdict.Passed && (unrun || out.rule.Run != verdict.NeverRan):
		r.pass(w, out)
	case out.rule.Caller == verdict.Refused && unrun:
		r.noRoom(w, req)
	case out.rule.Caller == verdict.Late:
		r.fail(w, http.StatusGatewayTimeout, "no answer in time")
	default:
		r.fail(w, http.StatusBadGateway, "its answer was lost")
	}
}

// noRoom refuses a request that has not run, with the time after which places have usually come free.
func (r *Relay) noRoom(w http.ResponseWriter, req *sway.Request) {
	r.mu.Lock()
	usual := r.sway.Usual(req.Service, time.Now())
	r.mu.Unlock()
	r.refuse(w, "no appliance has room", max(leastGap, usual))
}

// pass gives the client the answer of the last send.
func (r *Relay) pass(w http.ResponseWriter, out *sent) {
	copyHead(w.Header(), out)
	control := http.NewResponseController(w)
	defer control.SetWriteDeadline(time.Time{})
	if err := r.writeBody(w, control, out); err != nil {
		r.counts.cut.Add(1)
		panic(http.ErrAbortHandler) // an answer that ends early must not look complete
	}
	if !out.Served {
		r.counts.failed.Add(1)
		return
	}
	if r.counts.served.Add(1) == 1 {
		r.log.Info("first request served", zap.Int64("sinceStartMs", time.Since(r.begun).Milliseconds()))
	}
}

// copyHead gives a client the head of an appliance's answer.
func copyHead(h http.Header, out *sent) {
	for k, v := range out.head {
		if !hopByHop[k] && k != "Date" {
			h[k] = v
		}
	}
	drop(h, out.head)
	if out.length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(out.length, 10))
	}
}

// writeBody writes an answer, a long one as it comes. A client that does not read is not waited for without end.
func (r *Relay) writeBody(w http.ResponseWriter, control *http.ResponseController, out *sent) error {
	quiet := bound.Quiet
	if t := r.table.Load(); t != nil && t.Limits.Quiet > 0 {
		quiet = t.Limits.Quiet
	}
	control.SetWriteDeadline(time.Now().Add(quiet))
	w.WriteHeader(out.Status)
	_, err := w.Write(out.body)
	if out.rest == nil {
		return err
	}
	out.attempt.streams.Store(true)
	for err == nil {
		control.SetWriteDeadline(time.Now().Add(quiet))
		_, err = io.CopyN(w, out.rest, largest/4)
	}
	if err == io.EOF { // the answer's own end, as its head or its last chunk says
		out.attempt.complete.Store(true)
		return nil
	}
	return err
}
