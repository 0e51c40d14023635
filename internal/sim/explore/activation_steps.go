package explore

// activationSteps appends the steps in which a member becomes active in a later epoch, and those that prepare it.
func (m *model) activationSteps(s *state, member int, out []successor) []successor {
	current := &s.members[member]
	for epoch := uint8(2); epoch <= maxEpochs; epoch++ {
		if !m.participates(s, epoch, member) || current.memory.epoch >= epoch {
			continue
		}
		out = m.fetchSteps(s, member, epoch, out)
		if current.fetched.valid && (current.fetchedEpoch == epoch || m.fault == StaleFetchCounts) {
			out = append(out, m.activate(s, member, epoch, []itemReport{current.fetched}, 0))
		}
		out = m.sealedSteps(s, member, epoch, out)
		if m.fault == LearnerCounts {
			out = append(out, m.activate(s, member, epoch, nil, 0))
		}
	}
	return out
}

// fetchSteps appends the steps in which a member fetches the item from an active member of an epoch.
func (m *model) fetchSteps(s *state, member int, epoch uint8, out []successor) []successor {
	for source := range memberCount {
		from := &s.members[source]
		if from.lost || !m.mayFetch(from, epoch) {
			continue
		}
		next := *s
		next.members[member].fetched = from.memory.item.report()
		next.members[member].fetchedEpoch = epoch
		if next != *s {
			step := Step{Kind: StepFetch, Member: member, Epoch: epoch, Sources: memberMask(0).with(source)}
			out = append(out, successor{state: next, step: step})
		}
	}
	return out
}

// mayFetch reports whether the state of the member from is sufficient to become active in an epoch.
func (m *model) mayFetch(from *memberState, epoch uint8) bool {
	return from.memory.epoch == epoch || m.fault == FetchFromUnsealed && from.memory.epoch == epoch-1
}

// sealedSteps appends the activations from the reports of sealed members of the previous epoch.
func (m *model) sealedSteps(s *state, member int, epoch uint8, out []successor) []successor {
	required := prepareQuorum
	if m.fault == TooFewSealedMembers {
		required--
	}
	decidingEpoch := m.decidingEpoch(epoch)
	previous := m.configurationMask(s, decidingEpoch)
	for sources := memberMask(1); sources < 1<<memberCount; sources++ {
		if sources.count() != required || sources&^previous != 0 {
			continue
		}
		var reports []itemReport
		for source := range memberCount {
			if report := s.members[source].sealed[decidingEpoch]; sources.has(source) && report.valid {
				reports = append(reports, report)
			}
		}
		if len(reports) == required {
			out = append(out, m.activate(s, member, epoch, reports, sources))
		}
	}
	return out
}

// activate returns the state in which a member has merged reports of the item and is active in an epoch.
func (m *model) activate(s *state, member int, epoch uint8, reports []itemReport, sources memberMask) successor {
	next := *s
	configuration, proposal, _ := m.chosenConfiguration(s, epoch)
	call := memberCall{
		disk:     s.members[member].memory,
		kind:     callActivate,
		epoch:    epoch,
		proposal: proposal,
		value:    configuration,
	}
	copy(call.merged[:], reports)
	target := &next.members[member]
	storedBefore := target.stored
	m.persist(&next, member, m.invoke(call).disk)
	target.clearFetched()
	if m.fault == ActivateBeforeSync { // the epoch is stored, but not the item
		target.stored = storedBefore
		target.stored.epoch = target.memory.epoch
		target.stored.configuration = target.memory.configuration
	}
	step := Step{Kind: StepActivate, Member: member, Epoch: epoch, Sources: sources, Note: activationNote(sources)}
	return successor{state: next, step: step}
}

// learnSteps appends the steps in which a member learns the item from a member of its own epoch or a later one.
func (m *model) learnSteps(s *state, member int, out []successor) []successor {
	own := &s.members[member].memory
	for source := range memberCount {
		from := &s.members[source]
		if source == member || from.lost || from.memory.epoch < own.epoch {
			continue
		}
		item := from.memory.item
		if item.accepted == own.item.accepted {
			continue
		}
		next := *s
		result := m.invoke(memberCall{disk: *own, kind: callLearn, proposal: item.accepted, value: item.value})
		m.persist(&next, member, result.disk)
		if next != *s {
			step := Step{Kind: StepLearn, Member: member, Sources: memberMask(0).with(source)}
			out = append(out, successor{state: next, step: step})
		}
	}
	return out
}
