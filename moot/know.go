package moot

import (
	"maps"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/mailru/easyjson"

	"sagelever/lore"
	"sagelever/pact"
	"sagelever/plan"
)

// reached is how far a member has come that pulls here, and when it last did.
type reached struct {
	come  lore.Vector
	seq   uint64 // by this feed's own numbers, with the first version of the wire
	at    time.Time
	whole bool // it was told all, as what it lacked had been forgotten
}

// tell merges an item that is told here first, and has those woken who wait for news.
func (m *Machine) tell(it lore.Item) bool {
	if !m.feed.Merge(it) {
		return false
	}
	m.wake(hurry(it))
	return true
}

func (m *Machine) wake(after time.Duration) {
	if m.out.News < 0 || after < m.out.News {
		m.out.News = after
	}
}

// hurry is how long an item may wait for others to go with: what agents must stop for goes at once.
func hurry(it lore.Item) time.Duration {
	switch {
	case strings.HasPrefix(it.Key, lore.RegKey):
		return gather
	case strings.HasPrefix(it.Key, lore.AppKey):
		if a, ok := lore.ReadApp(it); ok && (a.Phase == lore.Emptying || a.Phase == lore.Left) {
			return gather
		}
	case strings.HasPrefix(it.Key, lore.TrialKey):
		if t, ok := lore.ReadTally(it); ok && t.Vote != "" {
			return gather
		}
		return unhurried
	}
	return company
}

// Waiting is a pull that waits for news.
type Waiting struct {
	p      *Pull
	by     uint64      // what came here from other sources later than this is on its way to the caller already
	come   lore.Vector // how far that goes
	sound  bool
	behind uint64
	whole  bool
}

// Pulled takes up who calls: a lease for an edge agent, a member of the core. Answer has the news for it.
func (m *Machine) Pulled(now time.Time, p *Pull) *Waiting {
	w := &Waiting{p: p, by: m.feed.Seq(), come: m.feed.Vector(), sound: m.Sound(now), behind: m.meet(now, p)}
	if p.Wire >= Wire {
		w.whole = len(p.Come) == 0
	}
	if x := m.members[p.From.Node]; p.Role == Core && x != nil && !m.heardOf(x.Node, now) && now.Sub(x.asked) > stuck {
		x.asked = now
		m.out.Call = append(m.out.Call, x.Member)
	}
	if p.Role == Core && !p.Meet && m.members[p.From.Node] != nil {
		was, known := m.reach[p.From.Node]
		m.reach[p.From.Node] = reached{come: p.Come, seq: p.Vector[m.feed.Source], at: now, whole: w.whole}
		if away := now.Sub(was.at); known && away > Heard+LeaseTerm {
			items, _ := m.feed.Lacks(p.Come, m.feed.Seq(), nil)
			m.say("a member is back, and handed what it should have had", "member", p.From.Node, "awayMs", strconv.FormatInt(away.Milliseconds(), 10),
				"items", strconv.Itoa(len(items)), "whole", strconv.FormatBool(w.whole))
		}
	}
	return w
}

