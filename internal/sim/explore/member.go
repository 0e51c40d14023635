package explore

import "sagelever/internal/control/quorum"

// Disk is all that a member has stored.
type Disk struct {
	Epoch   uint64 // in which it is active; 0: it is a learner
	Entries []quorum.Entry
}

// Member is one member's registers with their epoch. A message carries the epoch that its sender is in.
type Member interface {
	// Prepare promises to take no ballot before b on the register, and tells what was accepted on it.
	Prepare(epoch uint64, b quorum.ProposalNumber, key string) (held quorum.Entry, ok bool)
	// Accept takes a value under a ballot.
	Accept(epoch uint64, b quorum.ProposalNumber, value quorum.Entry) (ok bool)
	// Read tells what is held, if the member may answer for the epoch.
	Read(epoch uint64, key string) (held quorum.Entry, ok bool)
	// ReadSealed tells what is held, if the member accepted the set of the epoch after this one.
	ReadSealed(epoch uint64, key string) (held quorum.Entry, ok bool)
	// Activate merges what others hold, and takes part in the epoch from now on. The set of that epoch is known to be
	// chosen and is among what is handed in.
	Activate(epoch uint64, held []quorum.Entry)
	// Learn takes up what another member holds, without a part in its ballot.
	Learn(held quorum.Entry)
	// Disk is what has to be stored before a reply goes out.
	Disk() Disk
}

// Restore takes up what a disk held.
type Restore func(Disk) Member

// referenceMember seals and activates as docs/model.md says, on today's registers.
type referenceMember struct {
	fault     Fault
	epoch     uint64
	registers *quorum.Acceptor
}

// NewReference makes members of the reference implementation, with a planted fault or none.
func NewReference(fault Fault) Restore {
	return func(d Disk) Member {
		return &referenceMember{fault: fault, epoch: d.Epoch, registers: quorum.NewAcceptor(d.Entries, quorum.ProposalNumber{})}
	}
}

// isSealed tells whether this member accepted a set for the next epoch.
func (r *referenceMember) isSealed() bool {
	return r.epoch > 0 && r.registers.Get(ConfigurationKey).Value.Version > r.epoch
}

// mayReply tells whether a message of an epoch on a register may be answered.
func (r *referenceMember) mayReply(epoch uint64, key string) bool {
	if epoch != r.epoch && !(r.fault == OldEpochAccepted && epoch < r.epoch) {
		return false
	}
	if r.fault == SealedRejectsConfigurations && r.isSealed() {
		return false
	}
	return key == ConfigurationKey || !r.isSealed() || r.fault == NoSealing
}

func (r *referenceMember) Prepare(epoch uint64, b quorum.ProposalNumber, key string) (quorum.Entry, bool) {
	if !r.mayReply(epoch, key) {
		return quorum.Entry{}, false
	}
	held, _, refused := r.registers.Prepare(b, []string{key})
	if refused != (quorum.ProposalNumber{}) {
		return quorum.Entry{}, false
	}
	return held[0], true
}

func (r *referenceMember) Accept(epoch uint64, b quorum.ProposalNumber, value quorum.Entry) bool {
	if !r.mayReply(epoch, value.Key) {
		return false
	}
	_, refused := r.registers.Accept(b, []quorum.Entry{value})
	return refused == quorum.ProposalNumber{}
}

func (r *referenceMember) Read(epoch uint64, key string) (quorum.Entry, bool) {
	sealed := r.isSealed() && r.fault != SealedReads && r.fault != NoSealing
	if epoch != r.epoch || sealed {
		return quorum.Entry{}, false
	}
	return r.registers.Get(key), true
}

func (r *referenceMember) ReadSealed(epoch uint64, key string) (quorum.Entry, bool) {
	if epoch != r.epoch || !r.isSealed() {
		return quorum.Entry{}, false
	}
	return r.registers.Get(key), true
}

func (r *referenceMember) Activate(epoch uint64, held []quorum.Entry) {
	if r.fault == MergeDropsOwnState {
		r.registers = quorum.NewAcceptor(nil, quorum.ProposalNumber{})
	}
	for _, e := range held {
		if r.supersedes(e) {
			r.overwrite(e)
		}
	}
	r.epoch = epoch
}

// supersedes tells whether what another holds takes the place of what is held here.
func (r *referenceMember) supersedes(e quorum.Entry) bool {
	own := r.registers.Get(e.Key)
	newer, later := e.Value.Version > own.Value.Version, own.Accepted.Less(e.Accepted)
	if e.Key == ConfigurationKey {
		return later
	}
	switch r.fault {
	case MergeByVersion:
		return newer
	case MergeByVersionThenProposal:
		return newer || e.Value.Version == own.Value.Version && later
	}
	return later
}

// overwrite puts an entry in place; the registers' own Learn merges by ballot, and does the same where no fault is planted.
func (r *referenceMember) overwrite(e quorum.Entry) {
	own := r.registers.Get(e.Key)
	if own.Accepted.Less(e.Accepted) {
		r.registers.Learn([]quorum.Entry{{Key: e.Key, Accepted: e.Accepted, Value: e.Value}})
		return
	}
	e.Promised = own.Promised
	other := ItemKey
	if e.Key == ItemKey {
		other = ConfigurationKey
	}
	entries := []quorum.Entry{e, r.registers.Get(other)}
	r.registers = quorum.NewAcceptor(entries, quorum.ProposalNumber{})
}

func (r *referenceMember) Learn(held quorum.Entry) { r.registers.Learn([]quorum.Entry{held}) }

func (r *referenceMember) Disk() Disk {
	return Disk{Epoch: r.epoch, Entries: []quorum.Entry{r.registers.Get(ItemKey), r.registers.Get(ConfigurationKey)}}
}
