package server

import (
	"bytes"
	"net/http"
	"strings"
	"time"

	"github.com/gorilla/mux"
)

const (
	// maxLookupTTL and minLookupTTL bound how long clients may use the result of a lookup, regardless of the settings.
	// For up to that time, clients still use a proxy that has failed.
	maxLookupTTL = 3 * time.Second
	minLookupTTL = time.Second

	// maxLookupAddresses bounds the addresses in a response.
	maxLookupAddresses = 64
)

// lookupHandler returns the handler for clients that look up proxies.
func (s *Server) lookupHandler() http.Handler {
	router := mux.NewRouter()
	router.Path("/api/lookup").Methods(http.MethodGet).Handler(apiFunc(s.handleLookup))
	return router
}

// handleLookup responds with the addresses of proxies, the nearest to the client's zone and region first.
func (s *Server) handleLookup(w http.ResponseWriter, r *http.Request) error {
	s.counters.lookups.Add(1)
	query := r.URL.Query()
	s.mu.Lock()
	addresses := s.replica.ListenerAddrs(s.now(), query.Get("zone"), query.Get("region"), maxLookupAddresses)
	s.mu.Unlock()
	if len(addresses) == 0 {
		return errNoProxies
	}
	writeJSON(w, http.StatusOK, formatLookup(addresses, s.lookupTTL()))
	return nil
}

// lookupTTL returns how long clients may use the result of a lookup.
func (s *Server) lookupTTL() time.Duration {
	return min(maxLookupTTL, max(s.settings.RuleLimits.MaxTTL, minLookupTTL))
}

// formatLookup encodes a response without a JSON encoder, as lookups are frequent. Addresses and durations need no
// escaping.
func formatLookup(addresses []string, ttl time.Duration) []byte {
	var response bytes.Buffer
	response.WriteString(`{"addresses":["`)
	response.WriteString(strings.Join(addresses, `","`))
	response.WriteString(`"],"valid":"`)
	response.WriteString(ttl.String())
	response.WriteString(`"}`)
	return response.Bytes()
}
