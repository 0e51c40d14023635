package cluster

import (
	"net"
	"sync"
	"time"
)

const (
	// sameRegionDelay and otherRegionDelay are how long a packet takes one way, as between the operators' machines.
	sameRegionDelay  = 1400 * time.Microsecond
	otherRegionDelay = 35 * time.Millisecond
	// maxInTransit is how many writes may be in transit each way; a writer of more waits.
	maxInTransit   = 256
	readBufferSize = 16 << 10
)

// delayedConn is a connection on which data takes a while each way.
type delayedConn struct {
	net.Conn
	delay     time.Duration
	outgoing  chan packet
	incoming  chan packet
	unread    []byte // of the last packet
	readErr   error  // that came with it
	closeOnce sync.Once
	closing   chan struct{}
}

// packet is a piece of data in transit, or the error that ends the stream.
type packet struct {
	data      []byte
	deliverAt time.Time
	err       error
}

// WithDelay returns a connection on which everything takes delay each way. Its goroutines end soon after Close.
func WithDelay(conn net.Conn, delay time.Duration) net.Conn {
	delayed := &delayedConn{
		Conn:     conn,
		delay:    delay,
		outgoing: make(chan packet, maxInTransit),
		incoming: make(chan packet, maxInTransit),
		closing:  make(chan struct{}),
	}
	go delayed.deliverOutgoing()
	go delayed.receiveIncoming()
	return delayed
}

func (c *delayedConn) deliverOutgoing() {
	for {
		select {
		case segment := <-c.outgoing:
			time.Sleep(time.Until(segment.deliverAt))
			if _, err := c.Conn.Write(segment.data); err != nil {
				return
			}
		case <-c.closing:
			return
		}
	}
}

func (c *delayedConn) receiveIncoming() {
	for {
		buffer := make([]byte, readBufferSize)
		n, err := c.Conn.Read(buffer)
		select {
		case c.incoming <- packet{data: buffer[:n], deliverAt: time.Now().Add(c.delay), err: err}:
		case <-c.closing:
			return
		}
		if err != nil {
			return
		}
	}
}

// Write queues data; it returns before the data is delivered.
func (c *delayedConn) Write(data []byte) (int, error) {
	segment := packet{data: append([]byte(nil), data...), deliverAt: time.Now().Add(c.delay)}
	select {
	case c.outgoing <- segment:
		return len(data), nil
	case <-c.closing:
		return 0, net.ErrClosed
	}
}

// Read returns data that has arrived, and the peer's end of the stream after all of it.
func (c *delayedConn) Read(buffer []byte) (int, error) {
	if len(c.unread) == 0 {
		if c.readErr != nil {
			return 0, c.readErr
		}
		select {
		case segment := <-c.incoming:
			time.Sleep(time.Until(segment.deliverAt))
			c.unread = segment.data
			c.readErr = segment.err
		case <-c.closing:
			return 0, net.ErrClosed
		}
	}
	n := copy(buffer, c.unread)
	c.unread = c.unread[n:]
	if n == 0 {
		return 0, c.readErr
	}
	return n, nil
}

// Close closes the connection; data in transit is lost.
func (c *delayedConn) Close() error {
	c.closeOnce.Do(func() { close(c.closing) })
	return c.Conn.Close()
}

// zoneDelay returns how long a packet takes from one zone to another.
func zoneDelay(regions map[string]string, from, to string) time.Duration {
	switch {
	case from == to:
		return 0
	case regions[from] == regions[to]:
		return sameRegionDelay
	}
	return otherRegionDelay
}
