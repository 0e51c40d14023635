package relay

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"sagelever/strand"
	"sagelever/sway"
	"sagelever/verdict"
)

// hopByHop are the headers that concern only one connection.
var hopByHop = map[string]bool{"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Proxy-Authenticate": true, "Proxy-Authorization": true}

// drop removes the headers that a Connection header names.
func drop(from, named http.Header) {
	for _, line := range named["Connection"] {
		for _, k := range strings.Split(line, ",") {
			if k = http.CanonicalHeaderKey(strings.TrimSpace(k)); k != "" && k != "Close" && k != "Content-Length" {
				delete(from, k)
			}
		}
	}
}

// sent is what came of a send.
type sent struct {
	sway.Outcome
	head   http.Header
	body   []byte
	length int64 // -1 where it is not known
	rest   io.ReadCloser
	free   func()
	err    error
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
	path, query, asked := strings.Cut(q.RequestURI, "?")
	u := &url.URL{Scheme: "http", Host: req.To.Address, Opaque: path, RawQuery: query, ForceQuery: asked && query == ""}
	if !strings.HasPrefix(path, "/") || strings.HasPrefix(path, "//") {
		u = &url.URL{Scheme: "http", Host: req.To.Address, Path: q.URL.Path, RawPath: q.URL.RawPath, RawQuery: q.URL.RawQuery}
	}
	out := &http.Request{Method: q.Method, URL: u, Host: q.Host, Header: make(http.Header, len(q.Header)+2)}
	for k, v := range q.Header {
		if !hopByHop[k] {
			out.Header[k] = v
		}
	}
	drop(out.Header, q.Header)
	if _, ok := out.Header["User-Agent"]; !ok {
		out.Header["User-Agent"] = nil
	}
	out.Header[meant] = []string{req.To.ID}
	out.Header[timeLeft] = []string{strconv.FormatInt(max(0, time.Until(req.Deadline).Milliseconds()), 10)}
	id := q.Header.Get(tryID)
	use := &strand.Use{Ours: func(h http.Header) bool {
		got := h.Get(tryID)
		return got == id || got == ""
	}}
	var withheld atomic.Bool
	use.Pass = func(write func()) bool { // before the first byte: what has begun there ends there
		if !use.Wrote() && !r.open(app) {
			withheld.Store(true)
			return false
		}
		write()
		return true
	}
	if rest != nil {
		out.Body, out.ContentLength = io.NopCloser(io.MultiReader(bytes.NewReader(body), rest)), q.ContentLength
	}
	var dialled, short atomic.Bool
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			dialled.Store(true)
			info.Conn.(*strand.Conn).Take(use)
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) { short.Store(info.Err != nil) },
	}
	s := &sent{length: -1}
	var resp *http.Response
	for { // a kept connection that has ended before anything was written on it is passed over for the next
		if rest == nil {
			strand.CarryBody(out, body)
		}
		dialled.Store(false)
		short.Store(false)
		resp, s.err = r.sends.RoundTrip(out.WithContext(httptrace.WithClientTrace(ctx, trace)))
		if s.err == nil || !dialled.Load() || use.Wrote() || withheld.Load() || rest != nil || ctx.Err() != nil {
			break
		}
	}
	s.Dialled = dialled.Load() && use.Wrote()
	fail := func(v verdict.Verdict, err error) *sent {
		s.err = &verdict.Error{Verdict: v, Cause: err}
		s.Verdict, s.Took = v, time.Since(began)
		if ctx.Err() != nil {
			s.Ours, s.Late = true, errors.Is(ctx.Err(), context.DeadlineExceeded)
		}
		return s
	}
	if s.err != nil {
		if !use.Wrote() {
			s.Withheld = withheld.Load()
			return fail(verdict.NeverRan, s.err)
		}
		return fail(verdict.MayHaveRun, s.err)
	}
	s.Status, s.head, s.Closes = resp.StatusCode, resp.Header, resp.Close
	s.Verdict = verdict.Ran
	if resp.Header.Get(notRun) != "" || resp.StatusCode == http.StatusMisdirectedRequest {
		s.Verdict = verdict.NeverRan
	}
	if err := r.take(s, resp); err != nil {
		resp.Body.Close()
		return fail(verdict.MayHaveRun, err)
	}
	if resp.StatusCode/100 == 2 {
		s.Served = resp.Header.Get(stamp) != "" && resp.Header.Get(tryID) == id
		if !s.Served { // a success that is not the appliance's must not reach the client
			s.close()
			return fail(verdict.MayHaveRun, errUnstamped)
		}
	}
	s.Took = time.Since(began)
	r.counts.far[req.To.Far].Add(1)
	r.counts.farBytes[req.To.Far].Add(int64(len(body)) + max(0, s.length))
	return s
}

// open tells whether a request that was given to an appliance may still go there.
func (r *Relay) open(app *sway.App) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sway.Open(app, time.Now())
}

// put puts questions, each by itself.
func (r *Relay) put(asks []sway.Question) {
	for _, q := range asks {
		go r.question(q)
	}
}

// question asks an appliance whether it serves.
func (r *Relay) question(q sway.Question) {
	r.counts.asked.Add(1)
	w := sway.Word{Asked: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { info.Conn.(*strand.Conn).Take(&strand.Use{}) }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodGet, "http://"+q.Address+q.Path, nil)
	if err != nil {
		return
	}
	if resp, err := r.sends.RoundTrip(req); err == nil {
		io.CopyN(io.Discard, resp.Body, strand.MostHeads)
		resp.Body.Close()
		id := resp.Header.Get(serverID)
		w.Reached, w.Other = true, id != "" && id != q.ID
		w.Serves = resp.StatusCode == http.StatusOK && id == q.ID
		if ms, err := strconv.ParseInt(resp.Header.Get(warmUp), 10, 32); err == nil && ms > 0 {
			w.Warm = time.Duration(ms) * time.Millisecond
		}
	}
	r.mu.Lock()
	r.sway.Answered(q.ID, w, time.Now())
	r.mu.Unlock()
}

var errUnstamped = errors.New("the answer lacks its stamp, or is another's")

// take reads an answer's body whole where it is short; the rest of a longer one is passed on as it comes.
func (r *Relay) take(s *sent, resp *http.Response) error {
	s.length = resp.ContentLength
	if resp.Request != nil && resp.Request.Method == http.MethodHead {
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
