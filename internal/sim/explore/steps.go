package explore

import (
	"fmt"
	"math/bits"
)

// Kind is what a step does.
type Kind int

// The kinds of steps.
const (
	Promise Kind = iota
	Acceptance
	Fetch
	Copy
	Activation
	Loss
	Restart
	ReadBegins
	ReadEnds
)

// Step is one step of a trace.
type Step struct {
	Kind   Kind
	Round  int
	Member int
	Epoch  uint8
	From   uint8 // members that told what is merged or fetched
	Note   string
}

func (s Step) String() string {
	who := memberName(s.Member)
	switch s.Kind {
	case Promise:
		return fmt.Sprintf("%s promises to round %d.%d%s", who, s.Epoch, s.Round+1, s.Note)
	case Acceptance:
		return fmt.Sprintf("%s accepts in round %d.%d%s", who, s.Epoch, s.Round+1, s.Note)
	case Fetch:
		return fmt.Sprintf("%s fetches what %s holds, for epoch %d", who, memberNames(s.From), s.Epoch)
	case Copy:
		return fmt.Sprintf("%s learns what %s holds", who, memberNames(s.From))
	case Activation:
		return fmt.Sprintf("%s becomes active in epoch %d%s", who, s.Epoch, s.Note)
	case Loss:
		return who + " loses its disk"
	case Restart:
		return who + " restarts from its disk"
	case ReadBegins:
		return fmt.Sprintf("a read of epoch %d begins and asks %s%s", s.Epoch, who, s.Note)
	}
	return fmt.Sprintf("the read ends with the answer of %s%s", who, s.Note)
}

// successor is a state that one step leads to.
type successor struct {
	state state
	step  Step
}

// successors are all states that one step leads to, always in the same order; they are appended to a slice.
func (m *model) successors(s *state, out []successor) []successor {
	for i := range m.ordinary {
		out = m.roundSteps(s, i, out)
	}
	for i := range memberCount {
		if s.members[i].lost {
			continue
		}
		out = m.activationSteps(s, i, out)
		out = m.faultSteps(s, i, out)
		if m.bounds.Copies {
			out = m.copySteps(s, i, out)
		}
	}
	if m.bounds.Reader {
		out = m.readSteps(s, out)
	}
	return out
}

// roundSteps are the replies to a round's messages that may come next.
func (m *model) roundSteps(s *state, i int, out []successor) []successor {
	round, spec := &s.rounds[i], m.rounds[i]
	for epoch := uint8(1); epoch <= maxEpochs; epoch++ {
		if round.epoch != 0 && round.epoch != epoch || spec.epoch != 0 && spec.epoch != epoch {
			continue
		}
		for k := range memberCount {
			if s.members[k].lost || !m.asks(s, epoch, k) && !m.takesRemoved(s, epoch, k) {
				continue
			}
			next := *s
			if !round.proposed && m.asks(s, epoch, k) && m.promise(&next, i, k, epoch) {
				out = append(out, successor{next, Step{Kind: Promise, Round: i, Member: k, Epoch: epoch, Note: m.proposalNote(&next, i)}})
			}
			if round.proposed && m.accept(&next, i, k) {
				out = append(out, successor{next, Step{Kind: Acceptance, Round: i, Member: k, Epoch: epoch, Note: m.chosenNote(s, &next, i)}})
			}
		}
	}
	return out
}

// asks tells whether a round of an epoch reckons with a member.
func (m *model) asks(s *state, epoch uint8, k int) bool {
	return m.setMask(s, epoch)&(1<<k) != 0
}

// takesRemoved tells whether a member that was voted out is reckoned with, which is a planted fault.
func (m *model) takesRemoved(s *state, epoch uint8, k int) bool {
	return m.fault == RemovedCounts && epoch > 1 && m.setMask(s, epoch) != 0 && m.setMask(s, epoch-1)&^m.setMask(s, epoch)&(1<<k) != 0
}

