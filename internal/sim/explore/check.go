package explore

import (
	"fmt"

	"sagelever/internal/control/quorum"
)

// broken is what a state breaks; empty: nothing.
func (m *model) broken(s *state) string {
	for i := range m.rounds {
		for k := range m.rounds {
			if text := m.brokenPair(s, i, k); text != "" {
				return text
			}
		}
	}
	if m.bounds.Recovery && m.stuck(s) {
		return "the members that are left can't confirm an order that includes what was confirmed"
	}
	required := m.newest(s)
	if required == 0 {
		return ""
	}
	if !m.stands(s, required) {
		return m.text(required) + " was confirmed and is on no disk"
	}
	for epoch := uint8(1); epoch <= maxEpochs; epoch++ {
		if text := m.brokenRead(s, epoch, required); text != "" {
			return text
		}
	}
	return ""
}

// brokenPair compares two rounds that were chosen, the first with the earlier ballot: the second must include it.
func (m *model) brokenPair(s *state, i, k int) string {
	a, b := s.rounds[i], s.rounds[k]
	if !a.chosen || !b.chosen || m.rounds[i].key != m.rounds[k].key || ballotID(a.epoch, i) >= ballotID(b.epoch, k) {
		return ""
	}
	key := m.rounds[i].key
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

// newest is the newest content of the item that was chosen.
func (m *model) newest(s *state) (id uint8) {
	for i, r := range m.rounds {
		x := s.rounds[i]
		if r.key == ItemKey && x.chosen && (id == 0 || m.value(ItemKey, x.value).Version > m.value(ItemKey, id).Version) {
			id = x.value
		}
	}
	return id
}

func (m *model) stands(s *state, required uint8) bool {
	for i := range memberCount {
		x := &s.members[i]
		if !x.lost && includes(m.value(ItemKey, required), m.value(ItemKey, x.stored.item.value)) {
			return true
		}
	}
	return false
}

// brokenRead looks at each read of an epoch whose f+1 answers come at this moment.
func (m *model) brokenRead(s *state, epoch, required uint8) string {
	var held [memberCount]copied
	for i := range memberCount {
		held[i] = m.answer(s, i, epoch)
	}
	for i := range held {
		for k := i + 1; k < memberCount; k++ {
			if !held[i].held || !held[k].held {
				continue
			}
			if got := m.merged(held[i], held[k]); !includes(m.value(ItemKey, required), m.value(ItemKey, got)) {
				return fmt.Sprintf("%s was confirmed, and a read of epoch %d from %s and %s finds %s",
					m.text(required), epoch, memberName(i), memberName(k), m.text(got))
			}
		}
	}
	return ""
}

// answer is what a member tells a reader of an epoch.
func (m *model) answer(s *state, i int, epoch uint8) copied {
	x := &s.members[i]
	if x.lost || x.memory.epoch != epoch || !m.asks(s, epoch, i) {
		return copied{}
	}
	o := m.ask(call{disk: x.memory, does: reads, epoch: epoch})
	if !o.ok {
		return copied{}
	}
	return copied{true, o.told.accepted, o.told.value}
}

// merged is the value with the later ballot.
func (m *model) merged(a, b copied) uint8 {
	if m.ballots[a.accepted].Less(m.ballots[b.accepted]) {
		return b.value
	}
	return a.value
}

func (m *model) text(id uint8) string {
	if id == 0 {
		return "nothing"
	}
	v := m.value(ItemKey, id)
	return fmt.Sprintf("version %d with %s", v.Version, v.Body)
}

// readSteps are reads whose answers come at different moments. Those that begin before anything is confirmed need nothing.
func (m *model) readSteps(s *state, out []successor) []successor {
	required := m.newest(s)
	for epoch := uint8(1); epoch <= maxEpochs && required != 0 && s.reader.epoch == 0; epoch++ {
		for i := range memberCount {
			if told := m.answer(s, i, epoch); told.held {
				next := *s
				next.reader = readerState{epoch, uint8(i), told, required}
				out = append(out, successor{next, Step{Kind: ReadBegins, Member: i, Epoch: epoch, Note: ", which tells " + m.text(told.value)}})
			}
		}
	}
	return out
}

// brokenLateRead looks at the reads that end at this moment and began before.
func (m *model) brokenLateRead(s *state) (string, []Step) {
	r := s.reader
	if r.epoch == 0 {
		return "", nil
	}
	for i := range memberCount {
		told := m.answer(s, i, r.epoch)
		if i == int(r.from) || !told.held {
			continue
		}
		if got := m.merged(r.told, told); !includes(m.value(ItemKey, r.required), m.value(ItemKey, got)) {
			step := Step{Kind: ReadEnds, Member: i, Epoch: r.epoch, Note: ", which tells " + m.text(told.value)}
			return fmt.Sprintf("%s was confirmed before the read began, and it finds %s", m.text(r.required), m.text(got)), []Step{step}
		}
	}
	return "", nil
}

func (m *model) proposalNote(s *state, i int) string {
	if x := s.rounds[i]; x.proposed {
		return ", which proposes " + m.roundValue(i, x.value)
	}
	return ""
}

func (m *model) chosenNote(before, after *state, i int) string {
	if after.rounds[i].chosen && !before.rounds[i].chosen {
		return ": " + m.roundValue(i, after.rounds[i].value) + " is chosen"
	}
	return ""
}

func (m *model) roundValue(i int, id uint8) string {
	v := m.value(m.rounds[i].key, id)
	return fmt.Sprintf("version %d of %s, %s", v.Version, m.rounds[i].key, v.Body)
}
