package tcp

import (
	"net"
	"testing"
	"time"
)

// suspension is longer than an ArrivalListener takes to check its sockets.
const suspension = 4 * arrivalCheckInterval

// arrivalPair is a listener of which one connection was accepted.
type arrivalPair struct {
	t        *testing.T
	listener *ArrivalListener
}

func newArrivalPair(t *testing.T) *arrivalPair {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	arrivals, err := NewArrivalListener(listener.(*net.TCPListener))
	if err != nil {
		t.Fatal(err)
	}
	return &arrivalPair{t, arrivals}
}

// dial opens a connection and sends data on it.
func (p *arrivalPair) dial() net.Conn {
	p.t.Helper()
	conn, err := net.Dial("tcp4", p.listener.Addr().String())
	if err != nil {
		p.t.Fatal(err)
	}
	p.t.Cleanup(func() { conn.Close() })
	p.send(conn)
	return conn
}

func (p *arrivalPair) send(conn net.Conn) {
	p.t.Helper()
	if _, err := conn.Write([]byte("request")); err != nil {
		p.t.Fatal(err)
	}
}

func (p *arrivalPair) accept() *ArrivalConn {
	p.t.Helper()
	conn, err := p.listener.Accept()
	if err != nil {
		p.t.Fatal(err)
	}
	p.t.Cleanup(func() { conn.Close() })
	return conn.(*ArrivalConn)
}

func (p *arrivalPair) read(conn *ArrivalConn) {
	p.t.Helper()
	if _, err := conn.Read(make([]byte, 100)); err != nil {
		p.t.Fatal(err)
	}
}

// Guards against a request that counts as new although it has waited in the queue of a listener, in spite of several
// suspensions of the process.
func TestArrivalInListenerQueue(t *testing.T) {
	t.Parallel()
	pair := newArrivalPair(t)
	pair.dial()
	time.Sleep(suspension)
	waiting := pair.accept()
	pair.read(waiting)
	if at := waiting.ArrivedAfter(); !at.IsZero() {
		t.Errorf("a connection that was there before the first check has arrived after %v", at)
	}
	idleFrom := time.Now()
	time.AfterFunc(suspension, func() { pair.dial() })
	fresh := pair.accept()
	pair.read(fresh)
	if age := time.Since(fresh.ArrivedAfter()); age > suspension/2 {
		t.Errorf("a new connection seems to have waited for %v", age)
	}
	sentAt := time.Now()
	pair.dial()
	pair.dial()
	time.Sleep(suspension)
	first := pair.accept()
	time.Sleep(suspension)
	second := pair.accept()
	for i, conn := range []*ArrivalConn{first, second} {
		pair.read(conn)
		if at := conn.ArrivedAfter(); at.After(sentAt) || at.Before(idleFrom) {
			t.Errorf("connection %d arrived after %v, want a time between %v and %v", i, at, idleFrom, sentAt)
		}
	}
}

// Guards against a request that counts as new although it has waited on an open connection, or after it was read. One
// that has not waited counts as new if the connection is watched.
func TestArrivalOnOpenConnection(t *testing.T) {
	t.Parallel()
	pair := newArrivalPair(t)
	client := pair.dial()
	conn := pair.accept()
	conn.Watch()
	pair.read(conn)
	conn.ExpectRequest()
	go func() { _, _ = pair.listener.Accept() }() // checks the connection until the listener is closed
	time.Sleep(suspension)
	sentAt := time.Now()
	pair.send(client)
	time.Sleep(suspension)
	pair.read(conn)
	pair.send(client)
	pair.read(conn)
	time.Sleep(suspension)
	if at := conn.ArrivedAfter(); at.After(sentAt) || at.Before(sentAt.Add(-suspension/2)) {
		t.Errorf("a request sent at %v arrived after %v", sentAt, at)
	}
	conn.ExpectRequest()
	time.AfterFunc(suspension, func() { pair.send(client) })
	pair.read(conn)
	if age := time.Since(conn.ArrivedAfter()); age > suspension/2 {
		t.Errorf("a new request seems to have waited for %v", age)
	}
}

// A connection ends with the errors of a *net.TCPConn.
func TestArrivalConnErrors(t *testing.T) {
	t.Parallel()
	pair := newArrivalPair(t)
	client := pair.dial()
	conn := pair.accept()
	pair.read(conn)
	if err := conn.SetReadDeadline(time.Now().Add(time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	_, err := conn.Read(make([]byte, 1))
	if timeout, ok := err.(net.Error); !ok || !timeout.Timeout() {
		t.Errorf("read until the deadline: %v", err)
	}
	if err := conn.SetReadDeadline(time.Time{}); err != nil {
		t.Fatal(err)
	}
	client.Close()
	if count, err := conn.Read(make([]byte, 1)); count != 0 || err == nil || err.Error() != "EOF" {
		t.Errorf("read after the peer's close: %d bytes, %v", count, err)
	}
	if err := conn.Close(); err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Read(make([]byte, 1)); err == nil {
		t.Error("read after close: no error")
	}
}
