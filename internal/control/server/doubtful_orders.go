package server

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"sagelever/internal/control/drain"
	"sagelever/internal/control/quorum"
)

const (
	// decisionTimeout bounds the time in which a decision about evacuation orders is recorded.
	decisionTimeout = 5 * time.Second

	// decisionInterval is the interval at which a controller looks for evacuation orders in doubt.
	decisionInterval = 250 * time.Millisecond

	// decisionSpread spreads the decisions over the controllers, so that the first makes the others unnecessary.
	decisionSpread = 500 * time.Millisecond
)

// doubtfulOrders records since when this controller has seen that orders on zones are in doubt.
type doubtfulOrders struct {
	delay       time.Duration                   // of decisions
	annotations map[string]string               // of the zones' registers when they were last checked
	since       map[string]map[string]time.Time // by zone and order
}

// overdue returns the orders in a zone's register that are to be decided now.
func (d *doubtfulOrders) overdue(zone, annotation string, now time.Time, inDoubt []drain.DoubtfulOrder) (ids []string) {
	known, current := d.since[zone], map[string]time.Time{}
	for _, order := range inDoubt {
		firstSeen, seen := known[order.ID]
		if !seen {
			firstSeen = now
		}
		current[order.ID] = firstSeen
		if now.Sub(firstSeen) >= order.Wait+d.delay {
			ids = append(ids, order.ID)
		}
	}
	d.annotations[zone], d.since[zone] = annotation, current
	return ids
}

// isSettled reports whether nothing in a zone's register has been in doubt or has changed since the last check.
func (d *doubtfulOrders) isSettled(zone, annotation string) bool {
	return annotation == d.annotations[zone] && len(d.since[zone]) == 0
}

// decideDoubtfulOrders decides about evacuation orders in doubt, until ctx ends. All controllers do so, as the one that
// received an order may have failed; the decisions are the same.
func (s *Server) decideDoubtfulOrders(ctx context.Context) {
	doubtful := doubtfulOrders{
		delay:       rand.N(decisionSpread),
		annotations: map[string]string{},
		since:       map[string]map[string]time.Time{},
	}
	ticker := time.NewTicker(decisionInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		for zone := range s.settings.Zones {
			s.decideDoubtfulOrdersOf(ctx, zone, &doubtful)
		}
	}
}

// decideDoubtfulOrdersOf decides about the orders on one zone.
func (s *Server) decideDoubtfulOrdersOf(ctx context.Context, zone string, doubtful *doubtfulOrders) {
	key := drain.EvacuationKey(zone)
	value := s.localValues([]string{key})[key]
	if doubtful.isSettled(zone, value.Annotation) {
		return
	}
	inDoubt := drain.DoubtfulOrders(value, s.resendWindow())
	overdue := doubtful.overdue(zone, value.Annotation, time.Now(), inDoubt)
	if len(overdue) == 0 || s.requireQuorum() != nil {
		return
	}
	s.log.Info("evacuation orders decided", zap.String("zone", zone), zap.Strings("orders", overdue))
	ctx, cancel := context.WithTimeout(ctx, decisionTimeout)
	defer cancel()
	err := s.newRetryPolicy(callTimeout).run(ctx, func(ctx context.Context) error {
		_, err := s.propose(ctx, map[string]quorum.UpdateFunc{key: drain.DecideDoubt(overdue)})
		return err
	})
	if err != nil {
		s.log.Info("evacuation orders not decided", zap.String("zone", zone), zap.Error(err)) // the next check tries again
	}
}
