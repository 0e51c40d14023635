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
	// losable is how many disks may be lost at once: f.
	losable = 1
	// asked is how many promises a round waits for: f+1.
	asked = losable + 1
	// epochShift is where a ballot's number of a state holds the epoch.
	epochShift = 4
)

// Keys of the two registers.
const (
	ItemKey    = "item"
	MembersKey = "members"
)

// Order is a conditional write: it takes effect where its version is higher than the one that is held.
type Order struct {
	Version uint64
	Content string
}

// Set is the members of an epoch, numbered from 0.
type Set struct {
	Epoch   uint8
	Members []int
}

func (s Set) mask() (m uint8) {
	for _, i := range s.Members {
		m |= 1 << i
	}
	return m
}

func (s Set) value() quorum.Value {
	return quorum.Value{Version: uint64(s.Epoch), Body: memberNames(s.mask())}
}

// Bounds says how large an instance is.
type Bounds struct {
	Orders      []Order
	OrderRounds int   // rounds that each order may begin, in any epoch
	Sets        []Set // the first serves at the start; each of the others is proposed in the epoch before its own
	SetRounds   int   // rounds that propose each of those
	Losses      int   // disks that are lost, never more than f of a set that still counts
	Restarts    int
	Reader      bool // quorum reads whose answers come at different moments; else at one
	Copies      bool // members learn what others hold at any time, as readers and learners do
	Recovery    bool // from each state the members that are left must be able to confirm an order
	MaxStates   int
}

// Fault is a planted fault: what the instance leaves out or does wrongly.
type Fault int

// The planted faults.
const (
	None Fault = iota
	NoSealing
	FewSealed
	MergeByVersion
	NoEpochInBallots
	WipedCounts
	FewAcceptances
	RemovedCounts
	SealedReads
	OldEpochTaken
	ReplyBeforeSync
	ActiveBeforeSync
	EarlyRetirement
	UnsealedCopyCounts
	StaleCopyCounts
	BallotReused
	LearnerCounts
	SealedForGood
	SkipsEpoch
	NewestEpochOnly
	MergeForgetsOwn
	MergeByVersionThenBallot
	faultCount
)

var faultNames = map[Fault]string{
	None:                     "none",
	NoSealing:                "members that accepted a new set go on in the old epoch",
	FewSealed:                "activation from f sealed members",
	MergeByVersion:           "activation merges by version",
	MergeByVersionThenBallot: "activation merges by version, equal ones by ballot",
	NoEpochInBallots:         "ballots without epoch",
	WipedCounts:              "a wiped member counts",
	FewAcceptances:           "one acceptance too few",
	RemovedCounts:            "a removed member's acceptance counts",
	SealedReads:              "sealed members answer reads of the old epoch",
	OldEpochTaken:            "active members take ballots of older epochs",
	ReplyBeforeSync:          "replies before the disk's word",
	ActiveBeforeSync:         "active before what was merged is on disk",
	EarlyRetirement:          "the old set is given up with one member active in the new",
	UnsealedCopyCounts:       "activation from one member that is not sealed",
	StaleCopyCounts:          "what was fetched for an epoch counts for a later one",
	BallotReused:             "a proposer that restarts uses its ballot again",
	LearnerCounts:            "a member of the new set acts before it has merged",
	SealedForGood:            "sealed members refuse rounds on the members too",
	SkipsEpoch:               "a round of an epoch proposes the set after the next",
	NewestEpochOnly:          "members become active in the newest epoch alone",
	MergeForgetsOwn:          "activation drops what the member itself had accepted",
}

func (f Fault) String() string { return faultNames[f] }

// record is a register on one member, in numbers: ballots as epoch and number, values as places in the bounds' lists.
type record struct{ promised, accepted, value uint8 }

// disk is what a member has stored.
type disk struct {
	epoch         uint8 // in which it is active; 0: a learner
	item, members record
}

// copied is what a member told of the item; held tells whether there is any.
type copied struct {
	held            bool
	accepted, value uint8
}

type memberState struct {
	memory, stored disk
	lost           bool
	sealed         [maxEpochs]copied // by epoch: what it held when it was sealed; the message stays when the disk is gone
	fetched        copied            // of an active member, not yet merged
	fetchedEpoch   uint8
}

type roundState struct {
	epoch    uint8 // 0: not begun
	toldBy   uint8 // members that promised, until a value is proposed
	told     [asked]copied
	proposed bool
	chosen   bool
	value    uint8
	accepted uint8 // members that accepted
}

type readerState struct {
	epoch    uint8 // 0: no read is under way
	from     uint8
	told     copied
	required uint8 // what was chosen when it began
}

// state is one state of the instance; it is comparable, so that it can be hashed.
type state struct {
	members  [memberCount]memberState
	rounds   [maxRounds]roundState
	reader   readerState
	losses   uint8
	restarts uint8
}

// roundSpec is what a round is about; its place in the list is its number within an epoch.
type roundSpec struct {
	key   string
	value uint8 // of the bounds' orders or sets, from 1
	epoch uint8 // of a round on the members; 0: any
}

