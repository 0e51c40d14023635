package httpagent

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"sagelever/internal/tcp"

	"sagelever/internal/agent/api"
)

// At the limits, a new connection closes the one that has been without a transaction for longest, whether or not that
// one has sent anything. Connections with a transaction stay open; if all have one, the new connection is closed.
func TestClientConnLimits(t *testing.T) {
	tracked := clientConns{softLimit: 2, hardLimit: 3}
	var local, remote [6]net.Conn
	for i := range local {
		local[i], remote[i] = net.Pipe()
	}
	startTransaction := func(c net.Conn) {
		req, _ := http.NewRequestWithContext(tcp.WithConn(context.Background(), c), "GET", "/", nil)
		tracked.connStateChanged(c, http.StateActive)
		tracked.claim(req)
	}
	closed := func(i int) {
		t.Helper()
		if _, err := remote[i].Read(make([]byte, 1)); err != io.EOF {
			t.Errorf("connection %d: %v", i, err)
		}
	}
	for i := range 3 {
		tracked.connStateChanged(local[i], http.StateNew)
	}
	startTransaction(local[0])
	tracked.connStateChanged(local[1], http.StateActive)
	tracked.connStateChanged(local[1], http.StateIdle)
	if len(tracked.conns) != 3 {
		t.Fatalf("%d of three new connections are open", len(tracked.conns))
	}
	tracked.conns[local[2]].since = time.Now().Add(-minIdleAge) // idle for longer than connection 1
	tracked.connStateChanged(local[3], http.StateNew)
	closed(2)
	startTransaction(local[3])
	tracked.connStateChanged(local[4], http.StateNew)
	closed(1)
	startTransaction(local[4])
	tracked.connStateChanged(local[5], http.StateNew)
	closed(5)
	if len(tracked.conns) != 3 || tracked.conns[local[0]] == nil || tracked.conns[local[3]] == nil || tracked.conns[local[4]] == nil {
		t.Errorf("open: %v", tracked.conns)
	}
	for c := range tracked.conns { // after a burst, all idle connections are closed
		*tracked.conns[c] = clientConnState{since: time.Now().Add(-minIdleAge)}
	}
	extra, extraRemote := net.Pipe()
	defer extraRemote.Close()
	if tracked.connStateChanged(extra, http.StateNew); len(tracked.conns) != tracked.softLimit {
		t.Errorf("%d connections open after a burst, want %d", len(tracked.conns), tracked.softLimit)
	}
	tracked.connStateChanged(extra, http.StateClosed)
	tracked.connStateChanged(local[2], http.StateIdle) // a late event of a closed connection
	if len(tracked.conns) != 1 {
		t.Errorf("still open: %v", tracked.conns)
	}
}

// A request is not accepted if its connection was closed while it was being read, to make room for a new connection or
// on shutdown: the client repeats it under the same ID, and both would be forwarded. A connection with a transaction is
// not closed to make room.
func TestConnectionClosedWhileReading(t *testing.T) {
	tracked := clientConns{softLimit: 1, hardLimit: 1}
	request := func(c net.Conn) *http.Request {
		req, _ := http.NewRequestWithContext(tcp.WithConn(context.Background(), c), "GET", "/", nil)
		return req
	}
	var local [4]*tcp.CloseTrackingConn
	for i := range local {
		c, remote := net.Pipe()
		defer remote.Close()
		local[i] = &tcp.CloseTrackingConn{Conn: c}
	}
	tracked.connStateChanged(local[0], http.StateNew)
	tracked.conns[local[0]].since = time.Now().Add(-minIdleAge)
	tracked.connStateChanged(local[1], http.StateNew) // replaces the first one, whose request has already been read
	if tracked.claim(request(local[0])) || !tracked.claim(request(local[1])) {
		t.Error("a connection that was replaced can be claimed, or the new one cannot")
	}
	if tracked.connStateChanged(local[2], http.StateNew); local[1].Closed() || !local[2].Closed() ||
		tracked.claim(request(local[2])) {
		t.Error("a connection with a transaction was closed")
	}
	tracked.connStateChanged(local[1], http.StateClosed)
	tracked.connStateChanged(local[3], http.StateNew)
	tracked.connStateChanged(local[3], http.StateActive)
	tracked.connStateChanged(local[3], http.StateIdle)
	hangUp(local[3]) // as the server does on shutdown
	if tracked.claim(request(local[3])) {
		t.Error("a connection closed by the server can be claimed")
	}
	if !tracked.claim(httptest.NewRequest("GET", "/", nil)) {
		t.Error("a request of a server that does not track connections cannot be claimed")
	}
	// The handler passes nothing to the policy and sends no response.
	agent, _ := startAgent(t, newTestStation(t, listBody(1, true, "127.0.0.1:9")), func(event api.Event) []api.Action {
		if _, ok := event.(api.TransactionAccepted); ok {
			t.Error("the transaction reached the policy")
		}
		return nil
	})
	req := httptest.NewRequest("GET", "/look/x", nil).WithContext(
		tcp.WithConn(context.Background(), local[0]))
	req.Header.Set("Request-Id", "x")
	defer func() {
		if p := recover(); p != http.ErrAbortHandler {
			t.Errorf("panic value %v, want http.ErrAbortHandler", p)
		}
	}()
	agent.ServeHTTP(httptest.NewRecorder(), req)
}

// State of closed clients, released bodies, and removed backends and their connections does not accumulate.
func TestNoGoroutineLeak(t *testing.T) {
	address := startBackend(t, func(conn *net.TCPConn, r *http.Request) { write(conn, okResponse) })
	id := backendID("s-0")
	agent, url := startAgent(t, newTestStation(t, listBody(1, true, address)), func(event api.Event) []api.Action {
		if accepted, ok := event.(api.TransactionAccepted); ok {
			return []api.Action{api.StartAttempt{Transaction: accepted.ID, Backend: id}}
		}
		return nil
	})
	var first *backendClient
	for i := range 40 {
		list, err := parseBackendList([]byte(listBody(i+2, true, address)), agent.engine.StartTime())
		if err != nil {
			t.Fatal(err)
		}
		list.update.Backends[0].Build = api.Build(i)
		agent.applyList(list)
		if i == 0 {
			first = agent.backends.get(id)
		}
		conn, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(conn, "POST /once HTTP/1.1\r\nHost: x\r\nRequest-Id: r%d\r\nContent-Length: 1\r\n\r\nx", i)
		if resp, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil || resp.StatusCode != 200 {
			t.Fatalf("%v, %v", resp, err)
		}
		conn.Close()
	}
	if first == agent.backends.get(id) || len(agent.backends.byID) != 1 {
		t.Errorf("%d backend clients", len(agent.backends.byID))
	}
	remaining := func() string {
		agent.clientConns.mu.Lock()
		defer agent.clientConns.mu.Unlock()
		return fmt.Sprintf("%d clients, %d bytes, %d open, %d connections", len(agent.clientConns.conns), agent.bodyBytes.Load(),
			agent.openTransactions.Load(), agent.backends.openConns.Load())
	}
	const nothing = "0 clients, 0 bytes, 0 open, 1 connections"
	for deadline := time.Now().Add(5 * time.Second); remaining() != nothing; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal(remaining())
		}
	}
}
