package relay

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"sagelever/plan"
	"sagelever/sway"
	"sagelever/verdict"
)

const (
	largest  = 1 << 20 // bytes of a body that are kept, so that a request can be sent again; longer ones are streamed
	leastGap = 100 * time.Millisecond
)

// ServeHTTP takes a client's request.
func (f *front) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	r := f.r
	now := time.Now()
	r.counts.taken.Add(1)
	h := w.Header()
	h["Date"] = nil
	if r.leaving.Load() {
		h.Set("Connection", "close")
	}
	id := q.Header.Get(tryID)
	if id != "" {
		h.Set(tryID, id)
	}
	t := r.table.Load()
	if t == nil {
		r.refuse(w, "no configuration yet", leastGap)
		return
	}
	if id == "" {
		r.deny(w, http.StatusBadRequest, "no "+tryID)
		return
	}
	way := t.Find(q.Host, q.URL.Path)
	if way == nil {
		r.noRoute(w)
		return
	}
	req := &sway.Request{Way: way, Arrived: now, Deadline: now.Add(allowed(q, way)), Granted: make(chan *sway.App, 1)}
	body, rest, ok := r.readBody(w, q, t.Limits)
	if !ok {
		return
	}
	defer r.held.Add(-int64(len(body)))
	r.mu.Lock()
	r.sway.Take(req, now)
	r.mu.Unlock()
	r.carry(w, q, req, body, rest)
}

// noRoute answers a request that no route fits: only who was told the whole configuration knows that there is none.
func (r *Relay) noRoute(w http.ResponseWriter) {
	if !r.trusted.Load() {
		r.refuse(w, "the configuration may not be whole yet", leastGap)
		return
	}
	r.deny(w, http.StatusNotFound, "no route")
}

// allowed is how long a request may take: as long as its route says, and no longer than its client waits.
func allowed(q *http.Request, way *plan.Way) time.Duration {
	ms, err := strconv.ParseInt(q.Header.Get(timeLeft), 10, 64)
	if err == nil && ms >= 0 && ms < way.GiveUp.Milliseconds() {
		return time.Duration(ms) * time.Millisecond
	}
	return way.GiveUp
}

// carry has a request served: it asks for an appliance, sends, and again while that is allowed.
func (r *Relay) carry(w http.ResponseWriter, q *http.Request, req *sway.Request, body []byte, rest io.Reader) {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(q.Context()), req.Deadline)
	defer cancel()
	gone := context.AfterFunc(q.Context(), func() {
		if req.Way.Harmless { // nobody waits for it; what may have effects is let finish once it is written
			cancel()
		}
	})
	defer gone()
	hold := r.patienceOf(req)
	for {
		app, why := r.place(ctx, q, req, hold)
		if app == nil {
			r.reply(w, req, &sent{rule: verdict.Decide(verdict.Queued, why)})
			return
		}
		out := r.send(ctx, q, req, app, body, rest)
		if rest == nil && r.again(req, app, out) {
			out.close()
			continue
		}
		r.reply(w, req, out)
		return
	}
}

// place finds an appliance for a request, or gives the event that ended its wait for one.
func (r *Relay) place(ctx context.Context, q *http.Request, req *sway.Request, till time.Time) (*sway.App, verdict.Event) {
	now := time.Now()
	r.mu.Lock()
	app := r.sway.Pick(req, now)
	if app == nil {
		r.sway.Wait(req)
	}
	asks := r.sway.Asks()
	r.mu.Unlock()
	r.put(asks)
	if app != nil {
		return app, 0
	}
	return r.await(ctx, q, req, till)
}

// again notes what came of a send and tells whether the request is sent again.
func (r *Relay) again(req *sway.Request, app *sway.App, out *sent) bool {
	now := time.Now()
	r.mu.Lock()
	r.sway.Ended(req, app, out.Outcome, now)
	again := out.rule.Again.Allows(req.Way.Harmless) && r.sway.Again(req, out.Outcome, now)
	r.mu.Unlock()
	switch {
	case again && out.Withheld:
		r.counts.withheld.Add(1)
	case again:
		r.counts.again.Add(1)
	}
	return again
}

// patienceOf is how long a request may wait for a place: a quarter of its target, as one refused within it may be served
// in time from its next try.
func (r *Relay) patienceOf(req *sway.Request) time.Time {
	target := req.Way.Target
	if target <= 0 {
		target = req.Way.GiveUp
	}
	at := req.Arrived.Add(target * 9 / 40)
	if at.After(req.Deadline) {
		return req.Deadline
	}
	return at
}

// await waits in line for a place, or gives the event that ended the wait.
func (r *Relay) await(ctx context.Context, q *http.Request, req *sway.Request, till time.Time) (*sway.App, verdict.Event) {
	r.counts.waited.Add(1)
	select {
	case r.waits <- struct{}{}:
	default:
	}
	t := time.NewTimer(time.Until(till))
	defer t.Stop()
	why := verdict.Silence
	select {
	case a := <-req.Granted:
		return a, why
	case <-t.C:
	case <-ctx.Done():
	case <-q.Context().Done(): // nothing is begun for a client that is gone
		why = verdict.CallerGone
	}
	r.mu.Lock()
	left := r.sway.Leave(req)
	r.mu.Unlock()
	if left {
		return nil, why
	}
	return <-req.Granted, why
}
