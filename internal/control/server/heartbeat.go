package server

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"sagelever/internal/control/message"
	"sagelever/internal/control/replication"
)

// handleHeartbeat takes an appliance's word of itself.
func (s *Server) handleHeartbeat(w http.ResponseWriter, r *http.Request) {
	id, ok := targetParam(w, r)
	if !ok {
		return
	}
	data, ok := readBody(w, r, maxHeartbeatBytes)
	if !ok {
		return
	}
	heartbeat, err := replication.ParseHeartbeat(data)
	if err != nil {
		writeInvalid(w, err)
		return
	}
	if !s.requireQuorum(w) {
		return
	}
	s.counters.heartbeats.Add(1)
	var nearest message.Member
	s.step(func(now time.Time) { nearest = s.replica.RecordHeartbeat(now, id, heartbeat) })
	if heartbeat.Phase == replication.PhaseDraining {
		ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
		defer cancel()
		if !s.awaitReplication(ctx, replication.BackendKey+id) {
			writeUnavailable(w, "too few other agents hold this yet")
			return
		}
	}
	response := []byte("{}")
	if next := s.controlAddress(nearest); next != "" {
		response, _ = json.Marshal(map[string]string{"nextBeatTo": next})
	}
	writeJSON(w, response)
}

// controlAddress is where a member takes the calls of appliances: all machines of a system have the same ports.
func (s *Server) controlAddress(member message.Member) string {
	_, port, err := net.SplitHostPort(s.settings.ListenAddresses["control"])
	host, _, memberErr := net.SplitHostPort(member.Addr)
	if err != nil || memberErr != nil {
		return ""
	}
	return net.JoinHostPort(host, port)
}

func (s *Server) handleSignOff(w http.ResponseWriter, r *http.Request) {
	id, ok := targetParam(w, r)
	if !ok || !s.requireQuorum(w) {
		return
	}
	key := replication.BackendKey + id
	s.step(func(now time.Time) { s.replica.DeregisterBackend(now, id) })
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
	defer cancel()
	if !s.awaitReplication(ctx, key) {
		writeUnavailable(w, "too few other agents hold this yet")
	}
}
