// Package strand holds what programs of the project do with TCP connections: listening and dialling so that a machine
// without power never holds anyone, and reading answers so that no byte of another answer reaches a client.
package tcp

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// UserTimeout is how long a connection may stay without any sign of the other machine: sent bytes that are not acknowledged,
// or probes without an answer. A machine without power gives none; one that is slow does.
type UserTimeout time.Duration

func (t UserTimeout) control(_, _ string, raw syscall.RawConn) error {
	var err error
	if controlErr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(time.Duration(t).Milliseconds()))
	}); controlErr != nil {
		return controlErr
	}
	return err
}

// keepAliveConfig are spread so that a silent connection ends within the patience.
func (t UserTimeout) keepAliveConfig() net.KeepAliveConfig {
	half := time.Duration(t) / 2
	return net.KeepAliveConfig{Enable: true, Idle: roundUpToSeconds(half), Interval: roundUpToSeconds(half), Count: 1}
}

// roundUpToSeconds rounds up to seconds, the unit of the system's probes.
func roundUpToSeconds(d time.Duration) time.Duration {
	return max(time.Second, (d + time.Second - 1).Truncate(time.Second))
}

// Listen listens on an address.
func (t UserTimeout) Listen(address string) (net.Listener, error) {
	listenConfig := net.ListenConfig{Control: t.control, KeepAliveConfig: t.keepAliveConfig()}
	return listenConfig.Listen(context.Background(), "tcp4", address)
}

// Dialer dials within a time.
func (t UserTimeout) Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, Control: t.control, KeepAliveConfig: t.keepAliveConfig()}
}
