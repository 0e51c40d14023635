package explore

// cannotRecover reports whether the remaining members can no longer acknowledge a write even if all of them are
// reachable, or would acknowledge one that does not include the newest chosen value.
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

// advanceEpoch activates all remaining members in the newest epoch. If too few of them can become active, it seals the
// remaining members of the previous epoch; if a member is already sealed, it completes the configuration of the next
// epoch. It reports whether it has to be called again.
func (m *model) advanceEpoch(s *state) bool {
	epoch := m.newestEpoch(s)
	m.activateAll(s, epoch)
	members := m.configurationMask(s, epoch).count()
	if epoch > 1 && m.activeMembers(s, epoch) < members-maxFailures {
		// Activates the members of the old configuration that have not become active in it yet, so that they can be sealed.
		// Otherwise, if not all members have seen the first of two consecutive changes, one disk loss would leave too few
		// sealed members.
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

// activateAll activates as many members as possible in an epoch.
func (m *model) activateAll(s *state, epoch uint8) {
	for m.activateOne(s, epoch) {
	}
}

// activateOne activates one more member in an epoch. It returns false if no other member can become active.
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

// activationReports returns the reports of the item from which a member can become active in an epoch: the report of
// one active member or, if there is none, those of at most a prepare quorum of sealed members of the previous epoch.
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

// runRound applies the replies of all remaining members to a round, and reports whether its value is chosen.
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
// than those of all explored rounds in an epoch.
func (m *model) itemRecoveryRound() int { return m.exploredRounds }

// configurationRecoveryRound returns the round that completes a configuration.
func (m *model) configurationRecoveryRound() int { return m.exploredRounds + 1 }
