package replica

import (
	"slices"
	"strings"
	"time"

	"sagelever/lore"
)

// recall takes up what was kept. An appliance counts as cold until its pulse says otherwise, and as silent if none comes:
// it may have gone, or gone cold, while this agent was away.
func (m *Replica) recall(was Memory, now time.Time) {
	slices.SortFunc(was.Items, func(a, b Kept) int { return strings.Compare(a.Item.Key, b.Item.Key) })
	old := now.Sub(was.Noted) > bound
	lost := lore.Vector{}
	for _, k := range was.Items {
		it := k.Item
		if old && !strings.HasPrefix(it.Key, lore.RegKey) && k.Origin != "" {
			m.out.Gone = append(m.out.Gone, it.Key)
			continue
		}
		if name, ok := strings.CutPrefix(it.Key, lore.RegKey); ok { // its content stands in the register
			e := m.acceptor.Get(name)
			if !e.Chosen || e.Value.Version != it.Version { // written over meanwhile by what is not known to be chosen
				if n, ok := lost[k.Origin]; !ok || k.Number < n {
					lost[k.Origin] = k.Number
				}
				continue
			}
			it.Body = regBody(e)
		}
		if id, ok := strings.CutPrefix(it.Key, lore.AppKey); ok {
			if a, ok := lore.ReadApp(it); ok && a.Phase == lore.Ready {
				a.Heard, a.Warm = now.UnixMilli(), now.Add(m.c.Silence).UnixMilli()
				it = a.WithPhase(id, lore.Ready, it.Version)
			}
		}
		if k.Origin == "" { // the version before did not keep it
			m.feed.Merge(it)
		} else {
			m.feed.Take(it, k.Origin, k.Number)
		}
		if strings.HasPrefix(it.Key, lore.LeaseKey) {
			if l, ok := lore.ReadLease(it); ok && !l.Ended && l.Role == Edge {
				m.roll.Hold(it.Key, l.Zone, now) // it may be sending, though it has not called yet
			}
		}
		m.watch(now, it)
	}
	if !old {
		m.feed.Reach(was.Come)
		m.known, m.told = len(was.Come) > 0, now
	}
	m.feed.Unclaim(lost)
}

// Keep is what has become known since a number, to be kept on the disk where it is good to have, and how far it goes once
// it is; what was forgotten is told by keys that are not there any more.
func (m *Replica) Keep(since uint64) (items []Kept, come lore.Vector, seq uint64) {
	if len(m.saving) > 0 || m.unsaved { // registers are part of how far this goes
		return nil, nil, since
	}
	for _, it := range m.feed.Since(since, nil) {
		origin, number := m.feed.Where(it.Key)
		if strings.HasPrefix(it.Key, lore.RegKey) {
			it.Body = ""
		}
		items = append(items, Kept{it, origin, number})
	}
	return items, m.feed.Vector(), m.feed.Seq()
}
