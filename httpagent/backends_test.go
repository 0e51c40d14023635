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

// startBackend starts a backend that passes each request and its connection to serve, and returns its address.
func startBackend(t *testing.T, serve func(conn *net.TCPConn, req *http.Request)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				for reader := bufio.NewReader(conn); ; {
					req, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					drain(req.Body)
					serve(conn.(*net.TCPConn), req)
				}
			}()
		}
	}()
	return listener.Addr().String()
}

func newTestClient(address string) *backendClient {
	clients := newBackendClients(time.Second, time.Minute, 8, 32<<20)
	return &backendClient{address: address, transport: clients.newTransport(), pool: clients}
}

func newBackendRequest(client *backendClient, method string) *http.Request {
	req := &http.Request{Method: method, Host: "backend.local", Header: http.Header{"Idempotency-Key": {"k"}},
		URL: &url.URL{Scheme: "http", Host: client.address, Opaque: "/c?x=%2F"}}
	return req
}

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// A request that http.Transport would transparently retry is sent only once.
func TestNoTransparentRetry(t *testing.T) {
	for _, test := range []struct{ method, body string }{{"GET", ""}, {"POST", ""}, {"POST", "some"}} {
		arrived := make(chan *http.Request, 8)
		client := newTestClient(startBackend(t, func(conn *net.TCPConn, req *http.Request) {
			arrived <- req
			if len(arrived) == 1 {
				write(conn, okResponse)
			} else {
				hangUp(conn)
			}
		}))
		response, err := client.do(context.Background(), newBackendRequest(client, test.method), []byte(test.body))
		if outcomeOf(response, err) != api.Succeeded || string(response.body) != "ok" {
			t.Fatalf("%v: %v", test, err)
		}
		if response, err = client.do(context.Background(), newBackendRequest(client, test.method),
			[]byte(test.body)); outcomeOf(response, err) != api.ConnectionLost {
			t.Errorf("%v: outcome %v after %v", test, outcomeOf(response, err), err)
		}
		if len(arrived) != 2 {
			t.Errorf("%v: %d requests arrived, want 2", test, len(arrived))
		}
		if req := <-arrived; req.RequestURI != "/c?x=%2F" || len(req.TransferEncoding) > 0 || req.ContentLength > 4 {
			t.Errorf("%v: arrived as %s %v %d", test, req.RequestURI, req.TransferEncoding, req.ContentLength)
		}
	}
}

func TestOutcomes(t *testing.T) {
	for responseText, want := range map[string]api.Outcome{
		okResponse: api.Succeeded,
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
		strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 20) + okResponse:                   api.Succeeded,
		"HTTP/1.1 101 Other\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n":                    api.MalformedResponse,
		"ICY 200 OK\r\nContent-Length: 2\r\n\r\nok":                                          api.MalformedResponse,
		"HTTP/1.1 2x0 OK\r\nContent-Length: 2\r\n\r\nok":                                     api.MalformedResponse,
		okResponse + "the rest?":                                                             api.MalformedResponse, // trailing bytes that are no response
		okResponse + okResponse:                                                              api.Succeeded,
		"nonsense\r\n\r\n":                                                                   api.MalformedResponse,
		"":                                                                                   api.ConnectionLost,
	} {
		client := newTestClient(startBackend(t, func(conn *net.TCPConn, req *http.Request) {
			write(conn, responseText)
			hangUp(conn)
		}))
		response, err := client.do(context.Background(), newBackendRequest(client, "GET"), nil)
		if response != nil {
			response.release()
		}
		if held := client.pool.responseBytes.Load(); held != 0 {
			t.Errorf("%.60q: %d bytes still reserved", responseText, held)
		}
		if outcomeOf(response, err) != want {
			t.Errorf("%.60q: outcome %v after %v, want %v", responseText, outcomeOf(response, err), err, want)
		}
	}
	closed, _ := net.Listen("tcp", "127.0.0.1:0")
	closed.Close()
	client := newTestClient(closed.Addr().String())
	if response, err := client.do(context.Background(), newBackendRequest(client, "GET"),
		nil); outcomeOf(response, err) != api.Unreachable {
		t.Errorf("refused: outcome %v after %v", outcomeOf(response, err), err)
	}
	client.transport = newBackendClients(time.Second, time.Minute, 0, 32<<20).newTransport()
	if response, err := client.do(context.Background(), newBackendRequest(client, "GET"),
		nil); !errors.Is(err, errNoDescriptors) ||
		outcomeOf(response, err) != api.NotSent {
		t.Errorf("no descriptors: %v, %v", outcomeOf(response, err), err)
	}
}