// save takes over what a member has to store, and stores it.
func (m *model) save(s *state, k int, d disk) {
	member := &s.members[k]
	member.memory = d
	if m.fault != ReplyBeforeSync {
		member.stored = d
	}
	for epoch := uint8(1); epoch < maxEpochs; epoch++ {
		if member.sealed[epoch].held {
			continue
		}
		if o := m.ask(call{disk: d, does: tellsSealed, epoch: epoch}); o.ok {
			member.sealed[epoch] = copied{true, o.told.accepted, o.told.value}
		}
	}
}

func (m *model) promise(s *state, i, k int, epoch uint8) bool {
	round, spec := &s.rounds[i], m.rounds[i]
	if round.toldBy&(1<<k) != 0 {
		return false
	}
	o := m.ask(call{disk: s.members[k].memory, does: prepares, epoch: epoch, ballot: ballotID(epoch, i), members: spec.key == MembersKey})
	if !o.ok {
		return false
	}
	m.save(s, k, o.disk)
	round.epoch = epoch
	round.told[bits.OnesCount8(round.toldBy)] = copied{true, o.told.accepted, o.told.value}
	round.toldBy |= 1 << k
	if bits.OnesCount8(round.toldBy) == asked {
		round.value, round.proposed = m.propose(s, i), true
		round.toldBy, round.told = 0, [asked]copied{}
	}
	return true
}

func (m *model) accept(s *state, i, k int) bool {
	round, spec := &s.rounds[i], m.rounds[i]
	if round.accepted&(1<<k) != 0 {
		return false
	}
	c := call{disk: s.members[k].memory, does: accepts, epoch: round.epoch, ballot: ballotID(round.epoch, i), members: spec.key == MembersKey, value: round.value}
	removed := m.takesRemoved(s, round.epoch, k)
	if removed {
		c.disk.epoch, c.disk.members = round.epoch, record{}
	}
	o := m.ask(c)
	if !o.ok {
		return false
	}
	if removed {
		o.disk.epoch, o.disk.members = s.members[k].memory.epoch, s.members[k].memory.members
	}
	m.save(s, k, o.disk)
	round.accepted |= 1 << k
	round.chosen = m.isChosen(s, i)
	return true
}

// activationSteps are how a member comes into a later epoch.
func (m *model) activationSteps(s *state, k int, out []successor) []successor {
	for epoch := uint8(2); epoch <= maxEpochs; epoch++ {
		mask := m.setMask(s, epoch)
		if mask&(1<<k) == 0 || s.members[k].memory.epoch >= epoch {
			continue
		}
		for from := range memberCount {
			if x := &s.members[from]; !x.lost && m.mayFetch(x, epoch) {
				next := *s
				next.members[k].fetched = copied{true, x.memory.item.accepted, x.memory.item.value}
				next.members[k].fetchedEpoch = epoch
				if next != *s {
					out = append(out, successor{next, Step{Kind: Fetch, Member: k, Epoch: epoch, From: 1 << from}})
				}
			}
		}
		if x := &s.members[k]; x.fetched.held && (x.fetchedEpoch == epoch || m.fault == StaleCopyCounts) {
			out = append(out, m.activate(s, k, epoch, []copied{x.fetched}, 0))
		}
		out = m.sealedSteps(s, k, epoch, out)
		if m.fault == LearnerCounts {
			out = append(out, m.activate(s, k, epoch, nil, 0))
		}
	}
	return out
}

// mayFetch tells whether what a member holds is enough to become active in an epoch.
func (m *model) mayFetch(from *memberState, epoch uint8) bool {
	return from.memory.epoch == epoch || m.fault == UnsealedCopyCounts && from.memory.epoch == epoch-1
}

// copySteps are what a member learns of others by the way: of one in its own epoch or a later one.
func (m *model) copySteps(s *state, k int, out []successor) []successor {
	own := &s.members[k].memory
	for from := range memberCount {
		x := &s.members[from]
		if from == k || x.lost || x.memory.epoch < own.epoch || x.memory.item.accepted == own.item.accepted {
			continue
		}
		next := *s
		m.save(&next, k, m.ask(call{disk: *own, does: learns, ballot: x.memory.item.accepted, value: x.memory.item.value}).disk)
		if next != *s {
			out = append(out, successor{next, Step{Kind: Copy, Member: k, From: 1 << from}})
		}
	}
	return out
}

