package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// client is a stand-in for a client with one connection.
type client struct {
	rec  *record
	name string
	conn net.Conn
	in   *bufio.Reader

	chunks int           // a body is sent in this many parts, if above 1
	gap    time.Duration // between two parts
}

func dialClient(rec *record, name, address string, window int) *client {
	dialer := net.Dialer{Timeout: time.Second}
	if window > 0 {
		dialer.Control = smallWindow(window)
	}
	conn, err := dialer.DialContext(context.Background(), "tcp4", address)
	if err != nil {
		fail("%s: %v", name, err)
	}
	return &client{rec: rec, name: name, conn: conn, in: bufio.NewReaderSize(conn, 1024)}
}

// answer is what the client got.
type answer struct {
	status   int
	seal     string
	length   int64 // announced
	received int64
	err      error // why the answer is not complete
}

func (a answer) complete() bool { return a.err == nil && a.status != 0 && a.received == a.length }

// request sends a request and reads the answer. It pauses for readPause after the first 2000 bytes of the answer's body.
func (c *client) request(method, host, path, tryID, extraHeader, body string, wait, readPause time.Duration) answer {
	_ = c.conn.SetDeadline(time.Now().Add(wait + time.Second))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Sagelever-Try-Id: %s\r\nX-Sagelever-Time-Left-Ms: %d\r\n%s",
		method, path, host, tryID, wait.Milliseconds(), extraHeader)
	if body != "" {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	c.rec.say("%s: sends %s: %s %s (header %d bytes, body %d bytes)", c.name, tryID, method, path, len(head)+2, len(body))
	if err := c.send(head+"\r\n", body); err != nil {
		c.rec.say("%s: %s: not all of the body could be sent: %v", c.name, tryID, err)
	}
	response, err := http.ReadResponse(c.in, &http.Request{Method: method})
	if err != nil {
		return c.ended(tryID, answer{err: err})
	}
	result := answer{status: response.StatusCode, length: response.ContentLength, seal: response.Header.Get("X-Sagelever-Server-Seal")}
	result.received, err = io.CopyN(io.Discard, response.Body, min(2000, max(0, result.length)))
	if err == nil && readPause > 0 {
		c.rec.say("%s: %s: reads nothing for %v", c.name, tryID, readPause)
		time.Sleep(readPause)
	}
	if err == nil {
		var rest int64
		rest, err = io.Copy(io.Discard, response.Body)
		result.received += rest
	}
	if err != nil && err != io.EOF {
		result.err = err
	}
	return c.ended(tryID, result)
}

// send sends a request, its body in several parts if chunks is above 1.
func (c *client) send(head, body string) error {
	if c.chunks <= 1 {
		_, err := io.WriteString(c.conn, head+body)
		return err
	}
	if _, err := io.WriteString(c.conn, head); err != nil {
		return err
	}
	for i := range c.chunks {
		part := body[len(body)*i/c.chunks : len(body)*(i+1)/c.chunks]
		if _, err := io.WriteString(c.conn, part); err != nil {
			return err
		}
		time.Sleep(c.gap)
	}
	return nil
}

func (c *client) ended(tryID string, result answer) answer {
	if result.complete() {
		c.rec.say("%s: %s: complete answer, status %d, %d bytes, seal %q", c.name, tryID, result.status, result.received, result.seal)
	} else {
		c.rec.say("%s: %s: the connection ends without a complete answer: status %d, %d of %d bytes: %v",
			c.name, tryID, result.status, result.received, result.length, result.err)
	}
	return result
}

// longHeader returns a header field that is about the given number of bytes long.
func longHeader(bytes int) string { return "X-Note: " + strings.Repeat("n", bytes) + "\r\n" }
