package httpagent

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"sagelever/agent"
	"sagelever/life"
)

const mostBody = 64 << 10 // no client's body is longer

// asked is a transaction as a client has written it: the bytes that go on unchanged, and what the module needs.
type asked struct {
	agent.Taken
	request *http.Request
	body    []byte
	until   time.Time
}

// badRequest is a request that gets a 4xx and goes no further.
type badRequest struct {
	status int
	why    string
}

func (b badRequest) Error() string { return b.why }

// readAsked takes out of a request what the module needs.
func (a *Agent) readAsked(w http.ResponseWriter, r *http.Request) (*asked, error) {
	if err := framed(r); err != nil {
		return nil, err
	}
	// As written: an appliance need not read an escaped slash as one.
	name, _, _ := strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), "/"), "/")
	if strings.HasPrefix(r.RequestURI, "//") || !strings.HasPrefix(r.RequestURI, "/") {
		return nil, badRequest{http.StatusNotFound, "no such workload"}
	}
	x := &asked{Taken: agent.Taken{ID: agent.TransactionID(r.Header.Get("Request-Id"))}, request: r}
	if err := a.readHead(x); err != nil {
		return nil, err
	}
	workload, err := a.judge(r, x, name, term(a.station, "workload."+name+".effect", ""))
	if err != nil {
		return nil, err
	}
	effect := term(a.station, "workload."+workload+".effect", "")
	if effect == "" {
		return nil, badRequest{http.StatusNotFound, "no such workload"}
	}
	if x.ID == "" {
		return nil, badRequest{http.StatusBadRequest, "Request-Id is missing"}
	}
	if workload == name { // a rule has seen to it that no other workload is more repeatable than what was sent
		if err := fitting(r, effect); err != nil {
			return nil, err
		}
	} else if r.Method != http.MethodGet && r.Method != http.MethodPost || r.Method == http.MethodGet && r.ContentLength != 0 {
		return nil, badRequest{http.StatusMethodNotAllowed, "GET without a body or POST is wanted"}
	}
	x.Workload = agent.Workload(workload)
	if x.Left == 0 {
		x.Left = term(a.station, "workload."+workload+".abandon", time.Second)
	}
	if x.body, err = a.readBody(w, r); err != nil {
		return nil, err
	}
	x.until = time.Now().Add(x.Left)
	return x, nil
}

// readHead takes what the module needs out of the headers.
func (a *Agent) readHead(x *asked) error {
	head := x.request.Header
	for _, once := range []string{"Request-Id", "Request-Timeout", "Idempotency-Key", "Work-Hint"} {
		if len(head[once]) > 1 { // an appliance might read the other one
			return badRequest{http.StatusBadRequest, once + " comes twice"}
		}
	}
	if text := head.Get("Request-Timeout"); text != "" {
		left, err := readTimeout(text)
		if err != nil {
			return badRequest{http.StatusBadRequest, err.Error()}
		}
		x.Left = max(min(left, a.longest()), 1) // nobody waits longer here, and what is held is held for a bounded time
	}
	if hint := head.Get("Work-Hint"); hint != "" {
		var ok bool
		if x.Cost, ok = readHint(hint); !ok {
			return badRequest{http.StatusBadRequest, "Work-Hint is no number of microseconds"}
		}
		x.CostKnown = x.Cost > 0
	}
	if k, err := x.request.Cookie("k"); err == nil {
		x.Key = agent.Key(k.Value)
	}
	x.Repeat = head.Get("Client-Retry") == "1"
	for _, pair := range strings.Split(head.Get("Request-Info"), ",") {
		switch name, value, _ := strings.Cut(strings.TrimSpace(pair), "="); name {
		case "customer":
			if slices.Contains(term(a.station, "customers", []string(nil)), value) { // what is kept by customer stays bounded
				x.Customer = agent.Customer(value)
			}
		case "write":
			x.Write = value == "1"
		}
	}
	return nil
}

