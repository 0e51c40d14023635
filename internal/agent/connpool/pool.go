// Package connpool decides on the connections to backends that carry many requests at once: which one carries a
// request, when another is opened, when one is pinged, and when one is given up. Which backend gets a request is
// decided elsewhere.
//
// Like package policy it does no input or output and reads no clock: it is told what has happened, and when, and
// returns what is to be done.
package connpool

import (
	"math/rand/v2"
	"slices"
	"time"

	"sagelever/internal/agent/api"
)

// ConnID names one connection; ids are never used again.
type ConnID uint64

// Action is something that the pool wants done with a connection.
type Action struct {
	Kind    ActionKind
	Conn    ConnID
	Backend api.BackendID
}

// ActionKind is what an action does.
type ActionKind int

// Kinds of actions.
const (
	Dial  ActionKind = iota // open this connection, then call Opened or Failed
	Ping                    // send a ping; Received is called for whatever comes
	Close                   // close it; what it still carries has ended without a response
)

var actionKindNames = [...]string{"dial", "ping", "close"}

func (k ActionKind) String() string { return actionKindNames[k] }

// Config is what the pool keeps to.
type Config struct {
	MaxPerBackend   int           // connections to one backend
	MaxTotal        int           // connections to all backends
	BusyThreshold   int           // requests on each connection from which another one is opened
	ResponseTimeout time.Duration // without anything received, while a response is owed, until a ping is sent
	PingTimeout     time.Duration // after the ping, until the connection is given up
	IdleTimeout     time.Duration // without a request, until a connection is closed
	Backoff         time.Duration // after a first dial that failed; doubles up to 16 times that
	DialTimeout     time.Duration // kept by whoever dials, who then calls Failed
}

// DefaultConfig is for backends within one site: two connections, so that one that breaks leaves another; 64 requests,
// as many as a backend of some cores has in work and queue; half a second, which is several times what responses take.
var DefaultConfig = Config{
	MaxPerBackend:   2,
	MaxTotal:        1 << 16,
	BusyThreshold:   64,
	ResponseTimeout: 500 * time.Millisecond,
	PingTimeout:     500 * time.Millisecond,
	IdleTimeout:     30 * time.Second,
	Backoff:         100 * time.Millisecond,
	DialTimeout:     2 * time.Second,
}

// conn is one connection.
type conn struct {
	id           ConnID
	backend      *backend
	state        connState
	inFlight     int           // requests without a response
	lastActivity time.Duration // when anything was last received, or the first request was written
	stateSince   time.Duration // when it was pinged, or became idle
}

// backend is what the pool knows of one backend.
type backend struct {
	id           api.BackendID
	available    bool // it may get new requests
	conns        []*conn
	dialFailures int // in a row
	nextDialAt   time.Duration
}

// Pool is the state of all connections. It is not safe for use by several goroutines. The time that its methods take
// never goes back.
type Pool struct {
	Stats Stats

	config   Config
	now      time.Duration
	random   *rand.Rand
	backends map[api.BackendID]*backend
	conns    map[ConnID]*conn
	ordered  []*conn // by id, so that the same events lead to the same actions
	lastID   ConnID
	actions  []Action // to be returned
}

// Stats counts what has happened since the start.
type Stats struct {
	Dialed       int
	DialFailures int
	Broken       int
	PingTimeouts int
	IdleClosed   int
	LimitReached int // dials that MaxTotal did not allow
	Open         int // connections now, as of the last Tick
}

// New makes an empty pool. The seed spreads the dials of agents that would else be at the same time.
func New(config Config, seed uint64) *Pool {
	return &Pool{
		config:   config,
		random:   rand.New(rand.NewPCG(seed, 1)),
		backends: map[api.BackendID]*backend{},
		conns:    map[ConnID]*conn{},
	}
}

// takeActions returns what is to be done.
func (p *Pool) takeActions() []Action {
	actions := p.actions
	p.actions = nil
	return actions
}

// AddBackend says that a backend may get requests. One that was drained before starts anew.
func (p *Pool) AddBackend(now time.Duration, id api.BackendID) []Action {
	p.now = now
	if target := p.backends[id]; target == nil || !target.available {
		p.backends[id] = &backend{id: id, available: true}
	}
	return p.takeActions()
}

// DrainBackend says that a backend gets no new request: it drains, has left, or another one has its id. Connections
// without requests are closed at once, the others when these are answered or overdue.
func (p *Pool) DrainBackend(now time.Duration, id api.BackendID) []Action {
	p.now = now
	if target := p.backends[id]; target != nil {
		target.available = false
		delete(p.backends, id)
		for _, c := range slices.Clone(target.conns) {
			p.apply(c, retired)
		}
	}
	return p.takeActions()
}

// Decision is what becomes of a request that wants a connection.
type Decision int

// Decisions.
const (
	Use    Decision = iota // this connection, now
	Wait                   // a connection is coming up: ask again when anything has changed
	Reject                 // there is none, and none can be had now
)

