package server

import (
	"context"
	"net/http"
	"time"

	"sagelever/internal/control/dedup"
	"sagelever/internal/control/drain"
	"sagelever/internal/control/quorum"
)

// ackDeliveryTime is the time within which an answer that is given has reached its caller before the caller goes on to ask another
// agent, after a second.
const ackDeliveryTime = 700 * time.Millisecond

// resendWindow is for how long an order that has no version may be the same one again.
func (s *Server) resendWindow() time.Duration {
	return dedup.ResendWindow(s.settings.RuleLimits.ConfirmTimeout)
}

// clearOutHandler begins or ends the clearing out of a zone.
func (s *Server) clearOutHandler(begin bool) func(http.ResponseWriter, *http.Request) {
	operation := map[bool]string{true: "clear_out.begin ", false: "clear_out.finish "}[begin]
	return func(w http.ResponseWriter, r *http.Request) {
		zone, ok := targetParam(w, r)
		if !ok {
			return
		}
		if _, known := s.settings.Zones[zone]; !known {
			writeError(w, &notFoundError{"of: there is no such zone"})
			return
		}
		if !s.requireQuorum(w) {
			return
		}
		started := s.now()
		ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
		defer cancel()
		version, err := s.operations.join(ctx, operation+zone, 0, func(ctx context.Context) (uint64, error) {
			return s.proposeClearOut(ctx, zone, begin)
		})
		if err != nil {
			writeError(w, err)
			return
		}
		if begin {
			s.awaitPropagation(ctx, drain.EvacuationKey(zone))
		}
		writeOK(w)
		if s.now().Sub(started) < ackDeliveryTime && http.NewResponseController(w).Flush() == nil {
			go s.recordAcknowledged(zone, version)
		}
	}
}

// proposeClearOut has a word on a zone decided and tells the version of the zone's register that stands with it.
func (s *Server) proposeClearOut(ctx context.Context, zone string, begin bool) (version uint64, err error) {
	now := s.now()
	err = retryWithoutQuorum(ctx, callTimeout, func(ctx context.Context) error {
		values, err := s.readPrefix(ctx, drain.AcknowledgedKey(zone))
		if err != nil {
			return err
		}
		key := drain.EvacuationKey(zone)
		acknowledged := drain.ReadAcknowledged(values[drain.AcknowledgedKey(zone)])
		chosen, err := s.propose(ctx, map[string]quorum.UpdateFunc{key: drain.SetEvacuationOnce(begin, acknowledged, now, s.resendWindow())})
		version = chosen[key].Version
		return err
	})
	return version, err
}

// recordAcknowledged notes that the word which brought a version of a zone's register has had its answer. Where that fails, the same word
// counts as sent again, which is what holds before it.
func (s *Server) recordAcknowledged(zone string, version uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), peerCallTimeout)
	defer cancel()
	_, _ = s.propose(ctx, map[string]quorum.UpdateFunc{drain.AcknowledgedKey(zone): drain.Acknowledge(version)})
}
