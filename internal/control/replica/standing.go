package replica

import (
	"hash/fnv"
	"slices"
	"strconv"
	"time"

	"sagelever/internal/control/membership"
	"sagelever/internal/control/quorum"
)

// Identity is what a replica's disk says of the replica. It is saved whole.
type Identity struct {
	Disk       string   // of this disk; another one is another member
	Starts     uint64   // of processes that used it
	Generation uint64   // counted on once others have confirmed it, and each generationSpan from then on
	Fresh      bool     // it took part in the first start of the whole system
	Contacts   []string // the peer addresses of the first contacts at that start
	Acting     bool     // it has acted, in the epoch Active
	Active     uint64   // the last epoch for which it held all that was chosen before
}

// generationSpan is how often a running replica counts its generation on. A disk from the past is noticed when it is older
// than this and the longest pause between two pulls together (CoreWait and a second).
const generationSpan = 10 * time.Second

// settleMembers is settle for the set of members.
const settleMembers = 300 * time.Millisecond

// standing is this replica's place among the members.
type standing struct {
	me        Member
	set       membership.Set // the newest that is known to be chosen; of epoch 0 the first contacts
	chosen    quorum.Entry   // as which it was chosen; the zero one in epoch 0
	identity  Identity
	handed    Identity // as the disk was last given it; part of it may not be there yet
	saved     bool     // the identity is on the disk
	confirmed bool     // the disk is not one from the past
	counted   time.Time
	adopted   time.Time // when the set was heard of
	learned   bool      // what an acting member held is held here, by one that is no member
	proposing bool
	present   time.Time // since when a first set could be proposed
}

func (s *standing) entry() *SetEntry {
	if s.chosen.Key == "" {
		return nil
	}
	e := s.chosen
	return &e
}

// member tells whether this replica, on this disk, belongs to the set in force.
func (s *standing) member() bool {
	if s.set.Epoch == 0 {
		return s.identity.Fresh && slices.ContainsFunc(s.set.Members, func(m Member) bool { return m.Addr == s.me.Addr })
	}
	return s.set.Has(s.me)
}

// takePlace reads from what the disk held which replica this is, and which set of members it knew.
func (m *Replica) takePlace(now time.Time, was Memory) {
	s := &m.standing
	s.identity = was.Identity
	if s.identity.Disk == "" {
		first := m.c.Fresh || was.Earlier
		s.identity = Identity{Disk: m.newDisk(now), Generation: 1, Fresh: first, Acting: first, Contacts: m.c.Contacts}
	}
	s.identity.Starts++
	s.handed = s.identity
	s.me = m.c.Me
	s.me.Disk = s.identity.Disk
	m.generations = was.Generations
	if m.generations == nil {
		m.generations = map[string]Generation{}
	}
	s.set = firstSet(s.identity.Contacts)
	held := m.acceptor.Get(membership.Key)
	set, err := membership.Read(held.Value)
	switch {
	case err != nil:
	case held.Chosen:
		s.set, s.chosen = set, held
	case set.Epoch > 1: // accepted, and not known to be chosen: the set before is in force as far as this replica knows
		s.set = membership.Set{Epoch: set.Epoch - 1, Members: set.Previous, Lose: set.PrevLose}
	}
	m.knowMembers(now)
}

// firstSet are the first contacts, which decide the first set of members and nothing else.
func firstSet(contacts []string) membership.Set {
	var members []Member
	for _, addr := range contacts {
		members = append(members, Member{Node: addr, Addr: addr})
	}
	return membership.New(0, members, len(members))
}

// newDisk draws an identity for a disk that is used for the first time.
func (m *Replica) newDisk(now time.Time) string {
	h := fnv.New64a()
	h.Write([]byte(m.c.Me.Node + m.c.Me.Addr))
	return strconv.FormatUint(h.Sum64()^uint64(now.UnixNano()), 36) + strconv.FormatUint(uint64(m.c.Luck()*(1<<30)), 36)
}

// beginStanding saves the identity and begins what has to come before this replica acts.
func (m *Replica) beginStanding(now time.Time) {
	identity := m.standing.handed
	m.save(now, Save{Identity: &identity}, func(now time.Time, err error) {
		if err == nil {
			m.standing.saved = true
			m.confirm(now)
		}
	})
}

// confirm has others confirm that this disk is not one from the past, where there are others who know.
func (m *Replica) confirm(now time.Time) {
	s := &m.standing
	if s.confirmed || !s.saved || m.under(confirming) {
		return
	}
	wanted := s.set.Epoch > 0 && (s.member() || m.own()) // its word is wanted, in this epoch or by those who take over
	if s.identity.Starts == 1 || wanted && s.set.Witnesses() == 0 {
		s.confirmed = true
		m.takeOver(now)
		return
	}
	if wanted {
		m.begin(now, &task{kind: confirming})
	}
}

// under tells whether a task of a kind is under way.
func (m *Replica) under(kind int) bool {
	for _, t := range m.tasks {
		if t.kind == kind {
			return true
		}
	}
	return false
}

// Acting tells whether this replica counts: it is a member in the epoch in force, holds all that was chosen before it, and
// its disk is not one from the past.
func (m *Replica) Acting() bool {
	s := &m.standing
	if s.set.Epoch > 0 && !s.confirmed {
		return false
	}
	return s.saved && s.identity.Acting && s.identity.Active == s.set.Epoch && s.member()
}

// actingIn is the epoch in which this replica acts; zero where it does not.
func (m *Replica) actingIn() uint64 {
	if !m.Acting() {
		return 0
	}
	return m.standing.set.Epoch
}

