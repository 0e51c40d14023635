package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

// MaxHeaderBytes bounds the header of a response and the interim responses before it. Those of the protocol have some
// hundred bytes.
const MaxHeaderBytes = 16 << 10

// statusLinePrefix is how every response begins.
const statusLinePrefix = "HTTP/1."

// ErrMalformedResponse is the error of a response that cannot be read, cannot be trusted or may not be complete.
var ErrMalformedResponse = errors.New("malformed response")

var (
	errHeaderTooLong    = errors.New("the header is too long")
	errBodyTooLong      = errors.New("the body is too long")
	errProtocolSwitched = errors.New("the response switches protocols")
	errUnskippable      = errors.New("the response to another request precedes it, too long or of unknown length")
)

// malformed makes an error that is ErrMalformedResponse and cause.
func malformed(cause error) error { return fmt.Errorf("%w: %w", ErrMalformedResponse, cause) }

// readHeader reads the header of the next response. Responses to other requests are skipped. Data that arrives while no
// response is awaited is an error.
func (c *Conn) readHeader() error {
	if _, err := c.reader.Peek(1); err != nil {
		return err
	}
	exchange := c.exchange.Load()
	if exchange == nil || !exchange.awaitsResponse() {
		return errUnsolicitedData
	}
	exchange.responseStarted.Store(true)
	header, err := c.readHeaderBytes()
	if err != nil {
		return err
	}
	resp, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(header)), nil)
	if err != nil {
		return malformed(err)
	}
	switch {
	case resp.StatusCode == http.StatusSwitchingProtocols:
		return malformed(errProtocolSwitched)
	case resp.StatusCode < http.StatusOK:
		c.pendingHeader = header
		c.interimBytes += len(header)
		return nil
	case exchange.MatchesResponse != nil && !exchange.MatchesResponse(resp.Header):
		return c.skipResponse(resp)
	}
	if err := c.validate(exchange, resp); err != nil {
		return malformed(err)
	}
	return c.startBody(exchange, header, resp.ContentLength)
}

// readHeaderBytes reads up to and with the empty line that ends a header.
func (c *Conn) readHeaderBytes() ([]byte, error) {
	var header []byte
	for {
		line, err := c.reader.ReadSlice('\n')
		if err != nil && err != bufio.ErrBufferFull {
			return nil, err
		}
		header = append(header, line...)
		if len(header)+c.interimBytes > MaxHeaderBytes {
			return nil, malformed(errHeaderTooLong)
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return header, nil
		}
	}
}

// validate returns why the response to an exchange cannot be accepted, or nil.
func (c *Conn) validate(exchange *Exchange, resp *http.Response) error {
	if resp.ContentLength > c.options.MaxResponseBytes {
		return errBodyTooLong
	}
	if exchange.ValidateResponse == nil {
		return nil
	}
	return exchange.ValidateResponse(resp)
}

// startBody hands on the header of the awaited response and makes ready to read its body, of contentLength bytes, or -1
// if the length is not known.
func (c *Conn) startBody(exchange *Exchange, header []byte, contentLength int64) error {
	c.pendingHeader = header
	c.interimBytes = 0
	switch {
	case exchange.noResponseBody || contentLength == 0:
		c.bodyRemaining = 0
		return c.finishResponse()
	case contentLength < 0:
		c.bodyRemaining = untilClose
		c.unusable.Store(true) // its end is not recognized here, so that it is the last response on the connection
	default:
		c.bodyRemaining = contentLength
	}
	return nil
}

// readBody reads from a body of known length.
func (c *Conn) readBody(p []byte) (int, error) {
	n, err := c.reader.Read(p[:min(int64(len(p)), c.bodyRemaining)])
	c.bodyRemaining -= int64(n)
	if c.bodyRemaining == 0 && err == nil {
		err = c.finishResponse()
	}
	return n, err
}

// skipResponse reads a late response to an earlier request, in front of the awaited one, and goes on to the next
// header. One without a known end cannot be skipped. The connection carries no further request.
func (c *Conn) skipResponse(resp *http.Response) error {
	if resp.ContentLength < 0 || resp.ContentLength > c.options.MaxResponseBytes {
		return malformed(errUnskippable)
	}
	c.unusable.Store(true)
	if _, err := io.CopyN(io.Discard, c.reader, resp.ContentLength); err != nil {
		return err
	}
	return c.readHeader()
}

// finishResponse looks at what follows a response, before the last bytes of the response are handed on. If another
// header follows, the response was complete and only the connection is unusable. Anything else may be the rest of a
// response whose announced length is too short, so that the response counts as malformed.
func (c *Conn) finishResponse() error {
	exchange := c.exchange.Load()
	if exchange.RequestWritten != nil && !exchange.RequestWritten() {
		c.unusable.Store(true) // what the backend makes of the rest of the request is unknown
	}
	if c.reader.Buffered() > 0 || readable(c.TCPConn) {
		c.unusable.Store(true)
		_, _ = c.reader.Peek(1) // fills the buffer, without waiting: there is data, or the end of the connection
		trailing, _ := c.reader.Peek(min(c.reader.Buffered(), len(statusLinePrefix)))
		if len(trailing) > 0 && string(trailing) != statusLinePrefix {
			return ErrMalformedResponse
		}
	}
	exchange.responseComplete.Store(true)
	c.lastResponseEnd.Store(time.Now().UnixNano())
	return nil
}
