package relay

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"time"

	"sagelever/strand"
	"sagelever/sway"
)

// put puts questions, each by itself.
func (r *Relay) put(asks []sway.Question) {
	for _, q := range asks {
		go r.question(q)
	}
}

// probeTime is how long an appliance's own word is waited for.
const probeTime = time.Second

// question asks an appliance whether it serves.
func (r *Relay) question(q sway.Question) {
	r.counts.asked.Add(1)
	w := sway.Word{Asked: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), probeTime)
	defer cancel()
	// An answer with the id of a try is a late one to a request that had this connection before.
	use := &strand.Use{Ours: func(h http.Header) bool { return h.Get(tryID) == "" }}
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { info.Conn.(*strand.Conn).Take(use) }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodGet, "http://"+q.Address+q.Path, nil)
	if err != nil {
		return
	}
	if resp, err := r.sends.RoundTrip(req); err == nil {
		io.CopyN(io.Discard, resp.Body, strand.MostHeads)
		resp.Body.Close()
		readWord(&w, q, resp)
	}
	r.mu.Lock()
	r.sway.Answered(q.ID, w, time.Now())
	r.mu.Unlock()
}

// readWord reads what an appliance says of itself.
func readWord(w *sway.Word, q sway.Question, resp *http.Response) {
	id := resp.Header.Get(serverID)
	w.Reached, w.Other = true, id != "" && id != q.ID
	w.Serves = resp.StatusCode == http.StatusOK && id == q.ID
	if ms, err := strconv.ParseInt(resp.Header.Get(warmUp), 10, 32); err == nil && ms > 0 {
		w.Warm = time.Duration(ms) * time.Millisecond
	}
}
