package explore

import (
	"fmt"
	"math/bits"
)

// StepKind is what a step does.
type StepKind int

// The kinds of steps.
const (
	StepPromise StepKind = iota
	StepAccept
	StepFetch
	StepLearn
	StepActivate
	StepDiskLoss
	StepRestart
	StepReadBegin
	StepReadEnd
)

// Step is one step of a trace.
type Step struct {
	Kind    StepKind
	Round   int
	Member  int
	Epoch   uint8
	Sources uint8 // members that told what is merged or fetched
	Note    string
}

func (s Step) String() string {
	who := memberName(s.Member)
	switch s.Kind {
	case StepPromise:
		return fmt.Sprintf("%s promises to round %d.%d%s", who, s.Epoch, s.Round+1, s.Note)
	case StepAccept:
		return fmt.Sprintf("%s accepts in round %d.%d%s", who, s.Epoch, s.Round+1, s.Note)
	case StepFetch:
		return fmt.Sprintf("%s fetches what %s holds, for epoch %d", who, memberNames(s.Sources), s.Epoch)
	case StepLearn:
		return fmt.Sprintf("%s learns what %s holds", who, memberNames(s.Sources))
	case StepActivate:
		return fmt.Sprintf("%s becomes active in epoch %d%s", who, s.Epoch, s.Note)
	case StepDiskLoss:
		return who + " loses its disk"
	case StepRestart:
		return who + " restarts from its disk"
	case StepReadBegin:
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
	for i := range m.stepRounds {
		out = m.roundSteps(s, i, out)
	}
	for i := range memberCount {
		if s.members[i].lost {
			continue
		}
		out = m.activationSteps(s, i, out)
		out = m.faultSteps(s, i, out)
		if m.bounds.Learning {
			out = m.learnSteps(s, i, out)
		}
	}
	if m.bounds.SlowReads {
		out = m.readSteps(s, out)
	}
	return out
}

// roundSteps are the replies to a round's messages that may come next.
func (m *model) roundSteps(s *state, i int, out []successor) []successor {
	round, spec := &s.rounds[i], m.roundSpecs[i]
	for epoch := uint8(1); epoch <= maxEpochs; epoch++ {
		if round.epoch != 0 && round.epoch != epoch || spec.epoch != 0 && spec.epoch != epoch {
			continue
		}
		for k := range memberCount {
			if s.members[k].lost || !m.participates(s, epoch, k) && !m.countsRemoved(s, epoch, k) {
				continue
			}
			next := *s
			if !round.proposed && m.participates(s, epoch, k) && m.promise(&next, i, k, epoch) {
				out = append(out, successor{next, Step{Kind: StepPromise, Round: i, Member: k, Epoch: epoch, Note: m.proposalNote(&next, i)}})
			}
			if round.proposed && m.accept(&next, i, k) {
				out = append(out, successor{next, Step{Kind: StepAccept, Round: i, Member: k, Epoch: epoch, Note: m.chosenNote(s, &next, i)}})
			}
		}
	}
	return out
}

// participates tells whether a round of an epoch reckons with a member.
func (m *model) participates(s *state, epoch uint8, k int) bool {
	return m.configurationMask(s, epoch)&(1<<k) != 0
}

// countsRemoved tells whether a member that was voted out is reckoned with, which is a planted fault.
func (m *model) countsRemoved(s *state, epoch uint8, k int) bool {
	return m.fault == RemovedMemberCounts && epoch > 1 && m.configurationMask(s, epoch) != 0 && m.configurationMask(s, epoch-1)&^m.configurationMask(s, epoch)&(1<<k) != 0
}

// persist takes over what a member has to store, and stores it.
func (m *model) persist(s *state, k int, d diskState) {
	member := &s.members[k]
	member.memory = d
	if m.fault != ReplyBeforeSync {
		member.stored = d
	}
	for epoch := uint8(1); epoch < maxEpochs; epoch++ {
		if member.sealed[epoch].valid {
			continue
		}
		if o := m.invoke(memberCall{disk: d, kind: callReadSealed, epoch: epoch}); o.ok {
			member.sealed[epoch] = itemReport{true, o.reply.accepted, o.reply.value}
		}
	}
}

func (m *model) promise(s *state, i, k int, epoch uint8) bool {
	round, spec := &s.rounds[i], m.roundSpecs[i]
	if round.promisedBy&(1<<k) != 0 {
		return false
	}
	o := m.invoke(memberCall{disk: s.members[k].memory, kind: callPrepare, epoch: epoch, proposal: proposalID(epoch, i), onConfiguration: spec.key == ConfigurationKey})
	if !o.ok {
		return false
	}
	m.persist(s, k, o.disk)
	round.epoch = epoch
	round.promises[bits.OnesCount8(round.promisedBy)] = itemReport{true, o.reply.accepted, o.reply.value}
	round.promisedBy |= 1 << k
	if bits.OnesCount8(round.promisedBy) == prepareQuorum {
		round.value, round.proposed = m.proposedValue(s, i), true
		round.promisedBy, round.promises = 0, [prepareQuorum]itemReport{}
	}
	return true
}

func (m *model) accept(s *state, i, k int) bool {
	round, spec := &s.rounds[i], m.roundSpecs[i]
	if round.accepted&(1<<k) != 0 {
		return false
	}
	c := memberCall{disk: s.members[k].memory, kind: callAccept, epoch: round.epoch, proposal: proposalID(round.epoch, i), onConfiguration: spec.key == ConfigurationKey, value: round.value}
	removed := m.countsRemoved(s, round.epoch, k)
	if removed {
		c.disk.epoch, c.disk.configuration = round.epoch, registerState{}
	}
	o := m.invoke(c)
	if !o.ok {
		return false
	}
	if removed {
		o.disk.epoch, o.disk.configuration = s.members[k].memory.epoch, s.members[k].memory.configuration
	}
	m.persist(s, k, o.disk)
	round.accepted |= 1 << k
	round.chosen = m.isChosen(s, i)
	return true
}

// activationSteps are how a member comes into a later epoch.
func (m *model) activationSteps(s *state, k int, out []successor) []successor {
	for epoch := uint8(2); epoch <= maxEpochs; epoch++ {
		mask := m.configurationMask(s, epoch)
		if mask&(1<<k) == 0 || s.members[k].memory.epoch >= epoch {
			continue
		}
		for from := range memberCount {
			if x := &s.members[from]; !x.lost && m.mayFetch(x, epoch) {
				next := *s
				next.members[k].fetched = itemReport{true, x.memory.item.accepted, x.memory.item.value}
				next.members[k].fetchedEpoch = epoch
				if next != *s {
					out = append(out, successor{next, Step{Kind: StepFetch, Member: k, Epoch: epoch, Sources: 1 << from}})
				}
			}
		}
		if x := &s.members[k]; x.fetched.valid && (x.fetchedEpoch == epoch || m.fault == StaleFetchCounts) {
			out = append(out, m.activate(s, k, epoch, []itemReport{x.fetched}, 0))
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
	return from.memory.epoch == epoch || m.fault == FetchFromUnsealed && from.memory.epoch == epoch-1
}

// learnSteps are what a member learns of others by the way: of one in its own epoch or a later one.
func (m *model) learnSteps(s *state, k int, out []successor) []successor {
	own := &s.members[k].memory
	for from := range memberCount {
		x := &s.members[from]
		if from == k || x.lost || x.memory.epoch < own.epoch || x.memory.item.accepted == own.item.accepted {
			continue
		}
		next := *s
		m.persist(&next, k, m.invoke(memberCall{disk: *own, kind: callLearn, proposal: x.memory.item.accepted, value: x.memory.item.value}).disk)
		if next != *s {
			out = append(out, successor{next, Step{Kind: StepLearn, Member: k, Sources: 1 << from}})
		}
	}
	return out
}

// sealedSteps are activations from what sealed members of the epoch before told.
func (m *model) sealedSteps(s *state, k int, epoch uint8, out []successor) []successor {
	need := prepareQuorum
	if m.fault == TooFewSealedMembers {
		need--
	}
	before := m.decidingEpoch(epoch)
	old := m.configurationMask(s, before)
	for sources := uint8(1); sources < 1<<memberCount; sources++ {
		if bits.OnesCount8(sources) != need || sources&^old != 0 {
			continue
		}
		var held []itemReport
		for from := range memberCount {
			if c := s.members[from].sealed[before]; sources&(1<<from) != 0 && c.valid {
				held = append(held, c)
			}
		}
		if len(held) == need {
			out = append(out, m.activate(s, k, epoch, held, sources))
		}
	}
	return out
}

func (m *model) activate(s *state, k int, epoch uint8, held []itemReport, sources uint8) successor {
	next := *s
	set, ballot, _ := m.chosenConfiguration(s, epoch)
	c := memberCall{disk: s.members[k].memory, kind: callActivate, epoch: epoch, proposal: ballot, value: set}
	copy(c.merged[:], held)
	member := &next.members[k]
	before := member.stored
	m.persist(&next, k, m.invoke(c).disk)
	member.fetched, member.fetchedEpoch = itemReport{}, 0
	if m.fault == ActivateBeforeSync {
		member.stored = before
		member.stored.epoch, member.stored.configuration = member.memory.epoch, member.memory.configuration
	}
	return successor{next, Step{Kind: StepActivate, Member: k, Epoch: epoch, Sources: sources, Note: activationNote(sources)}}
}

func activationNote(sources uint8) string {
	if sources == 0 {
		return " with what it fetched"
	}
	return " with what " + memberNames(sources) + " held when they were sealed"
}

// faultSteps are the loss of a member's disk and its restart.
func (m *model) faultSteps(s *state, k int, out []successor) []successor {
	if int(s.diskLosses) < m.bounds.DiskLosses && m.mayLoseDisk(s, k) {
		next := *s
		member := &next.members[k]
		member.fetched, member.fetchedEpoch = itemReport{}, 0
		next.diskLosses++
		if m.fault == WipedMemberCounts {
			d := diskState{epoch: member.memory.epoch, configuration: member.memory.configuration}
			member.memory, member.stored = d, d
		} else {
			member.memory, member.stored, member.lost = diskState{}, diskState{}, true
		}
		out = append(out, successor{next, Step{Kind: StepDiskLoss, Member: k}})
	}
	if int(s.restarts) < m.bounds.Restarts {
		next := *s
		member := &next.members[k]
		member.memory, member.fetched, member.fetchedEpoch = member.stored, itemReport{}, 0
		if next != *s {
			next.restarts++
			out = append(out, successor{next, Step{Kind: StepRestart, Member: k}})
		}
	}
	return out
}

// mayLoseDisk tells whether the instance withstands that a member loses its disk: of no set that still counts more than f are
// lost. A set counts until f+1 members are active in a later one. Where the members that are left must be able to go on,
// a set counts before it is chosen too: once one member has accepted it, nothing else can be chosen without that member.
func (m *model) mayLoseDisk(s *state, k int) bool {
	lost := uint8(1 << k)
	for i := range memberCount {
		if s.members[i].lost {
			lost |= 1 << i
		}
	}
	for epoch := uint8(maxEpochs); epoch > 0; epoch-- {
		mask := m.configurationMask(s, epoch)
		if mask == 0 && m.bounds.Recovery {
			mask = m.proposedConfigurationMask(epoch)
		}
		if mask != 0 && bits.OnesCount8(mask&lost) > maxFailures {
			return false
		}
		enough := prepareQuorum
		if m.fault == EarlyRetirement {
			enough = 1
		}
		if m.activeMembers(s, epoch) >= enough {
			return true
		}
	}
	return true
}

// proposedConfigurationMask is the members of the first set that the bounds have for an epoch.
func (m *model) proposedConfigurationMask(epoch uint8) uint8 {
	for i, set := range m.bounds.Configurations {
		if set.Epoch == epoch {
			return m.configurationMasks[i]
		}
	}
	return 0
}

func (m *model) activeMembers(s *state, epoch uint8) (count int) {
	for i := range memberCount {
		if !s.members[i].lost && s.members[i].stored.epoch == epoch {
			count++
		}
	}
	return count
}
