package cluster

import (
	"net"
	"sync"
)

// linkLimitListener resets the connections beyond a maximum number of open ones.
type linkLimitListener struct {
	*net.TCPListener
	slots chan struct{} // holds a value for each open connection
}

// limitedConn frees its slot when it is closed.
type limitedConn struct {
	*net.TCPConn
	free func()
}

// newLinkLimitListener returns a listener whose connections are limited to maxLinks, or listener itself if maxLinks is 0.
func newLinkLimitListener(listener net.Listener, maxLinks int) net.Listener {
	if maxLinks == 0 {
		return listener
	}
	return &linkLimitListener{TCPListener: listener.(*net.TCPListener), slots: make(chan struct{}, maxLinks)}
}

// Accept returns the next connection within the limit.
func (l *linkLimitListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.AcceptTCP()
		if err != nil {
			return nil, err
		}
		select {
		case l.slots <- struct{}{}:
			return &limitedConn{TCPConn: conn, free: sync.OnceFunc(func() { <-l.slots })}, nil
		default:
			_ = conn.SetLinger(0) // fails if the connection has ended
			_ = conn.Close()      // as above
		}
	}
}

// Close closes the connection. It may be called more than once.
func (c *limitedConn) Close() error {
	c.free()
	return c.TCPConn.Close()
}
