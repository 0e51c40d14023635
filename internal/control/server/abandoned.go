package server

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"sagelever/internal/tcp"
)

// callerPatience is how long a caller waits for an answer before it sends its order to another controller.
const callerPatience = time.Second

// errAbandonedOrder is the answer to an order that is not begun because its caller has left. Nobody reads it, unless the
// caller is more patient than the protocol says.
var errAbandonedOrder = errors.New("the order has waited here until its caller turned to another controller: ask again")

// whileAwaited wraps the handler of an order. It does not begin an order whose caller has left: an order may wait at the
// socket of a process that stands still, for any time. Meanwhile the caller gets an answer from another controller, and
// orders something else, which the old order would undo.
func (s *Server) whileAwaited(handler apiFunc) apiFunc {
	return func(w http.ResponseWriter, r *http.Request) error {
		if isAbandoned(r.Context()) {
			s.counters.abandonedOrders.Add(1)
			return errAbandonedOrder
		}
		return handler(w, r)
	}
}

// isAbandoned reports whether the caller of a request has left: it has closed the connection, or the request has waited
// for callerPatience, by the clock of the kernel, which goes on while the process stands still.
func isAbandoned(ctx context.Context) bool {
	conn := tcp.ConnFrom(ctx)
	return ctx.Err() != nil || tcp.PeerClosed(conn) || tcp.SinceLastData(conn) >= callerPatience
}
