package server

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

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
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
	defer cancel()
	if err := s.beginRelease(ctx, s.newArrivedOrder(r), order, duration); err != nil {
		return err
	}
	writeOK(w)
	return nil
}

// beginRelease starts a release on the basis of the register that it reads while the caller waits. It gives way to orders
// that were carried out since.
func (s *Server) beginRelease(
	ctx context.Context, arrived arrivedOrder, order *release.StartRequest, duration time.Duration,
) error {
	key := release.RegisterKey(order.Service)
	var base uint64
	err := s.whileAwaited(ctx, arrived, func(ctx context.Context) error {
		values, err := s.readKeys(ctx, []string{key})
		base = values[key].Version
		return err
	})
	if err != nil {
		return err
	}
	_, err = s.operations.runSeparately(ctx, len(order.Service)+len(order.Target), func(ctx context.Context) (uint64, error) {
		return s.proposeRelease(ctx, arrived, order, duration, base)
	})
	return err
}

// proposeRelease proposes a release that is based on a version of the service's register. It returns errOvertakenOrder if
// another order was carried out since.
func (s *Server) proposeRelease(
	ctx context.Context, arrived arrivedOrder, order *release.StartRequest, duration time.Duration, base uint64,
) (version uint64, err error) {
	key := release.RegisterKey(order.Service)
	receivedAt, window := arrived.receivedAt, s.resendWindow()
	change := release.StartFrom(base, order.Target, duration, receivedAt, window)
	chosen, err := s.propose(ctx, map[string]quorum.UpdateFunc{key: change})
	if err != nil {
		return 0, err
	}
	if release.Overtaken(base, order.Target, duration, receivedAt, window, chosen[key]) {
		return 0, errOvertakenOrder
	}
	return chosen[key].Version, nil
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
