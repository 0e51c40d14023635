package explore

import "sagelever/internal/control/quorum"

// Disk is the state that a member has stored.
type Disk struct {
	Epoch   uint64 // the epoch in which the member is active; 0 for a learner
	Entries []quorum.Entry
}

// Member is a member with its registers. Each message carries the epoch of its sender. A method returns false if the
// member does not reply to the message.
type Member interface {
	// Prepare promises to reject lower proposals for the register, and returns the entry that was accepted last.
	Prepare(epoch uint64, proposal quorum.ProposalNumber, key string) (accepted quorum.Entry, ok bool)
	// Accept accepts a value under a proposal.
	Accept(epoch uint64, proposal quorum.ProposalNumber, value quorum.Entry) (ok bool)
	// Read returns a register, if the member may serve reads of the epoch.
	Read(epoch uint64, key string) (entry quorum.Entry, ok bool)
	// ReadSealed returns a register, if the member has accepted a configuration of the epoch after the given one.
	ReadSealed(epoch uint64, key string) (entry quorum.Entry, ok bool)
	// Activate merges entries of other members and makes the member active in the epoch. The entries include the
	// configuration of the epoch, which has been chosen.
	Activate(epoch uint64, entries []quorum.Entry)
	// Learn merges an entry of another member.
	Learn(entry quorum.Entry)
	// Disk returns the state that must be stored before a reply is sent.
	Disk() Disk
}

// Restore restores a member from its disk.
type Restore func(Disk) Member
