package steward

import (
	"bytes"
	"net/http"
	"strings"
	"time"

	"github.com/gorilla/mux"
)

// outside is the tree of matchers for the calls of appliances and the operator.
func (s *Steward) outside() http.Handler {
	r := mux.NewRouter()
	r.UseEncodedPath()
	rpc := r.Path("/api/rpc").Methods(http.MethodPost).Subrouter()
	on := func(call string, h func(http.ResponseWriter, *http.Request)) {
		rpc.NewRoute().Queries("call", call).HandlerFunc(h)
	}
	on("servers.pulse", s.pulse)
	on("servers.sign_off", s.signOff)
	on("settings.change", s.change)
	on("settings.read", s.readBack)
	on("releases.begin", s.beginRelease)
	on("releases.read", s.readRelease)
	on("clear_out.begin", s.clear(true))
	on("clear_out.finish", s.clear(false))
	on("drains.begin", s.beginDrain)
	on("drains.end", s.endDrain)
	on("drains.read", s.readDrains)
	return r
}

// directory answers clients that look for an agent.
func (s *Steward) directory() http.Handler {
	r := mux.NewRouter()
	r.Path("/api/lookup").Methods(http.MethodGet).HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.counts.lookups.Add(1)
		q := r.URL.Query()
		s.mu.Lock()
		fronts := s.m.Fronts(s.now(), q.Get("zone"), q.Get("region"), mostTold)
		s.mu.Unlock()
		if len(fronts) == 0 {
			later(w, "no agent is ready")
			return
		}
		var b bytes.Buffer
		b.WriteString(`{"addresses":["`)
		b.WriteString(strings.Join(fronts, `","`))
		b.WriteString(`"],"valid":"`)
		b.WriteString(min(valid, max(s.settings.Bounds.LongestValid, time.Second)).String())
		b.WriteString(`"}`)
		answerJSON(w, b.Bytes())
	})
	return r
}

const (
	valid    = 3 * time.Second // how long clients keep an answer: as long as a lost agent stays in some
	mostTold = 64              // addresses in an answer
)
