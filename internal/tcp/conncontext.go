package tcp

import (
	"context"
	"net"
)

// connKey is the context key under which requests carry their connection.
type connKey struct{}

// WithConn adds a connection to the context of its requests. It implements http.Server.ConnContext.
func WithConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// ConnFrom returns the connection of a request by its context, or nil if the server doesn't use WithConn.
func ConnFrom(ctx context.Context) net.Conn {
	conn, _ := ctx.Value(connKey{}).(net.Conn)
	return conn
}

// ConnClosed reports whether this side has closed the connection of a request, so that its client can get no response.
func ConnClosed(ctx context.Context) bool {
	conn, ok := ConnFrom(ctx).(*CloseTrackingConn)
	return ok && conn.Closed()
}
