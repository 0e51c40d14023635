// Package quorum implements the replicated registers of the control group: single-value Paxos ("Paxos Made Simple",
// Lamport 2001) run independently for each named register, with the flexible quorums of Howard, Malkhi and Spiegelman
// ("Flexible Paxos", 2016). Any member may propose; there is no leader and no replicated log.
//
// The package is a pure state machine without I/O. The caller passes messages in, and persists the entries that are
// reported as changed before it sends the reply.
//
// Quorums. A group has n members, of which up to f may lose their disks at the same time.
//
//   - A value is chosen once n-f members have it on disk (the accept quorum, phase 2).
//   - A round reads from f+1 members (the prepare quorum, phase 1).
//
// The two quorums intersect because (n-f) + (f+1) > n. A member that lost its disk counts in neither quorum until it
// has recovered: it must first copy the accepted values of f+1 other members and have them reject the proposals that
// were in progress before the loss (see Acceptor.RaiseMinProposal).
//
// Epochs. A proposal number begins with the epoch of the membership configuration in which it was made (package
// membership), so that every proposal of an epoch is ordered before all proposals of the next epoch.
package quorum

import (
	"maps"
	"slices"
)

//go:generate go tool easyjson $GOFILE

// ProposalNumber identifies and totally orders proposals. The zero value is ordered before all others.
type ProposalNumber struct {
	// Epoch is the epoch of the membership configuration in which the proposal is made. It is compared first, so that
	// a promise or an accepted value of an earlier configuration never takes precedence over a later one.
	Epoch uint64 `json:"e,omitempty"`
	// Number is greater than that of every proposal that the proposer had made or observed before.
	Number uint64 `json:"n"`
	// Proposer is the name of the proposing member. It breaks ties between members that use the same number.
	Proposer string `json:"w,omitempty"`
}

// Less reports whether a is ordered before b.
func (a ProposalNumber) Less(b ProposalNumber) bool {
	if a.Epoch != b.Epoch {
		return a.Epoch < b.Epoch
	}
	if a.Number != b.Number {
		return a.Number < b.Number
	}
	return a.Proposer < b.Proposer
}

// Value is the content of a register. The writer assigns the version, which never decreases. While the version stays
// the same, Deleted and Body do not change, but Annotation may.
type Value struct {
	Version uint64 `json:"v"`
	// Deleted marks the value as a tombstone.
	Deleted bool   `json:"g,omitempty"`
	Body    string `json:"b,omitempty"`
	// Annotation is set by the writer and replicated unchanged. Writers use it to recognize repeated requests.
	Annotation string `json:"n,omitempty"`
}

// Absent is the value of a register in which no value has been written. A round chooses it for a register that it leaves
// without a value. Every written value replaces it, because written versions are above 0.
var Absent = Value{Deleted: true}

// Entry is the state of one register on one member.
//
//easyjson:json
type Entry struct {
	Key string `json:"k"`
	// Promised is the highest proposal number to which the member has made a promise; it rejects lower ones.
	Promised ProposalNumber `json:"p"`
	// Accepted is the proposal number under which Value was accepted, or zero if no value has been accepted.
	Accepted ProposalNumber `json:"a"`
	Value    Value          `json:"x"`
	// Chosen is set if Value is known to have been chosen, under Accepted or an earlier proposal number.
	Chosen bool `json:"c,omitempty"`
}

// UpdateFunc computes the new value of one register from its current one. It must be deterministic.
type UpdateFunc func(current Value) Value

// DecideFunc computes the new values of all registers of a round from their current ones. A register that is missing
// from the result keeps its value. It must be deterministic.
type DecideFunc func(current map[string]Value) map[string]Value

// Keep is the DecideFunc of a round that changes no register. Once its outcome is chosen, no value that an earlier
// proposal has left with some of the members can take effect any more.
func Keep(map[string]Value) map[string]Value { return nil }

// UpdateEach returns the sorted keys and the DecideFunc of a round that updates each register independently.
func UpdateEach(updates map[string]UpdateFunc) (keys []string, decide DecideFunc) {
	decide = func(current map[string]Value) map[string]Value {
		updated := make(map[string]Value, len(updates))
		for key, update := range updates {
			updated[key] = update(current[key])
		}
		return updated
	}
	return slices.Sorted(maps.Keys(updates)), decide
}
