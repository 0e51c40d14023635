package server

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"sagelever/internal/tcp"
)

// callerPatience is how long a caller waits for an answer before it sends its order to another controller.
const callerPatience = time.Second

// errAbandonedOrder is the answer to an order that is not begun because its caller has left. Nobody reads it, unless the
// caller is more patient than the protocol says.
var errAbandonedOrder = errors.New("the order has waited here until its caller turned to another controller: ask again")

// refuseAbandoned wraps the handler of an order. It does not begin an order whose caller may have left: an order may wait at
// the socket of a process that stands still, for any time. Meanwhile the caller gets an answer from another controller,
// and orders something else, which the old order would undo.
func (s *Server) refuseAbandoned(handler apiFunc) apiFunc {
	return func(w http.ResponseWriter, r *http.Request) error {
		caller := callerOf(r.Context())
		s.log.Info("order received",
			zap.String("call", r.URL.Query().Get("call")),
			zap.Bool("requestEnded", caller.requestEnded),
			zap.Bool("connectionClosed", caller.connectionClosed),
			zap.Duration("sinceLastData", caller.sinceLastData),
			zap.Duration("maxWait", caller.maxWait),
			zap.Bool("abandoned", caller.hasLeft()))
		if caller.hasLeft() {
			s.counters.abandonedOrders.Add(1)
			return errAbandonedOrder
		}
		return handler(w, r)
	}
}

// watchArrivals wraps the handler of a call of an operator, so that an order which follows on the same connection is
// known to be new.
func watchArrivals(handler apiFunc) apiFunc {
	return func(w http.ResponseWriter, r *http.Request) error {
		tcp.WatchArrivals(tcp.ConnFrom(r.Context()))
		return handler(w, r)
	}
}

// callerState is what is known of the caller of an order.
type callerState struct {
	requestEnded     bool          // the server has noticed the end of the connection
	connectionClosed bool          // by the kernel; false if it doesn't tell
	sinceLastData    time.Duration // by the clock of the kernel; 0 if it doesn't tell
	maxWait          time.Duration // how long the order can have waited, as far as this process knows
}

func callerOf(ctx context.Context) callerState {
	conn := tcp.ConnFrom(ctx)
	return callerState{
		requestEnded:     ctx.Err() != nil,
		connectionClosed: tcp.PeerClosed(conn),
		sinceLastData:    tcp.SinceLastData(conn),
		maxWait:          time.Since(tcp.ArrivedAfter(conn)),
	}
}

// hasLeft reports whether the caller has closed the connection, or may have waited until it turned to another controller.
// What the kernel tells can only show that a caller has left. That it still waits is shown by maxWait alone.
func (c callerState) hasLeft() bool {
	return c.requestEnded || c.connectionClosed || c.sinceLastData >= callerPatience || c.maxWait >= ackDeliveryTime
}
