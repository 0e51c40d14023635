package tcp

import (
	"net"
	"sync/atomic"
)

// CloseTrackingListener is a listener whose connections are CloseTrackingConns.
type CloseTrackingListener struct{ net.Listener }

// Accept implements net.Listener.
func (l CloseTrackingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &CloseTrackingConn{Conn: conn}, nil
}

// CloseTrackingConn is a connection that records whether this side has closed it. A server on shutdown closes the
// connections that it takes for idle, including one from which a request has just been read: http.Server considers a
// connection idle until the header of its next request is complete. Such a request can no longer be answered, and must
// not be executed.
type CloseTrackingConn struct {
	net.Conn
	closed atomic.Bool
}

// Close records the close and closes the connection.
func (c *CloseTrackingConn) Close() error {
	c.closed.Store(true)
	return c.Conn.Close()
}

// Closed reports whether Close was called.
func (c *CloseTrackingConn) Closed() bool { return c.closed.Load() }

// CloseWrite closes the writing half of the connection, so that the peer can read a response completely although it is
// still sending. It implements the interface that http.Server looks for.
func (c *CloseTrackingConn) CloseWrite() error {
	halfCloser, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return net.ErrClosed
	}
	return halfCloser.CloseWrite()
}
