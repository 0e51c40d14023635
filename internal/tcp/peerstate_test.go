package tcp

import (
	"net"
	"testing"
	"time"
)

// connect returns both ends of a TCP connection.
func connect(t *testing.T) (dialed, accepted net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	if dialed, err = net.Dial("tcp4", listener.Addr().String()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { dialed.Close() })
	if accepted, err = listener.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { accepted.Close() })
	return dialed, accepted
}

// eventually reports whether a condition holds within a second.
func eventually(condition func() bool) bool {
	for range 100 {
		if condition() {
			return true
		}
		time.Sleep(10 * time.Millisecond)
	}
	return false
}

// A close by the remote side is noticed although the data that it sent before has not been read.
func TestPeerClosed(t *testing.T) {
	dialed, accepted := connect(t)
	if _, err := dialed.Write([]byte("unread")); err != nil {
		t.Fatal(err)
	}
	if PeerClosed(accepted) {
		t.Error("an open connection counts as closed")
	}
	dialed.Close()
	if !eventually(func() bool { return PeerClosed(accepted) }) {
		t.Error("a closed connection counts as open")
	}
	if local, _ := net.Pipe(); PeerClosed(local) || SinceLastData(local) != 0 {
		t.Error("a connection without a socket has a state")
	}
}

// The time since the last data counts from its arrival, and starts again with new data.
func TestSinceLastData(t *testing.T) {
	const wait = 300 * time.Millisecond
	dialed, accepted := connect(t)
	send := func() {
		t.Helper()
		if _, err := dialed.Write([]byte("unread")); err != nil {
			t.Fatal(err)
		}
	}
	send()
	time.Sleep(wait)
	if elapsed := SinceLastData(accepted); elapsed < wait*9/10 {
		t.Errorf("%v since the last data, want %v", elapsed, wait)
	}
	send()
	if !eventually(func() bool { return SinceLastData(accepted) < wait/2 }) {
		t.Error("new data is not noticed")
	}
}
