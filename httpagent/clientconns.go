package httpagent

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// clientConns are the connections of clients. Clients that ask once and stay, or say nothing, must leave room for those
// that have something to ask. Above the soft limit, a new connection closes those that have been without a transaction
// for minIdleAge: their clients open others when they need one. At the hard limit it closes even one that has just
// come, and is closed itself if all connections are in use.
type clientConns struct {
	mu        sync.Mutex
	softLimit int
	hardLimit int
	conns     map[net.Conn]*clientConnState
}

// minIdleAge is how long a connection is without a transaction until its client counts as having nothing to ask: one
// that has just come, or has just been answered, asks sooner.
const minIdleAge = 250 * time.Millisecond

// clientConnState is what is known of one connection.
type clientConnState struct {
	state http.ConnState
	since time.Time
	inUse bool // it carries a transaction, or is no HTTP connection any more
}

// connStateChanged follows the state of a connection; it is http.Server's ConnState.
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
		if entry := c.conns[conn]; entry != nil { // it has a descriptor until whoever took it over closes it
			*entry = clientConnState{state: state, since: time.Now(), inUse: true}
		}
	default:
		delete(c.conns, conn)
	}
}

// remove forgets a connection that was taken over and is closed.
func (c *clientConns) remove(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.conns, conn)
}

// closeIdle closes all idle connections above the soft limit, so that a burst of clients leaves nothing behind. The
// lock is held.
func (c *clientConns) closeIdle() {
	for len(c.conns) >= c.softLimit {
		if !c.closeIdlest(minIdleAge) {
			return
		}
	}
}

// closeIdlest closes the connection that has been without a transaction for longest, if that is minAge or more, and
// reports whether there was one. The lock is held.
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

// clientConnKey is the key of a connection in the context of its requests.
type clientConnKey struct{}

// connContext puts a connection into the context of its requests; it is http.Server's ConnContext.
func (c *clientConns) connContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, clientConnKey{}, conn)
}

// claim notes that a request is to become a transaction, until its connection is idle again. It refuses if the
// connection was closed while the request was being read: the client has seen a close without an answer and asks again,
// here or elsewhere, under the same id, and both requests would be forwarded.
func (c *clientConns) claim(r *http.Request) bool {
	conn, _ := r.Context().Value(clientConnKey{}).(net.Conn)
	if conn == nil {
		return true // the server is an embedder's, which does not track connections
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	state := c.conns[conn]
	tracked, ok := conn.(*closeTrackingConn)
	if state == nil || ok && tracked.closed.Load() {
		return false
	}
	state.inUse = true
	return true
}

// closeTrackingConn is a client's connection that knows whether it is closed: when it shuts down, net/http closes idle
// ones by itself, also one from which a request has just been read.
type closeTrackingConn struct {
	net.Conn
	closed atomic.Bool
}

// Close notes that the connection is closed and closes it.
func (c *closeTrackingConn) Close() error {
	c.closed.Store(true)
	return c.Conn.Close()
}

// closeTrackingListener is a listener whose connections are closeTrackingConns.
type closeTrackingListener struct{ net.Listener }

// Accept waits for the next connection.
func (l closeTrackingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &closeTrackingConn{Conn: conn}, nil
}

// closeUnused closes connections that have never carried a request; http.Server closes the idle ones itself.
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
