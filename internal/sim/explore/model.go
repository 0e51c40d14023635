// Package explore looks through every state that a small instance of the core's registers can reach: three members and a
// learner, two orders on one register, one replacement of a member, with messages that come in any order, late, more than
// once or never, disks that are lost and members that restart. Promises, acceptances and the choice of a round's value are
// those of package quorum; sealing and activation are behind the Member interface.
//
// What is exhaustive is bounded: so many rounds of each order, so many losses and restarts. Messages are a set that only
// grows: a round stands for its own messages from its first promise on, and whoever could answer may do so at any later
// state. Whatever a proposer does by itself goes together with the reply that lets it: a later moment shows nothing new, as
// what it sends may be late in any case.
package explore

import (
	"fmt"
	"math/bits"
	"strings"

	"sagelever/internal/control/quorum"
)

const (
	// memberCount is the members of the instance: three that serve at first and a learner.
	memberCount = 4
	// maxRounds bounds the rounds of an instance, as a state has a fixed size.
	maxRounds = 7
	// maxEpochs bounds the sets of members that follow one another.
	maxEpochs = 3
	// maxFailures is how many disks may be lost at once: f.
	maxFailures = 1
	// prepareQuorum is how many promises a round waits for: f+1.
	prepareQuorum = maxFailures + 1
	// epochShift is where a ballot's number of a state holds the epoch.
	epochShift = 4
)

// Keys of the two registers.
const (
	ItemKey          = "item"
	ConfigurationKey = "members"
)

// Write is a conditional write: it takes effect where its version is higher than the one that is held.
type Write struct {
	Version uint64
	Content string
}

// Configuration is the members of an epoch, numbered from 0.
type Configuration struct {
	Epoch   uint8
	Members []int
}

func (s Configuration) mask() (m uint8) {
	for _, i := range s.Members {
		m |= 1 << i
	}
	return m
}

func (s Configuration) value() quorum.Value {
	return quorum.Value{Version: uint64(s.Epoch), Body: memberNames(s.mask())}
}

// Bounds says how large an instance is.
type Bounds struct {
	Writes              []Write
	WriteRounds         int             // rounds that each order may begin, in any epoch
	Configurations      []Configuration // the first serves at the start; each of the others is proposed in the epoch before its own
	ConfigurationRounds int             // rounds that propose each of those
	DiskLosses          int             // disks that are lost, never more than f of a set that still counts
	Restarts            int
	SlowReads           bool // quorum reads whose answers come at different moments; else at one
	Learning            bool // members learn what others hold at any time, as readers and learners do
	Recovery            bool // from each state the members that are left must be able to confirm an order
	MaxStates           int
}

// Fault is a planted fault: what the instance leaves out or does wrongly.
type Fault int

// The planted faults.
const (
	NoFault Fault = iota
	NoSealing
	TooFewSealedMembers
	MergeByVersion
	NoEpochInProposals
	WipedMemberCounts
	TooFewAcceptances
	RemovedMemberCounts
	SealedReads
	OldEpochAccepted
	ReplyBeforeSync
	ActivateBeforeSync
	EarlyRetirement
	FetchFromUnsealed
	StaleFetchCounts
	ProposalReused
	LearnerCounts
	SealedRejectsConfigurations
	SkipsEpoch
	NewestEpochOnly
	MergeDropsOwnState
	MergeByVersionThenProposal
	faultCount
)

