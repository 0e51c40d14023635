package explore

// cannotRecover reports whether the remaining members, all of them reachable, can no longer acknowledge a write, or
// would acknowledge one that lacks what was acknowledged before.
func (m *model) cannotRecover(s *state) bool {
	recovered := *s
	recovered.reader = readerState{}
	for range maxEpochs {
		if !m.advanceEpoch(&recovered) {
			break
		}
	}
	round := m.itemRecoveryRound()
	if !m.runRound(&recovered, round, m.newestEpoch(&recovered)) {
		return true
	}
	required := m.newestChosen(s)
	return required != 0 && !m.itemIncludes(required, recovered.rounds[round].value)
}

// advanceEpoch lets all remaining members become active in the newest epoch, or completes the configuration of a later
// one. It reports whether it has to be called again.
func (m *model) advanceEpoch(s *state) bool {
	epoch := m.newestEpoch(s)
	m.activateAll(s, epoch)
	members := m.configurationMask(s, epoch).count()
	if epoch > 1 && m.activeMembers(s, epoch) < members-maxFailures {
		// Members of the old configuration that never became active in it do so now, and are sealed there. Otherwise two
		// consecutive changes, of which not all members have seen the first, and one loss leave too few sealed members.
		if m.fault != NewestEpochOnly {
			m.activateAll(s, epoch-1)
		}
		m.runRound(s, m.configurationRecoveryRound(), epoch-1) // seals the remaining members of the old configuration
		return true
	}
	for member := range memberCount {
		if m.isSealed(s, member, epoch) {
			return m.runRound(s, m.configurationRecoveryRound(), epoch)
		}
	}
	return false
}

func (m *model) isSealed(s *state, member int, epoch uint8) bool {
	current := &s.members[member]
	return !current.lost && m.invoke(memberCall{disk: current.memory, kind: callReadSealed, epoch: epoch}).ok
}

// activateAll lets as many members as possible become active in an epoch.
func (m *model) activateAll(s *state, epoch uint8) {
	for m.activateOne(s, epoch) {
	}
}

// activateOne lets one more member become active in an epoch. It returns false if none can.
func (m *model) activateOne(s *state, epoch uint8) bool {
	reports := m.activationReports(s, epoch)
	if m.activeMembers(s, epoch) == 0 && len(reports) < prepareQuorum {
		return false
	}
	for i := range s.members {
		member := &s.members[i]
		if member.lost || member.memory.epoch >= epoch || !m.participates(s, epoch, i) {
			continue
		}
		*s = m.activate(s, i, epoch, reports, 0).state
		return true
	}
	return false
}

// activationReports returns the states of the item from which a member can become active in an epoch: that of one
// active member or, if there is none, those of at most a prepare quorum of sealed members of the epoch before.
func (m *model) activationReports(s *state, epoch uint8) (reports []itemReport) {
	for i := range s.members {
		member := &s.members[i]
		report := member.memory.item.report()
		if !member.lost && member.memory.epoch == epoch && m.participates(s, epoch, i) {
			return []itemReport{report}
		}
		if epoch > 1 && len(reports) < prepareQuorum && m.isSealed(s, i, epoch-1) {
			reports = append(reports, report)
		}
	}
	return reports
}

// runRound lets all remaining members reply to a round, and reports whether its value is chosen.
func (m *model) runRound(s *state, round int, epoch uint8) bool {
	s.rounds[round] = roundState{}
	current := &s.rounds[round]
	for member := range memberCount {
		if !current.proposed && !s.members[member].lost && m.participates(s, epoch, member) {
			m.promise(s, round, member, epoch)
		}
	}
	for member := range memberCount {
		if current.proposed && !s.members[member].lost && m.participates(s, epoch, member) {
			m.accept(s, round, member)
		}
	}
	return current.chosen
}

// itemRecoveryRound returns the round that tests whether a write can be acknowledged. Its proposal number is higher
// than those of all stepRounds in an epoch.
func (m *model) itemRecoveryRound() int { return m.stepRounds }

// configurationRecoveryRound returns the round that completes a configuration.
func (m *model) configurationRecoveryRound() int { return m.stepRounds + 1 }
