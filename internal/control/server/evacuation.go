package server

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"sagelever/internal/control/drain"
	"sagelever/internal/control/quorum"
)

// handleEvacuationBegin orders the evacuation of a zone: no backend there gets traffic.
func (s *Server) handleEvacuationBegin(w http.ResponseWriter, r *http.Request) error {
	return s.changeEvacuation(w, r, true)
}

// handleEvacuationEnd withdraws one evacuation order. The zone returns to service once all its orders have been
// withdrawn.
func (s *Server) handleEvacuationEnd(w http.ResponseWriter, r *http.Request) error {
	return s.changeEvacuation(w, r, false)
}

// changeEvacuation orders the evacuation of a zone, or withdraws one order if begin is not set. An order without an identity
// changes nothing: its caller is told to send it again with one, and shows by doing so that it receives answers.
func (s *Server) changeEvacuation(w http.ResponseWriter, r *http.Request, begin bool) error {
	orders, identity, identified, err := s.readZoneOrder(r, begin)
	if err != nil {
		return err
	}
	if err := s.requireQuorum(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
	defer cancel()
	arrived := s.newArrivedOrder(r)
	if identified {
		err = s.requireAwaited(ctx, arrived)
	} else {
		identity, err = s.newOrderIdentity(ctx, arrived, orders.zone)
	}
	if err != nil {
		return err
	}
	order := s.newEvacuationOrder(arrived, orders, identity)
	if previous, known := s.orderOffers.accept(identity.ID); known {
		order.Previous = previous
	}
	if !identified {
		if s.orderOffers.offer(time.Now(), orders, order) {
			s.redirectOrder(w, r, identity)
			time.AfterFunc(followTimeout(order), func() { s.noteUnanswered(orders.zone, order) })
			return nil
		}
		order.Controller = "" // the caller does not follow redirects
	}
	if err := s.orderEvacuation(ctx, orders.zone, order); err != nil {
		return err
	}
	if begin {
		s.awaitPropagation(ctx, drain.EvacuationKey(orders.zone))
	}
	writeOK(w)
	return nil
}

// readZoneOrder reads an order on a zone. identified is set if it carries an identity.
func (s *Server) readZoneOrder(
	r *http.Request, begin bool,
) (orders zoneOrders, identity drain.OrderIdentity, identified bool, err error) {
	zone, err := readTarget(r)
	if err != nil {
		return zoneOrders{}, drain.OrderIdentity{}, false, err
	}
	if _, known := s.settings.Zones[zone]; !known {
		return zoneOrders{}, drain.OrderIdentity{}, false, &notFoundError{"of: there is no such zone"}
	}
	identity, identified, err = readOrderIdentity(r)
	return zoneOrders{zone: zone, withdrawal: !begin}, identity, identified, err
}

// newOrderIdentity returns an identity for an order on a zone that carries none. It is based on the zone's register as it is
// read while the caller waits for the answer.
func (s *Server) newOrderIdentity(ctx context.Context, arrived arrivedOrder, zone string) (identity drain.OrderIdentity, err error) {
	key, acknowledgedKey := drain.EvacuationKey(zone), drain.AcknowledgedKey(zone)
	err = s.whileAwaited(ctx, arrived, func(ctx context.Context) error {
		values, err := s.readKeys(ctx, []string{key, acknowledgedKey})
		if err != nil {
			return err
		}
		identity = drain.OrderIdentity{
			ID:   strconv.FormatUint(rand.Uint64(), 36),
			Base: drain.OrderSequence(values[key], drain.ReadAcknowledged(values[acknowledgedKey])),
		}
		return nil
	})
	return identity, err
}

// newEvacuationOrder returns an order with an identity.
func (s *Server) newEvacuationOrder(
	arrived arrivedOrder, orders zoneOrders, identity drain.OrderIdentity,
) drain.EvacuationOrder {
	acknowledgedKey := drain.AcknowledgedKey(orders.zone)
	previous, roundTripTime := s.lastKnownOrder(orders)
	return drain.EvacuationOrder{
		OrderIdentity: identity,
		Withdrawal:    orders.withdrawal,
		ReceivedAt:    arrived.receivedAt,
		Controller:    s.settings.Node,
		Window:        s.resendWindow(),
		Previous:      previous,
		RoundTripTime: roundTripTime,
		Acknowledged:  drain.ReadAcknowledged(s.localValues([]string{acknowledgedKey})[acknowledgedKey]),
	}
}

// lastKnownOrder returns the last order of a kind on a zone that this controller has seen, and the time of a trip to the most
// distant member.
func (s *Server) lastKnownOrder(orders zoneOrders) (last drain.KnownOrder, roundTripTime time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.knownOrders.last(time.Now(), orders), s.replica.RoundTripTime()
}

// orderEvacuation commits an order on a zone. It returns errOvertakenOrder if another order was committed since the order got
// its identity.
func (s *Server) orderEvacuation(ctx context.Context, zone string, order drain.EvacuationOrder) error {
	s.log.Info("evacuation order",
		zap.String("zone", zone),
		zap.Bool("withdrawal", order.Withdrawal),
		zap.Stringer("order", order.OrderIdentity),
		zap.String("controller", order.Controller),
		zap.String("previous", order.Previous.ID),
		zap.Duration("sincePrevious", order.Previous.Age))
	key := drain.EvacuationKey(zone)
	changes := map[string]quorum.UpdateFunc{key: drain.SetEvacuation(order)}
	_, err := s.operations.runSeparately(ctx, 0, func(ctx context.Context) (version uint64, err error) {
		err = s.newRetryPolicy(callTimeout).run(ctx, func(ctx context.Context) error {
			chosen, err := s.propose(ctx, changes)
			if err == nil && drain.EvacuationOvertaken(order, chosen[key]) {
				err = errOvertakenOrder
			}
			return err
		})
		return 0, err
	})
	return err
}

// noteUnanswered notes an order whose caller has not come back with the identity that it was given, if it may repeat an earlier
// order. A failure is harmless, unless that order was answered in vain as well.
func (s *Server) noteUnanswered(zone string, order drain.EvacuationOrder) {
	key := drain.EvacuationKey(zone)
	note := drain.NoteUnanswered(order)
	current := s.localValues([]string{key})[key]
	if !s.orderOffers.isOpen(order.ID) || note(current) == current {
		return
	}
	s.log.Info("redirect not followed", zap.String("zone", zone), zap.Stringer("order", order.OrderIdentity))
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	_, err := s.propose(ctx, map[string]quorum.UpdateFunc{key: note})
	if err != nil {
		s.log.Info("unanswered order not noted", zap.String("zone", zone), zap.Error(err))
	}
}
