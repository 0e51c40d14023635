package httpagent

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// clientConns are the connections of clients. Clients that ask once and stay, or say nothing, must leave room for those who
// have something to ask: where there are more than enough, those that have long been without a transaction are closed
// when one comes, their clients open others when they need one. Where there are as many as may be, even one that has
// just come goes, and where all hold transactions, the one that comes does.
type clientConns struct {
	mu        sync.Mutex
	softLimit int
	hardLimit int
	conns     map[net.Conn]*clientConnState
}

// minIdleAge is how long a connection is without a transaction before it is one that has nothing to ask now: whoever
// has just come, or has just been answered, asks sooner.
const minIdleAge = 250 * time.Millisecond

type clientConnState struct {
	state http.ConnState
	since time.Time
	inUse bool // a transaction is held on it, or it is no HTTP connection any more
}

// connStateChanged follows the state of a connection.
func (d *clientConns) connStateChanged(conn net.Conn, state http.ConnState) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch state {
	case http.StateNew:
		if d.conns == nil {
			d.conns = map[net.Conn]*clientConnState{}
		}
		for len(d.conns) >= d.softLimit && d.closeIdlest(minIdleAge) { // all of them, so that a burst of clients leaves nothing behind
		}
		if len(d.conns) >= d.hardLimit && !d.closeIdlest(0) {
			conn.Close() // every one is in use
			return
		}
		d.conns[conn] = &clientConnState{state: state, since: time.Now()}
	case http.StateIdle, http.StateActive:
		if entry := d.conns[conn]; entry != nil {
			*entry = clientConnState{state: state, since: time.Now()}
		}
	case http.StateHijacked:
		if entry := d.conns[conn]; entry != nil { // it has a descriptor still, until whoever has it lets it go
			*entry = clientConnState{state: state, since: time.Now(), inUse: true}
		}
	default:
		delete(d.conns, conn)
	}
}

// remove tells that a connection that was taken over is closed.
func (d *clientConns) remove(conn net.Conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.conns, conn)
}

// closeIdlest closes the connection that has been longest without a transaction, if for some time.
func (d *clientConns) closeIdlest(minAge time.Duration) bool {
	var idlest net.Conn
	for conn, entry := range d.conns {
		if !entry.inUse && (idlest == nil || entry.since.Before(d.conns[idlest].since)) {
			idlest = conn
		}
	}
	if idlest == nil || time.Since(d.conns[idlest].since) < minAge {
		return false
	}
	idlest.Close()
	delete(d.conns, idlest)
	return true
}

// clientConnKey finds the connection in a request's context.
type clientConnKey struct{}

func (d *clientConns) connContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, clientConnKey{}, conn)
}

// claim tells that a request is to become a transaction, until its connection is idle again. It must not where its
// connection was closed while it was being read: its client has seen a close without an answer and asks again, here or
// elsewhere, under the same id, and both would be sent on.
func (d *clientConns) claim(r *http.Request) bool {
	conn, _ := r.Context().Value(clientConnKey{}).(net.Conn)
	if conn == nil {
		return true // an embedder's server, which keeps no doors
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	x := d.conns[conn]
	if closable, ok := conn.(*closeTrackingConn); x == nil || ok && closable.closed.Load() {
		return false
	}
	x.inUse = true
	return true
}

// closeTrackingConn is a client's connection that knows that it is closed: net/http closes idle ones at its end by itself, also one
// from which a request has just been read.
type closeTrackingConn struct {
	net.Conn
	closed atomic.Bool
}

func (e *closeTrackingConn) Close() error {
	e.closed.Store(true)
	return e.Conn.Close()
}

// closeTrackingListener is a listener whose connections are such.
type closeTrackingListener struct{ net.Listener }

func (l closeTrackingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &closeTrackingConn{Conn: conn}, nil
}

// closeUnused closes those that have never carried anything; the server closes the idle ones itself.
func (d *clientConns) closeUnused() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for conn, entry := range d.conns {
		if entry.state == http.StateNew && !entry.inUse {
			conn.Close()
			delete(d.conns, conn)
		}
	}
}