var faultNames = map[Fault]string{
	NoFault:                     "none",
	NoSealing:                   "members that accepted a new set go on in the old epoch",
	TooFewSealedMembers:         "activation from f sealed members",
	MergeByVersion:              "activation merges by version",
	MergeByVersionThenProposal:  "activation merges by version, equal ones by ballot",
	NoEpochInProposals:          "ballots without epoch",
	WipedMemberCounts:           "a wiped member counts",
	TooFewAcceptances:           "one acceptance too few",
	RemovedMemberCounts:         "a removed member's acceptance counts",
	SealedReads:                 "sealed members answer reads of the old epoch",
	OldEpochAccepted:            "active members take ballots of older epochs",
	ReplyBeforeSync:             "replies before the disk's word",
	ActivateBeforeSync:          "active before what was merged is on disk",
	EarlyRetirement:             "the old set is given up with one member active in the new",
	FetchFromUnsealed:           "activation from one member that is not sealed",
	StaleFetchCounts:            "what was fetched for an epoch counts for a later one",
	ProposalReused:              "a proposer that restarts uses its ballot again",
	LearnerCounts:               "a member of the new set acts before it has merged",
	SealedRejectsConfigurations: "sealed members refuse rounds on the members too",
	SkipsEpoch:                  "a round of an epoch proposes the set after the next",
	NewestEpochOnly:             "members become active in the newest epoch alone",
	MergeDropsOwnState:          "activation drops what the member itself had accepted",
}

func (f Fault) String() string { return faultNames[f] }

// registerState is a register on one member, in numbers: ballots as epoch and number, values as places in the bounds' lists.
type registerState struct{ promised, accepted, value uint8 }

// diskState is what a member has stored.
type diskState struct {
	epoch               uint8 // in which it is active; 0: a learner
	item, configuration registerState
}

// itemReport is what a member told of the item; held tells whether there is any.
type itemReport struct {
	valid           bool
	accepted, value uint8
}

type memberState struct {
	memory, stored diskState
	lost           bool
	sealed         [maxEpochs]itemReport // by epoch: what it held when it was sealed; the message stays when the disk is gone
	fetched        itemReport            // of an active member, not yet merged
	fetchedEpoch   uint8
}

type roundState struct {
	epoch      uint8 // 0: not begun
	promisedBy uint8 // members that promised, until a value is proposed
	promises   [prepareQuorum]itemReport
	proposed   bool
	chosen     bool
	value      uint8
	accepted   uint8 // members that accepted
}

type readerState struct {
	epoch    uint8 // 0: no read is under way
	source   uint8
	report   itemReport
	required uint8 // what was chosen when it began
}

// state is one state of the instance; it is comparable, so that it can be hashed.
type state struct {
	members    [memberCount]memberState
	rounds     [maxRounds]roundState
	reader     readerState
	diskLosses uint8
	restarts   uint8
}

// roundSpec is what a round is about; its place in the list is its number within an epoch.
type roundSpec struct {
	key   string
	value uint8 // of the bounds' orders or sets, from 1
	epoch uint8 // of a round on the members; 0: any
}

// model is an instance with what is derived from its bounds once.
type model struct {
	bounds      Bounds
	fault       Fault
	restore     Restore
	roundSpecs  []roundSpec
	proposals   [256]quorum.ProposalNumber
	proposalIDs map[quorum.ProposalNumber]uint8
	memo        memo
	// stepRounds is how many rounds the steps play; those after them try whether the members recover.
	stepRounds         int
	configurationMasks []uint8 // of the bounds' sets
	symmetric          bool    // the first two members have the same part in every set
}

func newModel(b Bounds, fault Fault, restore Restore) (*model, error) {
	m := &model{bounds: b, fault: fault, restore: restore, proposalIDs: map[quorum.ProposalNumber]uint8{}, memo: newMemo()}
	for range b.WriteRounds {
		for i := range b.Writes {
			m.roundSpecs = append(m.roundSpecs, roundSpec{key: ItemKey, value: uint8(i + 1)})
		}
	}
	for range b.ConfigurationRounds {
		for i, s := range b.Configurations[1:] {
			m.roundSpecs = append(m.roundSpecs, roundSpec{key: ConfigurationKey, value: uint8(i + 2), epoch: m.decidingEpoch(s.Epoch)})
		}
	}
	m.stepRounds = len(m.roundSpecs)
	if b.Recovery {
		m.roundSpecs = append(m.roundSpecs, roundSpec{key: ItemKey, value: 1}, roundSpec{key: ConfigurationKey, value: 2})
	}
	if len(m.roundSpecs) > maxRounds {
		return nil, fmt.Errorf("%d rounds, at most %d", len(m.roundSpecs), maxRounds)
	}
	for epoch := uint8(1); epoch <= maxEpochs; epoch++ {
		for i := range m.roundSpecs {
			m.assignProposal(epoch, i)
		}
	}
	m.symmetric = true
	for _, set := range b.Configurations {
		mask := set.mask()
		m.configurationMasks = append(m.configurationMasks, mask)
		m.symmetric = m.symmetric && mask&1 == mask>>1&1
	}
	return m, nil
}

