package hollow

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"sagelever/internal/tcp"
)

const (
	// userTimeout is how long an unresponsive peer is tolerated on a connection, as between the real nodes.
	userTimeout = tcp.UserTimeout(1500 * time.Millisecond)
	dialTimeout = time.Second
)

// Traffic counts bytes and requests of connections, as seen by the side that opened them.
type Traffic struct {
	Sent     int64 `json:"sent"`     // TCP payload bytes, including HTTP headers
	Received int64 `json:"received"` // TCP payload bytes, including HTTP headers
	Calls    int64 `json:"calls"`    // requests
}

// Add returns the sum of two counts.
func (t Traffic) Add(other Traffic) Traffic {
	return Traffic{Sent: t.Sent + other.Sent, Received: t.Received + other.Received, Calls: t.Calls + other.Calls}
}

// Sub returns the traffic since an earlier count.
func (t Traffic) Sub(earlier Traffic) Traffic {
	return Traffic{Sent: t.Sent - earlier.Sent, Received: t.Received - earlier.Received, Calls: t.Calls - earlier.Calls}
}

// Meter counts the traffic of the connections that are opened by its Dial. It is safe for concurrent use.
type Meter struct {
	sent     atomic.Int64
	received atomic.Int64
	calls    atomic.Int64
}

// Read returns the traffic so far.
func (m *Meter) Read() Traffic {
	return Traffic{Sent: m.sent.Load(), Received: m.received.Load(), Calls: m.calls.Load()}
}

// Dial opens a connection whose traffic is counted.
func (m *Meter) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := userTimeout.Dialer(dialTimeout).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &meteredConn{Conn: conn, meter: m}, nil
}

// meteredConn counts the traffic of a connection. Without pipelining, requests and responses alternate in HTTP/1.1: the
// first write after a read, or after the connection was opened, begins a request.
type meteredConn struct {
	net.Conn
	meter      *Meter
	requesting atomic.Bool // there has been a write since the last read
}

func (c *meteredConn) Write(data []byte) (int, error) {
	if !c.requesting.Swap(true) {
		c.meter.calls.Add(1)
	}
	n, err := c.Conn.Write(data)
	c.meter.sent.Add(int64(n))
	return n, err
}

func (c *meteredConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if n > 0 {
		c.requesting.Store(false)
		c.meter.received.Add(int64(n))
	}
	return n, err
}
