package explore

import "fmt"

// readReply returns the reply of a member to a read of an epoch. The report is invalid if the member does not reply.
func (m *model) readReply(s *state, member int, epoch uint8) itemReport {
	current := &s.members[member]
	if current.lost || current.memory.epoch != epoch || !m.participates(s, epoch, member) {
		return itemReport{}
	}
	result := m.invoke(memberCall{disk: current.memory, kind: callRead, epoch: epoch})
	if !result.ok {
		return itemReport{}
	}
	return result.reply.report()
}

// latest returns the value of the report with the higher proposal.
func (m *model) latest(a, b itemReport) valueID {
	if m.proposals[a.accepted].Less(m.proposals[b.accepted]) {
		return b.value
	}
	return a.value
}

// staleRead checks all quorum reads of an epoch whose replies are sent in this state. It returns a description of the
// violation, or an empty string.
func (m *model) staleRead(s *state, epoch uint8, required valueID) string {
	var replies [memberCount]itemReport
	for member := range memberCount {
		replies[member] = m.readReply(s, member, epoch)
	}
	for first := range memberCount {
		for second := first + 1; second < memberCount; second++ {
			if !replies[first].valid || !replies[second].valid {
				continue
			}
			got := m.latest(replies[first], replies[second])
			if !m.itemIncludes(required, got) {
				return fmt.Sprintf("%s was acknowledged, and a read of epoch %d from %s and %s finds %s",
					m.describeItem(required), epoch, memberName(first), memberName(second), m.describeItem(got))
			}
		}
	}
	return ""
}

// readSteps appends the first replies to reads whose replies are sent at different times. A read that begins before a
// value is chosen may return any value and is omitted.
func (m *model) readSteps(s *state, out []successor) []successor {
	required := m.newestChosen(s)
	if required == 0 || s.reader.epoch != 0 {
		return out
	}
	for epoch := uint8(1); epoch <= maxEpochs; epoch++ {
		for member := range memberCount {
			report := m.readReply(s, member, epoch)
			if !report.valid {
				continue
			}
			next := *s
			next.reader = readerState{epoch: epoch, source: uint8(member), report: report, required: required}
			step := Step{Kind: StepReadBegin, Member: member, Epoch: epoch, Note: m.replyNote(report)}
			out = append(out, successor{state: next, step: step})
		}
	}
	return out
}

// staleSlowRead checks the read that has begun, assuming that its second reply is sent in this state. It returns a
// description of the violation and the step that shows it, or an empty string.
func (m *model) staleSlowRead(s *state) (violation string, finalSteps []Step) {
	reader := s.reader
	if reader.epoch == 0 {
		return "", nil
	}
	for member := range memberCount {
		report := m.readReply(s, member, reader.epoch)
		if member == int(reader.source) || !report.valid {
			continue
		}
		got := m.latest(reader.report, report)
		if !m.itemIncludes(reader.required, got) {
			violation = fmt.Sprintf("%s was acknowledged before the read began, and it finds %s",
				m.describeItem(reader.required), m.describeItem(got))
			step := Step{Kind: StepReadEnd, Member: member, Epoch: reader.epoch, Note: m.replyNote(report)}
			return violation, []Step{step}
		}
	}
	return "", nil
}
