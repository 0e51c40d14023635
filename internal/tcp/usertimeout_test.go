package tcp

import (
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// userTimeoutOf returns the user timeout of a connection in milliseconds.
func userTimeoutOf(t *testing.T, conn net.Conn) int {
	t.Helper()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var value int
	var optionErr error
	err = raw.Control(func(fd uintptr) {
		value, optionErr = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
	})
	if err != nil || optionErr != nil {
		t.Fatal(err, optionErr)
	}
	return value
}

// The user timeout is set on both ends of a connection, the dialed and the accepted one.
func TestConnectionsHaveUserTimeout(t *testing.T) {
	const timeout = UserTimeout(1500 * time.Millisecond)
	listener, err := timeout.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	dialed, err := timeout.Dialer(time.Second).Dial("tcp4", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer dialed.Close()
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer accepted.Close()
	for name, conn := range map[string]net.Conn{"dialed": dialed, "accepted": accepted} {
		if got := userTimeoutOf(t, conn); got != 1500 {
			t.Errorf("the user timeout of the %s connection is %d ms, want 1500", name, got)
		}
	}
}

// The first keep-alive probe and the wait for its answer take half the user timeout each, in whole seconds.
func TestKeepAliveInterval(t *testing.T) {
	for _, test := range []struct {
		timeout  time.Duration
		interval time.Duration
	}{
		{time.Millisecond, time.Second},
		{1500 * time.Millisecond, time.Second},
		{2 * time.Second, time.Second},
		{2500 * time.Millisecond, 2 * time.Second},
		{10 * time.Second, 5 * time.Second},
	} {
		config := UserTimeout(test.timeout).keepAliveConfig()
		if !config.Enable || config.Idle != test.interval || config.Interval != test.interval || config.Count != 1 {
			t.Errorf("user timeout %v: keep-alive %+v, want the interval %v", test.timeout, config, test.interval)
		}
	}
}
