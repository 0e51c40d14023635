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
	pinged   // a response is overdue, and a ping was sent
	draining // it takes no new request, and is closed when those that it has are answered
	closed
)

// connEvent is what happens to a connection.
type connEvent int

const (
	opened          connEvent = iota
	failed                    // it did not come up, or broke
	received                  // anything came
	responseOverdue           // it owes a response, and nothing has come for long
	pingOverdue               // nor has the answer to the ping
	retired                   // its backend drains or has left
	drained                   // its last request is answered
	idleExpired               // it has carried nothing for long, or room is wanted
)

// transition is one row of the table: in this state, this event leads to the next state and its effect.
type transition struct {
	state  connState
	event  connEvent
	next   connState
	effect func(*Pool, *conn) // nil if there is none
}

// transitions is the table of a connection's states. An event without a row for the present state changes nothing.
var transitions []transition

func init() { // the effects refer to the table
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

// apply puts an event to a connection.
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

// connected starts the time of a connection that has come up.
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

// dialFailed makes the next dials wait, with a jitter: a backend that starts must not be met by the dials of all agents
// at once.
func (p *Pool) dialFailed(c *conn) {
	const maxDoublings = 4
	p.Stats.DialFailures++
	target := c.backend
	wait := p.config.Backoff << min(target.dialFailures, maxDoublings)
	target.nextDialAt = p.now + wait/2 + time.Duration(p.random.Int64N(int64(wait)))
	target.dialFailures++
	p.remove(c)
}

// connLost lets the next dial go at once: a connection that worked says nothing against the backend.
func (p *Pool) connLost(c *conn) {
	p.Stats.Broken++
	p.remove(c)
}

// closeIfDrained returns a draining connection the whole time-out for its next response, or closes it if it owes none.
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

// remove forgets a connection.
func (p *Pool) remove(c *conn) {
	isRemoved := func(x *conn) bool { return x == c }
	c.state = closed
	delete(p.conns, c.id)
	c.backend.conns = slices.DeleteFunc(c.backend.conns, isRemoved)
	p.ordered = slices.DeleteFunc(p.ordered, isRemoved)
}
