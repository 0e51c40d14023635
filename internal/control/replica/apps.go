package replica

import (
	"maps"
	"slices"
	"strings"
	"time"

	"sagelever/internal/control/quorum"
	"sagelever/lore"
	"sagelever/plan"
)

// Pulse takes an appliance's word of itself; the address of the member where its next had best go, empty for here.
func (m *Replica) Pulse(now time.Time, id string, p *lore.Pulse) (next Member) {
	key := lore.AppKey + id
	it, known := m.feed.Get(key)
	if !known || it.Version < lore.Version(p.CallCount, false) { // else late, or from a life that has left
		held := m.apps[id]
		if told, ok := lore.ReadApp(it); known && ok && (held == nil || told.Home != m.c.Me.Node || told.Phase != held.Phase) {
			held = told
		}
		item, app, news := lore.News(id, p, held, m.c.Me.Node, now)
		if news {
			m.tell(item)
		} else {
			app.Heard = held.Heard // when it was last told
		}
		m.apps[id] = app
		m.roll.Pulsed(id, now)
	}
	if p.Zone == m.c.Me.Zone {
		return Member{}
	}
	for _, x := range m.Members() { // the member that stands there, while it is heard
		if x.Zone == p.Zone && m.heardOf(x.Node, now) {
			return x
		}
	}
	return Member{}
}

// Phase is what is known of an appliance's life; empty for nothing.
func (m *Replica) Phase(id string) string {
	it, _ := m.feed.Get(lore.AppKey + id)
	a, ok := lore.ReadApp(it)
	if !ok {
		return ""
	}
	return a.Phase
}

// SignOff takes an appliance's last word.
func (m *Replica) SignOff(now time.Time, id string) {
	key := lore.AppKey + id
	it, known := m.feed.Get(key)
	a, read := lore.ReadApp(it)
	if !known || !read {
		a = &lore.App{}
	}
	m.tell(a.WithPhase(id, lore.Left, lore.LeftVersion))
	m.tombs[key] = now.Add(tomb)
	m.roll.Unwatch(id)
	delete(m.apps, id)
}

// Tally takes what an edge agent has seen of releases.
func (m *Replica) Tally(now time.Time, items []lore.Item) {
	for _, it := range items {
		if strings.HasPrefix(it.Key, lore.TrialKey) {
			m.tell(it)
		}
	}
	m.judge(now)
}

// judge decides the releases on which the agents' votes say so.
func (m *Replica) judge(now time.Time) {
	tallies := map[string][]*lore.Tally{}
	m.feed.Each(lore.TrialKey, func(it lore.Item) {
		service, _, _ := strings.Cut(it.Key[len(lore.TrialKey):], "/")
		if t, ok := lore.ReadTally(it); ok {
			tallies[service] = append(tallies[service], t)
		}
	})
	for _, service := range slices.Sorted(maps.Keys(tallies)) {
		rel, ok := plan.ReadRelease(m.acceptor.Get(plan.ReleaseKey(service)).Value)
		if !ok || rel.Phase != plan.InService || m.deciding[service] {
			continue
		}
		phase := plan.Count(rel.Number, tallies[service])
		if phase == "" {
			continue
		}
		m.deciding[service] = true
		m.say("release decided by votes", "service", service, "phase", phase)
		keys, decide := quorum.Each(map[string]quorum.Change{plan.ReleaseKey(service): plan.Decide(rel.Number, phase)})
		m.begin(now, &task{kind: writing, until: now.Add(4 * attempt), keys: keys, decide: decide,
			after: func() { delete(m.deciding, service) }}) // without an end the votes stand, and are counted again
	}
}

// Minute does what time brings: leases that ran out, appliances fallen silent, lives long gone, values without an end.
func (m *Replica) Minute(now time.Time) {
	m.keepTime(now)
	m.count(now)
	m.confirm(now)
	m.takeOver(now)
	m.steer(now)
	m.look(now)
	m.mend(now)
	m.resave(now)
	live := map[string]bool{}
	for _, x := range m.members {
		live[x.origin] = true
	}
	m.feed.Prune(live)
	if m.feed.Renew() > 0 {
		m.wake(unhurried)
	}
	m.lapse(now)
	for _, id := range m.roll.Silent(m.c.Silence, now) {
		key := lore.AppKey + id
		it, ok := m.feed.Get(key)
		a, read := lore.ReadApp(it)
		delete(m.apps, id)
		if !ok || !read || a.Home != m.c.Me.Node || a.Phase == lore.Left {
			continue
		}
		m.tell(a.Fallen(id, it.Version))
		m.tombs[key] = now.Add(tomb)
	}
	m.orphans(now)
	m.feed.Each(lore.LeaseKey, func(it lore.Item) {
		if l, ok := lore.ReadLease(it); ok && !l.Ended && l.Role == Edge && m.heardOf(l.Home, now) {
			m.roll.Hold(it.Key, l.Zone, now)
		}
	})
	m.feed.Each(lore.TrialKey, func(it lore.Item) {
		service, _, _ := strings.Cut(it.Key[len(lore.TrialKey):], "/")
		t, ok := lore.ReadTally(it)
		rel, known := plan.ReadRelease(m.acceptor.Get(plan.ReleaseKey(service)).Value)
		if _, noted := m.tombs[it.Key]; !noted && ok && known && (rel.Phase != plan.InService || rel.Number > t.Number) {
			m.tombs[it.Key] = now.Add(tomb)
		}
	})
	for _, key := range slices.Sorted(maps.Keys(m.tombs)) {
		if now.Before(m.tombs[key]) {
			continue
		}
		delete(m.tombs, key)
		it, ok := m.feed.Get(key)
		if a, read := lore.ReadApp(it); strings.HasPrefix(key, lore.TrialKey) || ok && read && (a.Phase == lore.Left || a.Phase == lore.Silent) {
			m.feed.Drop(key)
			m.out.Gone = append(m.out.Gone, key)
		}
	}
}

// orphans tells the silence of appliances whose member is gone and that have found no other: the first by name of those
// that are there does it for all.
func (m *Replica) orphans(now time.Time) {
	first := true
	for node, x := range m.members {
		switch heard := m.heardOf(node, now); {
		case heard:
			x.lost = time.Time{}
			first = first && m.c.Me.Node < node
		case x.lost.IsZero() && x.begun:
			x.lost = now
		}
	}
	if !first || !m.Sound(now) {
		return
	}
	var found []lore.Item
	m.feed.Each(lore.AppKey, func(it lore.Item) {
		a, ok := lore.ReadApp(it)
		if !ok || a.Phase != lore.Ready && a.Phase != lore.Emptying {
			return
		}
		if since, lost := m.homeLost(now, a.Home); lost && now.Sub(since) > m.c.Silence {
			found = append(found, a.Fallen(strings.TrimPrefix(it.Key, lore.AppKey), it.Version))
		}
	})
	for _, it := range found {
		m.tell(it)
		m.tombs[it.Key] = now.Add(tomb)
	}
}

// homeLost is since when the member that an appliance called is not heard any more, or no member.
func (m *Replica) homeLost(now time.Time, home string) (since time.Time, lost bool) {
	if x := m.members[home]; x != nil {
		delete(m.homeless, home)
		return x.lost, !x.lost.IsZero()
	}
	if home == m.c.Me.Node {
		return time.Time{}, false
	}
	if _, noted := m.homeless[home]; !noted {
		m.homeless[home] = now
	}
	return m.homeless[home], true
}
