package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// Options are what holds for the connections of one agent.
type Options struct {
	MaxResponseBytes int64         // bytes that one answer may have
	ReuseDelay       time.Duration // for which a connection rests behind an answer, as what is written right behind it takes a moment
	OnClose          func()        // called once for each connection that closes; may be nil
}

// Conn is a connection to an appliance that hands http.Transport the answers to its requests and nothing else. A
// Transport keeps a connection for the next request before it looks at what stands behind an answer, and would take
// that for the next one's. So the Conn reads each head itself, to know where its answer ends.
type Conn struct {
	*net.TCPConn
	options         *Options
	exchange        atomic.Pointer[Exchange] // the send that has it
	closed          atomic.Bool
	unusable        atomic.Bool  // no request may be written on it any more
	lastResponseEnd atomic.Int64 // when its last answer ended, in Unix nanoseconds

	// The rest belongs to the one goroutine that reads.
	reader        *bufio.Reader
	pendingHeader []byte // read, and not yet handed on
	bodyRemaining int64  // of the answer's body, not yet read
	interimBytes  int    // bytes of answers in front of the one that counts
}

// Exchange is one send's use of a connection.
type Exchange struct {
	WriteGate        func(write func()) bool    // what has to be asked before anything is written; nil: nothing
	MatchesResponse  func(http.Header) bool     // whether an answer is to this send; others are passed over. nil: all are
	ValidateResponse func(*http.Response) error // why an answer in its place may not be believed, by its head; nil: all may
	RequestWritten   func() bool                // whether the request has been written whole; nil: it has, once it is answered
	noResponseBody   bool                       // no answer to it has a body, whatever its head says; set before anything is written
	writeStarted     atomic.Bool                // anything has been written for it
	responseStarted  atomic.Bool                // something has come for it
	responseComplete atomic.Bool                // its answer has been read whole
}

// WriteStarted tells whether anything was written for the send.
func (e *Exchange) WriteStarted() bool { return e.writeStarted.Load() }

// ResponseStarted tells whether something has come for the send.
func (e *Exchange) ResponseStarted() bool { return e.responseStarted.Load() }

const (
	untilClose     = -1       // the body ends where the connection does, or says itself where
	MaxHeaderBytes = 16 << 10 // bytes of one answer's head and what comes in front of it; the protocol's take some hundred bytes
)

var (
	errUnsolicitedData = errors.New("the appliance has written what nobody asked for")
	errUnusable        = errors.New("the connection is of no use any more")

	// ErrMalformedResponse says that what has come is no answer, or may not be the whole one.
	ErrMalformedResponse = errors.New("the answer cannot be read")
)

// NewConn takes over a connection.
func NewConn(tcpConn *net.TCPConn, options *Options) *Conn {
	return &Conn{TCPConn: tcpConn, options: options, reader: bufio.NewReader(tcpConn)}
}

// AssignedTo tells whether the connection is still that send's.
func (c *Conn) AssignedTo(exchange *Exchange) bool { return c.exchange.Load() == exchange }

// Assign gives the connection to a send. What an appliance writes right behind an answer may still be on its way when
// the next send takes the connection, and would pass for its answer: so a connection rests for a moment, and is looked
// at before anything is written.
func (c *Conn) Assign(exchange *Exchange) {
	time.Sleep(time.Until(time.Unix(0, c.lastResponseEnd.Load()).Add(c.options.ReuseDelay)))
	if c.exchange.Swap(exchange) != nil && readable(c.TCPConn) {
		c.unusable.Store(true)
	}
}

func (c *Conn) Write(p []byte) (n int, err error) {
	exchange := c.exchange.Load()
	if exchange == nil || c.unusable.Load() && !exchange.writeStarted.Load() { // a request that is begun is written on: only the next may not be
		return 0, errUnusable
	}
	write := func() {
		if c.closed.Load() { // nothing is written any more, so that none may say that something was
			n, err = 0, errUnusable
			return
		}
		if !exchange.writeStarted.Load() {
			exchange.noResponseBody = bytes.HasPrefix(p, []byte(http.MethodHead+" "))
			exchange.writeStarted.Store(true)
		}
		n, err = c.TCPConn.Write(p)
	}
	if exchange.WriteGate == nil {
		write()
	} else if !exchange.WriteGate(write) {
		c.unusable.Store(true)
		return 0, errUnusable
	}
	return n, err
}

