package replica

import (
	"maps"
	"slices"
	"strings"
	"time"

	"sagelever/lore"
)

// census is a count of what agents have out at appliances that leave. It is taken when an operator asks: in calm times
// nobody reports anything.
type census struct {
	number uint64 // the time of day at which it began, in Unix milliseconds
	begun  time.Time
	works  map[string]Work
}

const (
	shared = 100 * time.Millisecond // operators that ask within so long share a census
	asking = time.Second            // for so long agents that call are asked to report
)

// Count begins a census among the agents that hold a lease from here, or joins one that has just begun.
func (m *Replica) Count(now time.Time) {
	if m.census.works == nil || now.Sub(m.census.begun) > shared {
		m.census = census{number: max(m.census.number+1, uint64(now.UnixMilli())), begun: now, works: map[string]Work{}}
		m.wake(0)
	}
}

// counting is the number of the census that agents are to answer; 0 for none.
func (m *Replica) counting(now time.Time) uint64 {
	if m.census.works == nil || now.Sub(m.census.begun) > asking {
		return 0
	}
	return m.census.number
}

// Worked takes an agent's answer. One to an earlier census says nothing of now.
func (m *Replica) Worked(w *Work) {
	if w.Count == m.census.number && m.census.works != nil && (len(m.census.works) < mostAgents || m.census.works[w.From.Node].Count > 0) {
		m.census.works[w.From.Node] = *w
	}
}

// mostAgents bounds what one member keeps of a census.
const mostAgents = 4096

// Counted is what has been heard in a census, or in a later one that has taken its place; missing are the agents with a
// lease from here that have not answered.
func (m *Replica) Counted() (c Census) {
	for _, node := range slices.Sorted(maps.Keys(m.census.works)) {
		c.Works = append(c.Works, m.census.works[node])
	}
	m.feed.Each(lore.LeaseKey, func(it lore.Item) {
		l, ok := lore.ReadLease(it)
		if ok && l.Role == Edge && !l.Ended && l.Home == m.c.Me.Node && m.census.works[l.Node].Count == 0 {
			c.Missing = append(c.Missing, l.Node)
		}
	})
	slices.Sort(c.Missing)
	return c
}

// Agents lists the edge agents that may have something out: those that hold a lease, and those whose lease ran out lately
// without a word that they have ended.
func (m *Replica) Agents(now time.Time) (nodes []string) {
	m.feed.Each(lore.LeaseKey, func(it lore.Item) {
		l, ok := lore.ReadLease(it)
		if ok && l.Role == Edge && it.Version&0xff != 0xff && m.roll.Lately(it.Key, now) {
			nodes = append(nodes, l.Node)
		}
	})
	slices.Sort(nodes)
	return nodes
}

// Apps are the appliances that are known and have not left, by id.
func (m *Replica) Apps() map[string]*lore.App {
	out := map[string]*lore.App{}
	m.feed.Each(lore.AppKey, func(it lore.Item) {
		if a, ok := lore.ReadApp(it); ok && a.Phase != lore.Left {
			out[strings.TrimPrefix(it.Key, lore.AppKey)] = a
		}
	})
	return out
}

// Over tells whether an appliance's life is known to have ended, or nothing is known of it.
func (m *Replica) Over(id string) bool {
	p := m.Phase(id)
	return p == "" || p == lore.Left
}
