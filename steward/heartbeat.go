package steward

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"sagelever/internal/control/replica"
	"sagelever/lore"
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
	heartbeat, err := lore.ParseHeartbeat(data)
	if err != nil {
		writeInvalid(w, err)
		return
	}
	if !s.requireQuorum(w) {
		return
	}
	s.counters.heartbeats.Add(1)
	var nearest replica.Member
	s.step(func(now time.Time) { nearest = s.replica.RecordHeartbeat(now, id, heartbeat) })
	if heartbeat.Phase == lore.PhaseDraining {
		ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
		defer cancel()
		if !s.awaitReplication(ctx, lore.BackendKey+id) {
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
func (s *Server) controlAddress(member replica.Member) string {
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
	key := lore.BackendKey + id
	s.step(func(now time.Time) { s.replica.DeregisterBackend(now, id) })
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
	defer cancel()
	if !s.awaitReplication(ctx, key) {
		writeUnavailable(w, "too few other agents hold this yet")
	}
}
