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

// MaxHeaderBytes bounds the total size of the header of a response and the interim responses before it. Typical headers
// of the protocol have a few hundred bytes.
const MaxHeaderBytes = 16 << 10

// statusLinePrefix is the start of every response.
const statusLinePrefix = "HTTP/1."

// ErrMalformedResponse is the error for a response that cannot be parsed, was rejected or may be incomplete.
var ErrMalformedResponse = errors.New("malformed response")

var (
	errHeaderTooLong    = errors.New("response header exceeds the size limit")
	errBodyTooLong      = errors.New("the body is too long")
	errProtocolSwitched = errors.New("response switches protocols")
	errUnskippable      = errors.New("cannot skip a preceding response to another request: too long or of unknown length")
)

// malformed returns an error that wraps ErrMalformedResponse and cause.
func malformed(cause error) error { return fmt.Errorf("%w: %w", ErrMalformedResponse, cause) }

// readHeader reads the header of the next response and skips responses to other requests. It returns an error if data
// arrives while no response is awaited.
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

// readHeaderBytes reads a header up to and including the empty line that ends it.
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

// validate returns an error if the response to an exchange must be rejected.
func (c *Conn) validate(exchange *Exchange, resp *http.Response) error {
	if resp.ContentLength > c.options.MaxResponseBytes {
		return errBodyTooLong
	}
	if exchange.ValidateResponse == nil {
		return nil
	}
	return exchange.ValidateResponse(resp)
}

// startBody sets the header of the awaited response as pending and prepares to read its body. contentLength is -1 if
// the length is unknown.
func (c *Conn) startBody(exchange *Exchange, header []byte, contentLength int64) error {
	c.pendingHeader = header
	c.interimBytes = 0
	switch {
	case exchange.noResponseBody || contentLength == 0:
		c.bodyRemaining = 0
		return c.finishResponse()
	case contentLength < 0:
		c.bodyRemaining = untilClose
		c.unusable.Store(true) // Conn does not detect the end of this body, so no response may follow it
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

// skipResponse discards a late response to an earlier request and reads the next header. A response of unknown length
// cannot be skipped. The connection carries no further request afterwards.
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

// finishResponse checks the bytes that follow a response, before Read returns the last bytes of the response. If
// another response follows, this one is complete and only the connection becomes unusable. Any other bytes may belong
// to a response whose announced length is too short, so the response counts as malformed.
func (c *Conn) finishResponse() error {
	exchange := c.exchange.Load()
	if exchange.RequestWritten != nil && !exchange.RequestWritten() {
		c.unusable.Store(true) // how the backend treats the rest of the request is unknown
	}
	if c.reader.Buffered() > 0 || readable(c.TCPConn) {
		c.unusable.Store(true)
		_, _ = c.reader.Peek(1) // fills the buffer without blocking, as data or the end of the connection is available
		trailing, _ := c.reader.Peek(min(c.reader.Buffered(), len(statusLinePrefix)))
		if len(trailing) > 0 && string(trailing) != statusLinePrefix {
			return ErrMalformedResponse
		}
	}
	exchange.responseComplete.Store(true)
	c.lastResponseEnd.Store(time.Now().UnixNano())
	return nil
}
