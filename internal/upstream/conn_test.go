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

// startScript starts a backend that takes one connection, answers each request on it with the next of the responses,
// and closes it. It returns the address.
func startScript(t *testing.T, responses ...string) string {
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
			_, _ = io.WriteString(conn, response) // a client that has closed the connection sees it by itself
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

// result is the response that a transport returns.
type result struct {
	status int
	body   string
	reused bool // the connection had carried a request before
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

// response formats a response with an id, whose header announces length bytes.
func response(id, body string, length int) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, length, body)
}

// Only the response to the request is delivered. A response to another request in front of it is skipped, what is cut
// short, malformed or too long is an error, and what follows a complete response never shows.
func TestOnlyMatchingResponseIsDelivered(t *testing.T) {
	endlessHeader := "HTTP/1.1 200 OK\r\n" + strings.Repeat("X: y\r\n", MaxHeaderBytes)
	for _, test := range []struct {
		name, script string
		body         string // that is delivered; "" where there is to be an error
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
			got := send(newTestTransport(t), http.MethodGet, startScript(t, test.script), "mine")
			if test.body == "" {
				if got.err == nil {
					t.Errorf("delivered: %d %q", got.status, got.body)
				}
				return
			}
			if got.err != nil || got.status != 200 || got.body != test.body {
				t.Errorf("%d %q %v", got.status, got.body, got.err)
			}
		})
	}
	got := send(newTestTransport(t), http.MethodGet, startScript(t, "noise\r\n\r\n"), "mine")
	if !errors.Is(got.err, ErrMalformedResponse) {
		t.Errorf("noise: %v", got.err)
	}
}

// The response to HEAD has no body, whatever length its header announces: what follows on the connection is the next
// response, and is checked like any other.
func TestHeadResponseHasNoBody(t *testing.T) {
	for _, test := range []struct {
		name, next string
		body       string // that is delivered to the next request; "" where there is to be an error
	}{
		{"own response", response("two", "yes", 3), "yes"},
		{"foreign response", response("other", "no", 2), ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			address := startScript(t, response("one", "", 2000), test.next)
			transport := newTestTransport(t)
			if got := send(transport, http.MethodHead, address, "one"); got.err != nil {
				t.Fatalf("HEAD: %v", got.err)
			}
			got := send(transport, http.MethodGet, address, "two")
			if !got.reused || got.body != test.body || (got.err == nil) != (test.body != "") {
				t.Errorf("%q %v, on the same connection: %v", got.body, got.err, got.reused)
			}
		})
	}
}
