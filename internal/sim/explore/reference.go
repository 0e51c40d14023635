package explore

import "sagelever/internal/control/quorum"

// referenceMember implements sealing and activation as described in docs/model.md, on the registers of package quorum.
//
// A member that has accepted a configuration of the next epoch is sealed: it rejects all messages for the item,
// including reads, but continues to reply to rounds on the configuration.
type referenceMember struct {
	fault     Fault
	epoch     uint64
	registers *quorum.Acceptor
}

// NewReference returns the reference implementation of members, with an injected fault or NoFault.
func NewReference(fault Fault) Restore {
	return func(d Disk) Member {
		registers := quorum.NewAcceptor(d.Entries, quorum.ProposalNumber{})
		return &referenceMember{fault: fault, epoch: d.Epoch, registers: registers}
	}
}

// isSealed reports whether the member has accepted a configuration of the next epoch.
func (r *referenceMember) isSealed() bool {
	return r.epoch > 0 && r.registers.Get(ConfigurationKey).Value.Version > r.epoch
}

// mayReply reports whether the member replies to messages of an epoch on a register.
func (r *referenceMember) mayReply(epoch uint64, key string) bool {
	acceptsOldEpoch := r.fault == OldEpochAccepted && epoch < r.epoch
	if epoch != r.epoch && !acceptsOldEpoch {
		return false
	}
	if r.fault == SealedRejectsConfigurations && r.isSealed() {
		return false
	}
	return key == ConfigurationKey || !r.isSealed() || r.fault == NoSealing
}

func (r *referenceMember) Prepare(epoch uint64, proposal quorum.ProposalNumber, key string) (quorum.Entry, bool) {
	if !r.mayReply(epoch, key) {
		return quorum.Entry{}, false
	}
	accepted, _, rejectedBy := r.registers.Prepare(proposal, []string{key})
	if rejectedBy != (quorum.ProposalNumber{}) {
		return quorum.Entry{}, false
	}
	return accepted[0], true
}

func (r *referenceMember) Accept(epoch uint64, proposal quorum.ProposalNumber, value quorum.Entry) bool {
	if !r.mayReply(epoch, value.Key) {
		return false
	}
	_, rejectedBy := r.registers.Accept(proposal, []quorum.Entry{value})
	return rejectedBy == quorum.ProposalNumber{}
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

func (r *referenceMember) Activate(epoch uint64, entries []quorum.Entry) {
	if r.fault == MergeDropsOwnState {
		r.registers = quorum.NewAcceptor(nil, quorum.ProposalNumber{})
	}
	for _, e := range entries {
		if r.isSupersededBy(e) {
			r.overwrite(e)
		}
	}
	r.epoch = epoch
}

// isSupersededBy reports whether an entry of another member replaces the member's own.
func (r *referenceMember) isSupersededBy(e quorum.Entry) bool {
	own := r.registers.Get(e.Key)
	higherVersion := e.Value.Version > own.Value.Version
	higherProposal := own.Accepted.Less(e.Accepted)
	if e.Key == ConfigurationKey {
		return higherProposal
	}
	switch r.fault {
	case MergeByVersion:
		return higherVersion
	case MergeByVersionThenProposal:
		return higherVersion || e.Value.Version == own.Value.Version && higherProposal
	}
	return higherProposal
}

// overwrite replaces an entry. Without a fault it calls quorum.Acceptor.Learn, which merges by proposal number; with a
// fault it also replaces entries of higher proposals.
func (r *referenceMember) overwrite(e quorum.Entry) {
	own := r.registers.Get(e.Key)
	if own.Accepted.Less(e.Accepted) {
		r.registers.Learn([]quorum.Entry{{Key: e.Key, Accepted: e.Accepted, Value: e.Value}})
		return
	}
	e.Promised = own.Promised
	otherKey := ItemKey
	if e.Key == ItemKey {
		otherKey = ConfigurationKey
	}
	entries := []quorum.Entry{e, r.registers.Get(otherKey)}
	r.registers = quorum.NewAcceptor(entries, quorum.ProposalNumber{})
}

func (r *referenceMember) Learn(entry quorum.Entry) { r.registers.Learn([]quorum.Entry{entry}) }

func (r *referenceMember) Disk() Disk {
	entries := []quorum.Entry{r.registers.Get(ItemKey), r.registers.Get(ConfigurationKey)}
	return Disk{Epoch: r.epoch, Entries: entries}
}
