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

	"sagelever/internal/agent/api"
)

// A new connection closes the one that has been without a transaction for longest, whether that has sent anything or
// not. One with a transaction stays, and if all have one, the new one is closed.
func TestClientConnLimits(t *testing.T) {
	d := clientConns{softLimit: 2, hardLimit: 3}
	var ends, far [6]net.Conn
	for i := range ends {
		ends[i], far[i] = net.Pipe()
	}
	hold := func(c net.Conn) {
		r, _ := http.NewRequestWithContext(d.connContext(context.Background(), c), "GET", "/", nil)
		d.connStateChanged(c, http.StateActive)
		d.claim(r)
	}
	closed := func(i int) {
		t.Helper()
		if _, err := far[i].Read(make([]byte, 1)); err != io.EOF {
			t.Errorf("connection %d: %v", i, err)
		}
	}
	for i := range 3 {
		d.connStateChanged(ends[i], http.StateNew)
	}
	hold(ends[0])
	d.connStateChanged(ends[1], http.StateActive)
	d.connStateChanged(ends[1], http.StateIdle)
	if len(d.conns) != 3 {
		t.Fatalf("of three that have just come %d are left", len(d.conns))
	}
	d.conns[ends[2]].since = time.Now().Add(-minIdleAge) // longer than the other is idle
	d.connStateChanged(ends[3], http.StateNew)
	closed(2)
	hold(ends[3])
	d.connStateChanged(ends[4], http.StateNew)
	closed(1)
	hold(ends[4])
	d.connStateChanged(ends[5], http.StateNew)
	closed(5)
	if len(d.conns) != 3 || d.conns[ends[0]] == nil || d.conns[ends[3]] == nil || d.conns[ends[4]] == nil {
		t.Errorf("open: %v", d.conns)
	}
	for c := range d.conns { // after a burst all idle ones are closed
		*d.conns[c] = clientConnState{since: time.Now().Add(-minIdleAge)}
	}
	extra, far5 := net.Pipe()
	defer far5.Close()
	if d.connStateChanged(extra, http.StateNew); len(d.conns) != d.softLimit {
		t.Errorf("%d are left after a burst, want %d", len(d.conns), d.softLimit)
	}
	d.connStateChanged(extra, http.StateClosed)
	d.connStateChanged(ends[2], http.StateIdle) // a late event of one that is closed
	if len(d.conns) != 1 {
		t.Errorf("still open: %v", d.conns)
	}
}

// A request that was read from a connection that was closed meanwhile, for a new one or when the server shuts down, is
// not accepted: its client asks again under the same id, and both would be forwarded. A connection with a transaction
// is not closed for a new one.
func TestConnectionClosedWhileReading(t *testing.T) {
	d := clientConns{softLimit: 1, hardLimit: 1}
	request := func(c net.Conn) *http.Request {
		r, _ := http.NewRequestWithContext(d.connContext(context.Background(), c), "GET", "/", nil)
		return r
	}
	var ends [4]*closeTrackingConn
	for i := range ends {
		c, far := net.Pipe()
		defer far.Close()
		ends[i] = &closeTrackingConn{Conn: c}
	}
	d.connStateChanged(ends[0], http.StateNew)
	d.conns[ends[0]].since = time.Now().Add(-minIdleAge)
	d.connStateChanged(ends[1], http.StateNew) // replaces the first, whose request has been read by now
	if d.claim(request(ends[0])) || !d.claim(request(ends[1])) {
		t.Error("closed for a new one, and claimed")
	}
	if d.connStateChanged(ends[2], http.StateNew); ends[1].closed.Load() || !ends[2].closed.Load() ||
		d.claim(request(ends[2])) {
		t.Error("one with a transaction was closed")
	}
	d.connStateChanged(ends[1], http.StateClosed)
	d.connStateChanged(ends[3], http.StateNew)
	d.connStateChanged(ends[3], http.StateActive)
	d.connStateChanged(ends[3], http.StateIdle)
	hangUp(ends[3]) // as the server does when it shuts down
	if d.claim(request(ends[3])) {
		t.Error("closed by the server, and claimed")
	}
	if !d.claim(httptest.NewRequest("GET", "/", nil)) {
		t.Error("a server that does not track connections claims nothing")
	}
	// In the handler: nothing reaches the policy, and nothing is answered.
	a, _ := startAgent(t, newTestStation(t, listBody(1, true, "127.0.0.1:9")), func(event api.Event) []api.Action {
		if _, ok := event.(api.TransactionAccepted); ok {
			t.Error("the policy was handed the transaction")
		}
		return nil
	})
	r := httptest.NewRequest("GET", "/look/x", nil).WithContext(a.clientConns.connContext(context.Background(), ends[0]))
	r.Header.Set("Request-Id", "x")
	defer func() {
		if p := recover(); p != http.ErrAbortHandler {
			t.Errorf("ended by %v", p)
		}
	}()
	a.ServeHTTP(httptest.NewRecorder(), r)
}

// Nothing is left of clients, bodies, backends and their connections that have gone, however many there were.
func TestNoGoroutineLeak(t *testing.T) {
	at := startBackend(t, func(c *net.TCPConn, r *http.Request) { write(c, fine) })
	id := backendID("s-0")
	a, url := startAgent(t, newTestStation(t, listBody(1, true, at)), func(event api.Event) []api.Action {
		if taken, ok := event.(api.TransactionAccepted); ok {
			return []api.Action{api.StartAttempt{Transaction: taken.ID, Backend: id}}
		}
		return nil
	})
	var first *backendClient
	for i := range 40 {
		l, err := parseBackendList([]byte(listBody(i+2, true, at)), a.engine.StartTime())
		if err != nil {
			t.Fatal(err)
		}
		l.update.Backends[0].Build = api.Build(i)
		a.applyList(l)
		if i == 0 {
			first = a.backends.get(id)
		}
		c, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(c, "POST /once HTTP/1.1\r\nHost: x\r\nRequest-Id: r%d\r\nContent-Length: 1\r\n\r\nx", i)
		if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || resp.StatusCode != 200 {
			t.Fatalf("%v, %v", resp, err)
		}
		c.Close()
	}
	if first == a.backends.get(id) || len(a.backends.byID) != 1 {
		t.Errorf("%d backend clients", len(a.backends.byID))
	}
	left := func() string {
		a.clientConns.mu.Lock()
		defer a.clientConns.mu.Unlock()
		return fmt.Sprintf("%d clients, %d bytes, %d open, %d connections", len(a.clientConns.conns), a.bodyBytes.Load(),
			a.openTransactions.Load(), a.backends.openConns.Load())
	}
	const nothing = "0 clients, 0 bytes, 0 open, 1 connections"
	for end := time.Now().Add(5 * time.Second); left() != nothing; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(left())
		}
	}
}
