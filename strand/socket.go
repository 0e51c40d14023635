// Package strand holds what programs of the project do with TCP connections: listening and dialling so that a machine
// without power never holds anyone, and reading answers so that no byte of another answer reaches a client.
package strand

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Patience is how long a connection may stay without any sign of the other machine: sent bytes that are not acknowledged,
// or probes without an answer. A machine without power gives none; one that is slow does.
type Patience time.Duration

func (p Patience) control(_, _ string, raw syscall.RawConn) error {
	var err error
	if e := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(time.Duration(p).Milliseconds()))
	}); e != nil {
		return e
	}
	return err
}

// probes are spread so that a silent connection ends within the patience.
func (p Patience) probes() net.KeepAliveConfig {
	part := time.Duration(p) / 2
	return net.KeepAliveConfig{Enable: true, Idle: whole(part), Interval: whole(part), Count: 1}
}

// whole rounds up to seconds, the unit of the system's probes.
func whole(d time.Duration) time.Duration {
	return max(time.Second, (d + time.Second - 1).Truncate(time.Second))
}

// Listen listens on an address.
func (p Patience) Listen(address string) (net.Listener, error) {
	lc := net.ListenConfig{Control: p.control, KeepAliveConfig: p.probes()}
	return lc.Listen(context.Background(), "tcp4", address)
}

// Dialer dials within a time.
func (p Patience) Dialer(within time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: within, Control: p.control, KeepAliveConfig: p.probes()}
}
