package httpagent

import (
	"net"
	"net/http"
	"sync"
	"time"

	"sagelever/internal/tcp"
)

// clientConns tracks and limits client connections, so that idle and silent clients cannot exhaust the descriptors. At
// or above the soft limit, a new connection closes those that have had no transaction for minIdleAge; their clients can
// reconnect. At the hard limit, a new connection closes the one that has been idle for longest, however briefly, and is
// itself closed if all others are in use.
type clientConns struct {
	mu        sync.Mutex
	softLimit int
	hardLimit int
	conns     map[net.Conn]*clientConnState
}

// minIdleAge is the time without a transaction after which a connection may be closed above the soft limit. Active
// clients send their next request sooner after connecting or after a response.
const minIdleAge = 250 * time.Millisecond

// clientConnState is the state of one client connection.
type clientConnState struct {
	state http.ConnState
	since time.Time // of the last state change
	inUse bool      // it carries a transaction, or has been hijacked
}

// connStateChanged records a state change of a connection. It implements http.Server.ConnState.
func (c *clientConns) connStateChanged(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateNew:
		if c.conns == nil {
			c.conns = map[net.Conn]*clientConnState{}
		}
		c.closeIdle()
		if len(c.conns) >= c.hardLimit && !c.closeIdlest(0) {
			conn.Close() // all others are in use
			return
		}
		c.conns[conn] = &clientConnState{state: state, since: time.Now()}
	case http.StateIdle, http.StateActive:
		if entry := c.conns[conn]; entry != nil {
			*entry = clientConnState{state: state, since: time.Now()}
		}
	case http.StateHijacked:
		if entry := c.conns[conn]; entry != nil { // occupies a descriptor until its new owner calls remove
			*entry = clientConnState{state: state, since: time.Now(), inUse: true}
		}
	default:
		delete(c.conns, conn)
	}
}

// remove stops tracking a hijacked connection that has been closed.
func (c *clientConns) remove(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.conns, conn)
}

// closeIdle closes idle connections until fewer than the soft limit are open, so that the connections of a burst don't
// stay open. The caller must hold mu.
func (c *clientConns) closeIdle() {
	for len(c.conns) >= c.softLimit {
		if !c.closeIdlest(minIdleAge) {
			return
		}
	}
}

// closeIdlest closes the connection that has been idle for longest, if it has been idle for at least minAge, and
// reports whether it closed one. The caller must hold mu.
func (c *clientConns) closeIdlest(minAge time.Duration) bool {
	var idlest net.Conn
	for conn, entry := range c.conns {
		if !entry.inUse && (idlest == nil || entry.since.Before(c.conns[idlest].since)) {
			idlest = conn
		}
	}
	if idlest == nil || time.Since(c.conns[idlest].since) < minAge {
		return false
	}
	idlest.Close()
	delete(c.conns, idlest)
	return true
}

// claim marks the connection of a request as in use until it is idle again, and reports whether the request may become
// a transaction. It returns false if the connection was closed while the request was being read: the client sees a
// close without a response and repeats the request under the same ID, here or at another agent, and both would be
// forwarded.
func (c *clientConns) claim(r *http.Request) bool {
	conn := tcp.ConnFrom(r.Context())
	if conn == nil {
		return true // an embedding server that does not track connections
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	state := c.conns[conn]
	tracked, ok := conn.(*tcp.CloseTrackingConn)
	if state == nil || ok && tracked.Closed() {
		return false
	}
	state.inUse = true
	return true
}

// closeUnused closes connections that have never carried a request. http.Server closes the idle ones on shutdown.
func (c *clientConns) closeUnused() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, entry := range c.conns {
		if entry.state == http.StateNew && !entry.inUse {
			conn.Close()
			delete(c.conns, conn)
		}
	}
}
