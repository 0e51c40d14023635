package explore

import (
	"fmt"
	"math/bits"

	"sagelever/internal/control/quorum"
)

// callKind is what is asked of a member.
type callKind uint8

const (
	callPrepare callKind = iota
	callAccept
	callRead
	callReadSealed
	callActivate
	callLearn
)

// memberCall is all that a member's answer depends on.
type memberCall struct {
	disk            diskState
	kind            callKind
	epoch           uint8
	proposal        uint8
	onConfiguration bool // the register of members; else the item
	value           uint8
	merged          [prepareQuorum]itemReport // what an activation merges
}

// callResult is what a member answers and has on disk then.
type callResult struct {
	ok    bool
	reply registerState
	disk  diskState
}

// proposalKey is all that the value of a round depends on.
type proposalKey struct {
	round, epoch, size uint8
	promises           [prepareQuorum]itemReport
}

type chosenKey struct{ round, epoch, size, accepted uint8 }

// memo keeps what the registers answered: they are pure, and few of their states differ.
type memo struct {
	calls     map[memberCall]callResult
	proposals map[proposalKey]uint8
	chosen    map[chosenKey]bool
}

func newMemo() memo {
	return memo{map[memberCall]callResult{}, map[proposalKey]uint8{}, map[chosenKey]bool{}}
}

// invoke has a member answer a call.
func (m *model) invoke(c memberCall) callResult {
	if known, ok := m.memo.calls[c]; ok {
		return known
	}
	x := m.restoreMember(c.disk)
	out := m.execute(x, c)
	out.disk = m.storedState(x)
	m.memo.calls[c] = out
	return out
}

func (m *model) execute(x Member, c memberCall) callResult {
	key, epoch, ballot := ItemKey, uint64(c.epoch), m.proposals[c.proposal]
	if c.onConfiguration {
		key = ConfigurationKey
	}
	var held quorum.Entry
	var ok bool
	switch c.kind {
	case callPrepare:
		held, ok = x.Prepare(epoch, ballot, key)
	case callAccept:
		ok = x.Accept(epoch, ballot, quorum.Entry{Key: key, Value: m.value(key, c.value)})
	case callRead:
		held, ok = x.Read(epoch, key)
	case callReadSealed:
		held, ok = x.ReadSealed(epoch, key)
	case callLearn:
		x.Learn(m.entry(key, registerState{0, c.proposal, c.value}))
		ok = true
	case callActivate:
		entries := []quorum.Entry{m.entry(ConfigurationKey, registerState{0, c.proposal, c.value})}
		for _, h := range c.merged {
			if h.valid {
				entries = append(entries, m.entry(ItemKey, registerState{0, h.accepted, h.value}))
			}
		}
		x.Activate(epoch, entries)
		ok = true
	}
	if !ok {
		return callResult{}
	}
	held.Key = key
	return callResult{ok: true, reply: m.registerState(held)}
}

func (m *model) restoreMember(d diskState) Member {
	return m.restore(Disk{Epoch: uint64(d.epoch), Entries: []quorum.Entry{m.entry(ItemKey, d.item), m.entry(ConfigurationKey, d.configuration)}})
}

func (m *model) storedState(x Member) diskState {
	stored := x.Disk()
	d := diskState{epoch: uint8(stored.Epoch)}
	for _, e := range stored.Entries {
		if e.Key == ItemKey {
			d.item = m.registerState(e)
		} else {
			d.configuration = m.registerState(e)
		}
	}
	return d
}

// proposedValue is the value that a round proposes, with the promises that it has.
func (m *model) proposedValue(s *state, i int) uint8 {
	spec, round := m.roundSpecs[i], &s.rounds[i]
	key := proposalKey{uint8(i), round.epoch, m.configurationSize(s, round.epoch), round.promises}
	if known, ok := m.memo.proposals[key]; ok {
		return known
	}
	sent := m.value(spec.key, spec.value)
	r := m.quorumRound(key.size, key.epoch, i, func(held quorum.Value) quorum.Value {
		if sent.Version > held.Version {
			return sent
		}
		return held
	})
	var values []quorum.Entry
	for at, told := range round.promises {
		values = r.HandlePromise(fmt.Sprint(at), []quorum.Entry{m.entry(spec.key, registerState{0, told.accepted, told.value})})
	}
	id := m.valueID(spec.key, values[0].Value)
	m.memo.proposals[key] = id
	return id
}

// isChosen tells whether enough members have accepted.
func (m *model) isChosen(s *state, i int) (chosen bool) {
	round := &s.rounds[i]
	key := chosenKey{uint8(i), round.epoch, m.configurationSize(s, round.epoch), round.accepted}
	if known, ok := m.memo.chosen[key]; ok {
		return known
	}
	r := m.quorumRound(key.size, key.epoch, i, nil)
	for at := range memberCount {
		if round.accepted&(1<<at) != 0 && r.HandleAccepted(memberName(at)) {
			chosen = true
		}
	}
	m.memo.chosen[key] = chosen
	return chosen
}

func (m *model) configurationSize(s *state, epoch uint8) uint8 {
	return uint8(bits.OnesCount8(m.configurationMask(s, epoch)))
}

// quorumRound begins a round as package quorum has it.
func (m *model) quorumRound(size, epoch uint8, i int, change quorum.UpdateFunc) *quorum.Round {
	n := int(size)
	if m.fault == TooFewAcceptances {
		n--
	}
	keys, decide := quorum.UpdateEach(map[string]quorum.UpdateFunc{m.roundSpecs[i].key: change})
	return quorum.NewRound(m.proposals[proposalID(epoch, i)], n, maxFailures, keys, decide)
}
