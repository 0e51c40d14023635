package httpagent

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"sagelever/internal/agent/api"
	"sagelever/internal/agent/transaction"
)

// startBackend accepts connections and gives each request, with its connection, to serve.
func startBackend(t *testing.T, serve func(c *net.TCPConn, r *http.Request)) string {
	t.Helper()
	at, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { at.Close() })
	go func() {
		for {
			c, err := at.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				for in := bufio.NewReader(c); ; {
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					drain(r.Body)
					serve(c.(*net.TCPConn), r)
				}
			}()
		}
	}()
	return at.Addr().String()
}

func clientFor(address string) *backendClient {
	ls := newBackendClients(time.Second, time.Minute, 8, 32<<20)
	return &backendClient{address: address, transport: ls.newTransport(), pool: ls}
}

func newBackendRequest(l *backendClient, method string) *http.Request {
	r := &http.Request{Method: method, Host: "backend.local", Header: http.Header{"Idempotency-Key": {"k"}},
		URL: &url.URL{Scheme: "http", Host: l.address, Opaque: "/c?x=%2F"}}
	return r
}

const fine = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// A request that http.Transport would send again by itself arrives once.
func TestNoTransparentRetry(t *testing.T) {
	for _, x := range []struct{ method, body string }{{"GET", ""}, {"POST", ""}, {"POST", "some"}} {
		arrived := make(chan *http.Request, 8)
		l := clientFor(startBackend(t, func(c *net.TCPConn, r *http.Request) {
			arrived <- r
			if len(arrived) == 1 {
				write(c, fine)
			} else {
				hangUp(c)
			}
		}))
		got, err := l.do(context.Background(), newBackendRequest(l, x.method), []byte(x.body))
		if outcomeOf(got, err) != api.Succeeded || string(got.body) != "ok" {
			t.Fatalf("%v: %v", x, err)
		}
		if got, err = l.do(context.Background(), newBackendRequest(l, x.method), []byte(x.body)); outcomeOf(got,
			err) != api.ConnectionLost {
			t.Errorf("%v: outcome %v after %v", x, outcomeOf(got, err), err)
		}
		if len(arrived) != 2 {
			t.Errorf("%v: %d requests arrived, want 2", x, len(arrived))
		}
		if r := <-arrived; r.RequestURI != "/c?x=%2F" || len(r.TransferEncoding) > 0 || r.ContentLength > 4 {
			t.Errorf("%v: arrived as %s %v %d", x, r.RequestURI, r.TransferEncoding, r.ContentLength)
		}
	}
}

func TestOutcomes(t *testing.T) {
	for answer, want := range map[string]api.Outcome{
		fine: api.Succeeded,
		"HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n":                                     api.ErrorResponse,
		"HTTP/1.1 400 Bad\r\nContent-Length: 0\r\n\r\n":                                      api.InvalidRequest,
		"HTTP/1.1 503 No\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n":                     api.Rejected,
		"HTTP/1.1 504 No\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n":                     api.Rejected,
		"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n":                                       api.ErrorResponse,
		"HTTP/1.1 500 No\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n":                     api.ErrorResponse,
		"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok":                                     api.MalformedResponse,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nok":                       api.MalformedResponse,
		"HTTP/1.1 200 OK\r\nContent-Length: 400000\r\n\r\n" + strings.Repeat("x", 400000):    api.Succeeded,
		"HTTP/1.1 200 OK\r\nContent-Length: 1048577\r\n\r\n" + strings.Repeat("x", 1<<20+1):  api.MalformedResponse,
		"HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat("x", 1<<20+1):                             api.MalformedResponse,
		"HTTP/1.1 200 OK\r\n\r\nok":                                                          api.Succeeded,
		"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nok":                            api.MalformedResponse,
		"HTTP/1.1 200 OK\r\nContent-Length: -1\r\nContent-Length: 2\r\n\r\nok":               api.MalformedResponse,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nnonsense":                      api.MalformedResponse,
		"HTTP/1.1 200 OK\r\n" + strings.Repeat("X-Pad: pppp\r\n", 3000):                      api.MalformedResponse,
		strings.Repeat("HTTP/1.1 103 Hints\r\nX: "+strings.Repeat("x", 60)+"\r\n\r\n", 3000): api.MalformedResponse,
		strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 20) + fine:                         api.Succeeded,
		"HTTP/1.1 101 Other\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n":                    api.MalformedResponse,
		"ICY 200 OK\r\nContent-Length: 2\r\n\r\nok":                                          api.MalformedResponse,
		"HTTP/1.1 2x0 OK\r\nContent-Length: 2\r\n\r\nok":                                     api.MalformedResponse,
		fine + "the rest?": api.MalformedResponse, // half a response, or a whole one and noise
		fine + fine:        api.Succeeded,
		"nonsense\r\n\r\n": api.MalformedResponse,
		"":                 api.ConnectionLost,
	} {
		l := clientFor(startBackend(t, func(c *net.TCPConn, r *http.Request) {
			write(c, answer)
			hangUp(c)
		}))
		got, err := l.do(context.Background(), newBackendRequest(l, "GET"), nil)
		if got != nil {
			got.release()
		}
		if held := l.pool.responseBytes.Load(); held != 0 {
			t.Errorf("%.60q: %d bytes are still counted", answer, held)
		}
		if outcomeOf(got, err) != want {
			t.Errorf("%.60q: outcome %v after %v, want %v", answer, outcomeOf(got, err), err, want)
		}
	}
	closed, _ := net.Listen("tcp", "127.0.0.1:0")
	closed.Close()
	l := clientFor(closed.Addr().String())
	if got, err := l.do(context.Background(), newBackendRequest(l, "GET"), nil); outcomeOf(got, err) != api.Unreachable {
		t.Errorf("refused: outcome %v after %v", outcomeOf(got, err), err)
	}
	l.transport = newBackendClients(time.Second, time.Minute, 0, 32<<20).newTransport()
	if got, err := l.do(context.Background(), newBackendRequest(l, "GET"), nil); !errors.Is(err, errNoDescriptors) ||
		outcomeOf(got, err) != api.NotSent {
		t.Errorf("no descriptors: %v, %v", outcomeOf(got, err), err)
	}
}

