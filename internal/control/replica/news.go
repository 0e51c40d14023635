package replica

import (
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/mailru/easyjson"

	"sagelever/internal/control/membership"
	"sagelever/internal/control/quorum"
	"sagelever/lore"
)

// reached is how far a member has come that pulls here, and when it last did.
type reached struct {
	come lore.Vector
	seq  uint64 // by this feed's own numbers, with the first version of the wire
	at   time.Time
}

// tell merges an item that is told here first, and has those woken who wait for news.
func (m *Replica) tell(it lore.Item) bool {
	if !m.feed.Merge(it) {
		return false
	}
	m.wake(hurry(it))
	return true
}

func (m *Replica) wake(after time.Duration) {
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
func (m *Replica) Pulled(now time.Time, p *Pull) *Waiting {
	w := &Waiting{p: p, by: m.feed.Seq(), come: m.feed.Vector(), sound: m.Sound(now), behind: m.meet(now, p)}
	if p.Wire >= Wire {
		w.whole = len(p.Come) == 0
	}
	if x := m.memberThat(p); x != nil && !m.heardOf(x.Node, now) && now.Sub(x.asked) > stuck {
		x.asked = now
		m.out.Call = append(m.out.Call, x.Member)
	}
	if !p.Meet && m.memberThat(p) != nil {
		was, known := m.reach[p.From.Node]
		m.reach[p.From.Node] = reached{come: p.Come, seq: p.Vector[m.feed.Source], at: now}
		if away := now.Sub(was.at); known && away > Heard+LeaseTerm {
			items, _ := m.feed.Lacks(p.Come, m.feed.Seq(), nil)
			m.say("a member is back, and handed what it should have had", "member", p.From.Node, "awayMs", strconv.FormatInt(away.Milliseconds(), 10),
				"items", strconv.Itoa(len(items)), "whole", strconv.FormatBool(w.whole))
		}
	}
	return w
}

// memberThat is the member that pulls; nil where an agent or a candidate does.
func (m *Replica) memberThat(p *Pull) *member {
	x := m.members[p.From.Node]
	if p.Role != Core || x == nil || !x.Is(p.From) {
		return nil
	}
	return x
}

// Answer is the news for a pull, and whether to send it: otherwise there is none, and it may wait unless that is its end.
func (m *Replica) Answer(now time.Time, w *Waiting) (n *News, ready bool) {
	p := w.p
	m.lapse(now)
	sound := m.Sound(now)
	n = &News{Source: m.feed.Source, Wire: Wire, Seq: m.feed.Seq(), Sound: sound, Life: w.behind, Now: now.UnixMilli()}
	n.Agents, n.Here = m.roll.Count(p.From.Zone, now)
	if p.Role == Core {
		n.Disk = m.standing.me.Disk
		n.Acting = m.actingIn()
		if p.Set < m.standing.set.Epoch {
			n.Set = m.standing.entry()
		}
	}
	ready = m.leaving || sound != w.sound || w.behind != 0 || n.Set != nil || p.Role == Core && n.Acting != p.Acting
	if n.Count = m.counting(now); p.Role == Edge && n.Count > p.Count {
		ready = true
	}
	var wanted func(string) bool
	if p.Role != Core { // edge agents need neither leases nor the set of members
		wanted = func(key string) bool {
			return !strings.HasPrefix(key, lore.LeaseKey) && key != lore.RegKey+membership.Key
		}
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
		reach[m.feed.Origin] = m.feed.Own()
		if n.Come = reach; !w.whole {
			n.Come = further(reach, p.Come)
		}
		cutNews(n, p)
		_, knows := p.Come[m.feed.Origin]
		ready = ready || !knows || w.whole
	}
	if _, knows := p.Come[m.feed.Origin]; p.Meet || p.Role == Edge && (!knows || len(n.Items) > 0) { // who has heard this life was told
		n.Members = m.callable()
	}
	return n, ready || len(n.Items) > 0
}

// callable are the members that agents may pull from: this replica is among them only while it is one.
func (m *Replica) callable() []Member {
	out := m.Members()
	if m.standing.member() || len(out) == 0 {
		out = append(out, m.standing.me)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Node < out[j].Node })
	return out
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

// justHeard is for how long after a member's answer the next pull of it may wait for news: longer than the pause between two
// pulls. After one that failed the answer itself is the news.
const justHeard = time.Second

// Ask is what this member asks another for: all that it lacks. Where it has not heard of the other lately the answer is
// not to wait for news, as it is news itself that the other is there.
func (m *Replica) Ask(now time.Time, to Member) *Pull {
	s := &m.standing
	p := &Pull{From: s.me, Role: Core, Wire: Wire, Meet: to.Node == "", Epoch: m.epoch, Set: s.set.Epoch, Ending: m.leaving, Ready: s.learned}
	if s.set.Epoch == 0 {
		p.Ready = s.identity.Fresh
	}
	p.Ready = p.Ready && s.saved // a disk whose identity could still be lost is nobody's
	if s.saved {
		p.Disk = s.identity.Generation
	}
	if !p.Meet {
		if x := m.members[to.Node]; x != nil && x.begun && now.Sub(x.heard) < justHeard {
			p.WaitMs = CoreWait.Milliseconds()
			if !s.member() {
				p.WaitMs = candidateWait.Milliseconds()
			}
		}
		x := m.members[to.Node]
		if x != nil {
			x.asked = now
			p.Acting = x.acting
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
func (m *Replica) upToDate(now time.Time) bool { return m.known && now.Sub(m.told) < bound }

// Hold tells whether to put off pulling a member: at the start one is asked before the others, so that what this one lacks
// is handed to it once and not by everybody. Where that one does not answer, the others are not held up for long.
func (m *Replica) Hold(now time.Time, to Member) bool {
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
func (m *Replica) nearer(a, b Member) bool {
	region := m.c.Zones[m.c.Me.Zone]
	nearA, nearB := m.c.Zones[a.Zone] == region, m.c.Zones[b.Zone] == region
	return nearA && !nearB || nearA == nearB && a.Node < b.Node
}

// Told takes up what another member has told in answer to a pull.
func (m *Replica) Told(now time.Time, from Member, asked *Pull, n *News) {
	// An answer that builds on what was given up meanwhile claims nothing; what it brings is told on as this member's own.
	claims := n.Whole || asked.Epoch == m.epoch
	var changed []quorum.Entry
	told := make(map[string]bool, len(n.Items))
	for _, it := range n.Items {
		told[it.Key] = true
		origin, number := "", it.Seq
		if n.Wire >= Wire && claims {
			origin = n.Origin(it)
		}
		changed = append(changed, m.take(now, it, origin, number)...)
	}
	if n.Set != nil {
		changed = append(changed, m.learn(now, []quorum.Entry{*n.Set})...)
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
	if x := m.members[from.Node]; x != nil && (n.Disk == x.Disk || n.Wire < Wire) { // else a candidate calls from a member's address
		x.heard, x.begun, m.heardAny = now, true, true
		x.acting = n.Acting
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
func (m *Replica) take(now time.Time, it lore.Item, origin string, number uint64) (changed []quorum.Entry) {
	if strings.HasPrefix(it.Key, lore.RegKey) {
		e := quorum.Entry{}
		if easyjson.Unmarshal([]byte(it.Body), &e) != nil || !e.Chosen {
			return nil
		}
		// It is in the feed with its own origin before it is learned, so that it is not told anew.
		if origin != "" {
			m.passOn(it, origin, number)
		}
		return m.learn(now, []quorum.Entry{e})
	}
	if origin == "" && !m.tell(it) || origin != "" && !m.passOn(it, origin, number) {
		return nil
	}
	m.watch(now, it)
	return nil
}

// passOn merges an item that another told first, and wakes edge agents that wait for news.
func (m *Replica) passOn(it lore.Item, origin string, number uint64) bool {
	if !m.feed.Take(it, origin, number) {
		return false
	}
	m.wake(hurry(it))
	return true
}

// Together is for how long the word on a removal waits until all members that are heard hold it, so that all agents stop at
// about one moment: some ways between regions, and well within the second for which callers wait.
const Together = 250 * time.Millisecond

// leastHolders is how many members hold a removal at least, so that its word outlives the one that gave it: also in a first set of
// two, of which one would be half.
const leastHolders = 2

// Spread tells whether what has been told here at a moment has gone far enough to be acknowledged: so many members hold it
// that each that may be relied on, as it hears more than half of the core, hears one that does; and all of those that are
// heard, unless that takes too long.
func (m *Replica) Spread(now time.Time, key string, since time.Time) bool {
	origin, number := m.feed.Where(key)
	if origin == "" {
		return false
	}
	holders, all, size := 1, true, len(m.standing.set.Members)
	for node := range m.members {
		r, known := m.reach[node]
		switch {
		case known && (r.come[origin] >= number || r.come == nil && r.seq >= m.feed.SeqOf(key)):
			holders++
		case m.heardOf(node, now):
			all = false
		}
	}
	return holders >= max(size-size/2, min(size, leastHolders)) && (all || now.Sub(since) >= Together)
}
