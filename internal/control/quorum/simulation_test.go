package quorum

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// fault is a defect that a simulation injects to verify that its checks detect it.
type fault string

const (
	noFault              fault = ""
	acceptQuorumTooSmall fault = "accept quorum too small"
	wipedMemberCounts    fault = "wiped member counts"
	brokenPromise        fault = "broken promise"
	promiseNotConfirmed  fault = "a confirmation counts members that have promised a higher proposal"
)

// Each event happens with a probability of 1/odds.
const (
	repeatOdds      = 10 // a message is delivered again later
	messageLossOdds = 8  // a message, or the reply to it, is lost
)

// diskReplacementSteps is the number of steps by which the clock advances when a member loses its disk: replacing the
// disk takes time, and proposal numbers follow the clock.
const diskReplacementSteps = 10

// simulation runs a group of members in one process, with random events derived from a seed: messages are lost,
// repeated, delayed and reordered; members restart, lose their disks and catch up; proposers stop at any point.
type simulation struct {
	random       *rand.Rand
	memberCount  int
	maxFailures  int
	members      []*simulatedMember
	rounds       []*proposer
	confirmers   []*confirmer
	acknowledged map[string]uint64            // by key: the highest acknowledged version
	chosenBodies map[string]map[uint64]string // by key and version: the body that was reported as chosen
	fault        fault
	clock        uint64
}

type simulatedMember struct {
	name        string
	acceptor    *Acceptor
	disk        map[string]Entry
	minProposal ProposalNumber // on disk
	caughtUp    bool
	recovering  bool // has lost its disk and not caught up yet; counts towards maxFailures
}

// proposer is a writer with one round.
type proposer struct {
	round     *Round
	member    *simulatedMember
	toPrepare []int // members to which the prepare message is still to be delivered
	toAccept  []int // members to which the accept message is still to be delivered
	values    []Entry
	abandoned bool
	chosen    bool
	key       string
	version   uint64
}

// confirmer is a member that runs a confirmation of a value that it holds.
type confirmer struct {
	confirmation *Confirmation
	entry        Entry
	toAsk        []int // members to which the request is still to be delivered
}

func newSimulation(seed uint64, memberCount, maxFailures int, injected fault) *simulation {
	s := &simulation{
		random:       rand.New(rand.NewPCG(seed, 7)),
		memberCount:  memberCount,
		maxFailures:  maxFailures,
		fault:        injected,
		acknowledged: map[string]uint64{},
		chosenBodies: map[string]map[uint64]string{},
	}
	for i := range memberCount {
		s.members = append(s.members, &simulatedMember{
			name:     fmt.Sprint("m", i),
			acceptor: NewAcceptor(nil, ProposalNumber{}),
			disk:     map[string]Entry{},
			caughtUp: true,
		})
	}
	return s
}

// persist writes changed entries and the minimum proposal number to the member's disk.
func (m *simulatedMember) persist(changed []Entry) {
	for _, e := range changed {
		m.disk[e.Key] = e
	}
	m.minProposal = m.acceptor.MinProposal()
}

// restart restores the member from its disk.
func (m *simulatedMember) restart() {
	var entries []Entry
	for _, e := range m.disk {
		entries = append(entries, e)
	}
	m.acceptor = NewAcceptor(entries, m.minProposal)
}

func (s *simulation) recoveringMembers() (count int) {
	for _, m := range s.members {
		if m.recovering {
			count++
		}
	}
	return count
}

func (s *simulation) randomMember() *simulatedMember {
	return s.members[s.random.IntN(s.memberCount)]
}

func (s *simulation) allMembers() (indexes []int) {
	for i := range s.members {
		indexes = append(indexes, i)
	}
	return indexes
}

// write begins a round of a random member.
func (s *simulation) write() {
	member := s.randomMember()
	if !member.caughtUp {
		return
	}
	key := fmt.Sprint("k", s.random.IntN(2))
	version := s.acknowledged[key] + 1 + uint64(s.random.IntN(2))
	written := Value{Version: version, Body: fmt.Sprint("by", s.random.Uint64())}
	proposal := member.acceptor.NextProposal(0, member.name)
	proposal.Number = max(proposal.Number, s.clock)
	keys, decide := UpdateEach(map[string]UpdateFunc{key: func(current Value) Value {
		if written.Version > current.Version {
			return written
		}
		return current
	}})
	p := &proposer{
		round:     NewRound(proposal, s.memberCount, s.maxFailures, keys, decide),
		member:    member,
		toPrepare: s.allMembers(),
		key:       key,
		version:   version,
	}
	if s.fault == acceptQuorumTooSmall {
		p.round.acceptQuorum--
	}
	s.rounds = append(s.rounds, p)
}