// A response that has begun and never ends was written all the same: it is malformed, however the attempt is given up.
func TestAnswerNeverEnds(t *testing.T) {
	for _, answer := range []string{"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", "HTTP/1.1 200 OK\r\nX: ",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"} {
		off, giveUp := context.WithCancelCause(context.Background())
		l := clientFor(startBackend(t, func(c *net.TCPConn, r *http.Request) {
			write(c, answer)
			time.AfterFunc(200*time.Millisecond, func() { giveUp(transaction.ErrTimedOut) }) // long after it has been read
			waitForClose(c)
			time.Sleep(2 * inTransitGrace)
		}))
		if got, err := l.do(off, newBackendRequest(l, "GET"), nil); outcomeOf(got, err) != api.MalformedResponse {
			t.Errorf("%q: outcome %v after %v", answer, outcomeOf(got, err), err)
		}
	}
}

// What comes behind a response, at once or later, answers no request, and no request is lost by it: the next one goes
// out on another connection, once.
func TestTrailingBytesRejected(t *testing.T) {
	for _, x := range []struct {
		first, behind string
		more          bool // the connection may be used again
	}{
		{fine, "", true},
		{fine, fine, false},
		{strings.Replace(fine, "2\r\n\r\nok", "0\r\n\r\n", 1), fine, false},
		{fine, "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n", false},
		{"HTTP/1.1 103 Hints\r\n\r\n" + fine, fine + fine, false},
	} {
		var connections, requests atomic.Int32
		var before atomic.Pointer[net.TCPConn]
		l := clientFor(startBackend(t, func(c *net.TCPConn, r *http.Request) {
			requests.Add(1)
			if before.Swap(c) != c {
				connections.Add(1)
			}
			if connections.Load() == 1 {
				write(c, x.first+x.behind)
			} else {
				write(c, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmine")
			}
		}))
		if got, err := l.do(context.Background(), newBackendRequest(l, "GET"), nil); outcomeOf(got, err) != api.Succeeded {
			t.Errorf("%+v: %v", x, err)
		}
		got, err := l.do(context.Background(), newBackendRequest(l, "POST"), []byte("body"))
		if outcomeOf(got, err) != api.Succeeded || (string(got.body) == "mine") == x.more || requests.Load() != 2 {
			t.Errorf("%+v: then %+v, %v after %d requests", x, got, err, requests.Load())
		}
	}
	// What comes while no response is awaited ends the connection before the next request is written.
	done := make(chan *net.TCPConn, 1)
	l := clientFor(startBackend(t, func(c *net.TCPConn, r *http.Request) {
		write(c, fine)
		done <- c
	}))
	if got, err := l.do(context.Background(), newBackendRequest(l, "GET"), nil); outcomeOf(got, err) != api.Succeeded {
		t.Fatal(err)
	}
	old := <-done
	write(old, "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nunsent")
	if got, err := l.do(context.Background(), newBackendRequest(l, "GET"), nil); outcomeOf(got, err) != api.Succeeded ||
		string(got.body) != "ok" {
		t.Errorf("%+v, %v", got, err)
	}
	if next := <-done; next == old {
		t.Error("a connection with unexpected bytes is used again")
	}
}