// fitting refuses a request that is not written as its workload's are.
func fitting(r *http.Request, effect string) error {
	method := http.MethodPost
	if effect == "pure" {
		method = http.MethodGet
	}
	if r.Method != method {
		return badRequest{http.StatusMethodNotAllowed, "this workload uses " + method}
	}
	if method == http.MethodGet && r.ContentLength != 0 {
		return badRequest{http.StatusBadRequest, "this workload has no body"}
	}
	if effect == "receipted" && r.Header.Get("Idempotency-Key") == "" {
		return badRequest{http.StatusBadRequest, "Idempotency-Key is missing"}
	}
	return nil
}

// framed refuses what does not say plainly where it ends: net/http drops a Content-Length beside a Transfer-Encoding
// and reads on behind the chunks, where another request may hide. No client needs chunks, nor HTTP/1.0.
func framed(r *http.Request) error {
	switch {
	case r.TransferEncoding != nil || !r.ProtoAtLeast(1, 1):
		return badRequest{http.StatusBadRequest, "HTTP/1.1 with Content-Length is wanted"}
	case r.ContentLength > mostBody:
		return badRequest{http.StatusRequestEntityTooLarge, "the body is too long"}
	}
	return nil
}

// bodyIn is how long a body may take once its head is there: both together stay below the 3 s within which somebody
// who sends half a request is owed an answer.
const bodyIn = 800 * time.Millisecond

// readBody reads as much as is declared, if all bodies together leave room for it. The time-out ends with the body:
// under a transaction that is held it would pass for a client that has left.
func (a *Agent) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	if a.bodies.Add(r.ContentLength) > a.mostBodies {
		a.bodies.Add(-r.ContentLength)
		return nil, badRequest{http.StatusServiceUnavailable, "no room for the body now"}
	}
	slow := http.NewResponseController(w)
	slow.SetReadDeadline(time.Now().Add(bodyIn))
	body := make([]byte, r.ContentLength)
	if _, err := io.ReadFull(r.Body, body); err != nil {
		a.bodies.Add(-r.ContentLength)
		return nil, badRequest{http.StatusBadRequest, "the body cannot be read"}
	}
	slow.SetReadDeadline(time.Time{})
	return body, nil
}

// mostFigure is beyond any figure that a client has reason to name, and still fits a time.
const mostFigure = 1e10

// readHint reads a number of microseconds.
func readHint(text string) (time.Duration, bool) {
	micros, err := strconv.ParseFloat(text, 64)
	if err != nil || !(micros >= 0 && micros < mostFigure) {
		return 0, false
	}
	return time.Duration(micros * float64(time.Microsecond)), true
}

// readTimeout reads a number and its unit, m for milliseconds, u for microseconds.
func readTimeout(text string) (time.Duration, error) {
	unit := time.Millisecond
	digits, ok := strings.CutSuffix(text, "m")
	if !ok {
		unit = time.Microsecond
		digits, ok = strings.CutSuffix(text, "u")
	}
	v, err := strconv.ParseFloat(digits, 64)
	if err != nil || !ok || !(v > 0 && v < mostFigure) {
		return 0, fmt.Errorf("Request-Timeout cannot be read: %.40q", text)
	}
	return time.Duration(v * float64(unit)), nil
}

// ServeHTTP answers the health check and takes everything else for a transaction.
func (a *Agent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if a.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	if r.URL.Path == "/_health" && framed(r) == nil {
		if !a.ready.Load() {
			http.Error(w, "starting", http.StatusServiceUnavailable)
		}
		return
	}
	if h := a.mounted[r.URL.Path]; h != nil {
		h.ServeHTTP(w, r)
		return
	}
	a.transact(w, r)
}

// refuse answers what never becomes a transaction. Where a body, or what passes for one, may be left on the
// connection, it is not read on: net/http would wait for it before it answers.
func (a *Agent) refuse(w http.ResponseWriter, r *http.Request, bad badRequest) {
	a.bad.line("bad_request", "status", bad.status, "why", bad.why)
	if r.ContentLength != 0 || framed(r) != nil {
		w.Header().Set("Connection", "close")
		http.NewResponseController(w).SetReadDeadline(time.Now())
	}
	http.Error(w, bad.why, bad.status)
}

