package server

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"sagelever/internal/tcp"
)

// ackDeliveryTime is the time after the arrival of an order within which a response must be sent to reach the caller
// reliably. A caller gives up after callerPatience and repeats the order at another controller.
const ackDeliveryTime = 700 * time.Millisecond

// arrivedOrder is an order without a version. All copies of such an order look the same, and the same as the next order
// like it. So it must be based on a state that was read while its caller was waiting for the answer: whatever was ordered
// after the caller has turned to another controller changes that state, and the order gives way to it.
type arrivedOrder struct {
	arrivedAfter time.Time // nothing of the order arrived before, by the monotonic clock; zero if not known
	receivedAt   time.Time // the same time by the controller's clock
}

// newArrivedOrder returns the order in a request. Its time runs from its arrival, however long the process was suspended since.
func (s *Server) newArrivedOrder(r *http.Request) arrivedOrder {
	arrivedAfter := tcp.ArrivedAfter(tcp.ConnFrom(r.Context()))
	return arrivedOrder{arrivedAfter: arrivedAfter, receivedAt: s.now().Add(-time.Since(arrivedAfter))}
}

// isAwaited reports whether the caller of the order is certainly waiting for the answer.
func (o arrivedOrder) isAwaited() bool { return time.Since(o.arrivedAfter) < ackDeliveryTime }

// whileAwaited calls read, and returns errAbandonedOrder if the caller of the order may have left until read returns. ctx is
// that of the request, which the server cancels when it reads the end of the connection.
func (s *Server) whileAwaited(ctx context.Context, order arrivedOrder, read func(ctx context.Context) error) error {
	readCtx, cancel := context.WithDeadline(ctx, order.arrivedAfter.Add(ackDeliveryTime))
	defer cancel()
	err := read(readCtx)
	if abandoned := s.requireAwaited(ctx, order); abandoned != nil {
		return abandoned
	}
	return err
}

// requireAwaited returns errAbandonedOrder if the caller of the order may have left. ctx is that of the request.
func (s *Server) requireAwaited(ctx context.Context, order arrivedOrder) error {
	if order.isAwaited() && !errors.Is(ctx.Err(), context.Canceled) {
		return nil
	}
	s.counters.abandonedOrders.Add(1)
	return errAbandonedOrder
}
