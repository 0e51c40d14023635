// Package tcp makes TCP listeners and dialers whose connections end within a bounded time after the other machine has
// disappeared, for example because it lost power.
package tcp

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// UserTimeout is the time after which a connection ends if the other machine gives no sign: it acknowledges no data
// (TCP_USER_TIMEOUT, see RFC 5482 and tcp(7)) or answers no keep-alive probe. A machine that is only slow still
// acknowledges, so that its connections stay.
type UserTimeout time.Duration

// Listen listens on a TCP address. Accepted connections have the user timeout.
func (t UserTimeout) Listen(address string) (net.Listener, error) {
	config := net.ListenConfig{Control: t.control, KeepAliveConfig: t.keepAliveConfig()}
	return config.Listen(context.Background(), "tcp4", address)
}

// Dialer returns a dialer that gives up after timeout. Its connections have the user timeout.
func (t UserTimeout) Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, Control: t.control, KeepAliveConfig: t.keepAliveConfig()}
}

// control sets the user timeout on a socket before it is bound or connected.
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

// keepAliveConfig makes the probe of an idle connection and its loss fit into the user timeout, as far as the unit of
// one second allows.
func (t UserTimeout) keepAliveConfig() net.KeepAliveConfig {
	interval := roundUpToSeconds(time.Duration(t) / 2)
	return net.KeepAliveConfig{Enable: true, Idle: interval, Interval: interval, Count: 1}
}

// roundUpToSeconds rounds up to whole seconds, the unit of keep-alive times, and to at least one.
func roundUpToSeconds(d time.Duration) time.Duration {
	return max(time.Second, (d + time.Second - 1).Truncate(time.Second))
}
