package replica

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"sagelever/internal/control/quorum"
	"sagelever/internal/control/rangesync"
)

// attemptConfirm asks the other members which generation of this disk they know.
func (m *Replica) attemptConfirm(now time.Time, t *task) {
	s := &m.standing
	others := m.peers()
	if !s.member() {
		others = m.sources()
	}
	m.ask(now, t, others, GenerationPath, &Ask{Epoch: s.set.Epoch, From: s.me, Generation: s.identity.Generation})
}

// serveGeneration says which generation of a disk was known here, and notes the one that is told. It says so whether or not
// this replica acts itself: after a loss of all power none does yet.
func (m *Replica) serveGeneration(a *Ask) *Reply {
	r := &Reply{OK: true, Disk: m.standing.me.Disk}
	if known := m.generations[a.From.Node]; known.Disk == a.From.Disk {
		r.Generation = known.Number
	}
	m.noteGeneration(a.From, a.Generation)
	return r
}

func (m *Replica) noteGeneration(of Member, number uint64) {
	if of.Disk == "" || number == 0 {
		return
	}
	known := m.generations[of.Node]
	if known.Disk == of.Disk && known.Number >= number {
		return
	}
	if member, ok := m.standing.set.Find(of.Node); ok && member.Disk != of.Disk && known.Disk == member.Disk {
		return // a candidate takes no member's place
	}
	m.generations[of.Node] = Generation{Disk: of.Disk, Number: number}
}

// hearGeneration takes another's word on this disk.
func (m *Replica) hearGeneration(now time.Time, t *task, from Member, r *Reply) {
	s := &m.standing
	if !r.OK || t.heard[from.Node] || r.Disk != from.Disk { // a member that lost its disk knows nothing
		return
	}
	if r.Generation > s.identity.Generation {
		m.end(t, nil, nil)
		m.renewDisk(now)
		return
	}
	t.heard[from.Node] = true
	if len(t.heard) < s.set.Witnesses() {
		return
	}
	s.confirmed = true
	m.end(t, nil, nil)
	m.count(now)
	m.takeOver(now)
	m.look(now)
}

// attemptJoin asks the members of the epoch before, and of this one, for all that they hold.
func (m *Replica) attemptJoin(now time.Time, t *task) {
	s := &m.standing
	if m.own() && s.set.Takeover() <= 1 {
		m.finishJoin(now, t)
		return
	}
	from := m.sources()
	m.ask(now, t, from, StatePath, m.rangesAsk(StatePath, m.compareWith(t, from, rangesync.Range{})))
}

// sources are the other members of the epoch before and of this one.
func (m *Replica) sources() (from []Member) {
	s := &m.standing
	for _, x := range append(slices.Clone(s.set.Previous), s.set.Members...) {
		if x.Is(s.me) || slices.ContainsFunc(from, x.Is) {
			continue
		}
		if known := m.members[x.Node]; known != nil && known.Is(x) {
			x = known.Member
		}
		from = append(from, x)
	}
	return from
}

// own tells whether this replica's own state is one of the epoch before.
func (m *Replica) own() bool {
	s := &m.standing
	return s.identity.Acting && s.identity.Active+1 == s.set.Epoch && slices.ContainsFunc(s.set.Previous, s.me.Is)
}

// attemptLearn asks one acting member after the other.
func (m *Replica) attemptLearn(now time.Time, t *task) {
	peers := m.Members()
	if len(peers) == 0 {
		m.pause(now, t)
		return
	}
	from := []Member{peers[t.try%len(peers)]}
	m.ask(now, t, from, StatePath, m.rangesAsk(StatePath, m.compareWith(t, from, rangesync.Range{})))
}

