package steward

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/mailru/easyjson"

	"sagelever/boot"
	"sagelever/internal/control/quorum"
	"sagelever/plan"
)

// beginRelease takes an order to bring in a version. The same order again is acknowledged again, and begins nothing.
func (s *Steward) beginRelease(w http.ResponseWriter, r *http.Request) {
	data, ok := body(w, r, longestPulse)
	if !ok {
		return
	}
	o := &plan.Order{}
	if err := easyjson.Unmarshal(data, o); err != nil {
		refuse(w, err)
		return
	}
	over, err := boot.Span(o.Over)
	if err != nil || over == 0 || o.Service == "" || o.Target == "" {
		fail(w, invalid("service, target, over: want a service, a version and a time"))
		return
	}
	if !s.able(w) {
		return
	}
	now := s.now() // of the order's coming: the term of a resend counts from there, however long the rounds take
	change := plan.BeginOnce(o.Target, over, now, s.resendTerm())
	key := "releases.begin " + o.Service + "\x00" + o.Target + "\x00" + over.String()
	ctx, cancel := context.WithTimeout(r.Context(), callTime)
	defer cancel()
	_, err = s.orders.join(ctx, key, len(data), func(ctx context.Context) (uint64, error) {
		_, err := s.decide(ctx, map[string]quorum.Change{plan.ReleaseKey(o.Service): change})
		return 0, err
	})
	end(w, err)
}

// readRelease tells a release's phase. What is told has been chosen, so that no one is ever told otherwise.
func (s *Steward) readRelease(w http.ResponseWriter, r *http.Request) {
	service, ok := of(w, r)
	if !ok || !s.able(w) {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), callTime)
	defer cancel()
	key := plan.ReleaseKey(service)
	held, err := s.read(ctx, key)
	if err != nil {
		fail(w, err)
		return
	}
	rel, ok := plan.ReadRelease(held[key])
	if !ok {
		fail(w, &notFound{"there is no release of this service"})
		return
	}
	text, _ := json.Marshal(map[string]string{"phase": rel.Phase, "target": rel.Target})
	answerJSON(w, text)
}
