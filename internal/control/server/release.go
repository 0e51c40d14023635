package server

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/mailru/easyjson"

	"sagelever/internal/control/quorum"
	"sagelever/internal/control/release"
	"sagelever/internal/settings"
)

// handleReleaseBegin takes an order to bring in a version. The same order again is acknowledged again, and begins nothing.
func (s *Server) handleReleaseBegin(w http.ResponseWriter, r *http.Request) {
	data, ok := readBody(w, r, maxHeartbeatBytes)
	if !ok {
		return
	}
	order := &release.StartRequest{}
	if err := easyjson.Unmarshal(data, order); err != nil {
		writeInvalid(w, err)
		return
	}
	duration, err := settings.ParseDuration(order.Duration)
	if err != nil || duration == 0 || order.Service == "" || order.Target == "" {
		writeError(w, invalidRequest("service, target, over: want a service, a version and a time"))
		return
	}
	if !s.requireQuorum(w) {
		return
	}
	now := s.now() // of the order's coming: the term of a resend counts from there, however long the rounds take
	change := release.StartOnce(order.Target, duration, now, s.resendWindow())
	key := "releases.begin " + order.Service + "\x00" + order.Target + "\x00" + duration.String()
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
	defer cancel()
	_, err = s.operations.join(ctx, key, len(data), func(ctx context.Context) (uint64, error) {
		_, err := s.propose(ctx, map[string]quorum.UpdateFunc{release.RegisterKey(order.Service): change})
		return 0, err
	})
	writeResult(w, err)
}

// handleReleaseRead tells a release's phase. What is told has been chosen, so that no one is ever told otherwise.
func (s *Server) handleReleaseRead(w http.ResponseWriter, r *http.Request) {
	service, ok := targetParam(w, r)
	if !ok || !s.requireQuorum(w) {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
	defer cancel()
	key := release.RegisterKey(service)
	values, err := s.readPrefix(ctx, key)
	if err != nil {
		writeError(w, err)
		return
	}
	current, ok := release.Read(values[key])
	if !ok {
		writeError(w, &notFoundError{"there is no release of this service"})
		return
	}
	response, _ := json.Marshal(map[string]string{"phase": current.Phase, "target": current.Target})
	writeJSON(w, response)
}
