package tcp

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// PeerClosed reports whether the remote side has closed a connection, or its sending half, even if data that it sent
// before has not been read yet. It returns false for connections other than TCP connections.
func PeerClosed(conn net.Conn) (closed bool) {
	const hangUp = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR
	withDescriptor(conn, func(descriptor int) {
		polled := []unix.PollFd{{Fd: int32(descriptor), Events: unix.POLLRDHUP}}
		count, err := unix.Poll(polled, 0)
		closed = err == nil && count > 0 && polled[0].Revents&hangUp != 0
	})
	return closed
}

// SinceLastData returns how long ago the kernel received the last data on a connection, whether or not the process has
// read it. It returns 0 if this is not known.
func SinceLastData(conn net.Conn) (elapsed time.Duration) {
	withDescriptor(conn, func(descriptor int) {
		info, err := unix.GetsockoptTCPInfo(descriptor, unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil {
			elapsed = time.Duration(info.Last_data_recv) * time.Millisecond
		}
	})
	return elapsed
}

// withDescriptor calls use with the file descriptor of a connection, if it has one.
func withDescriptor(conn net.Conn, use func(descriptor int)) {
	connection, ok := conn.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := connection.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(descriptor uintptr) { use(int(descriptor)) }) // an error means that the connection is closed
}
