package tcp

import (
	"context"
	"net"
	"time"
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

// ArrivedAfter returns a time before which nothing of the current request on a connection had arrived. It is zero if no
// such time is known, as for connections that no ArrivalListener has accepted.
func ArrivedAfter(conn net.Conn) time.Time {
	arrival, ok := conn.(interface{ ArrivedAfter() time.Time })
	if !ok {
		return time.Time{}
	}
	return arrival.ArrivedAfter()
}

// WatchArrivals makes the listener of a connection keep ArrivedAfter precise for requests that follow a pause. It has no
// effect on connections that no ArrivalListener has accepted.
func WatchArrivals(conn net.Conn) {
	if watchable, ok := conn.(interface{ Watch() }); ok {
		watchable.Watch()
	}
}

// ExpectRequest tells a connection that a response is complete. It has no effect on connections that no ArrivalListener
// has accepted.
func ExpectRequest(conn net.Conn) {
	if arrival, ok := conn.(interface{ ExpectRequest() }); ok {
		arrival.ExpectRequest()
	}
}