// model is an instance with what is derived from its bounds once.
type model struct {
	bounds  Bounds
	fault   Fault
	restore Restore
	rounds  []roundSpec
	ballots [256]quorum.Ballot
	numbers map[quorum.Ballot]uint8
	memo    memo
	// ordinary is how many rounds the steps play; those after them try whether the members recover.
	ordinary int
	masks    []uint8 // of the bounds' sets
	twins    bool    // the first two members have the same part in every set
}

func newModel(b Bounds, fault Fault, restore Restore) (*model, error) {
	m := &model{bounds: b, fault: fault, restore: restore, numbers: map[quorum.Ballot]uint8{}, memo: newMemo()}
	for range b.OrderRounds {
		for i := range b.Orders {
			m.rounds = append(m.rounds, roundSpec{key: ItemKey, value: uint8(i + 1)})
		}
	}
	for range b.SetRounds {
		for i, s := range b.Sets[1:] {
			m.rounds = append(m.rounds, roundSpec{key: MembersKey, value: uint8(i + 2), epoch: m.before(s.Epoch)})
		}
	}
	m.ordinary = len(m.rounds)
	if b.Recovery {
		m.rounds = append(m.rounds, roundSpec{key: ItemKey, value: 1}, roundSpec{key: MembersKey, value: 2})
	}
	if len(m.rounds) > maxRounds {
		return nil, fmt.Errorf("%d rounds, at most %d", len(m.rounds), maxRounds)
	}
	for epoch := uint8(1); epoch <= maxEpochs; epoch++ {
		for i := range m.rounds {
			m.number(epoch, i)
		}
	}
	m.twins = true
	for _, set := range b.Sets {
		mask := set.mask()
		m.masks = append(m.masks, mask)
		m.twins = m.twins && mask&1 == mask>>1&1
	}
	return m, nil
}

// before is the epoch whose members decide the set of an epoch.
func (m *model) before(epoch uint8) uint8 {
	if m.fault == SkipsEpoch {
		return m.bounds.Sets[0].Epoch
	}
	return epoch - 1
}

func (m *model) number(epoch uint8, round int) {
	n := uint64(round + 1)
	b := quorum.Ballot{N: uint64(epoch)<<epochShift | n, Who: fmt.Sprint(epoch, ".", n)}
	if m.fault == NoEpochInBallots {
		b.N = n
	}
	if m.fault == BallotReused && round == 1 { // the first round's proposer, in its next life, with another order
		m.ballots[ballotID(epoch, round)] = m.ballots[ballotID(epoch, 0)]
		return
	}
	id := ballotID(epoch, round)
	m.ballots[id], m.numbers[b] = b, id
}

func ballotID(epoch uint8, round int) uint8 { return epoch<<epochShift | uint8(round+1) }

func (m *model) initial() state {
	var s state
	first := m.bounds.Sets[0]
	for _, i := range first.Members {
		d := disk{epoch: first.Epoch, members: record{value: 1}}
		s.members[i].memory, s.members[i].stored = d, d
	}
	return s
}

func (m *model) value(key string, id uint8) quorum.Value {
	switch {
	case id == 0:
		return quorum.Value{}
	case key == MembersKey:
		return m.bounds.Sets[id-1].value()
	}
	o := m.bounds.Orders[id-1]
	return quorum.Value{Version: o.Version, Body: o.Content}
}

func (m *model) valueID(key string, v quorum.Value) uint8 {
	if v == (quorum.Value{}) {
		return 0
	}
	count := len(m.bounds.Orders)
	if key == MembersKey {
		count = len(m.bounds.Sets)
	}
	for id := 1; id <= count; id++ {
		if m.value(key, uint8(id)) == v {
			return uint8(id)
		}
	}
	panic(fmt.Sprint("a value that nobody wrote: ", v))
}

func (m *model) entry(key string, r record) quorum.Entry {
	return quorum.Entry{Key: key, Promised: m.ballots[r.promised], Accepted: m.ballots[r.accepted], Value: m.value(key, r.value)}
}

func (m *model) record(e quorum.Entry) record {
	return record{m.numbers[e.Promised], m.numbers[e.Accepted], m.valueID(e.Key, e.Value)}
}

// set is the members of an epoch that was chosen; the second result is the ballot that chose it.
func (m *model) set(s *state, epoch uint8) (value, ballot uint8, ok bool) {
	if epoch == m.bounds.Sets[0].Epoch {
		return 1, 0, true
	}
	for i, r := range m.rounds {
		x := s.rounds[i]
		if r.key == MembersKey && x.chosen && m.bounds.Sets[x.value-1].Epoch == epoch {
			return x.value, ballotID(x.epoch, i), true
		}
	}
	return 0, 0, false
}

func (m *model) setMask(s *state, epoch uint8) uint8 {
	if id, _, ok := m.set(s, epoch); ok {
		return m.masks[id-1]
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
