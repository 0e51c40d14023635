package steward

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strings"
	"time"

	"github.com/gorilla/mux"
	"github.com/mailru/easyjson"

	"sagelever/boot"
	"sagelever/internal/control/quorum"
	"sagelever/internal/control/replica"
	"sagelever/lore"
	"sagelever/plan"
)

const (
	callTime     = 900 * time.Millisecond // callers give an agent a second
	surely       = 700 * time.Millisecond // an answer given within so long has reached its caller in time
	longestCall  = 16 << 20               // bytes of a configuration
	longestPulse = 64 << 10
	longestID    = 256
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

// of is what a call is about; it answers 400 where there is nothing, or too much.
func of(w http.ResponseWriter, r *http.Request) (string, bool) {
	x := r.URL.Query().Get("of")
	if x == "" || len(x) > longestID {
		http.Error(w, "of: missing or too long", http.StatusBadRequest)
		return "", false
	}
	return x, true
}

func body(w http.ResponseWriter, r *http.Request, most int64) ([]byte, bool) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, most))
	if err != nil {
		status := http.StatusBadRequest
		if _, long := err.(*http.MaxBytesError); long {
			status = http.StatusRequestEntityTooLarge
		}
		http.Error(w, err.Error(), status)
	}
	return data, err == nil
}

func refuse(w http.ResponseWriter, err error) { http.Error(w, err.Error(), http.StatusBadRequest) }

// later says that this agent can't do it now; another may.
func later(w http.ResponseWriter, why string) {
	w.Header().Set("Retry-After", "0.2")
	http.Error(w, why, http.StatusServiceUnavailable)
}

func answerJSON(w http.ResponseWriter, data []byte) { sayJSON(w, http.StatusOK, data) }

func sayJSON(w http.ResponseWriter, status int, data []byte) {
	w.Header()["Date"] = nil
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	w.Write(data)
}

// able answers 503 where this member lacks contact with the core.
func (s *Steward) able(w http.ResponseWriter) bool {
	s.mu.Lock()
	ok := s.m.Sound(s.now())
	s.mu.Unlock()
	if !ok {
		later(w, replica.ErrUnsound.Error())
	}
	return ok
}

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

// change takes a configuration: whole and lasting, or not at all.
func (s *Steward) change(w http.ResponseWriter, r *http.Request) {
	data, ok := body(w, r, longestCall)
	if !ok {
		return
	}
	call, err := plan.ReadCall(data)
	if err != nil {
		refuse(w, err)
		return
	}
	sent, err := call.Values()
	if err != nil {
		refuse(w, err)
		return
	}
	if !s.able(w) {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), callTime+time.Duration(len(sent))*3*time.Millisecond)
	defer cancel()
	held, err := s.read(ctx, plan.ItemKey)
	if err != nil {
		later(w, err.Error())
		return
	}
	if err := plan.Check(held, sent); err != nil {
		refuse(w, err)
		return
	}
	changes := make(map[string]quorum.Change, len(sent))
	for key, v := range sent {
		changes[key] = plan.Apply(v)
	}
	if _, err := s.decide(ctx, changes); err != nil {
		later(w, err.Error())
		return
	}
	answerJSON(w, []byte("{}"))
}

// readBack gives all items that stand, as the last of all that were acknowledged.
func (s *Steward) readBack(w http.ResponseWriter, r *http.Request) {
	if !s.able(w) {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), callTime)
	defer cancel()
	held, err := s.read(ctx, plan.ItemKey)
	if err != nil {
		later(w, err.Error())
		return
	}
	out := plan.Items{Items: []plan.Item{}}
	for key, v := range held {
		if kind, name, ok := plan.SplitKey(key); ok && !v.Gone {
			meta := plan.Meta{Name: name, Version: plan.FormatVersion(v.Version)}
			out.Items = append(out.Items, plan.Item{Type: kind, Metadata: meta, Body: json.RawMessage(v.Body)})
		}
	}
	sort.Slice(out.Items, func(i, j int) bool {
		a, b := out.Items[i], out.Items[j]
		return a.Type < b.Type || a.Type == b.Type && a.Metadata.Name < b.Metadata.Name
	})
	data, err := easyjson.Marshal(out)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	answerJSON(w, data)
}

// clear begins or ends the clearing out of a zone.
func (s *Steward) clear(on bool) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, r *http.Request) {
		zone, ok := of(w, r)
		if !ok {
			return
		}
		if _, known := s.settings.Zones[zone]; !known {
			http.Error(w, "of: there is no such zone", http.StatusNotFound)
			return
		}
		if !s.able(w) {
			return
		}
		begun := s.now()
		ctx, cancel := context.WithTimeout(r.Context(), callTime)
		defer cancel()
		known, err := s.read(ctx, plan.HeardKey(zone))
		if err != nil {
			later(w, err.Error())
			return
		}
		key, heard := plan.ClearedKey(zone), plan.HeardKey(zone)
		now, ok := s.ordered(w, r, map[string]quorum.Change{key: plan.Clear(on, plan.ReadHeard(known[heard]))})
		if !ok {
			return
		}
		if on {
			s.stopTogether(ctx, key)
		}
		answerJSON(w, []byte("{}"))
		if s.now().Sub(begun) < surely && http.NewResponseController(w).Flush() == nil {
			go func() {
				ctx, cancel := context.WithTimeout(context.Background(), slowest)
				defer cancel()
				_, _ = s.decide(ctx, map[string]quorum.Change{heard: plan.Heard(now[key].Version)}) // unknown, the same word counts as sent again
			}()
		}
	}
}

// ordered makes changes lasting; it answers 503 where that can't be done now.
func (s *Steward) ordered(w http.ResponseWriter, r *http.Request, changes map[string]quorum.Change) (map[string]quorum.Value, bool) {
	ctx, cancel := context.WithTimeout(r.Context(), callTime)
	defer cancel()
	values, err := s.decide(ctx, changes)
	if err != nil {
		later(w, err.Error())
	}
	return values, err == nil
}

func (s *Steward) beginRelease(w http.ResponseWriter, r *http.Request) {
	data, ok := body(w, r, longestPulse)
	if !ok {
		return
	}
	o := &plan.Order{}
	if err := easyjson.Unmarshal(data, o); err != nil {
		refuse(w, err)
		return
	}
	over, err := boot.Span(o.Over)
	if err != nil || over == 0 || o.Service == "" || o.Target == "" {
		http.Error(w, "service, target, over: want a service, a version and a time", http.StatusBadRequest)
		return
	}
	if !s.able(w) {
		return
	}
	if _, ok := s.ordered(w, r, map[string]quorum.Change{plan.ReleaseKey(o.Service): plan.Begin(o.Target, over, s.now())}); ok {
		answerJSON(w, []byte("{}"))
	}
}

// readRelease tells a release's phase. What is told has been chosen, so that no one is ever told otherwise.
func (s *Steward) readRelease(w http.ResponseWriter, r *http.Request) {
	service, ok := of(w, r)
	if !ok || !s.able(w) {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), callTime)
	defer cancel()
	key := plan.ReleaseKey(service)
	held, err := s.read(ctx, key)
	if err != nil {
		later(w, err.Error())
		return
	}
	rel, ok := plan.ReadRelease(held[key])
	if !ok {
		http.Error(w, "there is no release of this service", http.StatusNotFound)
		return
	}
	text, _ := json.Marshal(map[string]string{"phase": rel.Phase, "target": rel.Target})
	answerJSON(w, text)
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
