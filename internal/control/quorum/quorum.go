// Package quorum keeps the lasting state of the core: named registers, each decided by itself by rounds of ballots among
// the members, so that any agent takes a write, no log is kept and nobody leads. It is pure: a state, a message, the next
// state and a reply; what has to be on disk before the reply goes out is told.
//
// Of n members, lost disks f at once, a value counts as chosen when w = n-f have it on disk. A round asks r = f+1 members
// that have caught up. Of the w holders w-f keep it when f lose theirs; the n-f others hold at most n-f-(w-f) = f that lack
// it, so that every r of them include a holder. A member that came back empty counts for neither until it has caught up
// from r others and has had them refuse the ballots from before: see Refuse.
package quorum

import (
	"maps"
	"slices"

	"sagelever/internal/control/rangesync"
)

// ProposalNumber orders rounds; the zero one is before all. Every ballot of an epoch comes before those of the next, so that nothing
// that was promised or accepted under an earlier set of members goes before what a later set decides. Who tells apart rounds
// of two members with one number.
type ProposalNumber struct {
	Epoch    uint64 `json:"e,omitempty"`
	Number   uint64 `json:"n"`
	Proposer string `json:"w,omitempty"`
}

// Less tells whether a comes before b.
func (a ProposalNumber) Less(b ProposalNumber) bool {
	if a.Epoch != b.Epoch {
		return a.Epoch < b.Epoch
	}
	if a.Number != b.Number {
		return a.Number < b.Number
	}
	return a.Proposer < b.Proposer
}

// Value is the content of a register: the item with its own version. Gone stands for an item that was dropped. Note belongs
// to whoever writes the register and is kept with it as it is: what it needs to recognize an order that is sent again. Under
// one version the note may change; Gone and Body never do.
type Value struct {
	Version    uint64 `json:"v"`
	Deleted    bool   `json:"g,omitempty"`
	Body       string `json:"b,omitempty"`
	Annotation string `json:"n,omitempty"`
}

// Entry is a register as one member holds it.
//
//easyjson:json
type Entry struct {
	Key      string         `json:"k"`
	Promised ProposalNumber `json:"p"`
	Accepted ProposalNumber `json:"a"`
	Value    Value          `json:"x"`
	Chosen   bool           `json:"c,omitempty"` // the value is known to be chosen, under this ballot or one before
}

// Acceptor is one member's registers.
type Acceptor struct {
	registers     map[string]*Entry
	index         *rangesync.Index // of the registers in which something was accepted
	minProposal   ProposalNumber   // no ballot before it is taken, on any register
	highestNumber uint64           // the largest number seen
}

// NewAcceptor takes up what a disk held.
func NewAcceptor(entries []Entry, minProposal ProposalNumber) *Acceptor {
	a := &Acceptor{registers: map[string]*Entry{}, index: rangesync.NewIndex(), minProposal: minProposal, highestNumber: minProposal.Number}
	for _, e := range entries {
		a.registers[e.Key] = &e
		a.updateIndex(e)
		a.highestNumber = max(a.highestNumber, e.Promised.Number, e.Accepted.Number)
	}
	return a
}

// updateIndex brings the index up to date with a register.
func (a *Acceptor) updateIndex(e Entry) {
	if e.Accepted == (ProposalNumber{}) {
		return
	}
	accepted := rangesync.ProposalNumber{Epoch: e.Accepted.Epoch, Number: e.Accepted.Number, Proposer: e.Accepted.Proposer}
	a.index.Set(e.Key, rangesync.NewFingerprint(e.Key, rangesync.RegisterState{Chosen: e.Chosen, Version: e.Value.Version, Annotation: e.Value.Annotation, Accepted: accepted}))
}

// Index is what other members compare their registers with.
func (a *Acceptor) Index() *rangesync.Index { return a.index }

// EntriesWithPrefix is the registers in which something was accepted and whose keys begin so, in the order of their keys.
func (a *Acceptor) EntriesWithPrefix(prefix string) []Entry {
	keys := a.index.Keys(rangesync.PrefixRange(prefix), a.index.Len())
	out := make([]Entry, 0, len(keys))
	for _, k := range keys {
		out = append(out, *a.registers[k])
	}
	return out
}

func (a *Acceptor) promisedProposal(key string) ProposalNumber {
	if e := a.registers[key]; e != nil && a.minProposal.Less(e.Promised) {
		return e.Promised
	}
	return a.minProposal
}