// sealed tells whether this replica has accepted a next set: then nothing else is promised or accepted in this epoch, so that
// whoever takes over finds all that can ever be chosen in it.
func (m *Replica) sealed() bool {
	return m.standing.set.Epoch == 0 || m.acceptor.Get(membership.Key).Value.Version > m.standing.identity.Active
}

// onlyMembers tells whether a message of a round is about the set of members alone.
func onlyMembers(a *Ask) bool {
	for _, key := range a.Keys {
		if key != membership.Key {
			return false
		}
	}
	for _, e := range a.Values {
		if e.Key != membership.Key {
			return false
		}
	}
	return true
}

// Epoch is the newest epoch that this replica knows of.
func (m *Replica) Epoch() uint64 { return m.standing.set.Epoch }

// CandidateReady tells whether a replica that is no member has told here that it holds what the members hold.
func (m *Replica) CandidateReady(node string) bool {
	c := m.candidates[node]
	return c != nil && c.Ready
}

// self is this replica's name among those that answer in the rounds of the epoch in force.
func (m *Replica) self() string {
	if m.standing.set.Epoch == 0 {
		return m.standing.me.Addr
	}
	return m.standing.me.Node
}

// proposer is this replica's name in ballots. It holds how often a process has started with this disk: of what was
// proposed in a life before, and not promised by this member's own disk yet, nothing is known, and no ballot may be used twice.
func (s *standing) proposer() string {
	name := s.me.Node
	if s.set.Epoch == 0 {
		name = s.me.Addr
	}
	return name + "/" + strconv.FormatUint(s.identity.Starts, 36)
}

// peers are the other members of the epoch in force, where they were last heard.
func (m *Replica) peers() []Member {
	if m.standing.set.Epoch > 0 {
		return m.Members()
	}
	return slices.DeleteFunc(slices.Clone(m.standing.set.Members), func(x Member) bool { return x.Addr == m.standing.me.Addr })
}

// adopt takes up a set of members that is known to be chosen.
func (m *Replica) adopt(now time.Time, e quorum.Entry) {
	s := &m.standing
	if e.Key != membership.Key || e.Value.Version <= s.set.Epoch {
		return
	}
	set, err := membership.Read(e.Value)
	if err != nil {
		return
	}
	was := s.member() && s.set.Epoch > 0
	s.set, s.chosen, s.adopted = set, e, now
	m.knowMembers(now)
	for _, number := range m.taskNumbers() {
		t := m.tasks[number]
		if t.kind == confirming {
			m.end(t, nil, nil)
		} else if t.again.IsZero() {
			t.try++ // what was asked under the set before does not count
			t.again = now
		}
	}
	m.say("members changed", "epoch", strconv.FormatUint(set.Epoch, 10), "members", strconv.Itoa(len(set.Members)), "here", strconv.FormatBool(s.member()))
	if was && !s.member() {
		m.say("this replica is no member any more", "epoch", strconv.FormatUint(set.Epoch, 10))
	}
	m.confirm(now)
	m.takeOver(now)
	m.wake(0)
}

// knowMembers makes the members of the set those that are known, and keeps what is known of them.
func (m *Replica) knowMembers(now time.Time) {
	known := map[string]*member{}
	if m.standing.set.Epoch > 0 {
		for _, x := range m.standing.set.Members {
			if x.Node == m.standing.me.Node {
				continue
			}
			if old := m.members[x.Node]; old != nil && old.Is(x) {
				known[x.Node] = old
				continue
			}
			known[x.Node] = &member{Member: x, since: now}
			if c := m.candidates[x.Node]; c != nil && c.Is(x) {
				known[x.Node].Member = c.Member // where it called from last
			}
		}
	}
	m.members = known
}

// takeOver begins to take over from the epoch before, or to learn as a candidate, where that is due.
func (m *Replica) takeOver(now time.Time) {
	s := &m.standing
	if !s.saved || s.set.Epoch == 0 || m.Acting() {
		return
	}
	if s.member() {
		if s.confirmed && !m.under(joining) {
			m.begin(now, &task{kind: joining})
		}
		return
	}
	if !s.learned && !m.under(learning) {
		m.begin(now, &task{kind: learning})
	}
}

// renewDisk gives up a disk that turned out to be one from the past: what it promised later is not known here. Its replica
// goes on as one that was never a member.
func (m *Replica) renewDisk(now time.Time) {
	s := &m.standing
	m.say("the disk is one from the past: this replica is no member until it is voted in again", "generation", strconv.FormatUint(s.identity.Generation, 10))
	s.identity = Identity{Disk: m.newDisk(now), Starts: 1, Generation: 1}
	s.handed = s.identity
	s.me.Disk = s.identity.Disk
	s.saved, s.confirmed, s.learned = false, false, false
	m.knowMembers(now)
	m.beginStanding(now)
}

// count counts the generation of the disk on, once others have confirmed it: counted on sooner, an old disk that is started
// again and again while its replica is cut off would pass what the others know.
func (m *Replica) count(now time.Time) {
	s := &m.standing
	if !s.saved {
		if len(m.saving) == 0 {
			m.beginStanding(now)
		}
		return
	}
	if !s.confirmed || now.Sub(s.counted) < generationSpan && !now.Before(s.counted) {
		return
	}
	s.counted = now
	next := s.handed
	next.Generation++
	s.handed = next
	m.save(now, Save{Identity: &next}, func(_ time.Time, err error) {
		if err == nil && m.standing.identity.Disk == next.Disk {
			m.standing.identity.Generation = max(m.standing.identity.Generation, next.Generation)
		}
	})
}
