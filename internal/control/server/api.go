package server

import (
	"bytes"
	"net/http"
	"strings"
	"time"

	"github.com/gorilla/mux"
)

// apiHandler is the tree of matchers for the calls of appliances and the operator.
func (s *Server) apiHandler() http.Handler {
	router := mux.NewRouter()
	router.UseEncodedPath()
	rpc := router.Path("/api/rpc").Methods(http.MethodPost).Subrouter()
	handle := func(call string, handler func(http.ResponseWriter, *http.Request)) {
		rpc.NewRoute().Queries("call", call).HandlerFunc(handler)
	}
	handle("servers.pulse", s.handleHeartbeat)
	handle("servers.sign_off", s.handleSignOff)
	handle("settings.change", s.handleSettingsChange)
	handle("settings.read", s.handleSettingsRead)
	handle("releases.begin", s.handleReleaseBegin)
	handle("releases.read", s.handleReleaseRead)
	handle("clear_out.begin", s.clearOutHandler(true))
	handle("clear_out.finish", s.clearOutHandler(false))
	handle("drains.begin", s.handleDrainBegin)
	handle("drains.end", s.handleDrainEnd)
	handle("drains.read", s.handleDrainsRead)
	return router
}

// lookupHandler answers clients that look for an agent.
func (s *Server) lookupHandler() http.Handler {
	r := mux.NewRouter()
	r.Path("/api/lookup").Methods(http.MethodGet).HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.counters.lookups.Add(1)
		query := r.URL.Query()
		s.mu.Lock()
		addresses := s.replica.ListenerAddrs(s.now(), query.Get("zone"), query.Get("region"), maxLookupAddresses)
		s.mu.Unlock()
		if len(addresses) == 0 {
			writeUnavailable(w, "no agent is ready")
			return
		}
		var response bytes.Buffer
		response.WriteString(`{"addresses":["`)
		response.WriteString(strings.Join(addresses, `","`))
		response.WriteString(`"],"valid":"`)
		response.WriteString(min(lookupTTL, max(s.settings.RuleLimits.MaxTTL, time.Second)).String())
		response.WriteString(`"}`)
		writeJSON(w, response.Bytes())
	})
	return r
}

const (
	lookupTTL          = 3 * time.Second // how long clients keep an answer: as long as a lost agent stays in some
	maxLookupAddresses = 64              // addresses in an answer
)
