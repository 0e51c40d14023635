package steward

import (
	"context"
	"net/http"
	"time"

	"sagelever/internal/control/quorum"
	"sagelever/plan"
)

// surely is the time within which an answer that is given has reached its caller before the caller goes on to ask another
// agent, after a second.
const surely = 700 * time.Millisecond

// resendTerm is for how long an order that has no version may be the same one again.
func (s *Steward) resendTerm() time.Duration { return plan.ResendTerm(s.settings.Bounds.Confirm) }

// clear begins or ends the clearing out of a zone.
func (s *Steward) clear(on bool) func(http.ResponseWriter, *http.Request) {
	name := map[bool]string{true: "clear_out.begin ", false: "clear_out.finish "}[on]
	return func(w http.ResponseWriter, r *http.Request) {
		zone, ok := of(w, r)
		if !ok {
			return
		}
		if _, known := s.settings.Zones[zone]; !known {
			fail(w, &notFound{"of: there is no such zone"})
			return
		}
		if !s.able(w) {
			return
		}
		begun := s.now()
		ctx, cancel := context.WithTimeout(r.Context(), callTime)
		defer cancel()
		version, err := s.orders.join(ctx, name+zone, 0, func(ctx context.Context) (uint64, error) {
			return s.clearZone(ctx, zone, on)
		})
		if err != nil {
			fail(w, err)
			return
		}
		if on {
			s.stopTogether(ctx, plan.ClearedKey(zone))
		}
		done(w)
		if s.now().Sub(begun) < surely && http.NewResponseController(w).Flush() == nil {
			go s.heard(zone, version)
		}
	}
}

// clearZone has a word on a zone decided and tells the version of the zone's register that stands with it.
func (s *Steward) clearZone(ctx context.Context, zone string, on bool) (version uint64, err error) {
	now := s.now()
	err = insist(ctx, callTime, func(ctx context.Context) error {
		known, err := s.read(ctx, plan.HeardKey(zone))
		if err != nil {
			return err
		}
		key := plan.ClearedKey(zone)
		heard := plan.ReadHeard(known[plan.HeardKey(zone)])
		chosen, err := s.decide(ctx, map[string]quorum.Change{key: plan.ClearOnce(on, heard, now, s.resendTerm())})
		version = chosen[key].Version
		return err
	})
	return version, err
}

// heard notes that the word which brought a version of a zone's register has had its answer. Where that fails, the same word
// counts as sent again, which is what holds before it.
func (s *Steward) heard(zone string, version uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), slowest)
	defer cancel()
	_, _ = s.decide(ctx, map[string]quorum.Change{plan.HeardKey(zone): plan.Heard(version)})
}
