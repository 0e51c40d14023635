package httpagent

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"sagelever/agent"
	"sagelever/life"
	"sagelever/strand"
)

// reach is how far a send had come.
type reach int

const (
	unconnected reach = iota // no connection came up
	unwritten                // a connection was there, the last byte was not written
	written                  // it may have run
	answering                // an answer had begun
)

func (r reach) String() string {
	return [...]string{"unconnected", "unwritten", "written", "answering"}[r]
}

// sendError says why a send has no answer, and how far it had come.
type sendError struct {
	reach reach
	cause error
}

func (e *sendError) Error() string { return fmt.Sprintf("%s: %v", e.reach, e.cause) }
func (e *sendError) Unwrap() error { return e.cause }

var (
	errCrowded = errors.New("no descriptor is left for a connection")
	errSpoilt  = strand.ErrSpoilt
)

// answer is what an appliance has answered, read whole. Whoever has it frees it.
type answer struct {
	status int
	head   http.Header
	body   []byte
	free   func()
}

// outcome tells the module's word for how a send ended. Only what is certain counts as never run.
func outcome(got *answer, err error) agent.Outcome {
	var e *sendError
	switch {
	case err == nil && got.status == http.StatusOK:
		return agent.Satisfied
	case err == nil && got.head.Get("Not-Started") == "1" &&
		(got.status == http.StatusServiceUnavailable || got.status == http.StatusGatewayTimeout):
		return agent.Rejected
	case err == nil && got.status >= 400 && got.status < 500:
		return agent.Unfit
	case err == nil:
		return agent.Fault
	case errors.As(err, &e) && e.reach < written && (errors.Is(err, life.ErrCalledOff) || errors.Is(err, errCrowded)):
		return agent.NotSent // no blame on the appliance for what is ours
	case errors.As(err, &e) && e.reach < written:
		return agent.Unreachable
	case errors.Is(err, errSpoilt):
		return agent.Spoilt
	case errors.Is(err, life.ErrCalledOff):
		return agent.CalledOff
	case errors.Is(err, life.ErrTimedOut):
		return agent.TimedOut
	}
	return agent.Cut
}

// links holds the connections to the appliances, a Transport for each, so that one's can be closed alone.
type links struct {
	mu            sync.Mutex
	byID          map[agent.ApplianceID]*link
	dial          time.Duration
	idle          time.Duration
	open          atomic.Int64 // connections up or coming up
	dials, failed atomic.Int64 // since last told
	most          int64

	held           atomic.Int64 // bytes of answers being read or not yet passed on
	longest, large int64        // bytes that one answer may have, and all
	terms          *strand.Terms
}

// link is the way to one appliance.
type link struct {
	address   string
	build     agent.Build
	started   time.Duration
	transport *http.Transport
	links     *links
}

// settlement is some times what a network of one site takes from one machine to the next.
const settlement = time.Millisecond

// newLinks takes the connect time-out, the idle time after which appliances close, the most connections at once, and the
// memory that there is. Answers of some hundred kilobytes come, though the protocol knows none above 64, and so do ones
// said to have gigabytes: one may have a thirty-second part of the memory and all together a quarter.
func newLinks(dial, idle time.Duration, most, memory int64) *links {
	ls := &links{byID: map[agent.ApplianceID]*link{}, dial: dial, idle: idle, most: most, longest: memory / 32, large: memory / 4}
	ls.terms = &strand.Terms{Longest: ls.longest, Rest: settlement, Closed: func() { ls.open.Add(-1) }}
	return ls
}

// list takes up the addresses of a list. An appliance with a new address, another build or another start is a new
// machine and gets new connections: what the old one may still write is none of its answers.
func (ls *links) list(l *list) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	for _, x := range l.news.Entries {
		old, address := ls.byID[x.ID], l.addresses[x.ID]
		if x.Standing != agent.Gone && old != nil && old.address == address && old.build == x.Build && old.started == x.Started {
			continue
		}
		if ls.drop(x.ID); x.Standing != agent.Gone {
			ls.byID[x.ID] = &link{address: address, build: x.Build, started: x.Started, transport: ls.transport(), links: ls}
		}
	}
	if l.news.Kind != agent.Changes {
		for id := range ls.byID {
			if _, listed := l.addresses[id]; !listed {
				ls.drop(id)
			}
		}
	}
}

func (ls *links) drop(id agent.ApplianceID) {
	if old := ls.byID[id]; old != nil {
		old.transport.CloseIdleConnections()
		delete(ls.byID, id)
	}
}

func (ls *links) closeIdle() {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	for _, l := range ls.byID {
		l.transport.CloseIdleConnections()
	}
}

func (ls *links) to(id agent.ApplianceID) *link {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	return ls.byID[id]
}

// transport makes the connections of one appliance. A connection is given up an eighth before the appliance would
// close it, so that no request meets the close.
func (ls *links) transport() *http.Transport {
	dialer := net.Dialer{Timeout: ls.dial, KeepAlive: -1}
	return &http.Transport{
		DisableCompression:     true,
		MaxIdleConnsPerHost:    1 << 16,              // as many as are open
		MaxResponseHeaderBytes: 2 * strand.MostHeads, // the strand has bounded them
		ReadBufferSize:         1 << 10,              // it reads ahead itself
		IdleConnTimeout:        ls.idle - ls.idle/8,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			if ls.open.Add(1) > ls.most {
				ls.closeIdle() // some may be kept for others
			}
			if ls.open.Load() > ls.most {
				ls.open.Add(-1)
				return nil, errCrowded
			}
			ls.dials.Add(1)
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				ls.failed.Add(1)
				ls.open.Add(-1)
				return nil, err
			}
			return strand.NewConn(conn.(*net.TCPConn), ls.terms), nil
		},
	}
}

