//go:build unix

package upstream

import (
	"net"
	"syscall"
)

// readable reports whether a read would return without blocking: with data, the end of the connection or an error.
func readable(conn *net.TCPConn) bool {
	raw, err := conn.SyscallConn()
	if err != nil {
		return true
	}
	hasInput := false
	err = raw.Control(func(fd uintptr) {
		_, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		hasInput = err != syscall.EAGAIN && err != syscall.EINTR
	})
	return hasInput || err != nil
}
