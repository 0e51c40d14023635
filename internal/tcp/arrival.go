package tcp

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// arrivalCheckInterval is the interval at which an ArrivalListener checks its sockets. Requests seem to have waited for up
// to this time.
const arrivalCheckInterval = 100 * time.Millisecond

// ArrivalListener is a TCP listener whose connections bound the time for which a request can have waited until the process read it
// (ArrivalConn.ArrivedAfter). A request can wait at a socket for any time while the process is suspended, and can't be told
// from a new one afterwards. The listener relies only on whether there is something to be read at a socket: what is read
// after a moment at which there was nothing has arrived after that moment.
//
// Accept must not be called concurrently.
type ArrivalListener struct {
	*net.TCPListener
	socket    syscall.RawConn
	emptyAt   time.Time // no accepted connection was established before; zero if not known
	checkedAt time.Time // when the watched connections were last checked

	mu      sync.Mutex
	watched map[*ArrivalConn]struct{}
}

// NewArrivalListener returns an ArrivalListener that accepts the connections of a listener.
func NewArrivalListener(listener *net.TCPListener) (*ArrivalListener, error) {
	socket, err := listener.SyscallConn()
	if err != nil {
		return nil, err
	}
	return &ArrivalListener{TCPListener: listener, socket: socket, watched: map[*ArrivalConn]struct{}{}}, nil
}

// Accept implements net.Listener. The connection is an *ArrivalConn.
func (l *ArrivalListener) Accept() (net.Conn, error) {
	for {
		l.check(time.Now())
		// A failure means that the listener is closed, which AcceptTCP reports.
		_ = l.SetDeadline(time.Now().Add(arrivalCheckInterval))
		conn, err := l.AcceptTCP()
		if err == nil {
			return l.newConn(conn)
		}
		if timeout, ok := err.(net.Error); !ok || !timeout.Timeout() {
			return nil, err
		}
	}
}

// check determines whether connections wait to be accepted and, once in arrivalCheckInterval, whether requests wait on the
// watched connections. now must not be later than the call.
func (l *ArrivalListener) check(now time.Time) {
	if !readable(l.socket) {
		l.emptyAt = now
	}
	if now.Sub(l.checkedAt) < arrivalCheckInterval {
		return
	}
	l.checkedAt = now
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn := range l.watched {
		conn.check()
	}
}

func (l *ArrivalListener) newConn(conn *net.TCPConn) (net.Conn, error) {
	socket, err := conn.SyscallConn()
	if err != nil {
		return nil, err
	}
	return &ArrivalConn{TCPConn: conn, listener: l, socket: socket, emptyAt: l.emptyAt}, nil
}

func (l *ArrivalListener) watch(conn *ArrivalConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.watched[conn] = struct{}{}
}

func (l *ArrivalListener) unwatch(conn *ArrivalConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.watched, conn)
}

// ArrivalConn is a connection that tells how long a request on it may have waited until it was read.
type ArrivalConn struct {
	*net.TCPConn
	listener *ArrivalListener
	socket   syscall.RawConn

	mu             sync.Mutex
	emptyAt        time.Time // nothing that is still unread arrived before; zero if not known
	readingRequest bool      // a part of the request has been read
	arrivedAfter   time.Time // nothing of the request arrived before; zero if not known
}

// Read implements net.Conn. Invariant: emptyAt is a time before a look at the socket at which there was nothing to read,
// and no data is read between that look and the use of emptyAt, as both hold the lock.
func (c *ArrivalConn) Read(buffer []byte) (count int, err error) {
	if len(buffer) == 0 {
		return 0, nil
	}
	var readErr error
	err = c.socket.Read(func(descriptor uintptr) (done bool) {
		count, readErr = c.tryRead(int(descriptor), buffer)
		return readErr != unix.EAGAIN
	})
	if err != nil {
		return 0, err
	}
	switch {
	case readErr != nil:
		return 0, &net.OpError{
			Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: os.NewSyscallError("read", readErr),
		}
	case count == 0:
		return 0, io.EOF
	}
	return count, nil
}

// tryRead reads what has arrived. It returns EAGAIN if there is nothing.
func (c *ArrivalConn) tryRead(descriptor int, buffer []byte) (count int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	startedAt := time.Now()
	count, err = unix.Read(descriptor, buffer)
	for err == unix.EINTR {
		count, err = unix.Read(descriptor, buffer)
	}
	switch {
	case err == unix.EAGAIN:
		c.emptyAt = startedAt
	case err == nil && !c.readingRequest:
		c.readingRequest = true
		c.arrivedAfter = c.emptyAt
	}
	return max(count, 0), err
}

// check updates emptyAt.
func (c *ArrivalConn) check() {
	c.mu.Lock()
	defer c.mu.Unlock()
	startedAt := time.Now()
	if !readable(c.socket) {
		c.emptyAt = startedAt
	}
}

// ExpectRequest tells the connection that a response is complete, so that what is read next begins a request.
func (c *ArrivalConn) ExpectRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readingRequest = false
}

// Watch makes the listener check the connection from now on. Without it, a request seems to have waited since the one
// before, except for the first one.
func (c *ArrivalConn) Watch() { c.listener.watch(c) }

// Close implements net.Conn.
func (c *ArrivalConn) Close() error {
	c.listener.unwatch(c)
	return c.TCPConn.Close()
}

// ArrivedAfter returns a time before which nothing of the current request had arrived. It is zero if no such time is
// known.
func (c *ArrivalConn) ArrivedAfter() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.arrivedAfter
}

// readable reports whether a socket has data, a connection or the end of the stream to be read. It returns true if this
// can't be determined.
func readable(socket syscall.RawConn) (ready bool) {
	ready = true
	_ = socket.Control(func(descriptor uintptr) { // an error means that the socket is closed
		polled := []unix.PollFd{{Fd: int32(descriptor), Events: unix.POLLIN}}
		count, err := unix.Poll(polled, 0)
		ready = err != nil || count != 0
	})
	return ready
}
