package relay

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"sagelever/plan"
	"sagelever/sway"
	"sagelever/verdict"
)

// Headers of the protocol.
const (
	tryID    = "X-Sagelever-Try-Id"
	timeLeft = "X-Sagelever-Time-Left-Ms"
	meant    = "X-Sagelever-Meant-Server"
	stamp    = "X-Sagelever-Server-Seal"
	notRun   = "X-Sagelever-Not-Run"
	serverID = "X-Sagelever-Server-Id"
	warmUp   = "X-Sagelever-Warm-Up-Ms"
)

// bound is what clients may send before the first configuration tells.
var bound = plan.Bound{Head: 16 << 10, Body: 1 << 20, HeadWait: 3 * time.Second, Quiet: 15 * time.Second}

// front listens for clients. Its server takes the limits when it is made, so that a change of them puts a new server on
// the same listener; the old one goes on with the connections that it has.
type front struct {
	r       *Relay
	l       net.Listener
	mu      sync.Mutex
	tap     *tap
	servers []*http.Server
	limits  plan.Bound
}

// tap hands a listener's connections to a server until it is turned off.
type tap struct {
	net.Listener
	conns chan net.Conn
	off   chan struct{}
	once  sync.Once
}

func (t *tap) Accept() (net.Conn, error) {
	select {
	case c := <-t.conns:
		return c, nil
	case <-t.off:
		return nil, net.ErrClosed
	}
}

func (t *tap) Close() error { t.once.Do(func() { close(t.off) }); return nil }

func newFront(r *Relay) *front { return &front{r: r} }

func (f *front) open(address string) error {
	l, err := patience.Listen(address)
	if err != nil {
		return err
	}
	f.l = l
	f.serve(bound)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				if errors.Is(err, net.ErrClosed) {
					return
				}
				time.Sleep(beat) // out of descriptors: some will come free
				continue
			}
			f.mu.Lock()
			t := f.tap
			f.mu.Unlock()
			select {
			case t.conns <- c:
			case <-t.off: // a new server has just taken over
				f.mu.Lock()
				t = f.tap
				f.mu.Unlock()
				select {
				case t.conns <- c:
				case <-t.off:
					c.Close()
				}
			}
		}
	}()
	return nil
}

// serve puts a server with these limits in front.
func (f *front) serve(b plan.Bound) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if b == f.limits || f.l == nil {
		return
	}
	f.limits = b
	old := f.tap
	f.tap = &tap{Listener: f.l, conns: make(chan net.Conn), off: make(chan struct{})}
	srv := &http.Server{Handler: f, ReadHeaderTimeout: b.HeadWait, IdleTimeout: b.Quiet, MaxHeaderBytes: int(min(b.Head, 1<<20)),
		ErrorLog: zap.NewStdLog(zap.NewNop())} // what clients do wrong is counted, not told line by line
	f.servers = append(f.servers, srv)
	go srv.Serve(f.tap)
	if old != nil {
		old.Close()
	}
}

// close ends the front in order: it goes on taking what comes while clients still have its address, then stops listening
// and lets what is under way finish.
func (f *front) close(ctx context.Context) {
	leeway := f.r.settings.Bounds.Leeway
	time.Sleep(min(leeway/3, 2*time.Second))
	ctx, cancel := context.WithTimeout(ctx, leeway*6/10)
	defer cancel()
	f.mu.Lock()
	servers := append([]*http.Server(nil), f.servers...)
	f.mu.Unlock()
	var wg sync.WaitGroup
	for _, srv := range servers {
		wg.Add(1)
		go func() { defer wg.Done(); srv.Shutdown(ctx) }()
	}
	f.l.Close()
	wg.Wait()
}

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
		if !r.trusted.Load() {
			r.refuse(w, "the configuration may not be whole yet", leastGap)
			return
		}
		r.deny(w, http.StatusNotFound, "no route")
		return
	}
	left := way.GiveUp
	if ms, err := strconv.ParseInt(q.Header.Get(timeLeft), 10, 64); err == nil && ms >= 0 && ms < left.Milliseconds() {
		left = time.Duration(ms) * time.Millisecond
	}
	req := &sway.Request{Way: way, Arrived: now, Deadline: now.Add(left), Granted: make(chan *sway.App, 1)}
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

