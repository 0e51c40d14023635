// Package rpc implements the calls of controllers and proxies to the peer port of controllers. A call is an HTTP POST
// of a JSON message. Large requests and responses are compressed, as traffic between zones and regions is expensive.
package rpc

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"
	"unicode"

	"github.com/mailru/easyjson"

	"sagelever/internal/tcp"
)

const (
	// MaxMessageBytes bounds the decompressed size of a message. It is enough for some ten thousand routes.
	MaxMessageBytes = 32 << 20

	// userTimeout is the TCP user timeout of the connections between nodes.
	userTimeout = tcp.UserTimeout(1500 * time.Millisecond)

	// maxConnsPerHost bounds the connections to one node, and thereby the calls in flight. Further calls wait for a
	// connection until they time out. A few long polls and rounds of proposals need less than half of the connections.
	maxConnsPerHost = 16

	dialTimeout         = time.Second
	maxIdleConnsPerHost = 4
	idleConnTimeout     = 20 * time.Second
)

// DialFunc opens a connection, as net.Dialer's DialContext does.
type DialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// StatusError is the error for a response with a status other than 200.
type StatusError struct {
	Path   string
	Code   int
	Status string // status code and text
}

func (e *StatusError) Error() string { return fmt.Sprintf("%s: %s", e.Path, e.Status) }

// NewClient returns an HTTP client for Post. It opens connections with dial, or by TCP with a user timeout if dial is
// nil.
func NewClient(dial DialFunc) *http.Client {
	if dial == nil {
		dial = userTimeout.Dialer(dialTimeout).DialContext
	}
	return &http.Client{Transport: &http.Transport{
		DialContext:         dial,
		MaxConnsPerHost:     maxConnsPerHost,
		MaxIdleConnsPerHost: maxIdleConnsPerHost,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true, // Post decompresses and bounds the result itself
	}}
}

// Post sends a message to the peer port at an address and decodes the response into out, unless out is nil. It returns
// a *StatusError if the status of the response is not 200. ctx bounds the call, including the read of the response.
func Post(ctx context.Context, client *http.Client, address, path string, body []byte, out easyjson.Unmarshaler) error {
	compressed, encoding := Compress(body)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(compressed))
	if err != nil {
		return err
	}
	req.Header["User-Agent"] = nil
	if encoding != "" {
		req.Header.Set("Content-Encoding", encoding)
	}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	data, err := Decompress(resp.Body, resp.Header.Get("Content-Encoding"))
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return &StatusError{Path: path, Code: resp.StatusCode, Status: resp.Status}
	}
	if out == nil {
		return nil
	}
	return easyjson.Unmarshal(data, out)
}

// ReadRequest decodes the message of a request. If it cannot, it responds with 400 and returns false.
func ReadRequest(w http.ResponseWriter, r *http.Request, message easyjson.Unmarshaler) bool {
	body := http.MaxBytesReader(w, r.Body, MaxMessageBytes)
	data, err := Decompress(body, r.Header.Get("Content-Encoding"))
	if err == nil {
		err = easyjson.Unmarshal(data, message)
	}
	if err != nil {
		http.Error(w, singleLine(err.Error()), http.StatusBadRequest)
		return false
	}
	return true
}

// singleLine replaces the control characters of a text, which may quote a request, by spaces.
func singleLine(text string) string {
	return strings.Map(func(r rune) rune {
		if unicode.IsControl(r) {
			return ' '
		}
		return r
	}, text)
}

// WriteResponse responds with a message. It returns the size of the body in bytes, after compression.
func WriteResponse(w http.ResponseWriter, message easyjson.Marshaler) (size int) {
	body, err := easyjson.Marshal(message)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return 0
	}
	compressed, encoding := Compress(body)
	header := w.Header()
	header["Date"] = nil
	header["Content-Type"] = []string{"application/json"}
	if encoding != "" {
		header.Set("Content-Encoding", encoding)
	}
	w.Write(compressed)
	return len(compressed)
}
