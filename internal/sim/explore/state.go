package explore

import (
	"math/bits"
	"strings"
)

// memberMask is a set of members as a bitmap: bit i is member i.
type memberMask uint8

func (mask memberMask) has(member int) bool { return mask&(1<<member) != 0 }

func (mask memberMask) with(member int) memberMask { return mask | 1<<member }

func (mask memberMask) count() int { return bits.OnesCount8(uint8(mask)) }

// String returns the names of the members.
func (mask memberMask) String() string {
	var names strings.Builder
	for member := range memberCount {
		if mask.has(member) {
			names.WriteString(memberName(member))
		}
	}
	return names.String()
}

func memberName(member int) string { return string(rune('a' + member)) }

// proposalID represents a proposal number: the upper bits are the epoch, and the lower ones the round of the instance,
// counted from 1. Zero represents no proposal.
type proposalID uint8

// epochShift is the position of the epoch in a proposalID.
const epochShift = 4

func newProposalID(epoch uint8, round int) proposalID {
	return proposalID(epoch<<epochShift | uint8(round+1))
}

// valueID represents a value: the index of a write or a configuration in the bounds, counted from 1. Zero represents no
// value.
type valueID uint8

// registerState represents the quorum.Entry of a register.
type registerState struct {
	promised proposalID
	accepted proposalID
	value    valueID
}

// report returns the report that a member sends about the register.
func (r registerState) report() itemReport {
	return itemReport{valid: true, accepted: r.accepted, value: r.value}
}

// itemReport is the state of the item as reported by a member.
type itemReport struct {
	valid    bool // false if nothing has been reported
	accepted proposalID
	value    valueID
}

// diskState is the state that a member stores.
type diskState struct {
	epoch         uint8 // the epoch in which the member is active; 0 for a learner
	item          registerState
	configuration registerState
}

type memberState struct {
	memory diskState
	stored diskState
	lost   bool // the member has lost its disk; the others are the remaining members
	// sealed is the item at the time when the member was sealed, by epoch. It is kept after a disk loss, because the
	// report may have been sent before.
	sealed [maxEpochs]itemReport
	// fetched is the item as read from an active member, until it is merged.
	fetched      itemReport
	fetchedEpoch uint8
}

// clearFetched discards the fetched item.
func (m *memberState) clearFetched() {
	m.fetched = itemReport{}
	m.fetchedEpoch = 0
}

type roundState struct {
	epoch      uint8      // 0 before the round has begun
	promisedBy memberMask // cleared when a value is proposed
	promises   [prepareQuorum]itemReport
	proposed   bool
	chosen     bool
	value      valueID
	acceptedBy memberMask
}

// readerState is a quorum read that has received its first reply.
type readerState struct {
	epoch    uint8 // 0 if there is none
	source   uint8 // the member that sent the first reply
	report   itemReport
	required valueID // the newest chosen value at the start of the read
}

// state is a state of the instance. It must be comparable, because search hashes it.
type state struct {
	members    [memberCount]memberState
	rounds     [maxRounds]roundState
	reader     readerState
	diskLosses uint8
	restarts   uint8
}
