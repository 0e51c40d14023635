package explore

// diskLossSteps appends the loss of a member's disk, if the bounds and the configurations in use allow it.
func (m *model) diskLossSteps(s *state, member int, out []successor) []successor {
	if int(s.diskLosses) >= m.bounds.DiskLosses || !m.mayLoseDisk(s, member) {
		return out
	}
	next := *s
	next.diskLosses++
	target := &next.members[member]
	target.clearFetched()
	var remaining diskState
	if m.fault == WipedMemberCounts {
		remaining = diskState{epoch: target.memory.epoch, configuration: target.memory.configuration}
	} else {
		target.lost = true
	}
	target.memory = remaining
	target.stored = remaining
	return append(out, successor{state: next, step: Step{Kind: StepDiskLoss, Member: member}})
}

// restartSteps appends the restart of a member from its disk.
func (m *model) restartSteps(s *state, member int, out []successor) []successor {
	if int(s.restarts) >= m.bounds.Restarts {
		return out
	}
	next := *s
	target := &next.members[member]
	target.memory = target.stored
	target.clearFetched()
	if next == *s {
		return out
	}
	next.restarts++
	return append(out, successor{state: next, step: Step{Kind: StepRestart, Member: member}})
}

// mayLoseDisk reports whether the design tolerates that a member loses its disk: at most maxFailures members of each
// configuration in use are lost.
//
// A configuration is in use until a prepare quorum is active in a later one. With Bounds.Recovery, it is in use even
// before it is chosen: once a member has accepted it, nothing else can be chosen without that member.
func (m *model) mayLoseDisk(s *state, member int) bool {
	lost := memberMask(0).with(member)
	for i := range s.members {
		if s.members[i].lost {
			lost = lost.with(i)
		}
	}
	requiredActive := prepareQuorum
	if m.fault == EarlyRetirement {
		requiredActive = 1
	}
	for epoch := uint8(maxEpochs); epoch > 0; epoch-- {
		members := m.configurationMask(s, epoch)
		if members == 0 && m.bounds.Recovery {
			members = m.proposedConfigurationMask(epoch)
		}
		if (members & lost).count() > maxFailures {
			return false
		}
		if m.activeMembers(s, epoch) >= requiredActive {
			return true
		}
	}
	return true
}

// proposedConfigurationMask returns the members of the first configuration of an epoch in the bounds.
func (m *model) proposedConfigurationMask(epoch uint8) memberMask {
	for i, configuration := range m.bounds.Configurations {
		if configuration.Epoch == epoch {
			return m.configurationMasks[i]
		}
	}
	return 0
}
