// Package tcp provides TCP listeners and dialers whose connections fail within a bounded time after the remote machine
// has become unreachable, for example because it lost power.
package tcp

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// UserTimeout is the time after which a connection fails if the remote machine acknowledges no data (TCP_USER_TIMEOUT,
// see RFC 5482 and tcp(7)) or answers no keep-alive probe. Connections to a machine that is only slow are kept, because
// its kernel still sends acknowledgements. It also bounds how long the remote machine may keep its receive window closed
// while data waits, that is, how long its process may read nothing of a message that exceeds the buffers.
type UserTimeout time.Duration

// Listen listens on a TCP address. The user timeout applies to accepted connections.
func (t UserTimeout) Listen(address string) (net.Listener, error) {
	config := net.ListenConfig{Control: t.control, KeepAliveConfig: t.keepAliveConfig()}
	return config.Listen(context.Background(), "tcp4", address)
}

// Dialer returns a dialer with the given dial timeout. The user timeout applies to its connections.
func (t UserTimeout) Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, Control: t.control, KeepAliveConfig: t.keepAliveConfig()}
}

// Apply replaces the user timeout of an open connection.
func (t UserTimeout) Apply(conn syscall.Conn) error {
	raw, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	return t.control("", "", raw)
}

// control sets the user timeout on a socket.
func (t UserTimeout) control(_, _ string, raw syscall.RawConn) error {
	milliseconds := int(time.Duration(t).Milliseconds())
	var optionErr error
	controlErr := raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, milliseconds)
	})
	if controlErr != nil {
		return controlErr
	}
	return optionErr
}

// keepAliveConfig returns keep-alive settings by which an idle connection to an unreachable machine fails within the
// user timeout, as far as the resolution of one second allows.
func (t UserTimeout) keepAliveConfig() net.KeepAliveConfig {
	interval := roundUpToSeconds(time.Duration(t) / 2)
	return net.KeepAliveConfig{Enable: true, Idle: interval, Interval: interval, Count: 1}
}

// roundUpToSeconds rounds d up to whole seconds, the resolution of keep-alive times, and to at least one second.
func roundUpToSeconds(d time.Duration) time.Duration {
	return max(time.Second, (d + time.Second - 1).Truncate(time.Second))
}
