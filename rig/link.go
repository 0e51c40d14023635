// Package rig is a whole system in one process, on loopback: stewards, relays, stand-in appliances that speak the
// protocol, clients and an operator, with delays played between the zones. What runs, what is answered and what clients are
// told is written down in a ledger, and checked: nothing lost, doubled, late at one that leaves, or cut.
package rig

import (
	"net"
	"sync"
	"time"
)

// delayed is a connection on which everything takes a while, both ways: a link between machines that stand apart.
type delayed struct {
	net.Conn
	way     time.Duration
	out     chan packet
	in      chan packet
	left    []byte
	err     error
	once    sync.Once
	closing chan struct{}
}

type packet struct {
	data []byte
	due  time.Time
	err  error
}

// onWay is how many pieces may be on their way; a writer of more waits.
const onWay = 256

// Delayed has a connection take so long each way.
func Delayed(c net.Conn, way time.Duration) net.Conn {
	d := &delayed{Conn: c, way: way, out: make(chan packet, onWay), in: make(chan packet, onWay), closing: make(chan struct{})}
	go func() {
		for {
			select {
			case p := <-d.out:
				time.Sleep(time.Until(p.due))
				if _, err := c.Write(p.data); err != nil {
					return
				}
			case <-d.closing:
				return
			}
		}
	}()
	go func() {
		for {
			b := make([]byte, 16<<10)
			n, err := c.Read(b)
			select {
			case d.in <- packet{b[:n], time.Now().Add(way), err}:
			case <-d.closing:
				return
			}
			if err != nil {
				return
			}
		}
	}()
	return d
}

func (d *delayed) Write(p []byte) (int, error) {
	select {
	case d.out <- packet{data: append([]byte(nil), p...), due: time.Now().Add(d.way)}:
		return len(p), nil
	case <-d.closing:
		return 0, net.ErrClosed
	}
}

func (d *delayed) Read(p []byte) (int, error) {
	if len(d.left) == 0 {
		if d.err != nil {
			return 0, d.err
		}
		select {
		case x := <-d.in:
			time.Sleep(time.Until(x.due))
			d.left, d.err = x.data, x.err
		case <-d.closing:
			return 0, net.ErrClosed
		}
	}
	n := copy(p, d.left)
	d.left = d.left[n:]
	if n == 0 {
		return 0, d.err
	}
	return n, nil
}

func (d *delayed) Close() error {
	d.once.Do(func() { close(d.closing) })
	return d.Conn.Close()
}

// between is how long a packet takes one way: as on the operators' machines.
func between(zones map[string]string, a, b string) time.Duration {
	switch {
	case a == b:
		return 0
	case zones[a] == zones[b]:
		return 1400 * time.Microsecond
	}
	return 35 * time.Millisecond
}
