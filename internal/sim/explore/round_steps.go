package explore

// roundSteps appends the steps in which a member replies to a message of a round.
func (m *model) roundSteps(s *state, round int, out []successor) []successor {
	current := &s.rounds[round]
	for epoch := uint8(1); epoch <= maxEpochs; epoch++ {
		if !m.mayRunIn(s, round, epoch) {
			continue
		}
		for member := range memberCount {
			if s.members[member].lost {
				continue
			}
			participates := m.participates(s, epoch, member)
			if !participates && !m.countsRemoved(s, epoch, member) {
				continue
			}
			next := *s
			if !current.proposed && participates && m.promise(&next, round, member, epoch) {
				note := m.proposalNote(&next, round)
				step := Step{Kind: StepPromise, Round: round, Member: member, Epoch: epoch, Note: note}
				out = append(out, successor{state: next, step: step})
			}
			if current.proposed && m.accept(&next, round, member) {
				note := m.chosenNote(s, &next, round)
				step := Step{Kind: StepAccept, Round: round, Member: member, Epoch: epoch, Note: note}
				out = append(out, successor{state: next, step: step})
			}
		}
	}
	return out
}

// mayRunIn reports whether a round may run in an epoch. A round that has begun stays in its epoch.
func (m *model) mayRunIn(s *state, round int, epoch uint8) bool {
	begunIn := s.rounds[round].epoch
	specified := m.roundSpecs[round].epoch
	return (begunIn == 0 || begunIn == epoch) && (specified == 0 || specified == epoch)
}

// countsRemoved reports whether the injected fault makes a member count in an epoch whose configuration has removed it.
func (m *model) countsRemoved(s *state, epoch uint8, member int) bool {
	if m.fault != RemovedMemberCounts || epoch == 1 {
		return false
	}
	current := m.configurationMask(s, epoch)
	previous := m.configurationMask(s, epoch-1)
	return current != 0 && previous.has(member) && !current.has(member)
}

// persist replaces the state of a member in memory and on its disk.
func (m *model) persist(s *state, member int, d diskState) {
	target := &s.members[member]
	target.memory = d
	if m.fault != ReplyBeforeSync {
		target.stored = d
	}
	for epoch := uint8(1); epoch < maxEpochs; epoch++ {
		if target.sealed[epoch].valid {
			continue
		}
		result := m.invoke(memberCall{disk: d, kind: callReadSealed, epoch: epoch})
		if result.ok {
			target.sealed[epoch] = result.reply.report()
		}
	}
}

// promise applies the reply of a member to the prepare message of a round. The promise that completes the prepare
// quorum also makes the round propose its value. It returns false if the member does not promise.
func (m *model) promise(s *state, round, member int, epoch uint8) bool {
	current := &s.rounds[round]
	if current.promisedBy.has(member) {
		return false
	}
	result := m.invoke(memberCall{
		disk:            s.members[member].memory,
		kind:            callPrepare,
		epoch:           epoch,
		proposal:        newProposalID(epoch, round),
		onConfiguration: m.roundSpecs[round].key == ConfigurationKey,
	})
	if !result.ok {
		return false
	}
	m.persist(s, member, result.disk)
	current.epoch = epoch
	current.promises[current.promisedBy.count()] = result.reply.report()
	current.promisedBy = current.promisedBy.with(member)
	if current.promisedBy.count() == prepareQuorum {
		current.value = m.proposedValue(s, round)
		current.proposed = true
		current.promisedBy = 0
		current.promises = [prepareQuorum]itemReport{}
	}
	return true
}

// accept applies the reply of a member to the accept message of a round. It returns false if the member does not
// accept.
func (m *model) accept(s *state, round, member int) bool {
	current := &s.rounds[round]
	if current.acceptedBy.has(member) {
		return false
	}
	memory := s.members[member].memory
	call := memberCall{
		disk:            memory,
		kind:            callAccept,
		epoch:           current.epoch,
		proposal:        newProposalID(current.epoch, round),
		onConfiguration: m.roundSpecs[round].key == ConfigurationKey,
		value:           current.value,
	}
	removed := m.countsRemoved(s, current.epoch, member)
	if removed { // the member accepts as if it were active in the epoch
		call.disk.epoch = current.epoch
		call.disk.configuration = registerState{}
	}
	result := m.invoke(call)
	if !result.ok {
		return false
	}
	if removed {
		result.disk.epoch = memory.epoch
		result.disk.configuration = memory.configuration
	}
	m.persist(s, member, result.disk)
	current.acceptedBy = current.acceptedBy.with(member)
	current.chosen = m.isChosen(s, round)
	return true
}
