package cluster

import (
	"net"
	"sync"
	"time"
)

const (
	// sameRegionDelay and otherRegionDelay are one-way network delays, as between the machines of a deployment.
	sameRegionDelay  = 1400 * time.Microsecond
	otherRegionDelay = 35 * time.Millisecond
	// maxInTransit is how many packets may be in transit in each direction; further writes block.
	maxInTransit   = 256
	readBufferSize = 16 << 10
)

// delayedConn is a connection that delays data in both directions.
type delayedConn struct {
	net.Conn
	delay     time.Duration
	outgoing  chan packet
	incoming  chan packet
	unread    []byte // rest of the last packet
	readErr   error  // error of the last packet
	closeOnce sync.Once
	closing   chan struct{}
}

// packet is data in transit, with the error that ends the stream if there is one.
type packet struct {
	data      []byte
	deliverAt time.Time
	err       error
}

// WithDelay wraps a connection and delays data by delay in each direction. Its goroutines end shortly after Close.
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
		case next := <-c.outgoing:
			time.Sleep(time.Until(next.deliverAt))
			if _, err := c.Conn.Write(next.data); err != nil {
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

// Write queues data for delivery. It returns before the data is sent.
func (c *delayedConn) Write(data []byte) (int, error) {
	next := packet{data: append([]byte(nil), data...), deliverAt: time.Now().Add(c.delay)}
	select {
	case c.outgoing <- next:
		return len(data), nil
	case <-c.closing:
		return 0, net.ErrClosed
	}
}

// Read returns data that has arrived. It returns the error that ended the stream only after all data.
func (c *delayedConn) Read(buffer []byte) (int, error) {
	if len(c.unread) == 0 {
		if c.readErr != nil {
			return 0, c.readErr
		}
		select {
		case next := <-c.incoming:
			time.Sleep(time.Until(next.deliverAt))
			c.unread = next.data
			c.readErr = next.err
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

// zoneDelay returns the one-way network delay between two zones.
func zoneDelay(regions map[string]string, from, to string) time.Duration {
	switch {
	case from == to:
		return 0
	case regions[from] == regions[to]:
		return sameRegionDelay
	}
	return otherRegionDelay
}