// Read hands on what belongs to the answer that is awaited.
func (c *Conn) Read(p []byte) (n int, err error) {
	switch {
	case len(c.pendingHeader) > 0:
	case c.bodyRemaining == untilClose:
		n, err = c.reader.Read(p)
	case c.bodyRemaining == 0:
		err = c.readHeader()
	default:
		n, err = c.reader.Read(p[:min(int64(len(p)), c.bodyRemaining)])
		if c.bodyRemaining -= int64(n); c.bodyRemaining == 0 && err == nil {
			err = c.finishResponse()
		}
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

// readHeader reads the next head. What cannot be read spoils the answer; what comes while none is awaited, the
// connection.
func (c *Conn) readHeader() error {
	if _, err := c.reader.Peek(1); err != nil {
		return err
	}
	exchange := c.exchange.Load()
	if exchange == nil || !exchange.writeStarted.Load() || exchange.responseComplete.Load() {
		return errUnsolicitedData
	}
	exchange.responseStarted.Store(true)
	malformed := func(err error) error { return fmt.Errorf("%w: %w", ErrMalformedResponse, err) }
	var header []byte
	for endOfHeader := false; !endOfHeader; {
		line, err := c.reader.ReadSlice('\n')
		if err != nil && err != bufio.ErrBufferFull {
			return err
		}
		if header = append(header, line...); len(header)+c.interimBytes > MaxHeaderBytes {
			return malformed(errors.New("its head is too long"))
		}
		endOfHeader = len(bytes.TrimRight(line, "\r\n")) == 0
	}
	resp, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(header)), nil)
	switch {
	case err != nil:
		return malformed(err)
	case resp.StatusCode == http.StatusSwitchingProtocols:
		return malformed(errors.New("it changes the protocol"))
	case resp.StatusCode < 200:
		c.pendingHeader, c.interimBytes = header, c.interimBytes+len(header)
		return nil
	case exchange.MatchesResponse != nil && !exchange.MatchesResponse(resp.Header):
		return c.discardResponse(resp)
	case resp.ContentLength > c.options.MaxResponseBytes:
		return malformed(errors.New("it is too long"))
	}
	if exchange.ValidateResponse != nil {
		if err := exchange.ValidateResponse(resp); err != nil {
			return malformed(err)
		}
	}
	c.pendingHeader, c.interimBytes, c.bodyRemaining = header, 0, resp.ContentLength
	if exchange.noResponseBody {
		c.bodyRemaining = 0
	}
	if c.bodyRemaining < 0 {
		c.bodyRemaining = untilClose
		c.unusable.Store(true) // where it ends is not for us to see: it is the last here
	}
	if c.bodyRemaining == 0 {
		return c.finishResponse()
	}
	return nil
}

// discardResponse reads an answer to an earlier request, which has come late in the place of the awaited one, and goes on to the
// next head. What is not known to end can't be passed over.
func (c *Conn) discardResponse(resp *http.Response) error {
	if resp.ContentLength < 0 || resp.ContentLength > c.options.MaxResponseBytes {
		return fmt.Errorf("%w: another answer stands in its place", ErrMalformedResponse)
	}
	c.unusable.Store(true) // for requests after this one
	if _, err := io.CopyN(io.Discard, c.reader, resp.ContentLength); err != nil {
		return err
	}
	return c.readHeader()
}

// finishResponse looks behind an answer before its last bytes are handed on. Where another head begins there, the answer was
// whole and only the connection is of no further use. Anything else may be the rest of an answer whose length is too
// short, and noise looks the same: to serve it might be to serve half.
func (c *Conn) finishResponse() error {
	exchange := c.exchange.Load()
	if exchange.RequestWritten != nil && !exchange.RequestWritten() {
		c.unusable.Store(true) // what is made of the rest of the request is not for us to see
	}
	if c.reader.Buffered() > 0 || readable(c.TCPConn) {
		c.unusable.Store(true)
		c.reader.Peek(1) // does not wait: there is something, or the connection's end
		trailing, _ := c.reader.Peek(min(c.reader.Buffered(), len(statusLinePrefix)))
		if len(trailing) > 0 && string(trailing) != statusLinePrefix {
			return ErrMalformedResponse
		}
	}
	exchange.responseComplete.Store(true)
	c.lastResponseEnd.Store(time.Now().UnixNano())
	return nil
}

const statusLinePrefix = "HTTP/1." // of every answer

func (c *Conn) Close() error {
	if !c.closed.Swap(true) && c.options.OnClose != nil {
		c.options.OnClose()
	}
	return c.TCPConn.Close()
}

// SetNonReplayableBody gives a request a body that cannot be rewound, an empty one too: http.Transport resends by itself what
// has no body or a body that can be had again, and every resend is a send that nobody has decided.
func SetNonReplayableBody(req *http.Request, body []byte) {
	req.Body, req.GetBody, req.ContentLength = io.NopCloser(bytes.NewReader(body)), nil, int64(len(body))
	if len(body) == 0 {
		req.TransferEncoding = []string{"identity"} // else it would be sent in chunks
	}
}
