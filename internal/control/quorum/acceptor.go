package quorum

import (
	"slices"
	"strings"

	"sagelever/internal/control/rangesync"
)

// Acceptor holds the registers of one member and handles the messages of proposers. It is not safe for concurrent use.
//
// The caller must write to disk, before it replies to the proposer, every entry that a method reports as changed, and
// the minimum proposal number if a method reports that it has changed.
type Acceptor struct {
	registers     map[string]*Entry
	index         *rangesync.Index // the registers in which a value has been accepted
	minProposal   ProposalNumber   // lower proposal numbers are rejected on every register
	highestNumber uint64           // the highest ProposalNumber.Number that has been observed
}

// NewAcceptor restores an acceptor from the entries and the minimum proposal number read from disk.
func NewAcceptor(entries []Entry, minProposal ProposalNumber) *Acceptor {
	a := &Acceptor{
		registers:     map[string]*Entry{},
		index:         rangesync.NewIndex(),
		minProposal:   minProposal,
		highestNumber: minProposal.Number,
	}
	// In a fixed order, because the index keeps the order of its changes.
	for _, e := range slices.SortedFunc(slices.Values(entries), compareKeys) {
		a.registers[e.Key] = &e
		a.updateIndex(e)
		a.highestNumber = max(a.highestNumber, e.Promised.Number, e.Accepted.Number)
	}
	return a
}

func compareKeys(a, b Entry) int { return strings.Compare(a.Key, b.Key) }

// Index returns the index by which other members compare their registers with those of this member (package
// rangesync). The acceptor keeps it up to date.
func (a *Acceptor) Index() *rangesync.Index { return a.index }

// Get returns the entry of a register, or an entry with only the key if the register does not exist.
func (a *Acceptor) Get(key string) Entry {
	if e := a.registers[key]; e != nil {
		return *e
	}
	return Entry{Key: key}
}

// EntriesWithPrefix returns the accepted entries whose keys begin with the prefix, ordered by key.
func (a *Acceptor) EntriesWithPrefix(prefix string) []Entry {
	keys := a.index.Keys(rangesync.PrefixRange(prefix), a.index.Len())
	entries := make([]Entry, 0, len(keys))
	for _, key := range keys {
		entries = append(entries, *a.registers[key])
	}
	return entries
}

// AcceptedEntries returns the entries of all registers in which a value has been accepted, ordered by key.
func (a *Acceptor) AcceptedEntries() []Entry { return a.EntriesWithPrefix("") }

// MinProposal returns the proposal number below which the acceptor rejects every proposal.
func (a *Acceptor) MinProposal() ProposalNumber { return a.minProposal }

// NextProposal returns a proposal number of the epoch whose Number is above all that this member has observed.
func (a *Acceptor) NextProposal(epoch uint64, proposer string) ProposalNumber {
	return ProposalNumber{Epoch: epoch, Number: max(a.highestNumber, a.minProposal.Number) + 1, Proposer: proposer}
}

// Observe records a proposal number of another member, so that NextProposal returns a higher one.
func (a *Acceptor) Observe(proposal ProposalNumber) {
	a.highestNumber = max(a.highestNumber, proposal.Number)
}

// Prepare handles a prepare message (phase 1a) for a set of registers. It promises to reject proposals below the given
// one and returns the entries of the registers. If any of the registers is already promised to a higher proposal,
// Prepare promises nothing and returns that proposal number as rejectedBy, which is zero otherwise.
func (a *Acceptor) Prepare(
	proposal ProposalNumber, keys []string,
) (accepted, changed []Entry, rejectedBy ProposalNumber) {
	a.Observe(proposal)
	for _, key := range keys {
		if promised := a.promisedProposal(key); proposal.Less(promised) {
			return nil, nil, promised
		}
	}
	for _, key := range keys {
		register := a.register(key)
		register.Promised = proposal
		accepted = append(accepted, *register)
		changed = append(changed, *register)
	}
	return accepted, changed, ProposalNumber{}
}