// A response that starts but never ends counts as malformed, even if the attempt is canceled meanwhile.
func TestAnswerNeverEnds(t *testing.T) {
	for _, responseText := range []string{"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", "HTTP/1.1 200 OK\r\nX: ",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"} {
		ctx, cancel := context.WithCancelCause(context.Background())
		client := newTestClient(startBackend(t, func(conn *net.TCPConn, req *http.Request) {
			write(conn, responseText)
			time.AfterFunc(200*time.Millisecond, func() { cancel(transaction.ErrTimedOut) }) // long after the response has been read
			waitForClose(conn)
			time.Sleep(2 * inTransitGrace)
		}))
		if response, err := client.do(ctx, newBackendRequest(client, "GET"),
			nil); outcomeOf(response, err) != api.MalformedResponse {
			t.Errorf("%q: outcome %v after %v", responseText, outcomeOf(response, err), err)
		}
	}
}

// Unexpected bytes after a response, immediate or delayed, are never used as a response to the next request, which is
// sent once, on a new connection.
func TestTrailingBytesRejected(t *testing.T) {
	for _, test := range []struct {
		responseText, trailing string
		reused                 bool // the connection may be reused
	}{
		{okResponse, "", true},
		{okResponse, okResponse, false},
		{strings.Replace(okResponse, "2\r\n\r\nok", "0\r\n\r\n", 1), okResponse, false},
		{okResponse, "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n", false},
		{"HTTP/1.1 103 Hints\r\n\r\n" + okResponse, okResponse + okResponse, false},
	} {
		var connections, requests atomic.Int32
		var lastConn atomic.Pointer[net.TCPConn]
		client := newTestClient(startBackend(t, func(conn *net.TCPConn, req *http.Request) {
			requests.Add(1)
			if lastConn.Swap(conn) != conn {
				connections.Add(1)
			}
			if connections.Load() == 1 {
				write(conn, test.responseText+test.trailing)
			} else {
				write(conn, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmine")
			}
		}))
		if response, err := client.do(context.Background(), newBackendRequest(client, "GET"),
			nil); outcomeOf(response, err) != api.Succeeded {
			t.Errorf("%+v: %v", test, err)
		}
		response, err := client.do(context.Background(), newBackendRequest(client, "POST"), []byte("body"))
		if outcomeOf(response, err) != api.Succeeded || (string(response.body) == "mine") == test.reused || requests.Load() != 2 {
			t.Errorf("%+v: second response %+v, %v after %d requests", test, response, err, requests.Load())
		}
	}
	// Bytes that arrive while no response is expected cause the connection to be closed before the next request.
	conns := make(chan *net.TCPConn, 1)
	client := newTestClient(startBackend(t, func(conn *net.TCPConn, req *http.Request) {
		write(conn, okResponse)
		conns <- conn
	}))
	if response, err := client.do(context.Background(), newBackendRequest(client, "GET"),
		nil); outcomeOf(response, err) != api.Succeeded {
		t.Fatal(err)
	}
	previous := <-conns
	write(previous, "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nunsent")
	if response, err := client.do(context.Background(), newBackendRequest(client, "GET"),
		nil); outcomeOf(response, err) != api.Succeeded ||
		string(response.body) != "ok" {
		t.Errorf("%+v, %v", response, err)
	}
	if next := <-conns; next == previous {
		t.Error("a connection with unexpected bytes was reused")
	}
}
