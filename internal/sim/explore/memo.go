package explore

import (
	"fmt"
	"math/bits"

	"sagelever/internal/control/quorum"
)

// operation is what is asked of a member.
type operation uint8

const (
	prepares operation = iota
	accepts
	reads
	tellsSealed
	activates
	learns
)

// call is all that a member's answer depends on.
type call struct {
	disk    disk
	does    operation
	epoch   uint8
	ballot  uint8
	members bool // the register of members; else the item
	value   uint8
	held    [asked]copied // what an activation merges
}

// outcome is what a member answers and has on disk then.
type outcome struct {
	ok   bool
	told record
	disk disk
}

// proposalKey is all that the value of a round depends on.
type proposalKey struct {
	round, epoch, size uint8
	told               [asked]copied
}

type chosenKey struct{ round, epoch, size, accepted uint8 }

// memo keeps what the registers answered: they are pure, and few of their states differ.
type memo struct {
	calls     map[call]outcome
	proposals map[proposalKey]uint8
	chosen    map[chosenKey]bool
}

func newMemo() memo {
	return memo{map[call]outcome{}, map[proposalKey]uint8{}, map[chosenKey]bool{}}
}

// ask has a member answer a call.
func (m *model) ask(c call) outcome {
	if known, ok := m.memo.calls[c]; ok {
		return known
	}
	x := m.member(c.disk)
	out := m.answers(x, c)
	out.disk = m.disk(x)
	m.memo.calls[c] = out
	return out
}

func (m *model) answers(x Member, c call) outcome {
	key, epoch, ballot := ItemKey, uint64(c.epoch), m.ballots[c.ballot]
	if c.members {
		key = MembersKey
	}
	var held quorum.Entry
	var ok bool
	switch c.does {
	case prepares:
		held, ok = x.Prepare(epoch, ballot, key)
	case accepts:
		ok = x.Accept(epoch, ballot, quorum.Entry{Key: key, Value: m.value(key, c.value)})
	case reads:
		held, ok = x.Read(epoch, key)
	case tellsSealed:
		held, ok = x.Sealed(epoch, key)
	case learns:
		x.Learn(m.entry(key, record{0, c.ballot, c.value}))
		ok = true
	case activates:
		entries := []quorum.Entry{m.entry(MembersKey, record{0, c.ballot, c.value})}
		for _, h := range c.held {
			if h.held {
				entries = append(entries, m.entry(ItemKey, record{0, h.accepted, h.value}))
			}
		}
		x.Activate(epoch, entries)
		ok = true
	}
	if !ok {
		return outcome{}
	}
	held.Key = key
	return outcome{ok: true, told: m.record(held)}
}

func (m *model) member(d disk) Member {
	return m.restore(Disk{Epoch: uint64(d.epoch), Entries: []quorum.Entry{m.entry(ItemKey, d.item), m.entry(MembersKey, d.members)}})
}

func (m *model) disk(x Member) disk {
	stored := x.Disk()
	d := disk{epoch: uint8(stored.Epoch)}
	for _, e := range stored.Entries {
		if e.Key == ItemKey {
			d.item = m.record(e)
		} else {
			d.members = m.record(e)
		}
	}
	return d
}

// propose is the value that a round proposes, with the promises that it has.
func (m *model) propose(s *state, i int) uint8 {
	spec, round := m.rounds[i], &s.rounds[i]
	key := proposalKey{uint8(i), round.epoch, m.size(s, round.epoch), round.told}
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
	for at, told := range round.told {
		values = r.Told(fmt.Sprint(at), []quorum.Entry{m.entry(spec.key, record{0, told.accepted, told.value})})
	}
	id := m.valueID(spec.key, values[0].Value)
	m.memo.proposals[key] = id
	return id
}

// isChosen tells whether enough members have accepted.
func (m *model) isChosen(s *state, i int) (chosen bool) {
	round := &s.rounds[i]
	key := chosenKey{uint8(i), round.epoch, m.size(s, round.epoch), round.accepted}
	if known, ok := m.memo.chosen[key]; ok {
		return known
	}
	r := m.quorumRound(key.size, key.epoch, i, nil)
	for at := range memberCount {
		if round.accepted&(1<<at) != 0 && r.Took(memberName(at)) {
			chosen = true
		}
	}
	m.memo.chosen[key] = chosen
	return chosen
}

func (m *model) size(s *state, epoch uint8) uint8 {
	return uint8(bits.OnesCount8(m.setMask(s, epoch)))
}

// quorumRound begins a round as package quorum has it.
func (m *model) quorumRound(size, epoch uint8, i int, change quorum.Change) *quorum.Round {
	n := int(size)
	if m.fault == FewAcceptances {
		n--
	}
	keys, decide := quorum.Each(map[string]quorum.Change{m.rounds[i].key: change})
	return quorum.NewRound(m.ballots[ballotID(epoch, i)], n, losable, keys, decide)
}
