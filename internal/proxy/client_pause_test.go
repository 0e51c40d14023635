package proxy

import (
	"net"
	"net/http"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"sagelever/internal/tcp"
)

// Guards against responses that are cut off because their client reads nothing for a few seconds: the connection of a
// client must bear a closed receive window for the configured idle timeout, which is 15 s in a test proxy.
func TestClientMayPauseForIdleTimeout(t *testing.T) {
	address, _ := startBackend(t, serveSealed)
	proxy := startProxy(t, backendItem("i1", address))
	timeouts := make(chan time.Duration, 1)
	proxy.onAttempt = func(r *http.Request, _ *attempt) { timeouts <- userTimeoutOf(t, tcp.ConnFrom(r.Context())) }
	if response := proxy.do("POST", "/o/1", "x"); !response.completedWith(http.StatusOK) {
		t.Fatal(response)
	}
	if got, want := <-timeouts, proxy.routingTable.Load().Limits.IdleTimeout; got != want || want != 15*time.Second {
		t.Errorf("the connection fails after %v without reads, want %v", got, want)
	}
}

// userTimeoutOf returns the user timeout of an accepted connection, or 0 if it can't be read.
func userTimeoutOf(t *testing.T, conn net.Conn) time.Duration {
	t.Helper()
	raw, err := conn.(*tcp.CloseTrackingConn).Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Error(err)
		return 0
	}
	milliseconds := 0
	var optionErr error
	err = raw.Control(func(fd uintptr) {
		milliseconds, optionErr = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
	})
	if err != nil || optionErr != nil {
		t.Error(err, optionErr)
	}
	return time.Duration(milliseconds) * time.Millisecond
}
