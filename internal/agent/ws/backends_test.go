package ws

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/coder/websocket"

	"sagelever/internal/agent/api"
	"sagelever/internal/agent/connpool"
	"sagelever/internal/agent/transaction"
)

// testConfig has short timeouts.
var testConfig = connpool.Config{MaxPerBackend: 1, MaxTotal: 9, BusyThreshold: 1 << 16,
	ResponseTimeout: 60 * time.Millisecond, PingTimeout: 60 * time.Millisecond, IdleTimeout: time.Hour,
	Backoff: 20 * time.Millisecond, DialTimeout: time.Second}

// writeMessage writes a message. The agent may have closed the connection, which the test detects by the outcome.
func writeMessage(ws *websocket.Conn, message []byte) {
	_ = ws.Write(context.Background(), websocket.MessageBinary, message)
}

// waitForMessage waits until a message arrives or the connection ends.
func waitForMessage(ws *websocket.Conn) { _, _, _ = ws.Read(context.Background()) }

// startBackend starts a backend whose connections are served by serve, and returns its address.
func startBackend(t *testing.T, options websocket.AcceptOptions, serve func(ws *websocket.Conn)) string {
	t.Helper()
	options.Subprotocols = []string{BackendProtocol}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ws, err := websocket.Accept(w, r, &options)
		if err != nil {
			return
		}
		defer closeNow(ws)
		ws.SetReadLimit(64 << 20)
		serve(ws)
	}))
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	return server.Listener.Addr().String()
}

// echo answers each complete request with its body, and counts them in ran.
func echo(ran *atomic.Int64) func(*websocket.Conn) {
	return func(ws *websocket.Conn) {
		for {
			_, message, err := ws.Read(context.Background())
			if err != nil {
				return
			}
			if request, complete, err := ParseBackendRequest(message); err == nil && complete && request.Type == "run" {
				ran.Add(1)
				writeMessage(ws, BackendResponse{Type: "done", Number: request.Number, Status: 200,
					Load: "queue=2", Body: request.Body}.Encode())
			}
		}
	}
}

// newTestPool returns a pool with backends at the addresses, numbered from 1.
func newTestPool(t *testing.T, config connpool.Config, addresses ...string) *BackendPool {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	pool := NewBackendPool(ctx, "/", config, 1, slog.New(slog.DiscardHandler))
	for i, address := range addresses {
		pool.Update([]BackendEndpoint{{api.BackendID(i + 1), address, true}})
	}
	return pool
}

// sendOne sends a request to backend 1 and returns the outcome, or -1 if the response has a different body.
func sendOne(ctx context.Context, pool *BackendPool, body string) api.Outcome {
	response, err := pool.Send(ctx, 1, BackendRequest{ID: "x", Method: "POST", Path: "/once", Body: []byte(body)})
	if err == nil && string(response.Body) != body {
		return -1
	}
	return OutcomeOf(response, err)
}

func withDeadline(t *testing.T, d time.Duration) context.Context {
	ctx, stop := context.WithTimeoutCause(context.Background(), d, transaction.ErrTimedOut)
	t.Cleanup(stop)
	return ctx
}

// Concurrent requests share one connection, and each gets its own response.
func TestSharedConnection(t *testing.T) {
	var ran, conns atomic.Int64
	address := startBackend(t, websocket.AcceptOptions{}, func(ws *websocket.Conn) { conns.Add(1); echo(&ran)(ws) })
	pool := newTestPool(t, testConfig, address)
	var wg sync.WaitGroup
	for i := range 50 {
		wg.Go(func() {
			if got := sendOne(withDeadline(t, 10*time.Second), pool, strings.Repeat(fmt.Sprint(i), 1000)); got != api.Succeeded {
				t.Errorf("request %d: %v", i, got)
			}
		})
	}
	wg.Wait()
	if ran.Load() != 50 || conns.Load() != 1 {
		t.Errorf("%d ran on %d connections", ran.Load(), conns.Load())
	}
}

