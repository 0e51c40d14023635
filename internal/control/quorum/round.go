package quorum

// Round is the proposer's side of one proposal for a set of registers. The caller sends a prepare message to the
// members and passes their promises in; once HandlePromise returns values, it sends these in accept messages and passes
// the replies in until HandleAccepted reports that the values are chosen. It is not safe for concurrent use.
type Round struct {
	Proposal         ProposalNumber
	prepareQuorum    int
	acceptQuorum     int
	keys             []string
	decide           DecideFunc
	promisedBy       map[string]bool  // names of the members that have promised
	acceptedBy       map[string]bool  // names of the members that have accepted
	highestAccepted  map[string]Entry // by key: the entry with the highest accepted proposal among the promises
	values           []Entry          // proposed in phase 2; nil until the prepare quorum is reached
	highestRejection ProposalNumber
}

// NewRound begins a round among a number of members, of which at most maxFailures may lose their disks.
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

// HandlePromise handles the promise of a member (phase 1b) and what it has accepted so far. On the promise that
// completes the prepare quorum it returns the values to be sent in accept messages, and nil otherwise. Repeated
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

// chooseValues returns the values that the round proposes. A register that the DecideFunc leaves out is proposed with
// its current value, as the value may have been accepted without being chosen yet.
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
			if r.highestAccepted[key].Accepted == (ProposalNumber{}) {
				continue // no value to complete; the promises already prevent earlier proposals from being chosen
			}
			value = current[key]
		}
		values = append(values, Entry{Key: key, Accepted: r.Proposal, Value: value})
	}
	return values
}

// HandleAccepted handles the confirmation of a member that it has the values on disk (phase 2b), and reports whether
// they are chosen.
func (r *Round) HandleAccepted(member string) (chosen bool) {
	r.acceptedBy[member] = true
	return len(r.acceptedBy) >= r.acceptQuorum
}

// CannotSucceed reports whether the current phase can no longer reach its quorum when only the given number of replies
// is still outstanding.
func (r *Round) CannotSucceed(outstanding int) bool {
	if r.values == nil {
		return len(r.promisedBy)+outstanding < r.prepareQuorum
	}
	return len(r.acceptedBy)+outstanding < r.acceptQuorum
}

// HandleRejection handles the rejection of a member, with the higher proposal number that the member has promised to.
func (r *Round) HandleRejection(promised ProposalNumber) {
	if r.highestRejection.Less(promised) {
		r.highestRejection = promised
	}
}

// HighestRejection returns the highest proposal number in favour of which the round was rejected; zero if it was not.
func (r *Round) HighestRejection() ProposalNumber { return r.highestRejection }

// ChosenEntries returns the proposed values marked as chosen, to be learned by all members. It is only meaningful after
// HandleAccepted has reported that the values are chosen.
func (r *Round) ChosenEntries() []Entry {
	entries := make([]Entry, len(r.values))
	for i, entry := range r.values {
		entry.Chosen = true
		entries[i] = entry
	}
	return entries
}
