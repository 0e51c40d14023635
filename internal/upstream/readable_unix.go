//go:build unix

package upstream

import (
	"net"
	"syscall"
)

// readable tells whether a connection has something to be read, be it its end.
func readable(conn *net.TCPConn) (readable bool) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return true
	}
	err = raw.Control(func(fd uintptr) {
		_, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		readable = err != syscall.EAGAIN && err != syscall.EINTR
	})
	return readable || err != nil
}