// The outcome of an attempt follows from the behavior of the backend.
func TestOutcomes(t *testing.T) {
	afterRead := func(then func(ws *websocket.Conn)) func(*websocket.Conn) {
		return func(ws *websocket.Conn) {
			waitForMessage(ws)
			then(ws)
		}
	}
	respondWith := func(text string) func(*websocket.Conn) {
		return afterRead(func(ws *websocket.Conn) {
			writeMessage(ws, []byte(text))
			waitForMessage(ws)
		})
	}
	noPong := websocket.AcceptOptions{OnPingReceived: func(context.Context, []byte) bool { return false }}
	for name, test := range map[string]struct {
		options websocket.AcceptOptions
		serve   func(*websocket.Conn)
		want    api.Outcome
	}{
		"accepts the upgrade and stays silent": {noPong, afterRead(func(ws *websocket.Conn) { waitForMessage(ws) }),
			api.ConnectionLost},
		"answers only pings": {websocket.AcceptOptions{},
			afterRead(func(ws *websocket.Conn) { waitForMessage(ws) }), api.TimedOut},
		"closes after reading the message": {websocket.AcceptOptions{},
			afterRead(func(ws *websocket.Conn) { closeNow(ws) }), api.ConnectionLost},
		"sends an invalid message": {websocket.AcceptOptions{}, respondWith("noise"), api.ConnectionLost},
		"answers an unknown request": {websocket.AcceptOptions{},
			respondWith(`{"type":"done","send":99,"status":200}` + "\n"), api.TimedOut},
		"answers with an error": {websocket.AcceptOptions{},
			respondWith(`{"type":"done","send":1,"status":500}` + "\n"), api.ErrorResponse},
		"rejects the request": {websocket.AcceptOptions{},
			respondWith(`{"type":"done","send":1,"status":503,"not_started":true}` + "\n"), api.Rejected},
		"answers that the request is invalid": {websocket.AcceptOptions{},
			respondWith(`{"type":"done","send":1,"status":404}` + "\n"), api.InvalidRequest},
		"answers 503 without not_started": {websocket.AcceptOptions{},
			respondWith(`{"type":"done","send":1,"status":503}` + "\n"), api.ErrorResponse},
		"sends a truncated response": {websocket.AcceptOptions{},
			respondWith(`{"type":"done","send":1,"status":200,"size":5}` + "\nhalf"), api.ConnectionLost},
	} {
		pool := newTestPool(t, testConfig, startBackend(t, test.options, test.serve))
		if got := sendOne(withDeadline(t, 2*time.Second), pool, ""); got != test.want {
			t.Errorf("%s: outcome %v, want %v", name, got, test.want)
		}
	}
	pool := newTestPool(t, testConfig, "127.0.0.1:1")
	if got := sendOne(withDeadline(t, time.Second), pool, ""); got != api.Unreachable && got != api.NotSent {
		t.Errorf("address without a listener: %v", got)
	}
	if got := sendOne(withDeadline(t, time.Second), newTestPool(t, testConfig), ""); got != api.NotSent {
		t.Errorf("backend that is not listed: %v", got)
	}
}

// Requests that wait to be written when their backend begins to drain end immediately and never run. The same holds for
// a request that is canceled while it waits.
func TestDrainWithManyQueued(t *testing.T) {
	var ran atomic.Int64
	address := startBackend(t, websocket.AcceptOptions{}, echo(&ran))
	pool := newTestPool(t, testConfig, address)
	if got := sendOne(withDeadline(t, 10*time.Second), pool, ""); got != api.Succeeded {
		t.Fatal(got)
	}
	var conn *backendConn
	pool.mu.Lock()
	for _, conn = range pool.conns {
	}
	pool.mu.Unlock()
	conn.writeLock <- struct{}{} // blocks writes, as a long write of another request does
	ctx, cancel := context.WithCancelCause(context.Background())
	first := make(chan api.Outcome)
	go func() { first <- sendOne(ctx, pool, "") }()
	cancel(transaction.ErrCanceled)
	if got := <-first; got != api.NotSent {
		t.Errorf("canceled while waiting: %v", got)
	}
	outcomes := make(chan api.Outcome, 300)
	for range 300 {
		go func() { outcomes <- sendOne(context.Background(), pool, "") }()
	}
	for { // until all requests are assigned to the connection
		conn.mu.Lock()
		n := len(conn.waiting)
		conn.mu.Unlock()
		if n == 300 {
			break
		}
		time.Sleep(time.Millisecond)
	}
	pool.Update([]BackendEndpoint{{ID: 1}})
	for range 300 {
		if outcome := <-outcomes; outcome != api.NotSent {
			t.Fatalf("a queued request: %v", outcome)
		}
	}
	if <-conn.writeLock; ran.Load() != 1 {
		t.Errorf("%d ran", ran.Load())
	}
}