// serveState tells what this replica holds. One that is asked about an epoch that it did not know of adopts it first, and
// has that on its disk before it answers: from then on what it holds of the epoch before does not change any more.
func (m *Replica) serveState(now time.Time, a *Ask, then func(now time.Time, r *Reply, err error)) {
	var changed []quorum.Entry
	if a.Set != nil {
		changed = m.learn(now, []quorum.Entry{*a.Set})
	}
	s := &m.standing
	if a.Epoch < s.set.Epoch {
		m.save(now, Save{Entries: changed}, func(now time.Time, _ error) { then(now, &Reply{Set: s.entry()}, nil) })
		return
	}
	if !s.confirmed || !s.identity.Acting || a.Epoch != s.set.Epoch {
		m.save(now, Save{Entries: changed}, func(now time.Time, _ error) { then(now, nil, ErrCatching) })
		return
	}
	r := &Reply{OK: true, Disk: s.me.Disk, Acting: s.identity.Active, Others: maps.Clone(m.generations)}
	m.compare(a, r)
	m.save(now, Save{Entries: changed}, func(now time.Time, err error) {
		if err != nil {
			r = nil
		}
		then(now, r, err)
	})
}

// hearState takes what another replica holds.
func (m *Replica) hearState(now time.Time, t *task, from Member, r *Reply) {
	if !r.OK || t.heard[from.Node+from.Disk] || r.Disk != from.Disk {
		return
	}
	// Who comes new into the set is asked for its word on disks like those whose place it takes.
	for node, g := range r.Others {
		m.noteGeneration(Member{Node: node, Disk: g.Disk}, g.Number)
	}
	m.compared(now, t, from, StatePath, r, func(now time.Time) {
		if t.kind == learning {
			m.finishLearn(now, t, r)
			return
		}
		s := &m.standing
		if r.Acting == s.set.Epoch { // it holds all that was chosen before this epoch
			m.finishJoin(now, t)
			return
		}
		if r.Acting+1 != s.set.Epoch || !slices.ContainsFunc(s.set.Previous, from.Is) {
			return
		}
		t.heard[from.Node+from.Disk] = true
		words := len(t.heard)
		if slices.ContainsFunc(s.set.Previous, s.me.Is) { // one that did not act there has accepted nothing there, and now holds what was chosen before
			words++
		}
		if words >= s.set.Takeover() {
			m.finishJoin(now, t)
		}
	})
}

// finishJoin has this replica act in the epoch in force, once its disk says so.
func (m *Replica) finishJoin(now time.Time, t *task) {
	s := &m.standing
	if t.taking {
		return
	}
	t.taking, t.deadline = true, time.Time{} // it takes as long as the disk does
	epoch, try := s.set.Epoch, t.try
	m.acceptor.Refuse(quorum.Ballot{Epoch: epoch})
	floor := m.acceptor.Floor()
	next := s.handed
	next.Acting, next.Active = true, epoch
	s.handed = next
	t.unsaved++
	number := m.number + 1 // of this save
	m.save(now, Save{Floor: &floor, Identity: &next}, func(now time.Time, err error) {
		if m.tasks[t.number] != t || t.try != try {
			return
		}
		t.unsaved--
		if err != nil || t.failed || next.Disk != s.identity.Disk || m.unsavedBefore(number) {
			m.pause(now, t)
			return
		}
		s.identity.Acting, s.identity.Active = true, epoch
		m.end(t, nil, nil)
		m.say("acts as a member", "epoch", strconv.FormatUint(epoch, 10), "registers", strconv.Itoa(len(m.acceptor.All())),
			"afterMs", strconv.FormatInt(now.Sub(s.adopted).Milliseconds(), 10))
		m.look(now)
		m.wake(0)
	})
}

// unsavedBefore tells whether something that was handed to the disk before a save is not known to be there.
func (m *Replica) unsavedBefore(save uint64) bool {
	for number := range m.saving {
		if number < save {
			return true
		}
	}
	return m.unsaved
}

// finishLearn makes a candidate ready to be voted in.
func (m *Replica) finishLearn(now time.Time, t *task, r *Reply) {
	if r.Acting != m.standing.set.Epoch {
		m.pause(now, t)
		return
	}
	m.standing.learned = true
	m.end(t, nil, nil)
	m.say("holds what the members hold, and waits to be voted in", "registers", strconv.Itoa(len(m.acceptor.All())))
	m.wake(0)
}
