package explore

import (
	"fmt"

	"sagelever/internal/control/quorum"
)

// violation returns a description of an invariant that a state violates, or an empty string. The invariants are:
//
//   - Of two chosen rounds on a register, the one with the higher proposal has a higher version or the same value.
//   - The newest chosen value, or a newer one, is on the disk of a remaining member.
//   - Every quorum read returns the newest chosen value or a newer one.
//   - With Bounds.Recovery, the remaining members can still acknowledge a write that includes the newest chosen value.
func (m *model) violation(s *state) string {
	for first := range m.roundSpecs {
		for second := range m.roundSpecs {
			if text := m.conflictingRounds(s, first, second); text != "" {
				return text
			}
		}
	}
	if m.bounds.Recovery && m.cannotRecover(s) {
		return "the remaining members cannot acknowledge a write that includes what was acknowledged"
	}
	required := m.newestChosen(s)
	if required == 0 {
		return ""
	}
	if !m.isStored(s, required) {
		return m.describeItem(required) + " was acknowledged and is on no disk"
	}
	for epoch := uint8(1); epoch <= maxEpochs; epoch++ {
		if text := m.staleRead(s, epoch, required); text != "" {
			return text
		}
	}
	return ""
}

// conflictingRounds returns a description of the conflict between two chosen rounds of which the first has the lower
// proposal, or an empty string.
func (m *model) conflictingRounds(s *state, first, second int) string {
	lower, higher := s.rounds[first], s.rounds[second]
	key := m.roundSpecs[first].key
	if !lower.chosen || !higher.chosen || m.roundSpecs[second].key != key {
		return ""
	}
	if newProposalID(lower.epoch, first) >= newProposalID(higher.epoch, second) {
		return ""
	}
	before, after := m.value(key, lower.value), m.value(key, higher.value)
	switch {
	case includes(before, after):
		return ""
	case before.Version == after.Version:
		return fmt.Sprintf("version %d of %s was chosen with two contents, %s by round %d.%d and %s by round %d.%d",
			before.Version, key, before.Body, lower.epoch, first+1, after.Body, higher.epoch, second+1)
	}
	return fmt.Sprintf("round %d.%d has chosen version %d of %s, and round %d.%d, which comes later, version %d",
		lower.epoch, first+1, before.Version, key, higher.epoch, second+1, after.Version)
}

// includes reports whether a value may be found after another one has been chosen.
func includes(chosen, found quorum.Value) bool {
	return found.Version > chosen.Version || found == chosen
}

// itemIncludes is includes for values of the item.
func (m *model) itemIncludes(chosen, found valueID) bool {
	return includes(m.value(ItemKey, chosen), m.value(ItemKey, found))
}

// newestChosen returns the chosen value of the item with the highest version.
func (m *model) newestChosen(s *state) (newest valueID) {
	for i, spec := range m.roundSpecs {
		round := s.rounds[i]
		if spec.key != ItemKey || !round.chosen {
			continue
		}
		if newest == 0 || m.value(ItemKey, round.value).Version > m.value(ItemKey, newest).Version {
			newest = round.value
		}
	}
	return newest
}

// isStored reports whether a value of the item, or a newer one, is on the disk of a remaining member.
func (m *model) isStored(s *state, required valueID) bool {
	for i := range s.members {
		member := &s.members[i]
		if !member.lost && m.itemIncludes(required, member.stored.item.value) {
			return true
		}
	}
	return false
}
