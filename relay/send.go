package relay

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"time"

	"github.com/go-faster/errors"

	"sagelever/strand"
	"sagelever/sway"
	"sagelever/verdict"
)

// sent is what came of a send.
type sent struct {
	sway.Outcome
	rule    verdict.Rule // what follows
	attempt *attempt
	head    http.Header
	body    []byte
	length  int64 // -1 where it is not known
	rest    io.ReadCloser
	free    func()
}

func (s *sent) close() {
	if s.rest != nil {
		s.rest.Close()
	}
	if s.free != nil {
		s.free()
		s.free = nil
	}
}

// send carries a request to an appliance once and reads the answer. It never sends by itself a second time.
func (r *Relay) send(ctx context.Context, q *http.Request, req *sway.Request, app *sway.App, body []byte, rest io.Reader) *sent {
	began := time.Now()
	a := newAttempt(q, func() (verdict.Event, bool) { return r.gate(q, app) })
	if r.watch != nil {
		r.watch(a)
	}
	s := &sent{attempt: a, length: -1}
	defer func() { s.Took = time.Since(began) }()
	resp, err := r.exchange(ctx, a, outgoing(q, req, body, rest), body, rest != nil)
	s.Dialled = a.connected.Load() && a.use.Wrote()
	if err != nil {
		r.failed(ctx, s, a.failure(ctx, err))
		return s
	}
	a.headRead.Store(true)
	s.Status, s.head, s.Closes = resp.StatusCode, resp.Header, resp.Close
	if err := r.take(s, resp); err != nil {
		resp.Body.Close()
		r.failed(ctx, s, a.failure(ctx, err))
		return s
	}
	r.succeeded(s, answered(s.Status, s.head))
	r.counts.far[req.To.Far].Add(1)
	r.counts.farBytes[req.To.Far].Add(int64(len(body)) + max(0, s.length))
	return s
}

// gate is asked before the first byte of a send: nothing is begun for a client that is gone, or at an appliance that
// leaves meanwhile.
func (r *Relay) gate(q *http.Request, app *sway.App) (why verdict.Event, closed bool) {
	r.mu.Lock()
	open := r.sway.Open(app, time.Now())
	r.mu.Unlock()
	if q.Context().Err() != nil {
		return verdict.CallerGone, true
	}
	return verdict.Withdrawn, !open
}

// freshMost is how many new connections one send may use up: one that was opened ahead may have ended since.
const freshMost = 2

// exchange writes a request once and reads the head of its answer. A kept connection that has ended before anything was
// written on it is passed over for the next.
func (r *Relay) exchange(ctx context.Context, a *attempt, out *http.Request, body []byte, streamed bool) (*http.Response, error) {
	out = out.WithContext(httptrace.WithClientTrace(ctx, a.trace()))
	for fresh := 0; ; {
		if !streamed {
			strand.CarryBody(out, body)
		}
		a.begin()
		resp, err := r.sends.RoundTrip(out)
		switch {
		case err == nil, streamed, !a.connected.Load(), a.use.Wrote(), a.withheld.Load() != nil, ctx.Err() != nil:
			return resp, err
		case !a.reused.Load():
			if fresh++; fresh == freshMost {
				return nil, err
			}
		}
	}
}

// failed notes what follows from an event that left no whole answer.
func (r *Relay) failed(ctx context.Context, s *sent, event verdict.Event) {
	s.rule = verdict.Decide(s.attempt.phase(), event)
	s.Verdict = s.rule.Run
	s.Withheld = s.attempt.withheld.Load() != nil
	s.Ours = ctx.Err() != nil
	s.Late = errors.Is(ctx.Err(), context.DeadlineExceeded)
}

// succeeded notes what follows from an answer.
func (r *Relay) succeeded(s *sent, event verdict.Event) {
	phase := s.attempt.phase()
	if !s.attempt.written.Load() { // it has come early
		phase = verdict.BodyWriting
	}
	s.rule = verdict.Decide(phase, event)
	s.Verdict = s.rule.Run
	s.Served = event == verdict.Answered && s.Status/100 == 2
	s.attempt.complete.Store(s.rest == nil)
}

// take reads an answer's body whole where it is short; the rest of a longer one is passed on as it comes.
func (r *Relay) take(s *sent, resp *http.Response) error {
	s.length = resp.ContentLength
	if s.attempt.method == http.MethodHead {
		return resp.Body.Close()
	}
	room := resp.ContentLength
	if room < 0 || room > largest {
		room = largest
	}
	r.held.Add(room)
	s.free = func() { r.held.Add(-room) }
	if resp.ContentLength >= 0 && resp.ContentLength <= largest {
		s.body = make([]byte, resp.ContentLength)
		if _, err := io.ReadFull(resp.Body, s.body); err != nil {
			s.close()
			return err
		}
		return resp.Body.Close()
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, largest))
	if err != nil {
		s.close()
		return err
	}
	s.body = body
	if len(body) < largest {
		s.length = int64(len(body))
		return resp.Body.Close()
	}
	s.rest = resp.Body
	return nil
}