// Answer is the news for a pull, and whether to send it: otherwise there is none, and it may wait unless that is its end.
func (m *Machine) Answer(now time.Time, w *Waiting) (n *News, ready bool) {
	p := w.p
	m.lapse(now)
	sound := m.Sound(now)
	n = &News{Source: m.feed.Source, Wire: Wire, Seq: m.feed.Seq(), Sound: sound, Life: w.behind, Now: now.UnixMilli()}
	n.Agents, n.Here = m.roll.Count(p.From.Zone, now)
	ready = m.leaving || sound != w.sound || w.behind != 0
	var wanted func(string) bool
	if p.Role != Core { // edge agents need no leases
		wanted = func(key string) bool { return !strings.HasPrefix(key, lore.LeaseKey) }
	}
	switch {
	case p.Meet:
		ready = true
	case p.Wire < Wire:
		since, knows := p.Vector[m.feed.Source]
		n.Items, n.Whole = m.feed.Since(since, wanted), since == 0
		ready = ready || !knows
	default:
		come, by, reach := p.Come, w.by, w.come
		if w.whole {
			come = nil
		}
		if w.whole || p.Role != Core { // a relay pulls from one member alone
			by, reach = m.feed.Seq(), m.feed.Vector()
		}
		n.Items, n.Origins = m.feed.Lacks(come, by, wanted)
		if p.Role != Core { // members prune their own
			for origin := range p.Come {
				if _, left := reach[origin]; !left {
					n.Drop = append(n.Drop, origin)
				}
			}
		}
		n.Whole = w.whole
		reach[m.feed.Origin] = m.feed.Vector()[m.feed.Origin]
		if n.Come = reach; !w.whole {
			n.Come = further(reach, p.Come)
		}
		_, knows := p.Come[m.feed.Origin]
		ready = ready || !knows || w.whole
	}
	if _, knows := p.Come[m.feed.Origin]; p.Meet || p.Role == Edge && (!knows || len(n.Items) > 0) { // who has heard this life was told
		n.Members = append(n.Members, m.c.Me)
		for _, x := range m.members {
			n.Members = append(n.Members, x.Member)
		}
		sort.Slice(n.Members, func(i, j int) bool { return n.Members[i].Node < n.Members[j].Node })
	}
	return n, ready || len(n.Items) > 0
}

// further is what of a vector goes beyond another.
func further(v, than lore.Vector) lore.Vector {
	out := lore.Vector{}
	for origin, x := range v {
		if x > than[origin] {
			out[origin] = x
		}
	}
	return out
}

