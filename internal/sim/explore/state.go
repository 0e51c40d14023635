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

// proposalID stands for a proposal number: the epoch in the upper bits, and the round of the instance, from 1, in the
// lower ones. Zero stands for no proposal.
type proposalID uint8

// epochShift is the position of the epoch in a proposalID.
const epochShift = 4

func newProposalID(epoch uint8, round int) proposalID {
	return proposalID(epoch<<epochShift | uint8(round+1))
}

// valueID stands for a value: the index, from 1, of a write or a configuration in the bounds. Zero stands for no value.
type valueID uint8

// registerState is a quorum.Entry of one of the registers.
type registerState struct {
	promised proposalID
	accepted proposalID
	value    valueID
}

// report returns what a member reports of the register.
func (r registerState) report() itemReport {
	return itemReport{valid: true, accepted: r.accepted, value: r.value}
}

// itemReport is what a member has reported of the item.
type itemReport struct {
	valid    bool // false if nothing has been reported
	accepted proposalID
	value    valueID
}

// diskState is the state that a member stores.
type diskState struct {
	epoch         uint8 // in which the member is active; 0 for a learner
	item          registerState
	configuration registerState
}

type memberState struct {
	memory diskState
	stored diskState
	lost   bool // has lost its disk
	// sealed is what the member had when it was sealed, by epoch. It stays known when the disk is lost, as it may have
	// been sent before.
	sealed [maxEpochs]itemReport
	// fetched was read from an active member and is not merged yet.
	fetched      itemReport
	fetchedEpoch uint8
}

// clearFetched forgets what was fetched.
func (m *memberState) clearFetched() {
	m.fetched = itemReport{}
	m.fetchedEpoch = 0
}

type roundState struct {
	epoch      uint8      // 0 before the round has begun
	promisedBy memberMask // until a value is proposed
	promises   [prepareQuorum]itemReport
	proposed   bool
	chosen     bool
	value      valueID
	accepted   memberMask
}

// readerState is a quorum read that has received its first reply.
type readerState struct {
	epoch    uint8 // 0 if there is none
	source   uint8 // the member that replied
	report   itemReport
	required valueID // the newest value that was chosen when the read began
}

// state is one state of the instance. It is comparable, so that it can be hashed.
type state struct {
	members    [memberCount]memberState
	rounds     [maxRounds]roundState
	reader     readerState
	diskLosses uint8
	restarts   uint8
}