// decidingEpoch is the epoch whose members decide the set of an epoch.
func (m *model) decidingEpoch(epoch uint8) uint8 {
	if m.fault == SkipsEpoch {
		return m.bounds.Configurations[0].Epoch
	}
	return epoch - 1
}

func (m *model) assignProposal(epoch uint8, round int) {
	n := uint64(round + 1)
	b := quorum.ProposalNumber{Number: uint64(epoch)<<epochShift | n, Proposer: fmt.Sprint(epoch, ".", n)}
	if m.fault == NoEpochInProposals {
		b.Number = n
	}
	if m.fault == ProposalReused && round == 1 { // the first round's proposer, in its next life, with another order
		m.proposals[proposalID(epoch, round)] = m.proposals[proposalID(epoch, 0)]
		return
	}
	id := proposalID(epoch, round)
	m.proposals[id], m.proposalIDs[b] = b, id
}

func proposalID(epoch uint8, round int) uint8 { return epoch<<epochShift | uint8(round+1) }

func (m *model) initial() state {
	var s state
	first := m.bounds.Configurations[0]
	for _, i := range first.Members {
		d := diskState{epoch: first.Epoch, configuration: registerState{value: 1}}
		s.members[i].memory, s.members[i].stored = d, d
	}
	return s
}

func (m *model) value(key string, id uint8) quorum.Value {
	switch {
	case id == 0:
		return quorum.Value{}
	case key == ConfigurationKey:
		return m.bounds.Configurations[id-1].value()
	}
	o := m.bounds.Writes[id-1]
	return quorum.Value{Version: o.Version, Body: o.Content}
}

func (m *model) valueID(key string, v quorum.Value) uint8 {
	if v == (quorum.Value{}) {
		return 0
	}
	count := len(m.bounds.Writes)
	if key == ConfigurationKey {
		count = len(m.bounds.Configurations)
	}
	for id := 1; id <= count; id++ {
		if m.value(key, uint8(id)) == v {
			return uint8(id)
		}
	}
	panic(fmt.Sprint("a value that nobody wrote: ", v))
}

func (m *model) entry(key string, r registerState) quorum.Entry {
	return quorum.Entry{Key: key, Promised: m.proposals[r.promised], Accepted: m.proposals[r.accepted], Value: m.value(key, r.value)}
}

func (m *model) registerState(e quorum.Entry) registerState {
	return registerState{m.proposalIDs[e.Promised], m.proposalIDs[e.Accepted], m.valueID(e.Key, e.Value)}
}

// chosenConfiguration is the members of an epoch that was chosen; the second result is the ballot that chose it.
func (m *model) chosenConfiguration(s *state, epoch uint8) (value, ballot uint8, ok bool) {
	if epoch == m.bounds.Configurations[0].Epoch {
		return 1, 0, true
	}
	for i, r := range m.roundSpecs {
		x := s.rounds[i]
		if r.key == ConfigurationKey && x.chosen && m.bounds.Configurations[x.value-1].Epoch == epoch {
			return x.value, proposalID(x.epoch, i), true
		}
	}
	return 0, 0, false
}

func (m *model) configurationMask(s *state, epoch uint8) uint8 {
	if id, _, ok := m.chosenConfiguration(s, epoch); ok {
		return m.configurationMasks[id-1]
	}
	return 0
}

func memberNames(mask uint8) string {
	var out strings.Builder
	for ; mask != 0; mask &= mask - 1 {
		out.WriteString(memberName(bits.TrailingZeros8(mask)))
	}
	return out.String()
}

func memberName(i int) string { return string(rune('a' + i)) }
