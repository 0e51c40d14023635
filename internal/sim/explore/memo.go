package explore

import (
	"fmt"

	"sagelever/internal/control/quorum"
)

// memo caches the results of calls to members and rounds. These are pure functions, and few different arguments occur.
type memo struct {
	calls     map[memberCall]callResult
	proposals map[proposalKey]valueID
	chosen    map[chosenKey]bool
}

func newMemo() memo {
	return memo{
		calls:     map[memberCall]callResult{},
		proposals: map[proposalKey]valueID{},
		chosen:    map[chosenKey]bool{},
	}
}

// callKind is a method of Member.
type callKind uint8

const (
	callPrepare callKind = iota
	callAccept
	callRead
	callReadSealed
	callActivate
	callLearn
)

// memberCall is a call of a Member with all inputs that determine its result.
type memberCall struct {
	disk            diskState
	kind            callKind
	epoch           uint8
	proposal        proposalID
	onConfiguration bool // the call is for the configuration rather than the item
	value           valueID
	merged          [prepareQuorum]itemReport // reports that an activation merges
}

func (c *memberCall) key() string {
	if c.onConfiguration {
		return ConfigurationKey
	}
	return ItemKey
}

// callResult is the reply of a member, and the state that it has stored by then.
type callResult struct {
	ok    bool
	reply registerState
	disk  diskState
}

// invoke returns the result of a call, which is cached.
func (m *model) invoke(c memberCall) callResult {
	if cached, ok := m.memo.calls[c]; ok {
		return cached
	}
	member := m.restoreMember(c.disk)
	result := m.execute(member, c)
	result.disk = m.storedState(member)
	m.memo.calls[c] = result
	return result
}

func (m *model) execute(member Member, c memberCall) callResult {
	key := c.key()
	epoch := uint64(c.epoch)
	proposal := m.proposals[c.proposal]
	ok := true
	var reply quorum.Entry
	switch c.kind {
	case callPrepare:
		reply, ok = member.Prepare(epoch, proposal, key)
	case callAccept:
		ok = member.Accept(epoch, proposal, quorum.Entry{Key: key, Value: m.value(key, c.value)})
	case callRead:
		reply, ok = member.Read(epoch, key)
	case callReadSealed:
		reply, ok = member.ReadSealed(epoch, key)
	case callLearn:
		member.Learn(m.entry(key, registerState{accepted: c.proposal, value: c.value}))
	case callActivate:
		member.Activate(epoch, m.activationEntries(c))
	}
	if !ok {
		return callResult{}
	}
	reply.Key = key
	return callResult{ok: true, reply: m.registerState(reply)}
}

// activationEntries returns the configuration and the reported states of the item that an activation merges.
func (m *model) activationEntries(c memberCall) []quorum.Entry {
	configuration := registerState{accepted: c.proposal, value: c.value}
	entries := []quorum.Entry{m.entry(ConfigurationKey, configuration)}
	for _, report := range c.merged {
		if report.valid {
			entries = append(entries, m.reportedEntry(report))
		}
	}
	return entries
}

// reportedEntry returns the entry of the item that a member has reported.
func (m *model) reportedEntry(report itemReport) quorum.Entry {
	return m.entry(ItemKey, registerState{accepted: report.accepted, value: report.value})
}

func (m *model) restoreMember(d diskState) Member {
	entries := []quorum.Entry{m.entry(ItemKey, d.item), m.entry(ConfigurationKey, d.configuration)}
	return m.restore(Disk{Epoch: uint64(d.epoch), Entries: entries})
}

func (m *model) storedState(member Member) diskState {
	stored := member.Disk()
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

// proposalKey holds the inputs that determine the value that a round proposes.
type proposalKey struct {
	round    int
	epoch    uint8
	members  int
	promises [prepareQuorum]itemReport
}

// proposedValue returns the value that a round proposes after its promises.
func (m *model) proposedValue(s *state, round int) valueID {
	spec := m.roundSpecs[round]
	current := &s.rounds[round]
	key := proposalKey{
		round:    round,
		epoch:    current.epoch,
		members:  m.configurationMask(s, current.epoch).count(),
		promises: current.promises,
	}
	if cached, ok := m.memo.proposals[key]; ok {
		return cached
	}
	written := m.value(spec.key, spec.value)
	r := m.newRound(round, key.epoch, key.members, func(value quorum.Value) quorum.Value {
		if written.Version > value.Version {
			return written
		}
		return value
	})
	var values []quorum.Entry
	for i, promise := range current.promises {
		accepted := m.entry(spec.key, registerState{accepted: promise.accepted, value: promise.value})
		values = r.HandlePromise(fmt.Sprint(i), []quorum.Entry{accepted})
	}
	id := m.valueID(spec.key, values[0].Value)
	m.memo.proposals[key] = id
	return id
}

// chosenKey holds the inputs that determine whether a round is chosen.
type chosenKey struct {
	round      int
	epoch      uint8
	members    int
	acceptedBy memberMask
}

// isChosen reports whether the members that have accepted form an accept quorum.
func (m *model) isChosen(s *state, round int) (chosen bool) {
	current := &s.rounds[round]
	key := chosenKey{
		round:      round,
		epoch:      current.epoch,
		members:    m.configurationMask(s, current.epoch).count(),
		acceptedBy: current.acceptedBy,
	}
	if cached, ok := m.memo.chosen[key]; ok {
		return cached
	}
	r := m.newRound(round, key.epoch, key.members, nil)
	for member := range memberCount {
		if current.acceptedBy.has(member) && r.HandleAccepted(memberName(member)) {
			chosen = true
		}
	}
	m.memo.chosen[key] = chosen
	return chosen
}

// newRound returns the quorum.Round with the proposal number of a round in an epoch.
func (m *model) newRound(round int, epoch uint8, members int, update quorum.UpdateFunc) *quorum.Round {
	if m.fault == TooFewAcceptances {
		members--
	}
	keys, decide := quorum.UpdateEach(map[string]quorum.UpdateFunc{m.roundSpecs[round].key: update})
	return quorum.NewRound(m.proposals[newProposalID(epoch, round)], members, maxFailures, keys, decide)
}
