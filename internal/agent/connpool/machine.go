package connpool

import (
	"slices"
	"time"
)

// connState is the state of one connection.
type connState int

const (
	dialing connState = iota
	ready
	pinged   // a response is overdue, and a ping has been sent
	draining // takes no new requests, and is closed when its open ones have ended
	closed
)

// connEvent is an event of a connection.
type connEvent int

const (
	opened          connEvent = iota
	failed                    // the dial failed, or the connection was lost
	received                  // anything was received
	responseOverdue           // a request is open, and nothing was received for Config.ResponseTimeout
	pingOverdue               // nothing was received for Config.PingTimeout after the ping
	retired                   // the backend is draining or gone
	drained                   // the last open request has ended
	idleExpired               // idle for Config.IdleTimeout, or closed to make room for another connection
)

// transition is one row of the state table: in this state, this event leads to the next state and runs the effect.
type transition struct {
	state  connState
	event  connEvent
	next   connState
	effect func(*Pool, *conn) // nil if there is none
}

// transitions is the state table of a connection. An event without a row for the current state is ignored.
var transitions []transition

func init() { // not an initializer, as the effects refer to the table
	transitions = []transition{
		{dialing, opened, ready, (*Pool).connected},
		{dialing, failed, closed, (*Pool).dialFailed},
		{dialing, retired, closed, (*Pool).closeConn},
		{ready, responseOverdue, pinged, (*Pool).ping},
		{ready, failed, closed, (*Pool).connLost},
		{ready, retired, draining, (*Pool).closeIfDrained},
		{ready, idleExpired, closed, (*Pool).closeConn},
		{pinged, received, ready, nil},
		{pinged, pingOverdue, closed, (*Pool).closeConn},
		{pinged, failed, closed, (*Pool).connLost},
		{pinged, retired, draining, (*Pool).closeIfDrained},
		{draining, drained, closed, (*Pool).closeConn},
		{draining, pingOverdue, closed, (*Pool).closeConn},
		{draining, failed, closed, (*Pool).closeConn},
	}
}

// apply runs the transition of a connection for an event.
func (p *Pool) apply(c *conn, event connEvent) {
	for _, row := range transitions {
		if row.state != c.state || row.event != event {
			continue
		}
		c.state = row.next
		if row.effect != nil {
			row.effect(p, c)
		}
		return
	}
}

// connected resets the backoff of the backend and starts the timers of a new connection.
func (p *Pool) connected(c *conn) {
	c.backend.dialFailures = 0
	c.backend.nextDialAt = 0
	c.lastActivity = p.now
	c.stateSince = p.now
}

func (p *Pool) ping(c *conn) {
	c.stateSince = p.now
	p.actions = append(p.actions, Action{Ping, c.id, c.backend.id})
}

// dialFailed delays the next dial to the backend by an exponential backoff. The jitter keeps agents from dialing a
// restarting backend at the same time.
func (p *Pool) dialFailed(c *conn) {
	const maxDoublings = 4
	p.Stats.DialFailures++
	target := c.backend
	wait := p.config.Backoff << min(target.dialFailures, maxDoublings)
	target.nextDialAt = p.now + wait/2 + time.Duration(p.random.Int64N(int64(wait)))
	target.dialFailures++
	p.remove(c)
}

// connLost removes a connection without a backoff, as a lost connection does not show that the backend is unreachable.
func (p *Pool) connLost(c *conn) {
	p.Stats.Broken++
	p.remove(c)
}

// closeIfDrained closes a draining connection that has no open requests, and otherwise restarts its timeout.
func (p *Pool) closeIfDrained(c *conn) {
	c.lastActivity = p.now
	if c.inFlight == 0 {
		p.apply(c, drained)
	}
}

func (p *Pool) closeConn(c *conn) {
	p.actions = append(p.actions, Action{Close, c.id, c.backend.id})
	p.remove(c)
}

// remove deletes a connection from the pool.
func (p *Pool) remove(c *conn) {
	isRemoved := func(x *conn) bool { return x == c }
	c.state = closed
	delete(p.conns, c.id)
	c.backend.conns = slices.DeleteFunc(c.backend.conns, isRemoved)
	p.ordered = slices.DeleteFunc(p.ordered, isRemoved)
}
