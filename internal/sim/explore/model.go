package explore

import (
	"fmt"

	"sagelever/internal/control/quorum"
)

// model is an instance with the data that is derived from its bounds. It is not safe for concurrent use.
type model struct {
	bounds     Bounds
	fault      Fault
	restore    Restore
	roundSpecs []roundSpec
	// exploredRounds is the number of rounds that are part of the exploration. The others are run to check the recovery.
	exploredRounds     int
	proposals          [256]quorum.ProposalNumber // by proposalID
	proposalIDs        map[quorum.ProposalNumber]proposalID
	configurationMasks []memberMask // by index in bounds.Configurations
	symmetric          bool         // whether the first two members are in the same configurations
	memo               memo
}

// roundSpec specifies what a round proposes. The index in roundSpecs is the number of the round within an epoch.
type roundSpec struct {
	key   string
	value valueID
	epoch uint8 // the epoch in which the round is run; 0 for any
}

func newModel(bounds Bounds, fault Fault, restore Restore) (*model, error) {
	m := &model{
		bounds:      bounds,
		fault:       fault,
		restore:     restore,
		proposalIDs: map[quorum.ProposalNumber]proposalID{},
		memo:        newMemo(),
	}
	m.specifyRounds()
	if len(m.roundSpecs) > maxRounds {
		return nil, fmt.Errorf("explore: bounds need %d rounds, the limit is %d", len(m.roundSpecs), maxRounds)
	}
	for epoch := uint8(1); epoch <= maxEpochs; epoch++ {
		for round := range m.roundSpecs {
			m.assignProposal(epoch, round)
		}
	}
	m.symmetric = true
	for _, configuration := range bounds.Configurations {
		mask := configuration.mask()
		m.configurationMasks = append(m.configurationMasks, mask)
		m.symmetric = m.symmetric && mask.has(0) == mask.has(1)
	}
	return m, nil
}

func (m *model) specifyRounds() {
	for range m.bounds.WriteRounds {
		for i := range m.bounds.Writes {
			m.roundSpecs = append(m.roundSpecs, roundSpec{key: ItemKey, value: valueID(i + 1)})
		}
	}
	for range m.bounds.ConfigurationRounds {
		for i, configuration := range m.bounds.Configurations[1:] {
			spec := roundSpec{key: ConfigurationKey, value: valueID(i + 2), epoch: m.decidingEpoch(configuration.Epoch)}
			m.roundSpecs = append(m.roundSpecs, spec)
		}
	}
	m.exploredRounds = len(m.roundSpecs)
	if m.bounds.Recovery {
		m.roundSpecs = append(m.roundSpecs, roundSpec{key: ItemKey, value: 1}, roundSpec{key: ConfigurationKey, value: 2})
	}
}

// decidingEpoch returns the epoch whose members decide the configuration of an epoch.
func (m *model) decidingEpoch(epoch uint8) uint8 {
	if m.fault == SkipsEpoch {
		return m.bounds.Configurations[0].Epoch
	}
	return epoch - 1
}

// assignProposal sets the proposal number of a round in an epoch.
func (m *model) assignProposal(epoch uint8, round int) {
	id := newProposalID(epoch, round)
	if m.fault == ProposalReused && round == 1 {
		// The second round has the same proposer as the first one. It has restarted and writes another value.
		m.proposals[id] = m.proposals[newProposalID(epoch, 0)]
		return
	}
	number := uint64(round + 1)
	proposal := quorum.ProposalNumber{Number: uint64(epoch)<<epochShift | number, Proposer: fmt.Sprint(epoch, ".", number)}
	if m.fault == NoEpochInProposals {
		proposal.Number = number
	}
	m.proposals[id] = proposal
	m.proposalIDs[proposal] = id
}

// initial returns the state in which the members of the first configuration are active.
func (m *model) initial() state {
	var s state
	first := m.bounds.Configurations[0]
	for _, member := range first.Members {
		d := diskState{epoch: first.Epoch, configuration: registerState{value: 1}}
		s.members[member].memory = d
		s.members[member].stored = d
	}
	return s
}

// value returns the value of a register that an ID represents.
func (m *model) value(key string, id valueID) quorum.Value {
	switch {
	case id == 0:
		return quorum.Value{}
	case key == ConfigurationKey:
		return m.bounds.Configurations[id-1].value()
	}
	return m.bounds.Writes[id-1].value()
}

// valueID returns the ID of a value of a register. It panics if the bounds do not contain the value.
func (m *model) valueID(key string, value quorum.Value) valueID {
	if value == (quorum.Value{}) {
		return 0
	}
	count := len(m.bounds.Writes)
	if key == ConfigurationKey {
		count = len(m.bounds.Configurations)
	}
	for id := valueID(1); int(id) <= count; id++ {
		if m.value(key, id) == value {
			return id
		}
	}
	panic(fmt.Sprint("explore: value is not in the bounds: ", value))
}

func (m *model) entry(key string, r registerState) quorum.Entry {
	return quorum.Entry{
		Key:      key,
		Promised: m.proposals[r.promised],
		Accepted: m.proposals[r.accepted],
		Value:    m.value(key, r.value),
	}
}

func (m *model) registerState(e quorum.Entry) registerState {
	return registerState{
		promised: m.proposalIDs[e.Promised],
		accepted: m.proposalIDs[e.Accepted],
		value:    m.valueID(e.Key, e.Value),
	}
}

// chosenConfiguration returns the configuration of an epoch and the proposal that chose it, if it has been chosen.
func (m *model) chosenConfiguration(s *state, epoch uint8) (value valueID, proposal proposalID, ok bool) {
	if epoch == m.bounds.Configurations[0].Epoch {
		return 1, 0, true
	}
	for i, spec := range m.roundSpecs {
		round := s.rounds[i]
		if spec.key == ConfigurationKey && round.chosen && m.bounds.Configurations[round.value-1].Epoch == epoch {
			return round.value, newProposalID(round.epoch, i), true
		}
	}
	return 0, 0, false
}

// configurationMask returns the members of an epoch. The set is empty if its configuration has not been chosen.
func (m *model) configurationMask(s *state, epoch uint8) memberMask {
	if id, _, ok := m.chosenConfiguration(s, epoch); ok {
		return m.configurationMasks[id-1]
	}
	return 0
}

// participates reports whether a member belongs to the configuration of an epoch.
func (m *model) participates(s *state, epoch uint8, member int) bool {
	return m.configurationMask(s, epoch).has(member)
}

// activeMembers returns the number of remaining members that are active in an epoch.
func (m *model) activeMembers(s *state, epoch uint8) (count int) {
	for i := range s.members {
		if !s.members[i].lost && s.members[i].stored.epoch == epoch {
			count++
		}
	}
	return count
}

// newestEpoch returns the latest epoch whose configuration has been chosen.
func (m *model) newestEpoch(s *state) uint8 {
	for epoch := uint8(maxEpochs); epoch > 1; epoch-- {
		if m.configurationMask(s, epoch) != 0 {
			return epoch
		}
	}
	return 1
}