// takeRandom returns a random message of the list. It removes the message, except if it is to be delivered again.
func (s *simulation) takeRandom(list *[]int) int {
	i := s.random.IntN(len(*list))
	taken := (*list)[i]
	if s.random.IntN(repeatOdds) > 0 {
		*list = append((*list)[:i:i], (*list)[i+1:]...)
	}
	return taken
}

// deliver delivers one message of a random round, or loses it.
func (s *simulation) deliver(t failer) {
	if len(s.rounds) == 0 {
		return
	}
	p := s.rounds[s.random.IntN(len(s.rounds))]
	switch {
	case p.abandoned:
	case p.values == nil && len(p.toPrepare) > 0:
		s.deliverPrepare(p)
	case p.values != nil && len(p.toAccept) > 0:
		s.deliverAccept(t, p)
	}
}

func (s *simulation) deliverPrepare(p *proposer) {
	member := s.members[s.takeRandom(&p.toPrepare)]
	if !member.caughtUp || s.random.IntN(messageLossOdds) == 0 {
		return
	}
	accepted, changed, rejectedBy := member.acceptor.Prepare(p.round.Proposal, p.round.Keys())
	if rejectedBy != (ProposalNumber{}) {
		p.member.acceptor.Observe(rejectedBy)
		return
	}
	member.persist(changed)
	if s.random.IntN(messageLossOdds) == 0 {
		return
	}
	p.values = p.round.HandlePromise(member.name, accepted)
	if p.values != nil {
		p.toAccept = append(p.toAccept, s.allMembers()...)
	}
}

func (s *simulation) deliverAccept(t failer, p *proposer) {
	member := s.members[s.takeRandom(&p.toAccept)]
	if !member.caughtUp || s.random.IntN(messageLossOdds) == 0 {
		return
	}
	if s.fault == brokenPromise {
		if e := member.acceptor.registers[p.key]; e != nil {
			e.Promised = ProposalNumber{}
		}
	}
	changed, rejectedBy := member.acceptor.Accept(p.round.Proposal, p.values)
	if rejectedBy != (ProposalNumber{}) {
		return
	}
	member.persist(changed)
	if s.random.IntN(messageLossOdds) == 0 || !p.round.HandleAccepted(member.name) || p.chosen {
		return
	}
	p.chosen = true
	for _, e := range p.round.ChosenEntries() {
		s.checkChosen(t, e)
		if e.Value.Version >= p.version {
			s.acknowledged[e.Key] = max(s.acknowledged[e.Key], p.version)
		}
		p.member.acceptor.Learn([]Entry{e})
	}
}

// confirm has a random member begin to confirm a value that it holds.
func (s *simulation) confirm() {
	member := s.randomMember()
	entry := member.acceptor.Get(fmt.Sprint("k", s.random.IntN(2)))
	if !member.caughtUp || entry.Accepted == (ProposalNumber{}) {
		return
	}
	s.confirmers = append(s.confirmers, &confirmer{
		confirmation: NewConfirmation(entry.Accepted, []string{entry.Key}, s.memberCount, s.maxFailures),
		entry:        entry,
		toAsk:        s.allMembers(),
	})
}

// deliverConfirm delivers one request of a random confirmation and the reply to it, or loses either.
func (s *simulation) deliverConfirm(t failer) {
	if len(s.confirmers) == 0 {
		return
	}
	c := s.confirmers[s.random.IntN(len(s.confirmers))]
	if len(c.toAsk) == 0 {
		return
	}
	member := s.members[s.takeRandom(&c.toAsk)]
	if !member.caughtUp || s.random.IntN(messageLossOdds) == 0 {
		return
	}
	held := member.acceptor.Get(c.entry.Key)
	changed, unconfirmed := member.acceptor.Confirm(c.entry.Accepted, []string{c.entry.Key})
	member.persist(changed)
	if s.fault == promiseNotConfirmed && held.Accepted == c.entry.Accepted {
		unconfirmed = nil
	}
	if s.random.IntN(messageLossOdds) == 0 || len(c.confirmation.HandleReply(member.name, unconfirmed)) == 0 {
		return
	}
	s.checkChosen(t, c.entry)
	s.acknowledged[c.entry.Key] = max(s.acknowledged[c.entry.Key], c.entry.Value.Version)
}

// failer is the part of testing.T that the checks require.
type failer interface{ Fatalf(string, ...any) }

// checkChosen checks that a version of a register is never chosen with two different bodies.
func (s *simulation) checkChosen(t failer, e Entry) {
	if s.chosenBodies[e.Key] == nil {
		s.chosenBodies[e.Key] = map[uint64]string{}
	}
	if body, ok := s.chosenBodies[e.Key][e.Value.Version]; ok && body != e.Value.Body {
		t.Fatalf("version %d of %s was chosen with two different bodies", e.Value.Version, e.Key)
	}
	s.chosenBodies[e.Key][e.Value.Version] = e.Value.Body
}