// sealedSteps are activations from what sealed members of the epoch before told.
func (m *model) sealedSteps(s *state, k int, epoch uint8, out []successor) []successor {
	need := asked
	if m.fault == FewSealed {
		need--
	}
	before := m.before(epoch)
	old := m.setMask(s, before)
	for sources := uint8(1); sources < 1<<memberCount; sources++ {
		if bits.OnesCount8(sources) != need || sources&^old != 0 {
			continue
		}
		var held []copied
		for from := range memberCount {
			if c := s.members[from].sealed[before]; sources&(1<<from) != 0 && c.held {
				held = append(held, c)
			}
		}
		if len(held) == need {
			out = append(out, m.activate(s, k, epoch, held, sources))
		}
	}
	return out
}

func (m *model) activate(s *state, k int, epoch uint8, held []copied, sources uint8) successor {
	next := *s
	set, ballot, _ := m.set(s, epoch)
	c := call{disk: s.members[k].memory, does: activates, epoch: epoch, ballot: ballot, value: set}
	copy(c.held[:], held)
	member := &next.members[k]
	before := member.stored
	m.save(&next, k, m.ask(c).disk)
	member.fetched, member.fetchedEpoch = copied{}, 0
	if m.fault == ActiveBeforeSync {
		member.stored = before
		member.stored.epoch, member.stored.members = member.memory.epoch, member.memory.members
	}
	return successor{next, Step{Kind: Activation, Member: k, Epoch: epoch, From: sources, Note: activationNote(sources)}}
}

func activationNote(sources uint8) string {
	if sources == 0 {
		return " with what it fetched"
	}
	return " with what " + memberNames(sources) + " held when they were sealed"
}

// faultSteps are the loss of a member's disk and its restart.
func (m *model) faultSteps(s *state, k int, out []successor) []successor {
	if int(s.losses) < m.bounds.Losses && m.mayLose(s, k) {
		next := *s
		member := &next.members[k]
		member.fetched, member.fetchedEpoch = copied{}, 0
		next.losses++
		if m.fault == WipedCounts {
			d := disk{epoch: member.memory.epoch, members: member.memory.members}
			member.memory, member.stored = d, d
		} else {
			member.memory, member.stored, member.lost = disk{}, disk{}, true
		}
		out = append(out, successor{next, Step{Kind: Loss, Member: k}})
	}
	if int(s.restarts) < m.bounds.Restarts {
		next := *s
		member := &next.members[k]
		member.memory, member.fetched, member.fetchedEpoch = member.stored, copied{}, 0
		if next != *s {
			next.restarts++
			out = append(out, successor{next, Step{Kind: Restart, Member: k}})
		}
	}
	return out
}

// mayLose tells whether the instance withstands that a member loses its disk: of no set that still counts more than f are
// lost. A set counts until f+1 members are active in a later one. Where the members that are left must be able to go on,
// a set counts before it is chosen too: once one member has accepted it, nothing else can be chosen without that member.
func (m *model) mayLose(s *state, k int) bool {
	lost := uint8(1 << k)
	for i := range memberCount {
		if s.members[i].lost {
			lost |= 1 << i
		}
	}
	for epoch := uint8(maxEpochs); epoch > 0; epoch-- {
		mask := m.setMask(s, epoch)
		if mask == 0 && m.bounds.Recovery {
			mask = m.proposedMask(epoch)
		}
		if mask != 0 && bits.OnesCount8(mask&lost) > losable {
			return false
		}
		enough := asked
		if m.fault == EarlyRetirement {
			enough = 1
		}
		if m.active(s, epoch) >= enough {
			return true
		}
	}
	return true
}

// proposedMask is the members of the first set that the bounds have for an epoch.
func (m *model) proposedMask(epoch uint8) uint8 {
	for i, set := range m.bounds.Sets {
		if set.Epoch == epoch {
			return m.masks[i]
		}
	}
	return 0
}

func (m *model) active(s *state, epoch uint8) (count int) {
	for i := range memberCount {
		if !s.members[i].lost && s.members[i].stored.epoch == epoch {
			count++
		}
	}
	return count
}
