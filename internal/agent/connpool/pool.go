// Package pool decides on the connections to appliances that carry many sends at once: which one carries a send, when
// another is opened, when one is asked whether it lives, and when one is given up. Which appliance gets a send is
// decided elsewhere. Like the decision module it is free of I/O and clock: it is told what happened, and when, and says
// what to do. The two tables stand first; step reads them.
package connpool

import (
	"math/rand/v2"
	"slices"
	"time"

	"sagelever/internal/agent/api"
)

// ConnID names one connection; ids are never used again.
type ConnID uint64

// connState of one connection.
type connState int

const (
	dialing connState = iota
	ready
	pinged   // a sign of life has been asked for
	draining // it carries no new send, and is closed when those that it has are over
	closed
)

// connEvent is what befalls a connection.
type connEvent int

const (
	opened          connEvent = iota
	failed                    // it did not come up, or broke
	received                  // anything came
	responseOverdue           // it owes an answer and nothing has come for long
	pingOverdue               // nor has a sign of life
	retired                   // its appliance drains or has left, or room is wanted
	drained                   // its last send is over
	idleExpired               // it has carried nothing for long
)

type transition struct {
	state  connState
	event  connEvent
	next   connState
	action func(*Pool, *conn)
}

var transitions []transition

func init() {
	transitions = []transition{
		{dialing, opened, ready, (*Pool).connected},
		{dialing, failed, closed, (*Pool).dialFailed},
		{dialing, retired, closed, (*Pool).closeConn},
		{ready, responseOverdue, pinged, (*Pool).ping},
		{ready, failed, closed, (*Pool).connLost},
		{ready, retired, draining, (*Pool).closeIfDrained},
		{ready, idleExpired, closed, (*Pool).closeConn},
		{pinged, received, ready, nil},
		{pinged, pingOverdue, closed, (*Pool).closeConn}, // it took the upgrade and is silent: what it has may have run
		{pinged, failed, closed, (*Pool).connLost},
		{pinged, retired, draining, (*Pool).closeIfDrained},
		{draining, drained, closed, (*Pool).closeConn},
		{draining, pingOverdue, closed, (*Pool).closeConn},
		{draining, failed, closed, (*Pool).closeConn},
	}
}

// Action is what the pool wants done. Exactly one of Dial, Ping and Close is meant, by Kind.
type Action struct {
	Kind    ActionKind
	Conn    ConnID
	Backend api.BackendID
}

// ActionKind of an act.
type ActionKind int

const (
	Dial  ActionKind = iota // open this connection, then tell Opened or Failed
	Ping                    // ask for a sign of life; whatever comes is told by Heard
	Close                   // close it; what it still carries has ended without an answer
)

func (k ActionKind) String() string { return [...]string{"dial", "ping", "close"}[k] }

// Config are what the pool keeps to.
type Config struct {
	MaxPerBackend   int           // connections to one appliance at most
	MaxTotal        int           // connections at most
	BusyThreshold   int           // sends on one connection from which another is opened
	ResponseTimeout time.Duration // without a word, while it owes one, after which a sign of life is asked for
	PingTimeout     time.Duration // and after that, it is given up
	IdleTimeout     time.Duration // without a send after which a connection is closed
	Backoff         time.Duration // after a first failure to connect; doubles up to 16 times that
	DialTimeout     time.Duration // a dial takes no longer; it is then told as failed by whoever dials
}

// DefaultConfig are bounds for appliances of one site: two connections, so that one that breaks leaves another; 64
// sends, as many as an appliance of some cores holds in work and queue; half a second is several times what answers
// take.
var DefaultConfig = Config{MaxPerBackend: 2, MaxTotal: 1 << 16, BusyThreshold: 64, ResponseTimeout: 500 * time.Millisecond, PingTimeout: 500 * time.Millisecond, IdleTimeout: 30 * time.Second,
	Backoff: 100 * time.Millisecond, DialTimeout: 2 * time.Second}

type conn struct {
	id           ConnID
	backend      *backend
	state        connState
	inFlight     int
	lastActivity time.Duration // when anything last came, or the first send was written
	stateSince   time.Duration // when it became asked, or empty
}

// backend is one appliance's side of the pool.
type backend struct {
	id           api.BackendID
	available    bool // may get new sends
	conns        []*conn
	dialFailures int // in a row
	nextDialAt   time.Duration
}

// Pool holds what is known. It is not safe for use by several goroutines.
type Pool struct {
	config   Config
	now      time.Duration
	random   *rand.Rand
	backends map[api.BackendID]*backend
	conns    map[ConnID]*conn
	ordered  []*conn // by id: the same inputs lead to the same acts
	lastID   ConnID
	actions  []Action
	Stats    Stats
}

// Stats are what has happened since the start, and how many connections there are now.
type Stats struct{ Dialed, DialFailures, Broken, PingTimeouts, IdleClosed, LimitReached, Open int }

// New makes an empty pool; chance spreads what agents would else do all at once.
func New(config Config, seed uint64) *Pool {
	return &Pool{config: config, random: rand.New(rand.NewPCG(seed, 1)), backends: map[api.BackendID]*backend{}, conns: map[ConnID]*conn{}}
}

// apply puts an input to a link.
func (p *Pool) apply(c *conn, event connEvent) {
	for _, r := range transitions {
		if r.state == c.state && r.event == event {
			if c.state = r.next; r.action != nil {
				r.action(p, c)
			}
			return
		}
	}
}

