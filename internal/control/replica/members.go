package replica

import (
	"sort"
	"strconv"
	"strings"
	"time"

	"sagelever/lore"
)

// meet takes up who calls.
func (m *Replica) meet(now time.Time, p *Pull) (behind uint64) {
	if p.Role == Core {
		m.meetReplica(now, p)
		return 0
	}
	l := &lore.Lease{Node: p.From.Node, Role: p.Role, Zone: p.From.Zone, Front: p.Front, Home: m.c.Me.Node, Ended: p.Ended}
	it := l.Item(p.Life << 8)
	old, known := m.feed.Get(it.Key)
	was, read := lore.ReadLease(old)
	if p.Ended {
		if !known || old.Version < p.Life<<8|0xff {
			it.Version = p.Life<<8 | 0xff
			m.tell(it)
		}
		return 0
	}
	m.roll.Renew(it.Key, l.Zone, now)
	if known && read && *was == *l && old.Version>>8 == p.Life {
		return 0
	}
	if known && old.Version >= it.Version {
		if old.Version>>8 > p.Life || old.Version&0xff == 0xff {
			// A word from before, or of an agent whose time of day has gone back: it is told, and comes again.
			return old.Version >> 8
		}
		it.Version = old.Version + 1 // it has moved here, or is back after it lapsed
	}
	m.tell(it)
	return 0
}

// meetReplica takes up a replica that calls: a member, where it is in the set with this disk, or a candidate.
func (m *Replica) meetReplica(now time.Time, p *Pull) {
	if p.From.Node == m.c.Me.Node || p.From.Node == "" {
		return
	}
	m.noteGeneration(p.From, p.Disk)
	if p.Set > m.standing.set.Epoch && now.Sub(m.calledBack) > stuck { // all whom this replica knows may be gone
		m.calledBack = now
		m.out.Call = append(m.out.Call, p.From)
	}
	known := m.members[p.From.Node]
	if known == nil || !known.Is(p.From) {
		m.noteCandidate(now, p)
		return
	}
	known.Member = p.From // it may have moved to another address
	known.leaving = p.Ending
}

// Members are those that are known, this one not.
func (m *Replica) Members() []Member {
	out := make([]Member, 0, len(m.members))
	for _, x := range m.members {
		out = append(out, x.Member)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Node < out[j].Node })
	return out
}

// Generations are what is known of other replicas' disks, to be kept where it is good to have.
func (m *Replica) Generations() map[string]Generation { return m.generations }

// watch has this member look after an item that came from elsewhere or from its disk: of what it granted or heard in a
// life before it knows only so.
func (m *Replica) watch(now time.Time, it lore.Item) {
	if strings.HasPrefix(it.Key, lore.LeaseKey) {
		if l, ok := lore.ReadLease(it); ok && l.Home == m.c.Me.Node && !l.Ended {
			m.roll.Expect(it.Key, l.Zone, now)
		}
		return
	}
	id, ok := strings.CutPrefix(it.Key, lore.AppKey)
	if !ok {
		return
	}
	a, ok := lore.ReadApp(it)
	if !ok {
		return
	}
	gone := a.Phase == lore.Left || a.Phase == lore.Silent
	if gone {
		m.tombs[it.Key] = now.Add(tomb)
	}
	if a.Home != m.c.Me.Node || gone {
		m.roll.Unwatch(id)
		delete(m.apps, id)
	} else {
		m.roll.Pulsed(id, now)
	}
}

// heardOf tells whether a member has answered lately.
func (m *Replica) heardOf(node string, now time.Time) bool {
	if node == m.c.Me.Node {
		return true
	}
	x := m.members[node]
	return x != nil && x.begun && now.Sub(x.heard) < Heard
}

// takeoverGrace is for how long a member is still relied on that has not yet taken over from the epoch before: what it knows
// is as new as what the others do, and orders wait until it acts.
const takeoverGrace = 2 * time.Second

// Sound tells whether what this member says may be relied on: it is a member, and hears more than half of the members. One
// that does not may lack what the others have acknowledged.
func (m *Replica) Sound(now time.Time) bool {
	if m.leaving || !m.inForce(now) {
		return false
	}
	near := 1
	for node := range m.members {
		if m.heardOf(node, now) {
			near++
		}
	}
	return m.standing.set.Majority(near)
}

// inForce tells whether this replica acts in the epoch in force, or is about to take over from the one before.
func (m *Replica) inForce(now time.Time) bool {
	s := &m.standing
	if s.set.Epoch == 0 {
		return false
	}
	return m.Acting() || s.confirmed && m.own() && s.member() && now.Sub(s.adopted) < takeoverGrace
}

// Leave has this member end: whoever pulls is answered at once, and goes elsewhere.
func (m *Replica) Leave(now time.Time) {
	m.leaving = true
	m.wake(0)
	m.steer(now)
}

// look says when this member begins or ends to hear most of the core; whoever waits for news is told.
func (m *Replica) look(now time.Time) {
	if sound := m.Sound(now); sound != m.was {
		m.was = sound
		m.wake(0)
		text := "hears most of the core"
		if !sound {
			text = "does not hear most of the core"
		}
		m.say(text, "sinceStartMs", strconv.FormatInt(now.Sub(m.begun).Milliseconds(), 10))
	}
}

// lapse ends the leases granted here that ran out. It comes before all that is told of them: a process that was held up
// must not speak of leases as they were before.
func (m *Replica) lapse(now time.Time) {
	for _, key := range m.roll.Lapsed(now) {
		it, ok := m.feed.Get(key)
		if l, read := lore.ReadLease(it); ok && read && l.Home == m.c.Me.Node && !l.Ended {
			l.Ended, l.Front = true, ""
			m.tell(l.Item(it.Version + 1))
			m.say("lease ran out", "agent", l.Node, "role", l.Role)
		}
	}
}

// Fronts lists where clients of a zone should go: to the agents there; where there are none to others of the region, then
// to any.
func (m *Replica) Fronts(now time.Time, zone, region string, most int) []string {
	var near, mid, far []string
	m.lapse(now)
	m.feed.Each(lore.LeaseKey, func(it lore.Item) {
		l, ok := lore.ReadLease(it)
		if !ok || l.Ended || l.Front == "" || l.Role != Edge {
			return
		}
		if l.Home == m.c.Me.Node && !m.roll.Granted(it.Key) || !m.heardOf(l.Home, now) {
			return
		}
		switch {
		case l.Zone == zone:
			near = append(near, l.Front)
		case m.c.Zones[l.Zone] == region:
			mid = append(mid, l.Front)
		default:
			far = append(far, l.Front)
		}
	})
	out := near
	if len(out) == 0 {
		out = mid
	}
	if len(out) == 0 {
		out = far
	}
	sort.Strings(out)
	return out[:min(len(out), most)]
}
