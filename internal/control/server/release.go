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

// releaseStatus is the response to calls.ReleaseRead.
type releaseStatus struct {
	Phase  release.Phase `json:"phase"`
	Target string        `json:"target"` // the version to be released
}

// handleReleaseBegin starts the release of a version of a service. A repetition of the order within the resend window
// is acknowledged and has no effect.
func (s *Server) handleReleaseBegin(w http.ResponseWriter, r *http.Request) error {
	data, err := readBody(w, r, maxBodyBytes)
	if err != nil {
		return err
	}
	order := &release.StartRequest{}
	if err := easyjson.Unmarshal(data, order); err != nil {
		return invalidRequest(err)
	}
	duration, err := settings.ParseDuration(order.Duration)
	if err != nil || duration == 0 || order.Service == "" || order.Target == "" {
		return invalidParam("service, target, over: want a service, a version and a time")
	}
	if err := s.requireQuorum(); err != nil {
		return err
	}
	received := s.now() // the resend window starts on arrival, however long the proposal takes
	change := release.StartOnce(order.Target, duration, received, s.resendWindow())
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
	defer cancel()
	key := release.RegisterKey(order.Service)
	_, err = s.operations.runSeparately(ctx, len(data), func(ctx context.Context) (uint64, error) {
		chosen, err := s.propose(ctx, map[string]quorum.UpdateFunc{key: change})
		return chosen[key].Version, err
	})
	if err != nil {
		return err
	}
	writeOK(w)
	return nil
}

// handleReleaseRead responds with the phase of a service's release. The reported phase has been chosen by a quorum, so
// no later response contradicts it.
func (s *Server) handleReleaseRead(w http.ResponseWriter, r *http.Request) error {
	service, err := readTarget(r)
	if err != nil {
		return err
	}
	if err := s.requireQuorum(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
	defer cancel()
	key := release.RegisterKey(service)
	values, err := s.readPrefix(ctx, key)
	if err != nil {
		return err
	}
	current, ok := release.Read(values[key])
	if !ok {
		return &notFoundError{"there is no release of this service"}
	}
	response, err := json.Marshal(releaseStatus{Phase: current.Phase, Target: current.Target})
	if err != nil {
		return &encodingError{err}
	}
	writeJSON(w, http.StatusOK, response)
	return nil
}