// transact takes a request for a transaction, whose life package life has, and writes its one final answer.
func (a *Agent) transact(w http.ResponseWriter, r *http.Request) {
	x, err := a.readAsked(w, r)
	var bad badRequest
	if errors.As(err, &bad) {
		a.refuse(w, r, bad)
		return
	}
	defer a.bodies.Add(-int64(len(x.body)))
	if !a.doors.hold(r) {
		panic(http.ErrAbortHandler) // its connection is closed: nothing was sent, nothing is answered
	}
	a.held.Add(1)
	defer a.held.Add(-1)
	err = life.Run(a.engine, x.Taken, life.Front{
		Carry: func(off context.Context, order agent.Send) life.Sent { return a.carry(off, x, order) },
		Give:  func(f life.Final) { a.give(w, x, f) },
		Gone:  r.Context().Done(),
		Slack: a.Slack(),
	})
	if err != nil {
		a.refuse(w, r, badRequest{http.StatusConflict, err.Error()})
	}
}

// give writes a final answer.
func (a *Agent) give(w http.ResponseWriter, x *asked, f life.Final) {
	a.account.final(f)
	switch f.State {
	case life.Satisfied:
		if f.Answer.Kind != "" {
			w.Header().Set("Content-Type", f.Answer.Kind)
		}
		w.Header().Set("Content-Length", strconv.Itoa(len(f.Answer.Body)))
		w.Write(f.Answer.Body)
	case life.Deferred:
		if f.Wait > 0 {
			w.Header().Set("Retry-After", strconv.FormatFloat(f.Wait.Seconds(), 'f', 3, 64))
		}
		w.WriteHeader(http.StatusServiceUnavailable)
	case life.Overdue:
		a.log.Error("overdue", "transaction", x.ID)
		w.WriteHeader(http.StatusInternalServerError)
	case life.BrokenOff:
		w.WriteHeader(http.StatusInternalServerError)
	case life.Left:
		// A client that waited till its time was up and got nothing means that its request came late to us.
		if left := time.Until(x.until); left < x.Left/10 {
			a.log.Warn("client_gave_up", "transaction", x.ID, "left", left, "of", x.Left)
		}
		panic(http.ErrAbortHandler) // the client has left: nothing may look like an answer
	}
}

// hopByHop are the headers that belong to one connection.
var hopByHop = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Expect", "Content-Length", "Request-Timeout"}

// carry carries out one order to send. A panic in it ends this send only.
func (a *Agent) carry(off context.Context, x *asked, order agent.Send) (sent life.Sent) {
	defer func() {
		if p := recover(); p != nil {
			a.log.Error("send_panic", "transaction", x.ID, "panic", fmt.Sprint(p))
			sent = life.Sent{Outcome: outcome(nil, &sendError{written, fmt.Errorf("%v", p)})}
		}
	}()
	got, err := a.sendTo(off, x, order)
	sent.Outcome = outcome(got, err)
	a.account.sent(sent.Outcome)
	if got != nil {
		sent.Load = life.ReadLoad(got.head.Get("Server-Load"))
		sent.Answer = &life.Answer{Kind: got.head.Get("Content-Type"), Body: got.body, Free: got.free}
	}
	return sent
}

// sendTo writes a transaction to an appliance and reads the answer.
func (a *Agent) sendTo(off context.Context, x *asked, order agent.Send) (*answer, error) {
	l := a.links.to(order.Appliance)
	if l == nil {
		return nil, &sendError{unconnected, errors.New("the appliance has left the list")}
	}
	left := time.Until(x.until)
	if order.TimeOut > 0 {
		left = min(left, order.TimeOut)
	}
	off, cancel := context.WithTimeoutCause(off, left, life.ErrTimedOut)
	defer cancel()
	req := &http.Request{Method: x.request.Method, Host: x.request.Host, Header: x.request.Header.Clone(),
		URL: &url.URL{Scheme: "http", Host: l.address, Opaque: x.request.RequestURI}}
	for _, name := range hopByHop {
		req.Header.Del(name)
	}
	if req.Header["User-Agent"] == nil {
		req.Header["User-Agent"] = []string{""}
	}
	req.Header.Set("Request-Timeout", fmt.Sprintf("%du", max(left.Microseconds(), 1)))
	return l.send(off, req, x.body)
}