// takeActions hands out what is to be done.
func (p *Pool) takeActions() []Action {
	actions := p.actions
	p.actions = nil
	return actions
}

// AddBackend says that an appliance may get sends. One that was retired, or is another machine under an old id, starts
// anew.
func (p *Pool) AddBackend(now time.Duration, id api.BackendID) []Action {
	p.now = now
	if target := p.backends[id]; target == nil || !target.available {
		p.backends[id] = &backend{id: id, available: true}
	}
	return p.takeActions()
}

// DrainBackend says that an appliance gets no new send: it drains, has left, or another machine has its id. Connections
// on which nothing is out are closed at once, the others when they are empty or silent.
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

// Decision tells what becomes of a send that wants a connection.
type Decision int

const (
	Use    Decision = iota // on this link, now
	Wait                   // a connection is coming up: ask again when something has changed
	Reject                 // there is no way now: it is told at once
)

// Acquire asks for a connection to an appliance. With Go the send counts as out on the link until Over.
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

// leastLoaded is the link with the fewest sends out, one that has just been asked for a sign of life only if there is
// no other.
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

// dial dials one more, if the bounds and the appliance's last refusals allow it. Room is made by what carries nothing.
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
	target.conns, p.conns[c.id], p.ordered = append(target.conns, c), c, append(p.ordered, c)
	p.Stats.Dialed++
	p.actions = append(p.actions, Action{Dial, c.id, target.id})
}

// closeIdlest closes the link that has carried nothing for longest, of another appliance.
func (p *Pool) closeIdlest(except *backend) bool {
	var idlest *conn
	for _, c := range p.ordered {
		if c.backend != except && c.state == ready && c.inFlight == 0 && (idlest == nil || c.stateSince < idlest.stateSince) {
			idlest = c
		}
	}
	if idlest != nil {
		p.apply(idlest, idleExpired)
	}
	return idlest != nil
}

// Opened tells that a connection came up.
func (p *Pool) Opened(now time.Duration, id ConnID) []Action { return p.notify(now, id, opened) }

// Failed tells that a connection did not come up, or broke.
func (p *Pool) Failed(now time.Duration, id ConnID) []Action { return p.notify(now, id, failed) }

// Received tells that anything came on a connection.
func (p *Pool) Received(now time.Duration, id ConnID) []Action {
	if c := p.conns[id]; c != nil {
		c.lastActivity = now
	}
	return p.notify(now, id, received)
}

// Release tells that a send on a connection has ended.
func (p *Pool) Release(now time.Duration, id ConnID) []Action {
	c := p.conns[id]
	if c == nil || c.inFlight == 0 {
		return nil
	}
	if c.inFlight--; c.inFlight == 0 {
		c.stateSince = now
		return p.notify(now, id, drained)
	}
	return nil
}

func (p *Pool) notify(now time.Duration, id ConnID, event connEvent) []Action {
	p.now = now
	if c := p.conns[id]; c != nil {
		p.apply(c, event)
	}
	return p.takeActions()
}

// Tick looks at the time; some ten times in the shortest bound.
func (p *Pool) Tick(now time.Duration) []Action {
	p.now = now
	for _, c := range slices.Clone(p.ordered) {
		switch {
		case c.state == pinged && now-max(c.stateSince, c.lastActivity) >= p.config.PingTimeout,
			c.state == draining && now-c.lastActivity >= p.config.ResponseTimeout+p.config.PingTimeout:
			p.Stats.PingTimeouts++
			p.apply(c, pingOverdue)
		case c.state == ready && c.inFlight > 0 && now-c.lastActivity >= p.config.ResponseTimeout:
			p.apply(c, responseOverdue)
		case c.state == ready && c.inFlight == 0 && now-c.stateSince >= p.config.IdleTimeout:
			p.Stats.IdleClosed++
			p.apply(c, idleExpired)
		}
	}
	p.Stats.Open = len(p.ordered)
	return p.takeActions()
}

// connected begins a link's time.
func (p *Pool) connected(c *conn) {
	c.backend.dialFailures, c.backend.nextDialAt = 0, 0
	c.lastActivity, c.stateSince = p.now, p.now
}

func (p *Pool) ping(c *conn) {
	c.stateSince = p.now
	p.actions = append(p.actions, Action{Ping, c.id, c.backend.id})
}

// dialFailed spaces the next tries: a machine that starts must not be met by every agent's dial at once.
func (p *Pool) dialFailed(c *conn) {
	p.Stats.DialFailures++
	target := c.backend
	wait := p.config.Backoff << min(target.dialFailures, 4)
	target.nextDialAt = p.now + wait/2 + time.Duration(p.random.Int64N(int64(wait)))
	target.dialFailures++
	p.remove(c)
}

// connLost lets the next dial go at once: a connection that worked says nothing against the machine.
func (p *Pool) connLost(c *conn) {
	p.Stats.Broken++
	p.remove(c)
}

func (p *Pool) closeIfDrained(c *conn) {
	c.lastActivity = p.now // what it carries has a whole span for a word from now on
	if c.inFlight == 0 {
		p.apply(c, drained)
	}
}

func (p *Pool) closeConn(c *conn) {
	p.actions = append(p.actions, Action{Close, c.id, c.backend.id})
	p.remove(c)
}

func (p *Pool) remove(c *conn) {
	c.state = closed
	delete(p.conns, c.id)
	c.backend.conns = slices.DeleteFunc(c.backend.conns, func(x *conn) bool { return x == c })
	p.ordered = slices.DeleteFunc(p.ordered, func(x *conn) bool { return x == c })
}
