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
	if word.Target == "" || len(word.Target) > longestID {
		fail(w, invalid("target: missing or too long"))
		return
	}
	if !s.able(w) {
		return
	}
	out, err := s.drain(r.Context(), word)
	if err != nil {
		fail(w, err)
		return
	}
	tellJSON(w, http.StatusOK, out)
}

// drain begins a drain, unless it stands or was begun lately: then the order is the same one again.
func (s *Steward) drain(ctx context.Context, word *plan.DrainWord) (ebb.Answer, error) {
	reading, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	held, err := s.read(reading, "")
	if err != nil {
		return ebb.Answer{}, err
	}
	if key, _, stands := plan.FindDrain(held, word.Target); stands {
		s.stopTogether(ctx, key)
		return ebb.Answer{Target: word.Target, Stood: true}, nil
	}
	s.mu.Lock()
	apps := s.m.Apps()
	s.mu.Unlock()
	zone, d, err := s.target(word.Target, apps)
	if err != nil {
		if plan.BegunLately(held, word.Target, s.now(), s.resendTerm()) {
			return ebb.Answer{Target: word.Target}, nil // it has left since, and its drain with it
		}
		return ebb.Answer{}, err
	}
	out := ebb.Answer{Target: d.Names(zone)}
	if !word.Force {
		out = s.roomWithout(ctx, zone, d, held, apps)
		if len(out.Short) > 0 {
			return ebb.Answer{}, &noRoom{out}
		}
	}
	key := plan.DrainKey(zone)
	if err := s.decideDrain(ctx, zone, d, held); err != nil {
		return ebb.Answer{}, err
	}
	s.stopTogether(ctx, key)
	return out, nil
}

// target reads what a word is about; *notFound where there is no such thing.
func (s *Steward) target(name string, apps map[string]*lore.App) (zone string, d plan.Drain, err error) {
	zone, d, err = plan.ReadTarget(name, s.settings.Zones, func(id string) string {
		if a := apps[id]; a != nil {
			return a.Zone
		}
		return ""
	})
	if err != nil {
		return "", d, &notFound{"target: " + err.Error()}
	}
	known := func(a *lore.App) bool { return a.Service == d.Service }
	if d.Service != "" && !slices.ContainsFunc(slices.Collect(maps.Values(apps)), known) {
		return "", d, &notFound{"target: no appliance of such a service is known"}
	}
	return zone, d, nil
}

// roomWithout tells what would be short, and which appliances go, if a drain were begun.
func (s *Steward) roomWithout(ctx context.Context, zone string, d plan.Drain, held map[string]quorum.Value, apps map[string]*lore.App) ebb.Answer {
	census, unheard := s.count(ctx)
	_, loads := census.Reports()
	order := replica.Order(zone, d, 0)
	spots := replica.Spots(plan.NewTable(held), apps, s.settings.Zones, s.now())
	out := ebb.Answer{Target: d.Names(zone), Short: ebb.Room(loads, spots, order.Covers), Unheard: unheard}
	if len(out.Short) == 0 {
		return out
	}
	for _, x := range spots {
		if order.Covers(x) && x.Serves {
			out.Backends = append(out.Backends, x.ID)
		}
	}
	return out
}

// decideDrain has a drain's beginning decided.
func (s *Steward) decideDrain(ctx context.Context, zone string, d plan.Drain, held map[string]quorum.Value) error {
	key, now := plan.DrainKey(zone), s.now()
	over := s.overOf(plan.ReadDrains(held[key]))
	change := plan.BeginDrainNoted(zone, d, func(id string) bool { return over[id] }, now, s.resendTerm())
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	_, err := s.orders.join(ctx, "drains.begin "+zone+" "+d.Names(zone), 0, func(ctx context.Context) (uint64, error) {
		chosen, err := s.decide(ctx, map[string]quorum.Change{key: change})
		if err == nil && !slices.ContainsFunc(plan.ReadDrains(chosen[key]), d.Same) {
			err = &tooMany{}
		}
		return 0, err
	})
	return err
}

// overOf tells of which drains the appliance's life is over.
func (s *Steward) overOf(drains []plan.Drain) map[string]bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	over := map[string]bool{}
	for _, x := range drains {
		over[x.ID] = x.ID != "" && s.m.Over(x.ID)
	}
	return over
}

// endDrain withdraws a drain; 404 where none of that name stands, nor did lately.
func (s *Steward) endDrain(w http.ResponseWriter, r *http.Request) {
	name, ok := of(w, r)
	if !ok || !s.able(w) {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), callTime)
	defer cancel()
	if err := s.undrain(ctx, name); err != nil {
		fail(w, err)
		return
	}
	tellJSON(w, http.StatusOK, ebb.Answer{Target: name})
}

// undrain has the end of a drain decided; one that was withdrawn lately is withdrawn.
func (s *Steward) undrain(ctx context.Context, name string) error {
	held, err := s.read(ctx, plan.DrainKey(""))
	if err != nil {
		return err
	}
	now := s.now()
	key, d, stands := plan.FindDrain(held, name)
	if !stands {
		if plan.EndedLately(held, name, now, s.resendTerm()) {
			return nil
		}
		return &notFound{"of: no such drain stands"}
	}
	change := plan.EndDrainNoted(plan.ZoneOfDrains(key), d, now, s.resendTerm())
	_, err = s.orders.join(ctx, "drains.end "+name, 0, func(ctx context.Context) (uint64, error) {
		_, err := s.decide(ctx, map[string]quorum.Change{key: change})
		return 0, err
	})
	return err
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
		fail(w, err)
		return
	}
	orders := replica.Orders(held)
	if name := r.URL.Query().Get("of"); name != "" {
		orders = slices.DeleteFunc(orders, func(o ebb.Order) bool { return o.Target != name })
		if len(orders) == 0 {
			fail(w, &notFound{"of: no such drain stands"})
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