// crossing is how long an answer that is already on its way may take to arrive once a send is given up: several
// times what a network takes between machines of one site.
const crossing = 10 * time.Millisecond

// send carries one request to an appliance and reads the answer whole. It is given up when off ends, whose cause
// says why. Giving up ends only our sending: an answer that was written before that is still read, as the
// appliance did carry the request out. A kept connection that turns out useless before anything is written on it is
// passed over for the next, as often as one was kept: nothing has been sent then.
func (l *link) send(off context.Context, req *http.Request, body []byte) (got *answer, err error) {
	for kept := true; kept; {
		strand.CarryBody(req, body)
		got, kept, err = l.sendOnce(off, req)
	}
	return got, err
}

// sendOnce is send on one connection; stale tells that it was a kept one of no use, on which nothing was written.
func (l *link) sendOnce(off context.Context, req *http.Request) (got *answer, stale bool, err error) {
	hard, cancel := context.WithCancel(context.Background())
	defer cancel()
	var (
		ours  = strand.Use{Pass: life.GateOf(off).Pass}
		conn  atomic.Pointer[strand.Conn]
		kept  atomic.Bool
		short atomic.Bool // the last byte was not written, for certain
		late  atomic.Bool // it was given up before anything was written
	)
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			up := info.Conn.(*strand.Conn)
			kept.Store(info.Reused)
			up.Take(&ours)
			conn.Store(up)
			if off.Err() != nil { // nothing has been written, and nothing is: AfterFunc may come after the write
				late.Store(true)
				up.Close()
			}
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) { short.Store(info.Err != nil) },
		// What comes in front of an answer is let pass; the wire bounds it.
		Got1xxResponse: func(int, textproto.MIMEHeader) error { return nil },
	}
	stop := context.AfterFunc(off, func() {
		up := conn.Load()
		if up != nil && !up.UsedBy(&ours) {
			return // the answer has just come whole, and the connection carries the next send
		}
		if up == nil || up.TCPConn.CloseWrite() != nil {
			cancel()
			return
		}
		time.AfterFunc(crossing, cancel)
	})
	defer stop()
	failed := func(r reach, err error) (*answer, bool, error) {
		switch {
		case ours.Began(): // what came is no answer, never ended or broke off
			err = errSpoilt
		case off.Err() != nil:
			err = context.Cause(off)
		}
		return nil, false, &sendError{r, err}
	}
	resp, err := l.transport.RoundTrip(req.WithContext(httptrace.WithClientTrace(hard, trace)))
	if err != nil {
		switch {
		case conn.Load() == nil:
			return failed(unconnected, err)
		case !ours.Wrote() && kept.Load() && off.Err() == nil:
			return nil, true, err
		case short.Load(), late.Load(), !ours.Wrote():
			return failed(unwritten, err)
		}
		return failed(written, err)
	}
	defer resp.Body.Close()
	room := resp.ContentLength
	if room < 0 {
		room = l.links.longest
	}
	free := func() { l.links.held.Add(-room) }
	if l.links.held.Add(room) > l.links.large {
		free()
		return failed(answering, errSpoilt)
	}
	body, err := readWhole(resp, room)
	if err != nil {
		free()
		return failed(answering, err)
	}
	if up := conn.Load(); off.Err() != nil && up.UsedBy(&ours) {
		up.Close() // it is half closed and must not be used again
	}
	return &answer{resp.StatusCode, resp.Header, body, free}, false, nil
}

// readWhole reads a body that has a length, or one that ends by itself within some bytes.
func readWhole(resp *http.Response, within int64) ([]byte, error) {
	if resp.ContentLength >= 0 {
		body := make([]byte, resp.ContentLength)
		_, err := io.ReadFull(resp.Body, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, within+1))
	if err == nil && int64(len(body)) > within {
		err = errSpoilt
	}
	return body, err
}

// probe asks an appliance how it is.
func (a *Agent) probe(ctx context.Context, id agent.ApplianceID) {
	path := "/ping"
	if fields := term(a.station, "load.fields", []string(nil)); len(fields) > 0 {
		path = "/_load"
	}
	began := time.Now()
	l := a.links.to(id)
	if l == nil {
		a.engine.Tell(agent.Probed{Appliance: id, Outcome: agent.Unreachable})
		return
	}
	ctx, cancel := context.WithTimeoutCause(ctx, term(a.station, "link.dial", time.Second), life.ErrTimedOut)
	defer cancel()
	req := &http.Request{Method: http.MethodGet, URL: &url.URL{Scheme: "http", Host: l.address, Path: path},
		Host: l.address, Header: http.Header{}}
	got, err := l.send(ctx, req, nil)
	probed := agent.Probed{Appliance: id, Outcome: outcome(got, err), After: time.Since(began)}
	if err == nil && got.status == http.StatusOK && path == "/_load" {
		probed.Load = life.ReadLoad(string(got.body))
	}
	if got != nil {
		got.free()
	}
	a.engine.Tell(probed)
}