// carry has a request served: it asks for an appliance, sends, and again while that is allowed.
func (r *Relay) carry(w http.ResponseWriter, q *http.Request, req *sway.Request, body []byte, rest io.Reader) {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(q.Context()), req.Deadline)
	defer cancel()
	gone := context.AfterFunc(q.Context(), func() {
		if req.Way.Harmless { // nobody waits for it; what may have effects is let finish
			cancel()
		}
	})
	defer gone()
	hold := r.patienceOf(req)
	for {
		now := time.Now()
		r.mu.Lock()
		app := r.sway.Pick(req, now)
		if app == nil {
			r.sway.Wait(req)
		}
		asks := r.sway.Asks()
		r.mu.Unlock()
		r.put(asks)
		if app == nil {
			app = r.await(ctx, req, hold)
		}
		if app == nil {
			r.giveUp(w, req)
			return
		}
		out := r.send(ctx, q, req, app, body, rest)
		now = time.Now()
		r.mu.Lock()
		r.sway.Ended(req, app, out.Outcome, now)
		again := rest == nil && r.sway.Again(req, out.Outcome, now)
		r.mu.Unlock()
		if again {
			if out.Withheld {
				r.counts.withheld.Add(1)
			} else {
				r.counts.again.Add(1)
			}
			out.close()
			continue
		}
		r.pass(w, req, out)
		return
	}
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

// await waits in line for a place; nil where none came in time.
func (r *Relay) await(ctx context.Context, req *sway.Request, till time.Time) *sway.App {
	r.counts.waited.Add(1)
	select {
	case r.waits <- struct{}{}:
	default:
	}
	t := time.NewTimer(time.Until(till))
	defer t.Stop()
	select {
	case a := <-req.Granted:
		return a
	case <-t.C:
	case <-ctx.Done():
	}
	r.mu.Lock()
	left := r.sway.Leave(req)
	r.mu.Unlock()
	if left {
		return nil
	}
	return <-req.Granted
}

// giveUp gives the final answer of a request that gets no place: with a time to return where it has not run.
func (r *Relay) giveUp(w http.ResponseWriter, req *sway.Request) {
	if req.Verdict == verdict.NeverRan {
		r.mu.Lock()
		usual := r.sway.Usual(req.Service, time.Now())
		r.mu.Unlock()
		r.refuse(w, "no appliance has room", max(leastGap, usual))
		return
	}
	r.fail(w, http.StatusBadGateway, "its answer was lost")
}

// pass gives the client what came of the last send.
func (r *Relay) pass(w http.ResponseWriter, req *sway.Request, out *sent) {
	defer out.close()
	if out.err != nil {
		switch {
		case req.Verdict == verdict.NeverRan:
			r.giveUp(w, req)
		case out.Late:
			r.fail(w, http.StatusGatewayTimeout, "no answer in time")
		default:
			r.fail(w, http.StatusBadGateway, "its answer was lost")
		}
		return
	}
	if out.Verdict == verdict.NeverRan {
		if req.Verdict != verdict.NeverRan {
			r.fail(w, http.StatusBadGateway, "its answer was lost")
			return
		}
		if out.Status == http.StatusServiceUnavailable || out.Status == http.StatusMisdirectedRequest || out.Status == http.StatusTooManyRequests {
			r.giveUp(w, req)
			return
		}
	}
	h := w.Header()
	for k, v := range out.head {
		if !hopByHop[k] && k != "Date" {
			h[k] = v
		}
	}
	drop(h, out.head)
	if out.length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(out.length, 10))
	}
	quiet := bound.Quiet
	if t := r.table.Load(); t != nil && t.Limits.Quiet > 0 {
		quiet = t.Limits.Quiet
	}
	control := http.NewResponseController(w)
	defer control.SetWriteDeadline(time.Time{})
	control.SetWriteDeadline(time.Now().Add(quiet)) // a client that does not read is not waited for without end
	w.WriteHeader(out.Status)
	_, err := w.Write(out.body)
	for err == nil && out.rest != nil {
		control.SetWriteDeadline(time.Now().Add(quiet))
		if _, err = io.CopyN(w, out.rest, largest/4); err == io.EOF {
			err = nil
			break
		}
	}
	if err != nil {
		r.counts.cut.Add(1)
		panic(http.ErrAbortHandler) // an answer that ends early must not look complete
	}
	if out.Served {
		if r.counts.served.Add(1) == 1 {
			r.log.Info("first request served", zap.Int64("sinceStartMs", time.Since(r.begun).Milliseconds()))
		}
	} else {
		r.counts.failed.Add(1)
	}
}
