package httpagent

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// doors are the connections of clients. Clients that ask once and stay, or say nothing, must leave room for those who
// have something to ask: where there are more than enough, those that have long been without a transaction are closed
// when one comes, their clients open others when they need one. Where there are as many as may be, even one that has
// just come goes, and where all hold transactions, the one that comes does.
type doors struct {
	mu     sync.Mutex
	enough int
	most   int
	open   map[net.Conn]*door
}

// settled is how long a connection is without a transaction before it is one that has nothing to ask now: whoever
// has just come, or has just been answered, asks sooner.
const settled = 250 * time.Millisecond

type door struct {
	state http.ConnState
	since time.Time
	held  bool // a transaction is held on it, or it is no HTTP connection any more
}

// note follows the state of a connection.
func (d *doors) note(c net.Conn, state http.ConnState) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch state {
	case http.StateNew:
		if d.open == nil {
			d.open = map[net.Conn]*door{}
		}
		for len(d.open) >= d.enough && d.makeRoom(settled) { // all of them, so that a burst of clients leaves nothing behind
		}
		if len(d.open) >= d.most && !d.makeRoom(0) {
			c.Close() // every one is in use
			return
		}
		d.open[c] = &door{state: state, since: time.Now()}
	case http.StateIdle, http.StateActive:
		if x := d.open[c]; x != nil {
			*x = door{state: state, since: time.Now()}
		}
	case http.StateHijacked:
		if x := d.open[c]; x != nil { // it has a descriptor still, until whoever has it lets it go
			*x = door{state: state, since: time.Now(), held: true}
		}
	default:
		delete(d.open, c)
	}
}

// release tells that a connection that was taken over is closed.
func (d *doors) release(c net.Conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.open, c)
}

// makeRoom closes the connection that has been longest without a transaction, if for some time.
func (d *doors) makeRoom(atLeast time.Duration) bool {
	var longest net.Conn
	for c, x := range d.open {
		if !x.held && (longest == nil || x.since.Before(d.open[longest].since)) {
			longest = c
		}
	}
	if longest == nil || time.Since(d.open[longest].since) < atLeast {
		return false
	}
	longest.Close()
	delete(d.open, longest)
	return true
}

// doorKey finds the connection in a request's context.
type doorKey struct{}

func (d *doors) mark(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, doorKey{}, c)
}

// hold tells that a request is to become a transaction, until its connection is idle again. It must not where its
// connection was closed while it was being read: its client has seen a close without an answer and asks again, here or
// elsewhere, under the same id, and both would be sent on.
func (d *doors) hold(r *http.Request) bool {
	c, _ := r.Context().Value(doorKey{}).(net.Conn)
	if c == nil {
		return true // an embedder's server, which keeps no doors
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	x := d.open[c]
	if e, ok := c.(*entry); x == nil || ok && e.shut.Load() {
		return false
	}
	x.held = true
	return true
}

// entry is a client's connection that knows that it is closed: net/http closes idle ones at its end by itself, also one
// from which a request has just been read.
type entry struct {
	net.Conn
	shut atomic.Bool
}

func (e *entry) Close() error {
	e.shut.Store(true)
	return e.Conn.Close()
}

// entries is a listener whose connections are such.
type entries struct{ net.Listener }

func (l entries) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &entry{Conn: c}, nil
}

// closeUnused closes those that have never carried anything; the server closes the idle ones itself.
func (d *doors) closeUnused() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for c, x := range d.open {
		if x.state == http.StateNew && !x.held {
			c.Close()
			delete(d.open, c)
		}
	}
}
