// Package upstream is the connection of an HTTP client to a backend. It separates the responses on the connection, so
// that no byte of one response is taken for a part of another, whatever the backend writes.
//
// http.Transport keeps a connection for the next request before it looks at what follows a response, and would take
// that for the next response. A Conn therefore reads each header itself, knows from it where the response ends, and
// hands the Transport only the response to the exchange that it is assigned to.
package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// Options are the options of the connections of one client.
type Options struct {
	MaxResponseBytes int64 // bound on the announced length of a response's body

	// ReuseDelay is the pause between a response and the next request on the same connection. Bytes that a backend
	// writes after a response take a moment to arrive.
	ReuseDelay time.Duration

	OnClose func() // called once for each connection that is closed; may be nil
}

// Conn is a connection to a backend that hands http.Transport only the responses to its exchanges. Assign an exchange
// before each request.
type Conn struct {
	*net.TCPConn
	options         *Options
	exchange        atomic.Pointer[Exchange] // the exchange that the connection is assigned to
	closed          atomic.Bool
	unusable        atomic.Bool  // no further request may be written on it
	lastResponseEnd atomic.Int64 // when the last response ended, in Unix nanoseconds

	// Only the goroutine that reads uses the following.
	reader        *bufio.Reader
	pendingHeader []byte // a header that is read and not yet handed on
	bodyRemaining int64  // bytes of the response's body that are not yet read, or untilClose
	interimBytes  int    // bytes of the interim (1xx) responses before the awaited one
}

// untilClose is the value of bodyRemaining for a body that ends with the connection, or that is in chunks.
const untilClose = -1

var (
	errUnsolicitedData = errors.New("data from the backend that no request asked for")
	errUnusable        = errors.New("the connection is unusable")
)

// NewConn takes over a TCP connection.
func NewConn(tcpConn *net.TCPConn, options *Options) *Conn {
	return &Conn{TCPConn: tcpConn, options: options, reader: bufio.NewReader(tcpConn)}
}

// Assign assigns the connection to an exchange, from which on it is the one that the connection reads and writes for.
// What a backend has written after the last response would be taken for the response to this one; a reused connection
// with unread data is therefore unusable. Assign waits for the reuse delay first.
func (c *Conn) Assign(exchange *Exchange) {
	lastResponseEnd := time.Unix(0, c.lastResponseEnd.Load())
	time.Sleep(time.Until(lastResponseEnd.Add(c.options.ReuseDelay)))
	previous := c.exchange.Swap(exchange)
	if previous != nil && readable(c.TCPConn) {
		c.unusable.Store(true)
	}
}

// AssignedTo reports whether the connection is still assigned to the exchange.
func (c *Conn) AssignedTo(exchange *Exchange) bool { return c.exchange.Load() == exchange }

// Write writes a part of the request of the current exchange, if the write gate of that permits it. On an unusable
// connection a request that is begun is written to its end, but none is begun.
func (c *Conn) Write(p []byte) (n int, err error) {
	exchange := c.exchange.Load()
	if exchange == nil || c.unusable.Load() && !exchange.WriteStarted() {
		return 0, errUnusable
	}
	if exchange.WriteGate == nil {
		return c.writeFor(exchange, p)
	}
	write := func() { n, err = c.writeFor(exchange, p) }
	if !exchange.WriteGate(write) {
		c.unusable.Store(true)
		return 0, errUnusable
	}
	return n, err
}

// writeFor writes and records that the exchange has written. The record is made first, so that an exchange without it
// has certainly written nothing. A closed connection is not recorded as written.
func (c *Conn) writeFor(exchange *Exchange, p []byte) (int, error) {
	if c.closed.Load() {
		return 0, errUnusable
	}
	if !exchange.WriteStarted() {
		exchange.noResponseBody = bytes.HasPrefix(p, []byte(http.MethodHead+" "))
		exchange.writeStarted.Store(true)
	}
	return c.TCPConn.Write(p)
}

// Read reads from the response of the current exchange. After an error the connection is unusable.
func (c *Conn) Read(p []byte) (n int, err error) {
	switch {
	case len(c.pendingHeader) > 0:
	case c.bodyRemaining == untilClose:
		n, err = c.reader.Read(p)
	case c.bodyRemaining == 0:
		err = c.readHeader()
	default:
		n, err = c.readBody(p)
	}
	if err != nil {
		c.unusable.Store(true)
		return 0, err
	}
	if n == 0 {
		n = copy(p, c.pendingHeader)
		c.pendingHeader = c.pendingHeader[n:]
	}
	return n, nil
}

// Close closes the connection. It may be called more than once.
func (c *Conn) Close() error {
	alreadyClosed := c.closed.Swap(true)
	if !alreadyClosed && c.options.OnClose != nil {
		c.options.OnClose()
	}
	return c.TCPConn.Close()
}
