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

// pulse takes an appliance's word of itself.
func (s *Steward) pulse(w http.ResponseWriter, r *http.Request) {
	id, ok := of(w, r)
	if !ok {
		return
	}
	data, ok := body(w, r, longestPulse)
	if !ok {
		return
	}
	p, err := lore.ReadPulse(data)
	if err != nil {
		refuse(w, err)
		return
	}
	if !s.able(w) {
		return
	}
	s.counts.pulses.Add(1)
	var near replica.Member
	s.step(func(now time.Time) { near = s.m.Pulse(now, id, p) })
	if p.Phase == lore.Emptying {
		ctx, cancel := context.WithTimeout(r.Context(), callTime)
		defer cancel()
		if !s.spread(ctx, lore.AppKey+id) {
			later(w, "too few other agents hold this yet")
			return
		}
	}
	text := []byte("{}")
	if next := s.control(near); next != "" {
		text, _ = json.Marshal(map[string]string{"nextBeatTo": next})
	}
	answerJSON(w, text)
}

// control is where a member takes the calls of appliances: all machines of a system have the same ports.
func (s *Steward) control(m replica.Member) string {
	_, port, err := net.SplitHostPort(s.settings.Listens["control"])
	host, _, err2 := net.SplitHostPort(m.Addr)
	if err != nil || err2 != nil {
		return ""
	}
	return net.JoinHostPort(host, port)
}

func (s *Steward) signOff(w http.ResponseWriter, r *http.Request) {
	id, ok := of(w, r)
	if !ok || !s.able(w) {
		return
	}
	key := lore.AppKey + id
	s.step(func(now time.Time) { s.m.SignOff(now, id) })
	ctx, cancel := context.WithTimeout(r.Context(), callTime)
	defer cancel()
	if !s.spread(ctx, key) {
		later(w, "too few other agents hold this yet")
	}
}
