package steward

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/mailru/easyjson"

	"sagelever/ebb"
	"sagelever/internal/control/quorum"
	"sagelever/internal/control/replica"
	"sagelever/lore"
	"sagelever/plan"
)

const (
	countTime   = 500 * time.Millisecond // for agents to answer a census: a call each in the zone, two between regions
	longestWord = 4 << 10                // bytes of an operator's word on a drain
)

// serveWork takes an agent's answer to a census.
func (s *Steward) serveWork(w http.ResponseWriter, r *http.Request) {
	x := &replica.Work{}
	if !read(w, r, x) {
		return
	}
	s.mu.Lock()
	s.m.Worked(x)
	s.mu.Unlock()
}

// serveCensus counts among the agents that hold a lease from here.
func (s *Steward) serveCensus(w http.ResponseWriter, r *http.Request) {
	c := s.countHere(r.Context())
	write(w, &c)
}

// countHere waits until all have answered, or for countTime.
func (s *Steward) countHere(ctx context.Context) (c replica.Census) {
	ctx, cancel := context.WithTimeout(ctx, countTime)
	defer cancel()
	s.step(func(now time.Time) { s.m.Count(now) })
	for {
		s.mu.Lock()
		c = s.m.Counted()
		s.mu.Unlock()
		if len(c.Missing) == 0 {
			return c
		}
		select {
		case <-time.After(10 * time.Millisecond):
		case <-ctx.Done():
			return c
		}
	}
}

// count asks every member for what its agents say. Unheard are agents that may have something out and have not answered.
func (s *Steward) count(ctx context.Context) (all replica.Census, unheard []string) {
	ctx, cancel := context.WithTimeout(ctx, countTime+callTime/2) // a member that hangs holds up no operator
	defer cancel()
	s.mu.Lock()
	members := s.m.Members()
	s.mu.Unlock()
	answers := make(chan replica.Census, len(members)+1)
	var wg sync.WaitGroup
	for _, m := range members {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c := replica.Census{}
			if Post(ctx, s.client, m.Addr, replica.CensusPath, []byte("{}"), &c) == nil {
				answers <- c
			}
		}()
	}
	answers <- s.countHere(ctx)
	wg.Wait()
	close(answers)
	for c := range answers {
		all.Works = append(all.Works, c.Works...)
	}
	s.mu.Lock()
	agents := s.m.Agents(s.now())
	s.mu.Unlock()
	for _, node := range agents {
		if !slices.ContainsFunc(all.Works, func(w replica.Work) bool { return w.From.Node == node }) {
			unheard = append(unheard, node)
		}
	}
	return all, unheard
}

// beginDrain takes an operator's word that something gets no new work. Where too little room would be left it is refused
// with the figures, unless it is to be done all the same.
func (s *Steward) beginDrain(w http.ResponseWriter, r *http.Request) {
	data, ok := body(w, r, longestWord)
	if !ok {
		return
	}
	word := &plan.DrainWord{}
	if err := easyjson.Unmarshal(data, word); err != nil {
		refuse(w, err)
		return
	}
	zone, d, held, apps, ok := s.target(w, r, word.Target)
	if !ok {
		return
	}
	known := func(id string) bool { return apps[id].Service == d.Service }
	if d.Service != "" && !slices.ContainsFunc(slices.Collect(maps.Keys(apps)), known) {
		http.Error(w, "target: no appliance of such a service is known", http.StatusNotFound)
		return
	}
	out, order := ebb.Answer{Target: d.Names(zone)}, replica.Order(zone, d, 0)
	_, _, out.Stood = plan.FindDrain(held, out.Target)
	if !out.Stood && !word.Force {
		census, unheard := s.count(r.Context())
		_, loads := census.Reports()
		spots := replica.Spots(plan.NewTable(held), apps, s.settings.Zones, s.now())
		out.Short, out.Unheard = ebb.Room(loads, spots, order.Covers), unheard
		if len(out.Short) > 0 {
			for _, x := range spots {
				if order.Covers(x) && x.Serves {
					out.Backends = append(out.Backends, x.ID)
				}
			}
			tellJSON(w, http.StatusConflict, out)
			return
		}
	}
	s.mu.Lock()
	over := map[string]bool{}
	for _, x := range plan.ReadDrains(held[plan.DrainKey(zone)]) {
		over[x.ID] = x.ID != "" && s.m.Over(x.ID)
	}
	s.mu.Unlock()
	key := plan.DrainKey(zone)
	now, can := s.ordered(w, r, map[string]quorum.Change{key: plan.BeginDrain(d, func(id string) bool { return over[id] }, s.now())})
	switch {
	case !can:
	case !slices.ContainsFunc(plan.ReadDrains(now[key]), d.Same):
		http.Error(w, "too many drains stand in this zone", http.StatusConflict)
	default:
		s.stopTogether(r.Context(), key)
		tellJSON(w, http.StatusOK, out)
	}
}

