package httpagent

import (
	"net"
	"net/http"
	"sync"
)

// doors are the connections of clients. Where they would take more descriptors than their part, one that is between
// transactions is closed for the one that comes: its client opens another when it needs one.
type doors struct {
	mu   sync.Mutex
	most int
	open map[net.Conn]http.ConnState
}

// note follows the state of a connection.
func (d *doors) note(c net.Conn, state http.ConnState) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch state {
	case http.StateNew:
		if d.open == nil {
			d.open = map[net.Conn]http.ConnState{}
		}
		if len(d.open) >= d.most {
			for other, was := range d.open {
				if was == http.StateIdle {
					other.Close()
					delete(d.open, other)
					break
				}
			}
		}
		d.open[c] = state
	case http.StateIdle, http.StateActive:
		d.open[c] = state
	default:
		delete(d.open, c)
	}
}

// closeUnused closes those that have never carried anything; the server closes the idle ones itself.
func (d *doors) closeUnused() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for c, state := range d.open {
		if state == http.StateNew {
			c.Close()
		}
	}
}
