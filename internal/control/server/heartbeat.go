package server

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"sagelever/internal/control/message"
	"sagelever/internal/control/replication"
)

// heartbeatResponse asks a backend to send its next heartbeat to another controller.
type heartbeatResponse struct {
	NextAddress string `json:"nextBeatTo"` // the control address of the controller nearest to the backend
}

// handleHeartbeat records a backend's heartbeat. A heartbeat of a draining backend is acknowledged only once enough
// members hold that state: after the acknowledgement the backend may rely on receiving no new requests from proxies.
func (s *Server) handleHeartbeat(w http.ResponseWriter, r *http.Request) error {
	id, err := readTarget(r)
	if err != nil {
		return err
	}
	data, err := readBody(w, r, maxBodyBytes)
	if err != nil {
		return err
	}
	heartbeat, err := replication.ParseHeartbeat(data)
	if err != nil {
		return invalidRequest(err)
	}
	if err := s.requireQuorum(); err != nil {
		return err
	}
	s.counters.heartbeats.Add(1)
	var nearest message.Member
	s.step(func(now time.Time) { nearest = s.replica.RecordHeartbeat(now, id, heartbeat) })
	if heartbeat.Phase == replication.PhaseDraining {
		if err := s.awaitBackend(r.Context(), id); err != nil {
			return err
		}
	}
	address := s.controlAddress(nearest)
	if address == "" {
		writeOK(w)
		return nil
	}
	response, err := json.Marshal(heartbeatResponse{NextAddress: address})
	if err != nil {
		return &encodingError{err}
	}
	writeJSON(w, http.StatusOK, response)
	return nil
}

// handleSignOff removes a backend that shuts down. The request is acknowledged, with an empty body, once enough members
// hold the removal.
func (s *Server) handleSignOff(_ http.ResponseWriter, r *http.Request) error {
	id, err := readTarget(r)
	if err != nil {
		return err
	}
	if err := s.requireQuorum(); err != nil {
		return err
	}
	s.step(func(now time.Time) { s.replica.DeregisterBackend(now, id) })
	return s.awaitBackend(r.Context(), id)
}

// awaitBackend waits until the state of a backend is replicated to enough members to be acknowledged.
func (s *Server) awaitBackend(ctx context.Context, id string) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return s.awaitReplication(ctx, replication.BackendKeyPrefix+id)
}