// Accept handles an accept message (phase 2a). It accepts all of the values or, if any of their registers is promised
// to a higher proposal, none of them. In that case it returns the higher proposal number as rejectedBy, which is zero
// otherwise.
func (a *Acceptor) Accept(proposal ProposalNumber, values []Entry) (changed []Entry, rejectedBy ProposalNumber) {
	a.Observe(proposal)
	for _, v := range values {
		if promised := a.promisedProposal(v.Key); proposal.Less(promised) {
			return nil, promised
		}
	}
	for _, v := range values {
		register := a.register(v.Key)
		// Chosen is kept when a later proposal writes the same value again. Otherwise, members that complete the same
		// round would repeatedly clear the flag that the others have set.
		chosen := register.Chosen && register.Value == v.Value
		*register = Entry{Key: v.Key, Promised: proposal, Accepted: proposal, Value: v.Value, Chosen: chosen}
		a.updateIndex(*register)
		changed = append(changed, *register)
	}
	return changed, ProposalNumber{}
}

// Confirm handles a request to confirm the values that were accepted under a proposal number. It confirms a register
// if the proposal is the last one accepted in it and the register is not promised to a higher one. Confirming has the
// effect of a repeated accept message: the entry must be on disk before the reply is sent. Confirm returns the entries
// whose promise it has raised, and the positions in keys of the registers that it does not confirm.
func (a *Acceptor) Confirm(proposal ProposalNumber, keys []string) (changed []Entry, unconfirmed []int) {
	a.Observe(proposal)
	for i, key := range keys {
		register := a.registers[key]
		if register == nil || register.Accepted != proposal || proposal.Less(a.promisedProposal(key)) {
			unconfirmed = append(unconfirmed, i)
			continue
		}
		// A value stored by Learn comes without a promise.
		if register.Promised != proposal {
			register.Promised = proposal
			changed = append(changed, *register)
		}
	}
	return changed, unconfirmed
}

// Learn merges entries of another member: chosen values or, while this member catches up, all values that the other
// has accepted. It keeps all promises, and values accepted here under a higher proposal number. It returns the entries
// that have changed.
func (a *Acceptor) Learn(entries []Entry) (changed []Entry) {
	for _, learned := range entries {
		register := a.register(learned.Key)
		a.Observe(learned.Accepted)
		switch {
		case register.Accepted.Less(learned.Accepted):
			// Chosen is set first because it depends on the value being replaced.
			register.Chosen = learned.Chosen || register.Chosen && register.Value == learned.Value
			register.Accepted = learned.Accepted
			register.Value = learned.Value
		case learned.Chosen && !register.Chosen && learned.Accepted != (ProposalNumber{}) && register.Value == learned.Value:
			register.Chosen = true
		default:
			continue
		}
		a.updateIndex(*register)
		changed = append(changed, *register)
	}
	return changed
}

// RaiseMinProposal makes the acceptor reject all proposals below the given one. It reports whether the minimum proposal
// number has changed.
//
// A member that lost its disk has lost its promises. Before it counts in a quorum again, it has f+1 other members raise
// their minimum proposal number, and raises its own. At least f+2 of the n members then reject every earlier proposal,
// so that no earlier proposal can still reach the accept quorum of n-f.
func (a *Acceptor) RaiseMinProposal(proposal ProposalNumber) (changed bool) {
	a.Observe(proposal)
	if !a.minProposal.Less(proposal) {
		return false
	}
	a.minProposal = proposal
	return true
}

// register returns the entry of a register, and creates it if it does not exist.
func (a *Acceptor) register(key string) *Entry {
	e := a.registers[key]
	if e == nil {
		e = &Entry{Key: key}
		a.registers[key] = e
	}
	return e
}

// promisedProposal returns the proposal number below which the acceptor rejects proposals for a register.
func (a *Acceptor) promisedProposal(key string) ProposalNumber {
	if e := a.registers[key]; e != nil && a.minProposal.Less(e.Promised) {
		return e.Promised
	}
	return a.minProposal
}

// updateIndex sets the fingerprint of an entry in the index, unless no value has been accepted in its register.
func (a *Acceptor) updateIndex(e Entry) {
	if e.Accepted == (ProposalNumber{}) {
		return
	}
	state := rangesync.RegisterState{
		Chosen:     e.Chosen,
		Version:    e.Value.Version,
		Annotation: e.Value.Annotation,
		Accepted: rangesync.ProposalNumber{
			Epoch:    e.Accepted.Epoch,
			Number:   e.Accepted.Number,
			Proposer: e.Accepted.Proposer,
		},
	}
	a.index.Set(e.Key, rangesync.NewFingerprint(e.Key, state))
}
