package quorum

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"testing"

	"pgregory.net/rapid"
)

// simulation steps a core in one process by a seed: messages are lost, doubled, late and out of order; members are killed, lose
// their disks, catch up; writers stop anywhere. Faults that are planted must be found by the same checks.
type simulation struct {
	random                   *rand.Rand
	memberCount, maxFailures int
	members                  []*simulatedMember
	rounds                   []*proposer
	acknowledged             map[string]uint64            // by key: the newest version that was acknowledged
	chosenBodies             map[string]map[uint64]string // by key and version: what was ever told as chosen
	fault                    string
	clock                    uint64
}

type simulatedMember struct {
	name        string
	acceptor    *Acceptor
	disk        map[string]Entry
	minProposal ProposalNumber
	up          bool
	caughtUp    bool
	recovering  bool // counts against f until it has caught up
}

// proposer is a writer with one round.
type proposer struct {
	round     *Round
	member    *simulatedMember
	toPrepare []int // members whose prepare is still to be delivered
	toAccept  []int
	values    []Entry
	abandoned bool
	counted   bool
	key       string
	version   uint64
}

func newSimulation(seed uint64, n, f int, planted string) *simulation {
	w := &simulation{random: rand.New(rand.NewPCG(seed, 7)), memberCount: n, maxFailures: f, fault: planted, acknowledged: map[string]uint64{}, chosenBodies: map[string]map[uint64]string{}}
	for i := range n {
		w.members = append(w.members, &simulatedMember{name: fmt.Sprint("m", i), acceptor: NewAcceptor(nil, ProposalNumber{}), disk: map[string]Entry{}, up: true, caughtUp: true})
	}
	return w
}

func (w *simulation) persist(x *simulatedMember, entries []Entry) {
	for _, e := range entries {
		x.disk[e.Key] = e
	}
	x.minProposal = x.acceptor.MinProposal()
}

func (x *simulatedMember) restart() {
	var entries []Entry
	for _, e := range x.disk {
		entries = append(entries, e)
	}
	x.acceptor, x.up = NewAcceptor(entries, x.minProposal), true
}

func (w *simulation) recoveringMembers() (k int) {
	for _, x := range w.members {
		if x.recovering {
			k++
		}
	}
	return k
}

// write begins a round of a random live member.
func (w *simulation) write() {
	x := w.members[w.random.IntN(w.memberCount)]
	if !x.up || !x.caughtUp {
		return
	}
	key := fmt.Sprint("k", w.random.IntN(2))
	version := w.acknowledged[key] + 1 + uint64(w.random.IntN(2))
	sent := Value{Version: version, Body: fmt.Sprint("by", w.random.Uint64())}
	b := x.acceptor.NextProposal(0, x.name)
	b.Number = max(b.Number, w.clock)
	change := func(held Value) Value {
		if sent.Version > held.Version {
			return sent
		}
		return held
	}
	keys, decide := UpdateEach(map[string]UpdateFunc{key: change})
	r := &proposer{round: NewRound(b, w.memberCount, w.maxFailures, keys, decide), member: x, key: key, version: version}
	if w.fault == "few holders" {
		r.round.acceptQuorum--
	}
	for i := range w.members {
		r.toPrepare = append(r.toPrepare, i)
	}
	w.rounds = append(w.rounds, r)
}

func (w *simulation) takeRandom(list *[]int) int {
	i := w.random.IntN(len(*list))
	m := (*list)[i]
	if w.random.IntN(10) > 0 { // else it is delivered once more later
		*list = append((*list)[:i:i], (*list)[i+1:]...)
	}
	return m
}

// deliver carries one message of one round, or loses it.
func (w *simulation) deliver(t failer) {
	if len(w.rounds) == 0 {
		return
	}
	r := w.rounds[w.random.IntN(len(w.rounds))]
	if r.abandoned {
		return
	}
	switch {
	case r.values == nil && len(r.toPrepare) > 0:
		x := w.members[w.takeRandom(&r.toPrepare)]
		if !x.up || !x.caughtUp || w.random.IntN(8) == 0 {
			return
		}
		held, changed, refused := x.acceptor.Prepare(r.round.Proposal, r.round.Keys())
		if refused != (ProposalNumber{}) {
			r.member.acceptor.Observe(refused)
			return
		}
		w.persist(x, changed)
		if w.random.IntN(8) > 0 {
			if r.values = r.round.HandlePromise(x.name, held); r.values != nil {
				for i := range w.members {
					r.toAccept = append(r.toAccept, i)
				}
			}
		}
	case r.values != nil && len(r.toAccept) > 0:
		x := w.members[w.takeRandom(&r.toAccept)]
		if !x.up || !x.caughtUp || w.random.IntN(8) == 0 {
			return
		}
		if w.fault == "broken promise" {
			if e := x.acceptor.registers[r.key]; e != nil {
				e.Promised = ProposalNumber{}
			}
		}
		changed, refused := x.acceptor.Accept(r.round.Proposal, r.values)
		if refused != (ProposalNumber{}) {
			return
		}
		w.persist(x, changed)
		if w.random.IntN(8) > 0 && r.round.HandleAccepted(x.name) && !r.counted {
			r.counted = true
			for _, e := range r.round.ChosenEntries() {
				w.checkChosen(t, e)
				if e.Value.Version >= r.version {
					w.acknowledged[e.Key] = max(w.acknowledged[e.Key], r.version)
				}
				r.member.acceptor.Learn([]Entry{e})
			}
		}
	}
}

type failer interface{ Fatalf(string, ...any) }