// Acquire asks for a connection to a backend. With Use, the request counts as in flight until Release.
func (p *Pool) Acquire(now time.Duration, id api.BackendID) (Decision, ConnID, []Action) {
	p.now = now
	target := p.backends[id]
	if target == nil {
		return Reject, 0, p.takeActions()
	}
	best, dialInProgress := p.leastLoaded(target)
	if (best == nil || best.inFlight >= p.config.BusyThreshold) && !dialInProgress {
		p.dial(target)
		_, dialInProgress = p.leastLoaded(target)
	}
	switch {
	case best != nil:
		if best.inFlight == 0 {
			best.lastActivity = now
		}
		best.inFlight++
		return Use, best.id, p.takeActions()
	case dialInProgress:
		return Wait, 0, p.takeActions()
	}
	return Reject, 0, p.takeActions()
}

// leastLoaded finds the connection with the fewest requests, one that was pinged only if there is no other. It also
// reports whether one is coming up.
func (p *Pool) leastLoaded(target *backend) (best *conn, dialInProgress bool) {
	for _, c := range target.conns {
		switch {
		case c.state == dialing:
			dialInProgress = true
		case c.state != ready && c.state != pinged:
		case best == nil, c.state == ready && best.state == pinged, c.state == best.state && c.inFlight < best.inFlight:
			best = c
		}
	}
	return best, dialInProgress
}

// dial opens one more connection, if the limits and the backoff allow it.
func (p *Pool) dial(target *backend) {
	live := 0
	for _, c := range target.conns {
		if c.state != draining {
			live++
		}
	}
	if live >= p.config.MaxPerBackend || p.now < target.nextDialAt {
		return
	}
	if len(p.ordered) >= p.config.MaxTotal && !p.closeIdlest(target) {
		p.Stats.LimitReached++
		return
	}
	p.lastID++
	c := &conn{id: p.lastID, backend: target, state: dialing, lastActivity: p.now, stateSince: p.now}
	target.conns = append(target.conns, c)
	p.conns[c.id] = c
	p.ordered = append(p.ordered, c)
	p.Stats.Dialed++
	p.actions = append(p.actions, Action{Dial, c.id, target.id})
}

// closeIdlest makes room by closing the connection of another backend that has been idle for longest, and reports
// whether there was one.
func (p *Pool) closeIdlest(except *backend) bool {
	var idlest *conn
	for _, c := range p.ordered {
		idle := c.backend != except && c.state == ready && c.inFlight == 0
		if idle && (idlest == nil || c.stateSince < idlest.stateSince) {
			idlest = c
		}
	}
	if idlest == nil {
		return false
	}
	p.apply(idlest, idleExpired)
	return true
}

// Opened says that a connection has come up.
func (p *Pool) Opened(now time.Duration, id ConnID) []Action { return p.notify(now, id, opened) }

// Failed says that a connection did not come up, or broke.
func (p *Pool) Failed(now time.Duration, id ConnID) []Action { return p.notify(now, id, failed) }

// Received says that anything has come on a connection.
func (p *Pool) Received(now time.Duration, id ConnID) []Action {
	if c := p.conns[id]; c != nil {
		c.lastActivity = now
	}
	return p.notify(now, id, received)
}

// Release says that a request on a connection has ended.
func (p *Pool) Release(now time.Duration, id ConnID) []Action {
	c := p.conns[id]
	if c == nil || c.inFlight == 0 {
		return nil
	}
	c.inFlight--
	if c.inFlight > 0 {
		return nil
	}
	c.stateSince = now
	return p.notify(now, id, drained)
}

// notify puts an event to a connection, if it is still known.
func (p *Pool) notify(now time.Duration, id ConnID, event connEvent) []Action {
	p.now = now
	if c := p.conns[id]; c != nil {
		p.apply(c, event)
	}
	return p.takeActions()
}

// Tick looks for time-outs. It is to be called some ten times within the shortest of them.
func (p *Pool) Tick(now time.Duration) []Action {
	p.now = now
	for _, c := range slices.Clone(p.ordered) {
		p.checkTimeouts(c)
	}
	p.Stats.Open = len(p.ordered)
	return p.takeActions()
}

func (p *Pool) checkTimeouts(c *conn) {
	silence, inState := p.now-c.lastActivity, p.now-c.stateSince
	switch {
	case c.state == pinged && min(silence, inState) >= p.config.PingTimeout,
		c.state == draining && silence >= p.config.ResponseTimeout+p.config.PingTimeout:
		p.Stats.PingTimeouts++
		p.apply(c, pingOverdue)
	case c.state == ready && c.inFlight > 0 && silence >= p.config.ResponseTimeout:
		p.apply(c, responseOverdue)
	case c.state == ready && c.inFlight == 0 && inState >= p.config.IdleTimeout:
		p.Stats.IdleClosed++
		p.apply(c, idleExpired)
	}
}