// endDrain withdraws a drain; 404 where none of that name stands.
func (s *Steward) endDrain(w http.ResponseWriter, r *http.Request) {
	name, ok := of(w, r)
	if !ok || !s.able(w) {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), callTime)
	defer cancel()
	held, err := s.read(ctx, plan.DrainKey(""))
	if err != nil {
		later(w, err.Error())
		return
	}
	key, d, stands := plan.FindDrain(held, name)
	if !stands {
		http.Error(w, "of: no such drain stands", http.StatusNotFound)
		return
	}
	if _, can := s.ordered(w, r, map[string]quorum.Change{key: plan.EndDrain(d)}); can {
		tellJSON(w, http.StatusOK, ebb.Answer{Target: name})
	}
}

// readDrains tells how far the drains have come: all, or the one that is named.
func (s *Steward) readDrains(w http.ResponseWriter, r *http.Request) {
	if !s.able(w) {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), callTime)
	defer cancel()
	held, err := s.read(ctx, plan.DrainKey(""))
	if err != nil {
		later(w, err.Error())
		return
	}
	orders := replica.Orders(held)
	if name := r.URL.Query().Get("of"); name != "" {
		orders = slices.DeleteFunc(orders, func(o ebb.Order) bool { return o.Target != name })
		if len(orders) == 0 {
			http.Error(w, "of: no such drain stands", http.StatusNotFound)
			return
		}
	}
	out := ebb.Listing{Drains: []ebb.Progress{}}
	if len(orders) > 0 {
		census, unheard := s.count(r.Context())
		reports, _ := census.Reports()
		s.mu.Lock()
		apps := s.m.Apps()
		s.mu.Unlock()
		spots := replica.Spots(plan.NewTable(held), apps, s.settings.Zones, s.now())
		out.Drains = ebb.Tell(orders, spots, reports, unheard, s.now())
	}
	tellJSON(w, http.StatusOK, out)
}

// target reads what a word is about, with the registers as chosen and the appliances that are known; it answers 404 where
// there is no such thing.
func (s *Steward) target(w http.ResponseWriter, r *http.Request, name string) (zone string, d plan.Drain, held map[string]quorum.Value, apps map[string]*lore.App, ok bool) {
	if name == "" || len(name) > longestID {
		http.Error(w, "target: missing or too long", http.StatusBadRequest)
		return
	}
	if !s.able(w) {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), callTime)
	defer cancel()
	held, err := s.read(ctx, "")
	if err != nil {
		later(w, err.Error())
		return
	}
	s.mu.Lock()
	apps = s.m.Apps()
	s.mu.Unlock()
	zone, d, err = plan.ReadTarget(name, s.settings.Zones, func(id string) string {
		if a := apps[id]; a != nil {
			return a.Zone
		}
		return ""
	})
	if err != nil {
		http.Error(w, "target: "+err.Error(), http.StatusNotFound)
		return
	}
	return zone, d, held, apps, true
}

func tellJSON(w http.ResponseWriter, status int, what easyjson.Marshaler) {
	data, err := easyjson.Marshal(what)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	sayJSON(w, status, data)
}
