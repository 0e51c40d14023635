package quorum

import "slices"

// Confirmation determines which of the values accepted under one proposal number are chosen. The caller asks all
// members to confirm that they have accepted the values (Acceptor.Confirm) and passes the replies to HandleReply.
//
// A confirmation repeats phase 2 of the proposal's round without sending the values. It raises no promise above the
// proposal, so that any number of members can run confirmations concurrently without conflict. A Confirmation is not
// safe for concurrent use.
type Confirmation struct {
	Proposal ProposalNumber
	Keys     []string

	acceptQuorum int
	replied      map[string]bool // names of the members that have replied
	confirmedBy  [][]string      // for each key: names of the members that have confirmed it
	remaining    int             // number of keys whose values are not yet known to be chosen
}

// NewConfirmation begins a confirmation among the given number of members, of which at most maxFailures may lose their
// disks.
func NewConfirmation(proposal ProposalNumber, keys []string, members, maxFailures int) *Confirmation {
	return &Confirmation{
		Proposal:     proposal,
		Keys:         keys,
		acceptQuorum: members - maxFailures,
		replied:      map[string]bool{},
		confirmedBy:  make([][]string, len(keys)),
		remaining:    len(keys),
	}
}

// HandleReply handles the reply of a member, which confirms all keys except those at the unconfirmed positions. It
// returns the keys whose values this reply shows to be chosen. Repeated replies of one member are ignored.
func (c *Confirmation) HandleReply(member string, unconfirmed []int) (chosen []string) {
	if c.replied[member] {
		return nil
	}
	c.replied[member] = true
	isUnconfirmed := make(map[int]bool, len(unconfirmed))
	for _, position := range unconfirmed {
		isUnconfirmed[position] = true
	}
	for i, key := range c.Keys {
		if isUnconfirmed[i] {
			continue
		}
		c.confirmedBy[i] = append(c.confirmedBy[i], member)
		if len(c.confirmedBy[i]) == c.acceptQuorum {
			chosen = append(chosen, key)
			c.remaining--
		}
	}
	return chosen
}

// MayHold reports whether a member may have accepted the value of the key at a position: it has confirmed the key, or
// has not replied.
func (c *Confirmation) MayHold(member string, position int) bool {
	return !c.replied[member] || slices.Contains(c.confirmedBy[position], member)
}

// HasReplied reports whether a member has replied.
func (c *Confirmation) HasReplied(member string) bool { return c.replied[member] }

// Done reports whether all values are known to be chosen.
func (c *Confirmation) Done() bool { return c.remaining == 0 }
