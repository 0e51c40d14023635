package server

import (
	"context"
	"net/http"
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
	version, err := s.orderEvacuation(ctx, order, zone, begin)
	if err != nil {
		return err
	}
	if begin {
		s.awaitPropagation(ctx, drain.EvacuationKey(zone))
	}
	writeOK(w)
	if order.isAwaited() && http.NewResponseController(w).Flush() == nil {
		go s.recordAcknowledged(zone, version)
	}
	return nil
}

// orderEvacuation commits an evacuation order, or its withdrawal if begin is not set, and returns the resulting version of
// the zone's register. Orders are counted, but repeating an order that has not been acknowledged has no effect.
//
// The order is based on the zone's registers as they are read while its caller waits for the answer. Later attempts keep
// this base: by then, another controller may have acknowledged a copy of the order and a later one.
func (s *Server) orderEvacuation(
	ctx context.Context, order arrivedOrder, zone string, begin bool,
) (version uint64, err error) {
	var base drain.EvacuationBase
	err = s.whileAwaited(ctx, order, func(ctx context.Context) error {
		base, err = s.readEvacuationBase(ctx, zone)
		return err
	})
	if err != nil {
		return 0, err
	}
	return s.operations.runSeparately(ctx, 0, func(ctx context.Context) (version uint64, err error) {
		err = s.newRetryPolicy(callTimeout).run(ctx, func(ctx context.Context) error {
			version, err = s.proposeEvacuation(ctx, zone, begin, base, order.receivedAt)
			return err
		})
		return version, err
	})
}

// readEvacuationBase reads the base of an order on a zone.
func (s *Server) readEvacuationBase(ctx context.Context, zone string) (drain.EvacuationBase, error) {
	key, acknowledgedKey := drain.EvacuationKey(zone), drain.AcknowledgedKey(zone)
	values, err := s.readKeys(ctx, []string{key, acknowledgedKey})
	if err != nil {
		return drain.EvacuationBase{}, err
	}
	return drain.EvacuationBase{
		Version:      values[key].Version,
		Acknowledged: drain.ReadAcknowledged(values[acknowledgedKey]),
	}, nil
}

// proposeEvacuation makes one attempt to commit an order with a base. It returns errOvertakenOrder if another order was
// committed in between.
func (s *Server) proposeEvacuation(
	ctx context.Context, zone string, begin bool, base drain.EvacuationBase, received time.Time,
) (version uint64, err error) {
	key := drain.EvacuationKey(zone)
	change := drain.SetEvacuationFrom(base, begin, received, s.resendWindow())
	chosen, err := s.propose(ctx, map[string]quorum.UpdateFunc{key: change})
	if err != nil {
		return 0, err
	}
	if drain.EvacuationOvertaken(base, begin, chosen[key]) {
		return 0, errOvertakenOrder
	}
	return chosen[key].Version, nil
}

// recordAcknowledged records that the order that produced a version of a zone's register was acknowledged in time. From
// then on the same order counts as a new one. If the record fails, the same order still counts as a repetition.
func (s *Server) recordAcknowledged(zone string, version uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), peerCallTimeout)
	defer cancel()
	changes := map[string]quorum.UpdateFunc{drain.AcknowledgedKey(zone): drain.Acknowledge(version)}
	_, _ = s.propose(ctx, changes) // a failure is harmless: the order still counts as a repetition
}