// checkChosen checks that no version ever has two contents.
func (w *simulation) checkChosen(t failer, e Entry) {
	if w.chosenBodies[e.Key] == nil {
		w.chosenBodies[e.Key] = map[uint64]string{}
	}
	if was, ok := w.chosenBodies[e.Key][e.Value.Version]; ok && was != e.Value.Body {
		t.Fatalf("version %d of %s was chosen with two contents", e.Value.Version, e.Key)
	}
	w.chosenBodies[e.Key][e.Value.Version] = e.Value.Body
}

// wipeDisk takes a member's disk, within f; its rounds end.
func (w *simulation) wipeDisk() {
	x := w.members[w.random.IntN(w.memberCount)]
	if x.recovering || w.recoveringMembers() >= w.maxFailures {
		return
	}
	x.disk, x.minProposal, x.recovering, x.caughtUp = map[string]Entry{}, ProposalNumber{}, true, w.fault == "wiped member counts"
	x.restart()
	w.abandonRounds(x)
	w.clock += 10 // it takes a while to start; ballots follow the time of day
}

func (w *simulation) restartMember() {
	x := w.members[w.random.IntN(w.memberCount)]
	x.restart()
	w.abandonRounds(x)
}

func (w *simulation) abandonRounds(x *simulatedMember) {
	for _, r := range w.rounds {
		if r.member == x {
			r.abandoned = true
		}
	}
}

// catchUp has a wiped member ask f+1 others.
func (w *simulation) catchUp() {
	for _, x := range w.members {
		if !x.recovering {
			continue
		}
		if x.caughtUp { // the planted fault
			x.recovering = false
			continue
		}
		b := ProposalNumber{Number: w.clock + 1, Proposer: x.name}
		var held []Entry
		told := 0
		for _, i := range w.random.Perm(w.memberCount) {
			y := w.members[i]
			if y == x || !y.up || !y.caughtUp || told > w.maxFailures {
				continue
			}
			y.acceptor.RaiseMinProposal(b)
			w.persist(y, nil)
			if y.acceptor.MinProposal().Number > b.Number {
				b = y.acceptor.MinProposal()
			}
			held = append(held, y.acceptor.AcceptedEntries()...)
			told++
		}
		if told <= w.maxFailures {
			continue
		}
		x.acceptor.RaiseMinProposal(b)
		w.persist(x, x.acceptor.Learn(held))
		x.caughtUp, x.recovering = true, false
	}
}

// checkReads checks that every f+1 members that have caught up hold what was acknowledged, whichever they are.
func (w *simulation) checkReads(t failer) {
	for key, version := range w.acknowledged {
		var held []uint64
		for _, x := range w.members {
			if x.caughtUp {
				held = append(held, x.acceptor.Get(key).Value.Version)
			}
		}
		sort.Slice(held, func(i, j int) bool { return held[i] < held[j] })
		if len(held) > w.maxFailures && held[w.maxFailures] < version {
			t.Fatalf("version %d of %s was acknowledged, and %d members lack it: %v", version, key, w.maxFailures+1, held)
		}
	}
}

func (w *simulation) run(t failer, steps int) {
	for range steps {
		w.clock++
		switch k := w.random.IntN(100); {
		case k < 6:
			w.write()
		case k < 8:
			w.restartMember()
		case k < 10:
			w.wipeDisk()
		case k < 14:
			w.catchUp()
		default:
			w.deliver(t)
		}
		w.checkReads(t)
	}
}

// Nothing acknowledged is lost, and no version has two contents, for six members of which two may lose their disks, and
// nine of which three.
func TestAcknowledgedWritesSurvive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.SampledFrom([][2]int{{6, 2}, {9, 3}, {3, 1}}).Draw(t, "size")
		w := newSimulation(rapid.Uint64().Draw(t, "seed"), size[0], size[1], "")
		w.run(t, 600)
		if testing.Verbose() && len(w.acknowledged) == 0 {
			t.Log("nothing was acknowledged")
		}
	})
}

type failureRecorder string

func (f *failureRecorder) Fatalf(text string, args ...any) {
	*f = failureRecorder(fmt.Sprintf(text, args...))
	panic(f)
}

// The checks find what is planted: too few holders, a member that counts before it has caught up, a promise not kept.
func TestInjectedFaultsAreDetected(t *testing.T) {
	for _, planted := range []string{"few holders", "wiped member counts", "broken promise"} {
		var f failureRecorder
		for seed := uint64(0); seed < 400 && f == ""; seed++ {
			func() {
				defer func() {
					if r := recover(); r != nil && r != any(&f) {
						panic(r)
					}
				}()
				newSimulation(seed, 6, 2, planted).run(&f, 600)
			}()
		}
		if f == "" {
			t.Errorf("%s: not found in 400 runs", planted)
		}
	}
}

// What is known to be chosen stays so when it is written again: otherwise members that bring the same registers to an end
// put one another in doubt without end (hunt-82a9-19).
func TestChosenStaysChosen(t *testing.T) {
	a, v := NewAcceptor(nil, ProposalNumber{}), Value{Version: 3, Body: "x"}
	a.Learn([]Entry{{Key: "k", Accepted: ProposalNumber{Number: 1, Proposer: "m"}, Value: v, Chosen: true}})
	a.Accept(ProposalNumber{Number: 5, Proposer: "n"}, []Entry{{Key: "k", Value: v}})
	if !a.Get("k").Chosen {
		t.Error("accepting the same value again has put it in doubt")
	}
	a.Accept(ProposalNumber{Number: 6, Proposer: "n"}, []Entry{{Key: "k", Value: Value{Version: 4}}})
	if a.Get("k").Chosen {
		t.Error("a new value passes for chosen")
	}
	a.Learn([]Entry{{Key: "k", Accepted: ProposalNumber{Number: 4, Proposer: "o"}, Value: Value{Version: 4}, Chosen: true}})
	if !a.Get("k").Chosen {
		t.Error("word that the value is chosen was not taken, as its ballot is another")
	}
}