// NextProposal is a ballot of an epoch after all that this member has seen.
func (a *Acceptor) NextProposal(epoch uint64, proposer string) ProposalNumber {
	return ProposalNumber{Epoch: epoch, Number: max(a.highestNumber, a.minProposal.Number) + 1, Proposer: proposer}
}

// Observe notes a number that another member holds to, so that the next ballot comes after it.
func (a *Acceptor) Observe(proposal ProposalNumber) {
	a.highestNumber = max(a.highestNumber, proposal.Number)
}

// Get is a register; the zero entry where nothing is known.
func (a *Acceptor) Get(key string) Entry {
	if e := a.registers[key]; e != nil {
		return *e
	}
	return Entry{Key: key}
}

// AcceptedEntries is every register in which something was accepted.
func (a *Acceptor) AcceptedEntries() []Entry {
	out := make([]Entry, 0, len(a.registers))
	for _, e := range a.registers {
		if e.Accepted != (ProposalNumber{}) {
			out = append(out, *e)
		}
	}
	return out
}

// MinProposal is the ballot before which all are refused.
func (a *Acceptor) MinProposal() ProposalNumber { return a.minProposal }

// Prepare promises to take no ballot before b on the keys, and tells what was accepted on them. Where one is promised to a
// later ballot nothing is promised at all, and that ballot is told. The changed entries have to be on disk before the
// reply goes out.
func (a *Acceptor) Prepare(proposal ProposalNumber, keys []string) (accepted, changed []Entry, rejectedBy ProposalNumber) {
	a.Observe(proposal)
	for _, k := range keys {
		if p := a.promisedProposal(k); proposal.Less(p) {
			return nil, nil, p
		}
	}
	for _, k := range keys {
		e := a.registers[k]
		if e == nil {
			e = &Entry{Key: k}
			a.registers[k] = e
		}
		e.Promised = proposal
		accepted, changed = append(accepted, *e), append(changed, *e)
	}
	return accepted, changed, ProposalNumber{}
}

// Accept takes values under a ballot, all or none.
func (a *Acceptor) Accept(proposal ProposalNumber, values []Entry) (changed []Entry, rejectedBy ProposalNumber) {
	a.Observe(proposal)
	for _, v := range values {
		if p := a.promisedProposal(v.Key); proposal.Less(p) {
			return nil, p
		}
	}
	for _, v := range values {
		e := a.registers[v.Key]
		if e == nil {
			e = &Entry{Key: v.Key}
			a.registers[v.Key] = e
		}
		// What is known to be chosen stays so when it is written again under a later ballot, or each who does that would
		// leave all others in doubt.
		*e = Entry{Key: v.Key, Promised: proposal, Accepted: proposal, Value: v.Value, Chosen: e.Chosen && e.Value == v.Value}
		a.updateIndex(*e)
		changed = append(changed, *e)
	}
	return changed, ProposalNumber{}
}

// Learn takes up what is known to be chosen, or what another member has accepted when this one catches up. It never goes
// back: what was accepted under a later ballot stays. A learned value takes no promise away.
func (a *Acceptor) Learn(entries []Entry) (changed []Entry) {
	for _, n := range entries {
		e := a.registers[n.Key]
		if e == nil {
			e = &Entry{Key: n.Key}
			a.registers[n.Key] = e
		}
		a.Observe(n.Accepted)
		switch {
		case e.Accepted.Less(n.Accepted):
			e.Accepted, e.Value, e.Chosen = n.Accepted, n.Value, n.Chosen || e.Chosen && e.Value == n.Value
		case n.Chosen && !e.Chosen && e.Value == n.Value && n.Accepted != (ProposalNumber{}):
			e.Chosen = true
		default:
			continue
		}
		a.updateIndex(*e)
		changed = append(changed, *e)
	}
	return changed
}

// RaiseMinProposal makes this member refuse all ballots before b. A member that lost its disk has forgotten its promises: it asks
// f+1 others for this and holds to it itself before it counts again. Of the n members then f+2 or more refuse what was
// under way, so that no older ballot finds the n-f it needs.
func (a *Acceptor) RaiseMinProposal(proposal ProposalNumber) (changed bool) {
	a.Observe(proposal)
	if a.minProposal.Less(proposal) {
		a.minProposal = proposal
		return true
	}
	return false
}

