package quorum

// Confirmation finds out which values that were accepted under one proposal number are chosen. Its caller asks all
// members to confirm that they have accepted them (Acceptor.Confirm) and passes the replies in.
//
// It is phase 2 of the proposal's round once more. It raises no promise above the proposal, so that any number of
// members may do it at the same time without getting in each other's way, and it carries no values. It is not safe for
// concurrent use.
type Confirmation struct {
	Proposal ProposalNumber
	Keys     []string

	acceptQuorum int
	heard        map[string]bool // members that have replied
	acceptedBy   []int           // for each key: how many members have confirmed it
	remaining    int             // keys that are not chosen as far as is known
}

// NewConfirmation begins a confirmation among a number of members, of which at most maxFailures may lose their disks.
func NewConfirmation(proposal ProposalNumber, keys []string, members, maxFailures int) *Confirmation {
	return &Confirmation{
		Proposal:     proposal,
		Keys:         keys,
		acceptQuorum: members - maxFailures,
		heard:        map[string]bool{},
		acceptedBy:   make([]int, len(keys)),
		remaining:    len(keys),
	}
}

// HandleReply handles the reply of a member, which has on disk all keys but those at some positions. It returns the
// keys whose values are chosen as of this reply. Repeated replies of one member are ignored.
func (c *Confirmation) HandleReply(member string, unconfirmed []int) (chosen []string) {
	if c.heard[member] {
		return nil
	}
	c.heard[member] = true
	isUnconfirmed := make(map[int]bool, len(unconfirmed))
	for _, position := range unconfirmed {
		isUnconfirmed[position] = true
	}
	for i, key := range c.Keys {
		if isUnconfirmed[i] {
			continue
		}
		c.acceptedBy[i]++
		if c.acceptedBy[i] == c.acceptQuorum {
			chosen = append(chosen, key)
			c.remaining--
		}
	}
	return chosen
}

// Done reports whether all values are chosen.
func (c *Confirmation) Done() bool { return c.remaining == 0 }
