package quorum

// Round is the proposer's side of one proposal for a set of registers. The caller sends a prepare message to the
// members and passes their promises to HandlePromise. Once that returns values, the caller sends these in accept
// messages and passes the replies to HandleAccepted until it reports that the values are chosen. A Round is not safe
// for concurrent use.
type Round struct {
	Proposal         ProposalNumber
	prepareQuorum    int
	acceptQuorum     int
	keys             []string
	decide           DecideFunc
	promisedBy       map[string]bool  // names of the members that have promised
	acceptedBy       map[string]bool  // names of the members that have accepted the values
	highestAccepted  map[string]Entry // by key: the entry with the highest Accepted among the promises
	values           []Entry          // proposed in phase 2; nil until the prepare quorum is reached
	highestRejection ProposalNumber
}

// NewRound begins a round among the given number of members, of which at most maxFailures may lose their disks.
func NewRound(proposal ProposalNumber, members, maxFailures int, keys []string, decide DecideFunc) *Round {
	return &Round{
		Proposal:        proposal,
		prepareQuorum:   maxFailures + 1,
		acceptQuorum:    members - maxFailures,
		keys:            keys,
		decide:          decide,
		promisedBy:      map[string]bool{},
		acceptedBy:      map[string]bool{},
		highestAccepted: map[string]Entry{},
	}
}

// Keys returns the keys of the registers of the round.
func (r *Round) Keys() []string { return r.keys }

// HandlePromise handles the promise of a member (phase 1b), which comes with the member's entries. On the promise that
// completes the prepare quorum it returns the values to be sent in accept messages; otherwise it returns nil. Repeated
// promises of one member are ignored.
func (r *Round) HandlePromise(member string, accepted []Entry) (values []Entry) {
	if r.promisedBy[member] || r.values != nil {
		return nil
	}
	r.promisedBy[member] = true
	for _, e := range accepted {
		if highest, ok := r.highestAccepted[e.Key]; !ok || highest.Accepted.Less(e.Accepted) {
			r.highestAccepted[e.Key] = e
		}
	}
	if len(r.promisedBy) < r.prepareQuorum {
		return nil
	}
	r.values = r.chooseValues()
	return r.values
}

// chooseValues returns the values that the round proposes. For a register that the DecideFunc leaves out, it proposes
// the current value, which may have been accepted without having been chosen, or Absent.
//
// Invariant: once the round's values are chosen, no value of an earlier proposal can be chosen in any of its registers.
// A value that an earlier proposal left with members outside the prepare quorum is replaced whenever they propose it
// again, because their prepare quorum includes a member that has accepted this round's value.
func (r *Round) chooseValues() []Entry {
	current := make(map[string]Value, len(r.keys))
	for _, key := range r.keys {
		current[key] = r.highestAccepted[key].Value
	}
	decided := r.decide(current)
	values := make([]Entry, 0, len(r.keys))
	for _, key := range r.keys {
		value, updated := decided[key]
		if !updated {
			value = r.currentValue(key)
		}
		values = append(values, Entry{Key: key, Accepted: r.Proposal, Value: value})
	}
	return values
}

// currentValue returns the value with the highest proposal number among the promises, or Absent if there is none.
func (r *Round) currentValue(key string) Value {
	if entry, found := r.highestAccepted[key]; found && entry.Accepted != (ProposalNumber{}) {
		return entry.Value
	}
	return Absent
}

// HandleAccepted handles a member's reply that it has accepted the values and has them on disk (phase 2b). It reports
// whether the values are chosen.
func (r *Round) HandleAccepted(member string) (chosen bool) {
	r.acceptedBy[member] = true
	return len(r.acceptedBy) >= r.acceptQuorum
}

// CannotSucceed reports whether the current phase can no longer reach its quorum, given the number of outstanding
// replies.
func (r *Round) CannotSucceed(outstanding int) bool {
	if r.values == nil {
		return len(r.promisedBy)+outstanding < r.prepareQuorum
	}
	return len(r.acceptedBy)+outstanding < r.acceptQuorum
}

// HandleRejection handles the rejection of a member, which contains the higher proposal number that it has promised.
func (r *Round) HandleRejection(promised ProposalNumber) {
	if r.highestRejection.Less(promised) {
		r.highestRejection = promised
	}
}

// HighestRejection returns the highest proposal number passed to HandleRejection, or zero if there was no rejection.
func (r *Round) HighestRejection() ProposalNumber { return r.highestRejection }

// ChosenEntries returns the proposed values with Chosen set, for Acceptor.Learn on all members. It must only be called
// after HandleAccepted has reported that the values are chosen.
func (r *Round) ChosenEntries() []Entry {
	entries := make([]Entry, len(r.values))
	for i, entry := range r.values {
		entry.Chosen = true
		entries[i] = entry
	}
	return entries
}
