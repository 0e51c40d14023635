//go:build unix

package strand

import (
	"net"
	"syscall"
)

// waits tells whether a connection has something to be read, be it its end.
func waits(c *net.TCPConn) (waits bool) {
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	err = raw.Control(func(fd uintptr) {
		_, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		waits = err != syscall.EAGAIN && err != syscall.EINTR
	})
	return waits || err != nil
}
