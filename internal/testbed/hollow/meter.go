package hollow

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"sagelever/internal/tcp"
)

// connectTimeout is for how long a silent peer is waited for, as between the agents of the system.
const connectTimeout = tcp.UserTimeout(1500 * time.Millisecond)

// Traffic is what went over connections that one side opened: payload bytes of TCP, HTTP's own lines included.
type Traffic struct {
	Sent     int64 `json:"sent"`
	Received int64 `json:"received"`
	Calls    int64 `json:"calls"` // requests: writes that follow upon an answer, or open a connection
}

// Sub is the traffic since an earlier reading.
func (t Traffic) Sub(earlier Traffic) Traffic {
	return Traffic{Sent: t.Sent - earlier.Sent, Received: t.Received - earlier.Received, Calls: t.Calls - earlier.Calls}
}

// Add is the traffic of both.
func (t Traffic) Add(other Traffic) Traffic {
	return Traffic{Sent: t.Sent + other.Sent, Received: t.Received + other.Received, Calls: t.Calls + other.Calls}
}

// Meter counts the traffic of the connections that are opened by its Dial.
type Meter struct {
	sent, received, calls atomic.Int64
}

// Read is what was counted so far.
func (m *Meter) Read() Traffic {
	return Traffic{Sent: m.sent.Load(), Received: m.received.Load(), Calls: m.calls.Load()}
}

// Dial opens a counted connection.
func (m *Meter) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := connectTimeout.Dialer(time.Second).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &meteredConn{Conn: conn, meter: m}, nil
}

// meteredConn counts into its meter. HTTP/1.1 without pipelining alternates: a write behind a read is a new request.
type meteredConn struct {
	net.Conn
	meter      *Meter
	requesting atomic.Bool // written to since the last read
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