// meet takes up who calls.
func (m *Machine) meet(now time.Time, p *Pull) (behind uint64) {
	if p.Role == Core {
		m.join(p.From)
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

// join takes up a member of the core. There are no more than its size says; four times as many may have been told.
func (m *Machine) join(x Member) {
	if x.Node == m.c.Me.Node || x.Node == "" || len(m.members) >= 4*m.c.N {
		return
	}
	if known := m.members[x.Node]; known != nil {
		known.Member = x
		return
	}
	m.members[x.Node] = &member{Member: x}
	m.say("member found", "member", x.Node, "known", strconv.Itoa(len(m.members)+1))
}

// Members are those that are known, this one not.
func (m *Machine) Members() []Member {
	out := make([]Member, 0, len(m.members))
	for _, x := range m.members {
		out = append(out, x.Member)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Node < out[j].Node })
	return out
}

// Ask is what this member asks another for: all that it lacks. Where it has not heard of the other lately the answer is
// not to wait for news, as it is news itself that the other is there.
func (m *Machine) Ask(now time.Time, to Member) *Pull {
	p := &Pull{From: m.c.Me, Role: Core, Wire: Wire, Meet: to.Node == "", Epoch: m.epoch}
	if !p.Meet {
		if m.heardOf(to.Node, now) {
			p.WaitMs = CoreWait.Milliseconds()
		}
		x := m.members[to.Node]
		if x != nil {
			x.asked = now
		}
		if m.upToDate(now) {
			p.Come = m.feed.Vector()
		}
		if x != nil && x.source != "" {
			p.Vector = map[string]uint64{x.source: x.seq} // the version before goes by this
		}
	}
	return p
}

// upToDate tells whether the feed is as far as its vector says, and was told news not long ago, by whomever: then all that
// was forgotten since was heard of.
func (m *Machine) upToDate(now time.Time) bool { return m.known && now.Sub(m.told) < bound }

// Hold tells whether to put off pulling a member: at the start one is asked before the others, so that what this one lacks
// is handed to it once and not by everybody. Where that one does not answer, the others are not held up for long.
func (m *Machine) Hold(now time.Time, to Member) bool {
	if m.heardAny || now.Sub(m.begun) > head {
		return false
	}
	for _, x := range m.Members() {
		if x.Node != to.Node && m.nearer(x, to) {
			return true
		}
	}
	return false
}

// nearer orders members: those of this region first, then by name.
func (m *Machine) nearer(a, b Member) bool {
	region := m.c.Zones[m.c.Me.Zone]
	nearA, nearB := m.c.Zones[a.Zone] == region, m.c.Zones[b.Zone] == region
	return nearA && !nearB || nearA == nearB && a.Node < b.Node
}

// Told takes up what another member has told in answer to a pull.
func (m *Machine) Told(now time.Time, from Member, asked *Pull, n *News) {
	// An answer that builds on what was given up meanwhile claims nothing; what it brings is told on as this member's own.
	claims := n.Whole || asked.Epoch == m.epoch
	var changed []pact.Entry
	told := make(map[string]bool, len(n.Items))
	for _, it := range n.Items {
		told[it.Key] = true
		origin, number := "", it.Seq
		if n.Wire >= Wire && claims {
			origin = n.Origin(it)
		}
		changed = append(changed, m.take(now, it, origin, number)...)
	}
	for _, x := range n.Members {
		m.join(x)
	}
	if n.Wire >= Wire && !asked.Meet {
		switch {
		case n.Whole && !m.upToDate(now): // in the place of what was known before, part of which was forgotten since
			for _, key := range m.feed.Only(told, n.Come, func(it lore.Item) bool { return strings.HasPrefix(it.Key, lore.RegKey) }) {
				m.out.Gone = append(m.out.Gone, key)
				if id, ok := strings.CutPrefix(key, lore.AppKey); ok {
					delete(m.apps, id)
				}
			}
			m.known = true
			m.epoch++
		case claims:
			m.feed.Reach(n.Come)
		}
	}
	if !asked.Meet {
		m.told = now
	}
	if x := m.members[from.Node]; x != nil {
		x.heard, x.begun, x.wire, m.heardAny = now, true, n.Wire, true
		x.source, x.seq = "", 0
		if len(n.Origins) > 0 {
			x.origin = n.Origins[0]
		}
		if n.Wire < Wire {
			x.source, x.seq = n.Source, n.Seq
		}
	}
	m.save(now, Save{Entries: changed}, nil)
	m.look(now)
}

// take merges an item that another agent has told. One without an origin comes from the version before, and is told here
// first.
func (m *Machine) take(now time.Time, it lore.Item, origin string, number uint64) (changed []pact.Entry) {
	if strings.HasPrefix(it.Key, lore.RegKey) {
		e := pact.Entry{}
		if easyjson.Unmarshal([]byte(it.Body), &e) != nil || !e.Chosen {
			return nil
		}
		// It is in the feed with its own origin before it is learned, so that it is not told anew.
		if origin != "" {
			m.passOn(it, origin, number)
		}
		return m.learn(now, []pact.Entry{e})
	}
	if origin == "" && !m.tell(it) || origin != "" && !m.passOn(it, origin, number) {
		return nil
	}
	m.watch(now, it)
	return nil
}

// watch has this member look after an item that came from elsewhere or from its disk: of what it granted or heard in a
// life before it knows only so.
func (m *Machine) watch(now time.Time, it lore.Item) {
	if l, ok := lore.ReadLease(it); ok && strings.HasPrefix(it.Key, lore.LeaseKey) && l.Home == m.c.Me.Node && !l.Ended {
		m.roll.Expect(it.Key, l.Zone, now)
	}
	id, ok := strings.CutPrefix(it.Key, lore.AppKey)
	a, read := lore.ReadApp(it)
	if !ok || !read {
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

// recall takes up what was kept. An appliance counts as cold until its pulse says otherwise, and as silent if none comes:
// it may have gone, or gone cold, while this agent was away.
func (m *Machine) recall(was Memory, now time.Time) {
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
		if a, ok := lore.ReadApp(it); ok && strings.HasPrefix(it.Key, lore.AppKey) && a.Phase == lore.Ready {
			a.Heard, a.Warm = now.UnixMilli(), now.Add(m.c.Silence).UnixMilli()
			it = a.WithPhase(strings.TrimPrefix(it.Key, lore.AppKey), lore.Ready, it.Version)
		}
		if k.Origin == "" { // the version before did not keep it
			m.feed.Merge(it)
		} else {
			m.feed.Take(it, k.Origin, k.Number)
		}
		if l, ok := lore.ReadLease(it); ok && strings.HasPrefix(it.Key, lore.LeaseKey) && !l.Ended && l.Role == Edge {
			m.roll.Hold(it.Key, l.Zone, now) // it may be sending, though it has not called yet
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
func (m *Machine) Keep(since uint64) (items []Kept, come lore.Vector, seq uint64) {
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

// passOn merges an item that another told first, and wakes edge agents that wait for news.
func (m *Machine) passOn(it lore.Item, origin string, number uint64) bool {
	if !m.feed.Take(it, origin, number) {
		return false
	}
	m.wake(hurry(it))
	return true
}

// HeldToo tells whether another member holds an item too, as its pulls say.
func (m *Machine) HeldToo(key string) bool {
	origin, number := m.feed.Where(key)
	if origin == "" {
		return false
	}
	for _, r := range m.reach {
		if r.come[origin] >= number || r.come == nil && r.seq >= m.feed.SeqOf(key) {
			return true
		}
	}
	return false
}

// heardOf tells whether a member has answered lately.
func (m *Machine) heardOf(node string, now time.Time) bool {
	if node == m.c.Me.Node {
		return true
	}
	x := m.members[node]
	return x != nil && x.begun && now.Sub(x.heard) < Heard
}

// Sound tells whether what this member says may be relied on: it has caught up, and hears more than half of the core. A
// member that does not may lack what the others have acknowledged.
func (m *Machine) Sound(now time.Time) bool {
	near := 1
	for node := range m.members {
		if m.heardOf(node, now) {
			near++
		}
	}
	return m.caught && !m.leaving && 2*near > m.c.N
}

// Leave has this member end: whoever pulls is answered at once, and goes elsewhere.
func (m *Machine) Leave() {
	m.leaving = true
	m.wake(0)
}

// Pulse takes an appliance's word of itself; the address of the member where its next had best go, empty for here.
func (m *Machine) Pulse(now time.Time, id string, p *lore.Pulse) (next Member) {
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
func (m *Machine) Phase(id string) string {
	it, _ := m.feed.Get(lore.AppKey + id)
	a, ok := lore.ReadApp(it)
	if !ok {
		return ""
	}
	return a.Phase
}

// SignOff takes an appliance's last word.
func (m *Machine) SignOff(now time.Time, id string) {
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
func (m *Machine) Tally(now time.Time, items []lore.Item) {
	for _, it := range items {
		if strings.HasPrefix(it.Key, lore.TrialKey) {
			m.tell(it)
		}
	}
	m.judge(now)
}

// judge decides the releases on which the agents' votes say so.
func (m *Machine) judge(now time.Time) {
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
		m.begin(now, &task{kind: writing, until: now.Add(4 * attempt),
			changes: map[string]pact.Change{plan.ReleaseKey(service): plan.Decide(rel.Number, phase)},
			after:   func() { delete(m.deciding, service) }}) // without an end the votes stand, and are counted again
	}
}

// Minute does what time brings: leases that ran out, appliances fallen silent, lives long gone, values without an end.
func (m *Machine) Minute(now time.Time) {
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

// look says when this member begins or ends to hear most of the core; whoever waits for news is told.
func (m *Machine) look(now time.Time) {
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
func (m *Machine) lapse(now time.Time) {
	for _, key := range m.roll.Lapsed(now) {
		it, ok := m.feed.Get(key)
		if l, read := lore.ReadLease(it); ok && read && l.Home == m.c.Me.Node && !l.Ended {
			l.Ended, l.Front = true, ""
			m.tell(l.Item(it.Version + 1))
			m.say("lease ran out", "agent", l.Node, "role", l.Role)
		}
	}
}

// orphans tells the silence of appliances whose member is gone and that have found no other: the first by name of those
// that are there does it for all.
func (m *Machine) orphans(now time.Time) {
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
		if x := m.members[a.Home]; x != nil && !x.lost.IsZero() && now.Sub(x.lost) > m.c.Silence {
			found = append(found, a.Fallen(strings.TrimPrefix(it.Key, lore.AppKey), it.Version))
		}
	})
	for _, it := range found {
		m.tell(it)
		m.tombs[it.Key] = now.Add(tomb)
	}
}

// Fronts lists where clients of a zone should go: to the agents there; where there are none to others of the region, then
// to any.
func (m *Machine) Fronts(now time.Time, zone, region string, most int) []string {
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
