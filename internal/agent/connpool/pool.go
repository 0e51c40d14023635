// Package connpool manages multiplexed connections to backends: it decides which connection carries a request, when to
// open another one, and when to ping or close one. It does not choose the backend of a request.
//
// Like package policy, it does no input or output and reads no clock: callers report events with their times, and
// perform the actions that the methods return.
package connpool

import (
	"math/rand/v2"
	"slices"
	"time"

	"sagelever/internal/agent/api"
)

// ConnID identifies one connection. IDs are never reused.
type ConnID uint64

// Action is an operation on a connection that the caller must perform.
type Action struct {
	Kind    ActionKind
	Conn    ConnID
	Backend api.BackendID
}

// ActionKind is the kind of an action.
type ActionKind int

// Kinds of actions.
const (
	Dial  ActionKind = iota // open this connection, then call Opened or Failed
	Ping                    // send a ping, then call Received for anything that is received
	Close                   // close the connection; its open requests have ended without a response
)

var actionKindNames = [...]string{"dial", "ping", "close"}

func (k ActionKind) String() string { return actionKindNames[k] }

// Config holds the limits and timeouts of a pool.
type Config struct {
	MaxPerBackend   int           // connections to one backend
	MaxTotal        int           // connections to all backends
	BusyThreshold   int           // open requests on every connection from which another one is opened
	ResponseTimeout time.Duration // silence with an open request until a ping is sent
	PingTimeout     time.Duration // silence after the ping until the connection is closed
	IdleTimeout     time.Duration // time without a request until a connection is closed
	Backoff         time.Duration // delay after the first failed dial; doubles up to 16 times the value
	DialTimeout     time.Duration // enforced by the caller, which then calls Failed
}

// DefaultConfig is for backends within one site: 2 connections, so that the loss of one leaves another; 64 requests, as
// many as a backend with a few cores processes and queues; timeouts of 500 ms, several times the usual response time.
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
	inFlight     int           // open requests
	lastActivity time.Duration // when anything was last received, or a request was added to an idle connection
	stateSince   time.Duration // when the ping was sent, or the connection became idle
}

// backend is the state of one backend.
type backend struct {
	id           api.BackendID
	available    bool // it accepts new requests
	conns        []*conn
	dialFailures int           // consecutive
	nextDialAt   time.Duration // earliest time of the next dial
}

// Pool holds the state of all connections. It is not safe for concurrent use. The times passed to its methods must not
// decrease.
type Pool struct {
	Stats Stats

	config   Config
	now      time.Duration
	random   *rand.Rand
	backends map[api.BackendID]*backend
	conns    map[ConnID]*conn
	ordered  []*conn // by ID, so that the order of actions is deterministic
	lastID   ConnID
	actions  []Action // to be returned by the current call
}

// Stats counts events since the start.
type Stats struct {
	Dialed       int
	DialFailures int
	Broken       int
	PingTimeouts int
	IdleClosed   int
	LimitReached int // dials prevented by MaxTotal
	Open         int // connections as of the last Tick
}

// New returns an empty pool. The seed determines the jitter of dials and should differ between agents.
func New(config Config, seed uint64) *Pool {
	return &Pool{
		config:   config,
		random:   rand.New(rand.NewPCG(seed, 1)),
		backends: map[api.BackendID]*backend{},
		conns:    map[ConnID]*conn{},
	}
}

// takeActions returns the pending actions and clears them.
func (p *Pool) takeActions() []Action {
	actions := p.actions
	p.actions = nil
	return actions
}

// AddBackend reports that a backend accepts requests. A backend that was drained gets new connections.
func (p *Pool) AddBackend(now time.Duration, id api.BackendID) []Action {
	p.now = now
	if target := p.backends[id]; target == nil || !target.available {
		p.backends[id] = &backend{id: id, available: true}
	}
	return p.takeActions()
}

// DrainBackend reports that a backend gets no new requests because it is draining, gone or replaced under its ID. Idle
// connections are closed immediately, the others when their requests have ended or are overdue.
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

// Decision is the result of Acquire.
type Decision int

// Decisions.
const (
	Use    Decision = iota // use the returned connection
	Wait                   // a connection is being dialed: call Acquire again after any change
	Reject                 // there is no connection, and none can be opened now
)

// Acquire selects a connection to a backend for a request. After Use, the request counts as open until Release.
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

// leastLoaded returns the connection with the fewest open requests, preferring ready ones to pinged ones, or nil if
// there is none. It also reports whether a connection is being dialed.
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

// dial opens another connection if the limits and the backoff allow it.
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

// closeIdlest closes the connection that has been idle for longest among those of all other backends, and reports
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

// Opened reports that a connection has been established.
func (p *Pool) Opened(now time.Duration, id ConnID) []Action { return p.notify(now, id, opened) }

// Failed reports that a dial failed or a connection was lost.
func (p *Pool) Failed(now time.Duration, id ConnID) []Action { return p.notify(now, id, failed) }

// Received reports that anything was received on a connection.
func (p *Pool) Received(now time.Duration, id ConnID) []Action {
	if c := p.conns[id]; c != nil {
		c.lastActivity = now
	}
	return p.notify(now, id, received)
}

// Release reports that a request on a connection has ended.
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

// notify applies an event to a connection if it is still in the pool.
func (p *Pool) notify(now time.Duration, id ConnID, event connEvent) []Action {
	p.now = now
	if c := p.conns[id]; c != nil {
		p.apply(c, event)
	}
	return p.takeActions()
}

// Tick handles timeouts. It should be called about ten times within the shortest timeout.
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