// A request that is partially written when its backend begins to drain is aborted before its last fragment, so that it
// never runs, and the other requests on the connection get their responses.
func TestPartialWriteAtDrain(t *testing.T) {
	started, proceed := make(chan struct{}), make(chan struct{})
	var complete, truncated atomic.Int64
	address := startBackend(t, websocket.AcceptOptions{}, func(ws *websocket.Conn) {
		_, first, err := ws.Read(context.Background())
		if err != nil {
			return
		}
		pending, _, _ := ParseBackendRequest(first)
		_, reader, err := ws.Reader(context.Background())
		if err != nil {
			return
		}
		head := make([]byte, 100)
		if _, err := io.ReadFull(reader, head); err != nil {
			t.Error(err)
		}
		close(started)
		<-proceed
		rest, err := io.ReadAll(reader)
		if _, isComplete, readErr := ParseBackendRequest(append(head, rest...)); err == nil && readErr == nil && isComplete {
			complete.Add(1)
		} else {
			truncated.Add(1)
		}
		writeMessage(ws, BackendResponse{Type: "done", Number: pending.Number,
			Status: 200}.Encode())
		waitForMessage(ws)
	})
	config := testConfig
	config.ResponseTimeout, config.PingTimeout = time.Minute, time.Minute
	pool := newTestPool(t, config, address)
	other, partial := make(chan api.Outcome, 1), make(chan api.Outcome, 1)
	go func() { other <- sendOne(context.Background(), pool, "") }()
	for { // until the first request is waiting for its response
		pool.mu.Lock()
		n := 0
		for _, conn := range pool.conns {
			conn.mu.Lock()
			n += len(conn.waiting)
			conn.mu.Unlock()
		}
		pool.mu.Unlock()
		if n == 1 {
			break
		}
		time.Sleep(time.Millisecond)
	}
	go func() { partial <- sendOne(context.Background(), pool, strings.Repeat("x", 32<<20)) }()
	<-started
	pool.Update([]BackendEndpoint{{ID: 1}})
	close(proceed)
	if got := <-partial; got != api.NotSent {
		t.Errorf("the partially written request: %v", got)
	}
	if got := <-other; got != api.Succeeded {
		t.Errorf("the other request on the connection: %v", got)
	}
	if complete.Load() != 0 || truncated.Load() != 1 {
		t.Errorf("complete %d, truncated %d", complete.Load(), truncated.Load())
	}
}

// FuzzMessages checks that any message is decoded or rejected without a panic, and that encoding and decoding a valid
// message preserves it.
func FuzzMessages(f *testing.F) {
	f.Add([]byte(`{"type":"ask","id":"a","path":"/x"}` + "\nbody"))
	f.Add([]byte(`{"type":"done","send":1,"status":200}` + "\nbody"))
	f.Add([]byte("\n"))
	f.Add([]byte(`{"type":"ask","id":"a","path":"/x","timeout_ms":1e300}`))
	f.Fuzz(func(t *testing.T, message []byte) {
		if request, err := parseClientRequest(message); err == nil && request.Type == "ask" {
			decoded, err := parseClientRequest(request.Encode())
			if err != nil || decoded.ID != request.ID || decoded.Path != request.Path ||
				string(decoded.Body) != string(request.Body) || request.timeout() < 0 || request.workHint() < 0 {
				t.Errorf("%+v came back as %+v, %v", request, decoded, err)
			}
		}
		if response, err := parseBackendResponse(message); err == nil {
			if again, err := parseBackendResponse(response.Encode()); err != nil || again.Number != response.Number ||
				string(again.Body) != string(response.Body) {
				t.Errorf("%+v came back as %+v, %v", response, again, err)
			}
		}
		_, _, _ = ParseBackendRequest(message) // must not panic
		_, _ = ParseClientMessage(message)
	})
}
