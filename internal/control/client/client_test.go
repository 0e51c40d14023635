package client

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"sagelever/internal/control/drain"
)

// startServer serves a handler until the test ends, and returns its address.
func startServer(t *testing.T, handler http.HandlerFunc) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// unreachableAddress returns an address on which no process listens.
func unreachableAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	return address
}

// startStatus starts a server that responds to every request with an error status and a text.
func startStatus(t *testing.T, status int, text string) string {
	t.Helper()
	return startServer(t, func(w http.ResponseWriter, _ *http.Request) { http.Error(w, text, status) })
}

func testContext(t *testing.T, timeout time.Duration) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	t.Cleanup(cancel)
	return ctx
}

// A call skips an unreachable endpoint and an unavailable one, and follows a redirect.
func TestCallUntilDefiniteResponse(t *testing.T) {
	var received string
	good := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		received = r.URL.RawQuery + " " + string(body)
		_, _ = io.WriteString(w, `{"target":"x y","stood":true}`)
	})
	redirecting := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		http.Redirect(w, r, "http://"+good+r.URL.RequestURI(), http.StatusTemporaryRedirect)
	})
	busy := startStatus(t, http.StatusServiceUnavailable, "later")
	client := New([]string{unreachableAddress(t), busy, redirecting})
	out := &drain.Response{}
	if err := client.Call(testContext(t, 5*time.Second), "a.call", "x y", []byte("body"), out); err != nil {
		t.Fatal(err)
	}
	if want := "call=a.call&of=x+y body"; received != want {
		t.Errorf("received %q, want %q", received, want)
	}
	if !out.AlreadyActive {
		t.Errorf("decoded %+v", out)
	}
}

// A 4xx status ends a call, even if the next endpoint would accept it.
func TestCallRejected(t *testing.T) {
	rejecting := startStatus(t, http.StatusNotFound, "no such thing")
	good := startServer(t, func(http.ResponseWriter, *http.Request) {})
	err := New([]string{rejecting, good}).Call(testContext(t, 5*time.Second), "a.call", "", nil, nil)
	rejected, ok := errors.Into[*RejectedError](err)
	if !ok || rejected.Status != http.StatusNotFound || rejected.Message != "no such thing" {
		t.Errorf("got %v", err)
	}
}

// A call without a definite response from any endpoint ends with its context.
func TestCallTimeout(t *testing.T) {
	busy := startStatus(t, http.StatusServiceUnavailable, "later")
	client := New([]string{unreachableAddress(t), busy})
	err := client.Call(testContext(t, 50*time.Millisecond), "a.call", "", nil, nil)
	if err == nil || !strings.Contains(err.Error(), "no definite response in time") {
		t.Errorf("got %v", err)
	}
}

func TestCallWithoutEndpoints(t *testing.T) {
	err := New(nil).Call(testContext(t, 5*time.Second), "a.call", "", nil, nil)
	if !errors.Is(err, ErrNoEndpoints) {
		t.Errorf("got %v", err)
	}
}