// UpdateFunc is what a writer wants of one register, given what it holds; it must come out the same for the same input.
type UpdateFunc func(held Value) Value

// DecideFunc is what a writer wants of all registers of a round, given what they hold; a register that it leaves out keeps its
// value. It must come out the same for the same input.
type DecideFunc func(held map[string]Value) map[string]Value

// UpdateEach is a change of each register by itself.
func UpdateEach(updates map[string]UpdateFunc) (keys []string, decide DecideFunc) {
	return slices.Sorted(maps.Keys(updates)), func(current map[string]Value) map[string]Value {
		updated := make(map[string]Value, len(updates))
		for key, update := range updates {
			updated[key] = update(current[key])
		}
		return updated
	}
}

// Round is one writer's attempt on some registers, under one ballot. Replies go in, each member's once; what to send
// next and how it ended come out.
type Round struct {
	Proposal         ProposalNumber
	acceptQuorum     int // holders that make a value chosen
	prepareQuorum    int // members that must tell what they hold
	keys             []string
	decide           DecideFunc
	promisedBy       map[string]bool
	acceptedBy       map[string]bool
	highestAccepted  map[string]Entry
	values           []Entry
	highestRejection ProposalNumber
}

// NewRound begins a round of n members of which f may lose their disks.
func NewRound(proposal ProposalNumber, members, maxFailures int, keys []string, decide DecideFunc) *Round {
	return &Round{Proposal: proposal, acceptQuorum: members - maxFailures, prepareQuorum: maxFailures + 1, keys: keys, decide: decide,
		promisedBy: map[string]bool{}, acceptedBy: map[string]bool{}, highestAccepted: map[string]Entry{}}
}

// Keys are the registers of the round.
func (r *Round) Keys() []string { return r.keys }

// HandlePromise takes a member's promise; values is what is to be accepted, once enough have promised.
func (r *Round) HandlePromise(member string, accepted []Entry) (values []Entry) {
	if r.promisedBy[member] || r.values != nil {
		return nil
	}
	r.promisedBy[member] = true
	for _, e := range accepted {
		if b, ok := r.highestAccepted[e.Key]; !ok || b.Accepted.Less(e.Accepted) {
			r.highestAccepted[e.Key] = e
		}
	}
	if len(r.promisedBy) < r.prepareQuorum {
		return nil
	}
	r.values = r.chooseValues()
	return r.values
}

// chooseValues is what the round writes: the decision on all that is held, and what it leaves out as it is; a register that holds
// nothing then stays so.
func (r *Round) chooseValues() []Entry {
	current := make(map[string]Value, len(r.keys))
	for _, k := range r.keys {
		current[k] = r.highestAccepted[k].Value
	}
	decided := r.decide(current)
	values := make([]Entry, 0, len(r.keys))
	for _, k := range r.keys {
		v, updated := decided[k]
		if !updated {
			if r.highestAccepted[k].Accepted == (ProposalNumber{}) {
				continue // there is nothing to write again, and the promises keep earlier ballots from being chosen
			}
			v = current[k]
		}
		values = append(values, Entry{Key: k, Accepted: r.Proposal, Value: v})
	}
	return values
}

// HandleAccepted takes a member's word that it holds the values on disk; done when so many do that they are chosen.
func (r *Round) HandleAccepted(member string) (chosen bool) {
	r.acceptedBy[member] = true
	return len(r.acceptedBy) >= r.acceptQuorum
}

// CannotSucceed tells whether the round can't end well with as many replies as are still to come.
func (r *Round) CannotSucceed(outstanding int) bool {
	if r.values == nil {
		return len(r.promisedBy)+outstanding < r.prepareQuorum
	}
	return len(r.acceptedBy)+outstanding < r.acceptQuorum
}

// HandleRejection takes a member's refusal and the ballot it holds to.
func (r *Round) HandleRejection(proposal ProposalNumber) {
	if r.highestRejection.Less(proposal) {
		r.highestRejection = proposal
	}
}

// HighestRejection is the latest ballot that refused this round; the zero one where none did.
func (r *Round) HighestRejection() ProposalNumber { return r.highestRejection }

// ChosenEntries is what the round has written, to be learned by all.
func (r *Round) ChosenEntries() []Entry {
	out := make([]Entry, len(r.values))
	for i, v := range r.values {
		v.Chosen = true
		out[i] = v
	}
	return out
}
