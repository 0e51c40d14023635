package server

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

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

// changeEvacuation orders the evacuation of a zone, or withdraws one order if begin is not set.
func (s *Server) changeEvacuation(w http.ResponseWriter, r *http.Request, begin bool) error {
	zone, err := readTarget(r)
	if err != nil {
		return err
	}
	if _, known := s.settings.Zones[zone]; !known {
		return &notFoundError{"of: there is no such zone"}
	}
	if err := s.requireQuorum(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
	defer cancel()
	order := s.newArrivedOrder(r)
	answered, err := s.orderEvacuation(ctx, order, zone, begin)
	if err != nil {
		return err
	}
	if begin {
		s.awaitPropagation(ctx, drain.EvacuationKey(zone))
	}
	writeOK(w)
	s.observeReceipt(r.Context(), order, answered)
	return nil
}

// answeredEvacuation is an order on a zone that was carried out, with the value of the zone's register that was chosen.
type answeredEvacuation struct {
	zone, arrivalID string
	chosen          quorum.Value
	commitTime      time.Duration // since the arrival of the order
}

// orderEvacuation commits an evacuation order, or its withdrawal if begin is not set. Orders are counted, but repeating an
// order whose answer was lost has no effect.
//
// The order is based on the zone's registers as they are read while its caller waits for the answer. Later attempts keep
// this base: by then, another controller may have acknowledged a copy of the order and a later one.
func (s *Server) orderEvacuation(
	ctx context.Context, order arrivedOrder, zone string, begin bool,
) (answered answeredEvacuation, err error) {
	var base evacuationBase
	err = s.whileAwaited(ctx, order, func(ctx context.Context) error {
		base, err = s.readEvacuationBase(ctx, zone)
		return err
	})
	if err != nil {
		return answeredEvacuation{}, err
	}
	var chosen quorum.Value
	_, err = s.operations.runSeparately(ctx, 0, func(ctx context.Context) (version uint64, err error) {
		err = s.newRetryPolicy(callTimeout).run(ctx, func(ctx context.Context) error {
			chosen, err = s.proposeEvacuation(ctx, zone, begin, base, order.receivedAt)
			return err
		})
		return chosen.Version, err
	})
	if err != nil {
		return answeredEvacuation{}, err
	}
	return answeredEvacuation{
		zone:       zone,
		arrivalID:  base.arrivalID,
		chosen:     chosen,
		commitTime: time.Since(order.arrivedAfter),
	}, nil
}

// evacuationBase is the base of an order on a zone, with the ID of the order's arrival here.
type evacuationBase struct {
	drain.EvacuationBase
	arrivalID string
}

// readEvacuationBase reads the base of an order on a zone.
func (s *Server) readEvacuationBase(ctx context.Context, zone string) (evacuationBase, error) {
	key, acknowledgedKey := drain.EvacuationKey(zone), drain.AcknowledgedKey(zone)
	values, err := s.readKeys(ctx, []string{key, acknowledgedKey})
	if err != nil {
		return evacuationBase{}, err
	}
	return evacuationBase{
		EvacuationBase: drain.ReadEvacuationBase(values[key], values[acknowledgedKey]),
		arrivalID:      strconv.FormatUint(rand.Uint64(), 36),
	}, nil
}

// proposeEvacuation makes one attempt to commit an order with a base, and returns the value that was chosen. It returns
// errOvertakenOrder if another order was committed in between.
func (s *Server) proposeEvacuation(
	ctx context.Context, zone string, begin bool, base evacuationBase, received time.Time,
) (quorum.Value, error) {
	key := drain.EvacuationKey(zone)
	change := drain.SetEvacuation(base.EvacuationBase, drain.EvacuationArrival{
		ID:         base.arrivalID,
		Withdrawal: !begin,
		ReceivedAt: received,
		Window:     s.resendWindow(),
	})
	chosen, err := s.propose(ctx, map[string]quorum.UpdateFunc{key: change})
	if err != nil {
		return quorum.Value{}, err
	}
	if drain.EvacuationOvertaken(base.EvacuationBase, !begin, chosen[key]) {
		return quorum.Value{}, errOvertakenOrder
	}
	return chosen[key], nil
}
