package server

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"sagelever/internal/control/drain"
	"sagelever/internal/control/quorum"
	"sagelever/internal/delivery"
	"sagelever/internal/tcp"
)

const (
	// recordTimeout bounds the time in which it is decided and recorded whether an answer was received.
	recordTimeout = 5 * time.Second

	// assumeAfter is how long a receipt may be pending until this controller assumes that the one which sent the answer has
	// failed. It is longer than an observation and its record take.
	assumeAfter = 3500 * time.Millisecond

	// assumeSpread spreads these assumptions over the controllers, so that the first makes the others unnecessary.
	assumeSpread = 500 * time.Millisecond

	// assumeInterval is the interval at which a controller looks for unknown receipts.
	assumeInterval = 250 * time.Millisecond
)

// observeReceipt records, in the background, whether the caller of an order has received the answer, as far as its
// connection shows. It must be called when the answer is complete.
func (s *Server) observeReceipt(ctx context.Context, order arrivedOrder, answered answeredEvacuation) {
	observed := tcp.ObservePeer(tcp.ConnFrom(ctx), order.arrivedAfter.Add(delivery.ObservationTime))
	if observed == nil {
		return // the other controllers' assumption has to do
	}
	go func() { s.recordReceipt(order, answered, <-observed) }()
}

// recordReceipt records what an observation shows.
func (s *Server) recordReceipt(order arrivedOrder, answered answeredEvacuation, seen delivery.Observation) {
	verdict := delivery.Judge(order.arrivedAfter, seen)
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	received := verdict == delivery.Received
	if verdict == delivery.ReceivedUnlessRepeated {
		earlierCopies := drain.EarlierCopies(answered.chosen, answered.arrivalID)
		repeatTime := delivery.RepeatTime(order.arrivedAfter, seen, answered.commitTime, earlierCopies)
		wait(ctx, time.Until(seen.At.Add(repeatTime)))
		received = !s.repeatedSince(ctx, answered)
	}
	s.log.Info("answer observed",
		zap.String("zone", answered.zone),
		zap.String("arrival", answered.arrivalID),
		zap.Stringer("peer", seen.Action),
		zap.Duration("commitTime", answered.commitTime),
		zap.Duration("sinceArrival", seen.At.Sub(order.arrivedAfter)),
		zap.Bool("unconfirmed", seen.Unconfirmed),
		zap.Stringer("verdict", verdict),
		zap.Bool("received", received))
	s.changeReceipts(ctx, answered.zone, drain.RecordReceipt(answered.arrivalID, received))
}

// repeatedSince reports whether a copy of an order has arrived at any controller since it was answered. It returns true if
// this can't be determined.
func (s *Server) repeatedSince(ctx context.Context, answered answeredEvacuation) (repeated bool) {
	key := drain.EvacuationKey(answered.zone)
	repeated = true
	_ = s.newRetryPolicy(callTimeout).run(ctx, func(ctx context.Context) error {
		values, err := s.readKeys(ctx, []string{key})
		if err == nil {
			repeated = drain.RepeatedSince(answered.chosen, values[key], answered.arrivalID)
		}
		return err
	})
	return repeated
}

// changeReceipts changes what a zone's register says of answers. A failure is harmless: other controllers assume what is not
// on record.
func (s *Server) changeReceipts(ctx context.Context, zone string, change quorum.UpdateFunc) {
	key := drain.EvacuationKey(zone)
	var chosen map[string]quorum.Value
	err := s.newRetryPolicy(callTimeout).run(ctx, func(ctx context.Context) (err error) {
		chosen, err = s.propose(ctx, map[string]quorum.UpdateFunc{key: change})
		return err
	})
	if err != nil {
		s.log.Info("receipt not recorded", zap.String("zone", zone), zap.Error(err))
		return
	}
	if drain.LastOrderReceived(chosen[key]) {
		s.recordAcknowledged(ctx, zone, chosen[key].Version)
	}
}

// recordAcknowledged records, for builds without order logs, that the answer to the order that produced a version of a
// zone's register was received.
func (s *Server) recordAcknowledged(ctx context.Context, zone string, version uint64) {
	changes := map[string]quorum.UpdateFunc{drain.AcknowledgedKey(zone): drain.Acknowledge(version)}
	_, _ = s.propose(ctx, changes) // after a failure, such a build takes the next order for a repetition for some time
}

// unknownReceipts records since when this controller has seen the receipts of arrivals pending.
type unknownReceipts struct {
	annotations map[string]string               // of the zones' registers when they were last checked
	since       map[string]map[string]time.Time // by zone and arrival
}

// overdue returns the arrivals in a zone's register that have been unknown for longer than a time.
func (u *unknownReceipts) overdue(zone string, value quorum.Value, now time.Time, after time.Duration) (ids []string) {
	if value.Annotation == u.annotations[zone] && len(u.since[zone]) == 0 {
		return nil
	}
	u.annotations[zone] = value.Annotation
	known := u.since[zone]
	current := map[string]time.Time{}
	for _, id := range drain.UnknownReceipts(value) {
		firstSeen, seen := known[id]
		if !seen {
			firstSeen = now
		}
		current[id] = firstSeen
		if now.Sub(firstSeen) >= after {
			ids = append(ids, id)
		}
	}
	u.since[zone] = current
	return ids
}

// assumeReceipts decides about answers that were sent by controllers which have recorded nothing of them, until ctx ends.
func (s *Server) assumeReceipts(ctx context.Context) {
	unknown := unknownReceipts{annotations: map[string]string{}, since: map[string]map[string]time.Time{}}
	after := assumeAfter + rand.N(assumeSpread)
	for wait(ctx, assumeInterval) {
		for zone := range s.settings.Zones {
			key := drain.EvacuationKey(zone)
			overdue := unknown.overdue(zone, s.localValues([]string{key})[key], time.Now(), after)
			if len(overdue) == 0 || s.requireQuorum() != nil {
				continue
			}
			s.log.Info("receipts assumed", zap.String("zone", zone), zap.Strings("arrivals", overdue))
			recordCtx, cancel := context.WithTimeout(ctx, recordTimeout)
			s.changeReceipts(recordCtx, zone, drain.AssumeReceipts(overdue))
			cancel()
		}
	}
}

// wait waits for a time. It returns false if ctx ends first.
func wait(ctx context.Context, duration time.Duration) bool {
	select {
	case <-time.After(duration):
		return true
	case <-ctx.Done():
		return false
	}
}