// wipeDisk makes a random member lose its disk, unless maxFailures members are already recovering.
func (s *simulation) wipeDisk() {
	member := s.randomMember()
	if member.recovering || s.recoveringMembers() >= s.maxFailures {
		return
	}
	member.disk = map[string]Entry{}
	member.minProposal = ProposalNumber{}
	member.recovering = true
	member.caughtUp = s.fault == wipedMemberCounts
	member.restart()
	s.abandonRounds(member)
	s.clock += diskReplacementSteps
}

func (s *simulation) restartMember() {
	member := s.randomMember()
	member.restart()
	s.abandonRounds(member)
}

// abandonRounds ends the rounds of a member that has restarted.
func (s *simulation) abandonRounds(member *simulatedMember) {
	for _, p := range s.rounds {
		if p.member == member {
			p.abandoned = true
		}
	}
}

// catchUp lets each member that has lost its disk recover from f+1 others.
func (s *simulation) catchUp() {
	for _, member := range s.members {
		switch {
		case !member.recovering:
		case member.caughtUp: // only with the fault wipedMemberCounts
			member.recovering = false
		default:
			s.recover(member)
		}
	}
}

func (s *simulation) recover(member *simulatedMember) {
	proposal := ProposalNumber{Number: s.clock + 1, Proposer: member.name}
	var accepted []Entry
	replies := 0
	for _, i := range s.random.Perm(s.memberCount) {
		peer := s.members[i]
		if peer == member || !peer.caughtUp || replies > s.maxFailures {
			continue
		}
		peer.acceptor.RaiseMinProposal(proposal)
		peer.persist(nil)
		if peer.acceptor.MinProposal().Number > proposal.Number {
			proposal = peer.acceptor.MinProposal()
		}
		accepted = append(accepted, peer.acceptor.AcceptedEntries()...)
		replies++
	}
	if replies <= s.maxFailures {
		return
	}
	member.acceptor.RaiseMinProposal(proposal)
	member.persist(member.acceptor.Learn(accepted))
	member.caughtUp = true
	member.recovering = false
}

// checkReads checks that any f+1 members that have caught up include one with the acknowledged version.
func (s *simulation) checkReads(t failer) {
	for key, version := range s.acknowledged {
		var versions []uint64
		for _, member := range s.members {
			if member.caughtUp {
				versions = append(versions, member.acceptor.Get(key).Value.Version)
			}
		}
		slices.Sort(versions)
		if len(versions) > s.maxFailures && versions[s.maxFailures] < version {
			t.Fatalf("version %d of %s was acknowledged, but %d members lack it: %v", version, key, s.maxFailures+1, versions)
		}
	}
}

func (s *simulation) run(t failer, steps int) {
	for range steps {
		s.clock++
		switch percent := s.random.IntN(100); {
		case percent < 6:
			s.write()
		case percent < 8:
			s.restartMember()
		case percent < 10:
			s.wipeDisk()
		case percent < 14:
			s.catchUp()
		case percent < 17:
			s.confirm()
		case percent < 35:
			s.deliverConfirm(t)
		default:
			s.deliver(t)
		}
		s.checkReads(t)
	}
}

// simulationSteps is the length of one simulation.
const simulationSteps = 600

// No acknowledged write is lost, and no version is chosen with two different bodies, in groups of several sizes.
func TestAcknowledgedWritesSurvive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.SampledFrom([][2]int{{6, 2}, {9, 3}, {3, 1}}).Draw(t, "size")
		s := newSimulation(rapid.Uint64().Draw(t, "seed"), size[0], size[1], noFault)
		s.run(t, simulationSteps)
		if testing.Verbose() && len(s.acknowledged) == 0 {
			t.Log("nothing was acknowledged")
		}
	})
}

// failureRecorder is a failer that records the message and ends the simulation by panicking with itself.
type failureRecorder struct{ message string }

func (f *failureRecorder) Fatalf(format string, args ...any) {
	f.message = fmt.Sprintf(format, args...)
	panic(f)
}

// failureOf runs a simulation and returns the message of the check that failed, or "" if none did.
func failureOf(s *simulation) string {
	recorder := &failureRecorder{}
	func() {
		defer func() {
			if r := recover(); r != nil && r != any(recorder) {
				panic(r)
			}
		}()
		s.run(recorder, simulationSteps)
	}()
	return recorder.message
}

// The checks of the simulation detect each injected fault.
func TestInjectedFaultsAreDetected(t *testing.T) {
	const maxSeeds = 40000
	for _, injected := range []fault{
		acceptQuorumTooSmall, wipedMemberCounts, brokenPromise, promiseNotConfirmed,
	} {
		failure, seed := "", uint64(0)
		for ; seed < maxSeeds && failure == ""; seed++ {
			failure = failureOf(newSimulation(seed, 6, 2, injected))
		}
		if failure == "" {
			t.Errorf("%s: not detected in %d simulations", injected, maxSeeds)
		}
		t.Logf("%s: detected by seed %d: %s", injected, seed, failure)
	}
}
