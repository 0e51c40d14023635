package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"sagelever/internal/tcp"
)

const testTimeout = time.Second

// startScriptedBackend starts a backend that accepts one connection, answers each request on it with the next of the
// responses, and closes it. It returns the address of the backend.
func startScriptedBackend(t *testing.T, responses ...string) string {
	t.Helper()
	listener, err := tcp.UserTimeout(testTimeout).Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		reader := bufio.NewReader(conn)
		for _, response := range responses {
			if _, err := http.ReadRequest(reader); err != nil {
				return
			}
			_, _ = io.WriteString(conn, response) // the client detects a closed connection itself
		}
	}()
	return listener.Addr().String()
}

// newTestTransport returns a transport whose connections are Conns.
func newTestTransport(t *testing.T) *http.Transport {
	t.Helper()
	options := &Options{MaxResponseBytes: 1 << 20}
	transport := &http.Transport{DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := tcp.UserTimeout(testTimeout).Dialer(testTimeout).DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return NewConn(conn.(*net.TCPConn), options), nil
	}}
	t.Cleanup(transport.CloseIdleConnections)
	return transport
}

// result is the response or error that a transport returns.
type result struct {
	status int
	body   string
	reused bool // the connection has carried an earlier request
	err    error
}

// send sends a request that expects a response with the given id, and reads the response.
func send(transport *http.Transport, method, address, id string) (r result) {
	exchange := &Exchange{MatchesResponse: func(header http.Header) bool { return header.Get("Id") == id }}
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		r.reused = info.Reused
		info.Conn.(*Conn).Assign(exchange)
	}}
	ctx := httptrace.WithClientTrace(context.Background(), trace)
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+"/", nil)
	if err != nil {
		return result{err: err}
	}
	SetNonReplayableBody(request, nil)
	resp, err := transport.RoundTrip(request)
	if err != nil {
		r.err = err
		return r
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	r.status, r.body, r.err = resp.StatusCode, string(body), err
	return r
}

// response returns a response in wire format, with an id and a header that announces length bytes.
func response(id, body string, length int) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, length, body)
}

// Only the response to the request is delivered. A preceding response to another request is skipped. A truncated,
// malformed or oversized response is an error. Bytes that follow a complete response are never delivered.
func TestOnlyMatchingResponseIsDelivered(t *testing.T) {
	endlessHeader := "HTTP/1.1 200 OK\r\n" + strings.Repeat("X: y\r\n", MaxHeaderBytes)
	for _, test := range []struct {
		name, script string
		body         string // the delivered body; "" if an error is expected
	}{
		{"plain", response("mine", "yes", 3), "yes"},
		{"foreign response before", response("other", "no", 2) + response("mine", "yes", 3), "yes"},
		{"two before", response("other", "no", 2) + response("third", "", 0) + response("mine", "yes", 3), "yes"},
		{"foreign response after", response("mine", "yes", 3) + response("other", "no", 2), "yes"},
		{"foreign response only", response("other", "no", 2), ""},
		{"foreign response without length", "HTTP/1.1 200 OK\r\nId: other\r\n\r\nno", ""},
		{"cut short", response("mine", "ye", 3), ""},
		{"no response", "\x00\x01noise\r\n\r\n", ""},
		{"length too short", response("mine", "yes and more", 3), ""},
		{"body too long", response("mine", "", 1<<30), ""},
		{"endless header", endlessHeader, ""},
		{"nothing", "", ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			got := send(newTestTransport(t), http.MethodGet, startScriptedBackend(t, test.script), "mine")
			if test.body == "" {
				if got.err == nil {
					t.Errorf("delivered %d %q, want an error", got.status, got.body)
				}
				return
			}
			if got.err != nil || got.status != 200 || got.body != test.body {
				t.Errorf("delivered %d %q, error %v; want %q", got.status, got.body, got.err, test.body)
			}
		})
	}
	got := send(newTestTransport(t), http.MethodGet, startScriptedBackend(t, "noise\r\n\r\n"), "mine")
	if !errors.Is(got.err, ErrMalformedResponse) {
		t.Errorf("malformed response: %v, want %v", got.err, ErrMalformedResponse)
	}
}

// The response to HEAD has no body, whatever length its header announces. The bytes that follow it are the next
// response and are checked like any other.
func TestHeadResponseHasNoBody(t *testing.T) {
	for _, test := range []struct {
		name, next string
		body       string // the body delivered to the next request; "" if an error is expected
	}{
		{"own response", response("two", "yes", 3), "yes"},
		{"foreign response", response("other", "no", 2), ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			address := startScriptedBackend(t, response("one", "", 2000), test.next)
			transport := newTestTransport(t)
			if got := send(transport, http.MethodHead, address, "one"); got.err != nil {
				t.Fatalf("HEAD: %v", got.err)
			}
			got := send(transport, http.MethodGet, address, "two")
			if !got.reused || got.body != test.body || (got.err == nil) != (test.body != "") {
				t.Errorf("delivered %q, error %v, on the same connection: %v", got.body, got.err, got.reused)
			}
		})
	}
}
