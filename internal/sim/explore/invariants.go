package explore

import (
	"fmt"

	"sagelever/internal/control/quorum"
)

// violation is what a state breaks; empty: nothing.
func (m *model) violation(s *state) string {
	for i := range m.roundSpecs {
		for k := range m.roundSpecs {
			if text := m.conflictingRounds(s, i, k); text != "" {
				return text
			}
		}
	}
	if m.bounds.Recovery && m.cannotRecover(s) {
		return "the members that are left can't confirm an order that includes what was confirmed"
	}
	required := m.newestChosen(s)
	if required == 0 {
		return ""
	}
	if !m.isStored(s, required) {
		return m.describeItem(required) + " was confirmed and is on no disk"
	}
	for epoch := uint8(1); epoch <= maxEpochs; epoch++ {
		if text := m.staleRead(s, epoch, required); text != "" {
			return text
		}
	}
	return ""
}

// conflictingRounds compares two rounds that were chosen, the first with the earlier ballot: the second must include it.
func (m *model) conflictingRounds(s *state, i, k int) string {
	a, b := s.rounds[i], s.rounds[k]
	if !a.chosen || !b.chosen || m.roundSpecs[i].key != m.roundSpecs[k].key || proposalID(a.epoch, i) >= proposalID(b.epoch, k) {
		return ""
	}
	key := m.roundSpecs[i].key
	first, second := m.value(key, a.value), m.value(key, b.value)
	if includes(first, second) {
		return ""
	}
	if first.Version == second.Version {
		return fmt.Sprintf("version %d of %s was chosen with two contents, %s by round %d.%d and %s by round %d.%d",
			first.Version, key, first.Body, a.epoch, i+1, second.Body, b.epoch, k+1)
	}
	return fmt.Sprintf("round %d.%d has chosen version %d of %s, and round %d.%d, which comes later, version %d",
		a.epoch, i+1, first.Version, key, b.epoch, k+1, second.Version)
}

// includes tells whether got may stand where want was chosen.
func includes(want, got quorum.Value) bool {
	return got.Version > want.Version || got == want
}

// newestChosen is the newest content of the item that was chosen.
func (m *model) newestChosen(s *state) (id uint8) {
	for i, r := range m.roundSpecs {
		x := s.rounds[i]
		if r.key == ItemKey && x.chosen && (id == 0 || m.value(ItemKey, x.value).Version > m.value(ItemKey, id).Version) {
			id = x.value
		}
	}
	return id
}

func (m *model) isStored(s *state, required uint8) bool {
	for i := range memberCount {
		x := &s.members[i]
		if !x.lost && includes(m.value(ItemKey, required), m.value(ItemKey, x.stored.item.value)) {
			return true
		}
	}
	return false
}

// staleRead looks at each read of an epoch whose f+1 answers come at this moment.
func (m *model) staleRead(s *state, epoch, required uint8) string {
	var held [memberCount]itemReport
	for i := range memberCount {
		held[i] = m.readReply(s, i, epoch)
	}
	for i := range held {
		for k := i + 1; k < memberCount; k++ {
			if !held[i].valid || !held[k].valid {
				continue
			}
			if got := m.latest(held[i], held[k]); !includes(m.value(ItemKey, required), m.value(ItemKey, got)) {
				return fmt.Sprintf("%s was confirmed, and a read of epoch %d from %s and %s finds %s",
					m.describeItem(required), epoch, memberName(i), memberName(k), m.describeItem(got))
			}
		}
	}
	return ""
}

// readReply is what a member tells a reader of an epoch.
func (m *model) readReply(s *state, i int, epoch uint8) itemReport {
	x := &s.members[i]
	if x.lost || x.memory.epoch != epoch || !m.participates(s, epoch, i) {
		return itemReport{}
	}
	o := m.invoke(memberCall{disk: x.memory, kind: callRead, epoch: epoch})
	if !o.ok {
		return itemReport{}
	}
	return itemReport{true, o.reply.accepted, o.reply.value}
}

// latest is the value with the later ballot.
func (m *model) latest(a, b itemReport) uint8 {
	if m.proposals[a.accepted].Less(m.proposals[b.accepted]) {
		return b.value
	}
	return a.value
}

func (m *model) describeItem(id uint8) string {
	if id == 0 {
		return "nothing"
	}
	v := m.value(ItemKey, id)
	return fmt.Sprintf("version %d with %s", v.Version, v.Body)
}

// readSteps are reads whose answers come at different moments. Those that begin before anything is confirmed need nothing.
func (m *model) readSteps(s *state, out []successor) []successor {
	required := m.newestChosen(s)
	for epoch := uint8(1); epoch <= maxEpochs && required != 0 && s.reader.epoch == 0; epoch++ {
		for i := range memberCount {
			if told := m.readReply(s, i, epoch); told.valid {
				next := *s
				next.reader = readerState{epoch, uint8(i), told, required}
				out = append(out, successor{next, Step{Kind: StepReadBegin, Member: i, Epoch: epoch, Note: ", which tells " + m.describeItem(told.value)}})
			}
		}
	}
	return out
}

// staleSlowRead looks at the reads that end at this moment and began before.
func (m *model) staleSlowRead(s *state) (string, []Step) {
	r := s.reader
	if r.epoch == 0 {
		return "", nil
	}
	for i := range memberCount {
		told := m.readReply(s, i, r.epoch)
		if i == int(r.source) || !told.valid {
			continue
		}
		if got := m.latest(r.report, told); !includes(m.value(ItemKey, r.required), m.value(ItemKey, got)) {
			step := Step{Kind: StepReadEnd, Member: i, Epoch: r.epoch, Note: ", which tells " + m.describeItem(told.value)}
			return fmt.Sprintf("%s was confirmed before the read began, and it finds %s", m.describeItem(r.required), m.describeItem(got)), []Step{step}
		}
	}
	return "", nil
}

func (m *model) proposalNote(s *state, i int) string {
	if x := s.rounds[i]; x.proposed {
		return ", which proposes " + m.describeValue(i, x.value)
	}
	return ""
}

func (m *model) chosenNote(before, after *state, i int) string {
	if after.rounds[i].chosen && !before.rounds[i].chosen {
		return ": " + m.describeValue(i, after.rounds[i].value) + " is chosen"
	}
	return ""
}

func (m *model) describeValue(i int, id uint8) string {
	v := m.value(m.roundSpecs[i].key, id)
	return fmt.Sprintf("version %d of %s, %s", v.Version, m.roundSpecs[i].key, v.Body)
}
