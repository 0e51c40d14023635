// Package upstream provides the connections of an HTTP client to a backend. A connection delimits the responses itself,
// so that no byte of one response is taken as part of another, whatever the backend writes.
//
// http.Transport returns a connection to its pool before it examines the bytes that follow a response, and would read
// those bytes as the next response. A Conn therefore parses each response header, derives the end of the response from
// it, and passes only the response of its assigned exchange to the Transport.
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
	MaxResponseBytes int64 // maximum announced length of a response body

	// ReuseDelay is the minimum time between a response and the next request on the same connection. It allows
	// unsolicited bytes that a backend writes after a response to arrive before the connection is reused.
	ReuseDelay time.Duration

	OnClose func() // called once for each closed connection; may be nil
}

// Conn is a connection to a backend that passes only the responses of its exchanges to http.Transport. An exchange must
// be assigned before each request.
type Conn struct {
	*net.TCPConn
	options         *Options
	exchange        atomic.Pointer[Exchange] // the assigned exchange
	closed          atomic.Bool
	unusable        atomic.Bool  // no further request may be started on the connection
	lastResponseEnd atomic.Int64 // end of the last response, in Unix nanoseconds

	// The following fields are used only by the reading goroutine.
	reader        *bufio.Reader
	pendingHeader []byte // a header that was read and not yet returned by Read
	bodyRemaining int64  // unread bytes of the response body, or untilClose
	interimBytes  int    // bytes of the interim (1xx) responses before the awaited response
}

// untilClose is the value of bodyRemaining for a body that is chunked or ends with the connection.
const untilClose = -1

var (
	errUnsolicitedData = errors.New("unsolicited data from the backend")
	errUnusable        = errors.New("connection is unusable")
)

// NewConn returns a Conn that takes ownership of a TCP connection.
func NewConn(tcpConn *net.TCPConn, options *Options) *Conn {
	return &Conn{TCPConn: tcpConn, options: options, reader: bufio.NewReader(tcpConn)}
}

// Assign assigns the connection to an exchange, after waiting for the reuse delay. Reads and writes then belong to this
// exchange. A reused connection with unread data becomes unusable, because bytes that the backend wrote after the last
// response would be read as the response of this exchange.
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

// Write writes a part of the request of the current exchange if the write gate of the exchange permits it. On an
// unusable connection a started request is completed, but no request is started.
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

// writeFor writes p and sets exchange.writeStarted. It sets the flag before the write, so that an exchange without it
// has certainly written nothing. It does not set the flag on a closed connection.
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

// Read reads from the response of the current exchange. An error makes the connection unusable.
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
