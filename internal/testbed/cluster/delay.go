// Package rig is a whole system in one process, on loopback: stewards, relays, stand-in appliances that speak the
// protocol, clients and an operator, with delays played between the zones. What runs, what is answered and what clients are
// told is written down in a ledger, and checked: nothing lost, doubled, late at one that leaves, or cut.
package cluster

import (
	"net"
	"sync"
	"time"
)

// delayedConn is a connection on which everything takes a while, both ways: a link between machines that stand apart.
type delayedConn struct {
	net.Conn
	delay     time.Duration
	outgoing  chan packet
	incoming  chan packet
	unread    []byte
	readErr   error
	closeOnce sync.Once
	closed    chan struct{}
}

type packet struct {
	data      []byte
	deliverAt time.Time
	err       error
}

// maxInTransit is how many pieces may be on their way; a writer of more waits.
const maxInTransit = 256

// WithDelay has a connection take so long each way.
func WithDelay(conn net.Conn, delay time.Duration) net.Conn {
	d := &delayedConn{Conn: conn, delay: delay, outgoing: make(chan packet, maxInTransit), incoming: make(chan packet, maxInTransit), closed: make(chan struct{})}
	go func() {
		for {
			select {
			case segment := <-d.outgoing:
				time.Sleep(time.Until(segment.deliverAt))
				if _, err := conn.Write(segment.data); err != nil {
					return
				}
			case <-d.closed:
				return
			}
		}
	}()
	go func() {
		for {
			buffer := make([]byte, 16<<10)
			n, err := conn.Read(buffer)
			select {
			case d.incoming <- packet{buffer[:n], time.Now().Add(delay), err}:
			case <-d.closed:
				return
			}
			if err != nil {
				return
			}
		}
	}()
	return d
}

func (c *delayedConn) Write(p []byte) (int, error) {
	select {
	case c.outgoing <- packet{data: append([]byte(nil), p...), deliverAt: time.Now().Add(c.delay)}:
		return len(p), nil
	case <-c.closed:
		return 0, net.ErrClosed
	}
}

func (c *delayedConn) Read(p []byte) (int, error) {
	if len(c.unread) == 0 {
		if c.readErr != nil {
			return 0, c.readErr
		}
		select {
		case segment := <-c.incoming:
			time.Sleep(time.Until(segment.deliverAt))
			c.unread, c.readErr = segment.data, segment.err
		case <-c.closed:
			return 0, net.ErrClosed
		}
	}
	n := copy(p, c.unread)
	c.unread = c.unread[n:]
	if n == 0 {
		return 0, c.readErr
	}
	return n, nil
}

func (c *delayedConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// zoneDelay is how long a packet takes one way: as on the operators' machines.
func zoneDelay(regions map[string]string, from, to string) time.Duration {
	switch {
	case from == to:
		return 0
	case regions[from] == regions[to]:
		return 1400 * time.Microsecond
	}
	return 35 * time.Millisecond
}
