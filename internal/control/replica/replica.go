// Package replica is one member of the core as a pure machine: a state, a message, the next state and messages out. It holds
// the lasting registers (items of the configuration, releases, cleared zones), who is a member and who holds a lease, and
// what is known of appliances; it keeps the rounds in which values are chosen, read, brought to an end and caught up with.
// Network, disk, clock and luck are handed in, so that a whole core is stepped in one process by a seed.
package replica

import (
	"hash/fnv"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/mailru/easyjson"

	"sagelever/internal/control/membership"
	"sagelever/internal/control/quorum"
	"sagelever/lore"
)

const (
	LeaseTerm = 2500 * time.Millisecond // an agent pulls again at once, and after ebb.Wait at the latest
	CoreWait  = 2500 * time.Millisecond // the same between members; bytes between regions are dear
	Heard     = 3500 * time.Millisecond // a member counts as heard for so long after its last answer: CoreWait and a second
	memory    = 30 * time.Second        // an agent that is gone counts into n for so long: longer than a request lasts
	bound     = 30 * time.Second        // for so long what a missing agent should have had is kept for it: half of tomb; beyond it pulls whole
	tomb      = 60 * time.Second        // a life that has left is remembered for so long: longer than a late pulse takes

	gather    = 15 * time.Millisecond  // news is held for so long, so that what comes together goes together
	company   = 200 * time.Millisecond // the same for what is new and can wait: appliances that came, leases
	unhurried = time.Second            // the same for counts of releases, which come all the time and change little

	attempt = 800 * time.Millisecond // of one round; callers give an agent a second
	head    = 150 * time.Millisecond // by which one member is asked before the others: a dial between regions and back
	stuck   = 250 * time.Millisecond // a pull that has gone on for so long may hang on a member that was down when it began
	between = 60 * time.Millisecond  // twice what a message takes between regions, about: the least pause after a refusal
	settle  = 700 * time.Millisecond // after which a value without a known end is brought to one by whoever holds it
)

// Reasons why something was not done; whoever asked may ask another member, or again.
var (
	ErrFew      = errors.New("too few members answer")
	ErrCatching = errors.New("this member is catching up")
	ErrUnsound  = errors.New("this agent does not hear most of the core")
	ErrOutside  = errors.New("this agent is not a member of the core")
)

// Config is what a member is told.
type Config struct {
	Me       Member            // without its disk's identity, which the disk holds
	Source   string            // this member and its life, as the version before names it
	Target   membership.Target // the core that the operator asks for
	Contacts []string          // where the first contacts' peers call them: they decide the first set
	Fresh    bool              // the whole system starts for the first time
	Zones    map[string]string // zone to region
	Silence  time.Duration     // after which an appliance that pulsed here counts as silent
	Luck     func() float64    // from [0, 1): spreads what several members would do at one moment
}

// Memory is what a member's disk held.
type Memory struct {
	Entries     []quorum.Entry
	Floor       quorum.Ballot
	Identity    Identity // the zero one where the disk is empty
	Earlier     bool     // the disk was written by the version without sets of members, and is whole
	Generations map[string]Generation
	Items       []Kept      // what was known
	Come        lore.Vector // and how far that goes
	Noted       time.Time   // when it was last so
}

// Kept is an item with where it came from.
type Kept struct {
	Item   lore.Item
	Origin string
	Number uint64
}

// Out is what a step has brought. Saves are to be handed to the disk in their order, before the next step; all else has no
// order.
type Out struct {
	Sends   []Send
	Saves   []Save
	Answers []Answer
	Done    []Done
	Lines   []Line        // changes of state, for the log
	Gone    []string      // items that were forgotten
	Call    []Member      // replicas that are up, though this one has not heard them: they are best pulled from, or asked who the members are, at once
	News    time.Duration // whoever waits for news is to be woken after so long; below zero: there is none
}

// Send is a message to another member; its reply goes to Replied, under the number.
type Send struct {
	Number uint64
	To     Member
	Path   string
	Ask    *Ask
}

// Save is to be on the disk, whole, before Saved is told so under its number.
type Save struct {
	Number   uint64
	Entries  []quorum.Entry
	Floor    *quorum.Ballot
	Identity *Identity
}

// Answer goes to another member's call.
type Answer struct {
	Call  uint64
	Reply *Reply
	Err   error
}

// Done is the end of what was begun under a number.
type Done struct {
	Number uint64
	Values map[string]quorum.Value // as chosen
	Err    error
}

// Line says that a state has changed.
type Line struct {
	Text string
	With []string // names and values
}

// Replica is one member.
type Replica struct {
	c        Config
	acceptor *quorum.Acceptor
	standing standing
	leaving  bool
	was      bool // sound, when last looked
	begun    time.Time
	latest   time.Time            // when this replica was last told the time
	open     map[string]time.Time // registers held without a known end, and when to bring them to one

	number  uint64
	tasks   map[uint64]*task
	sent    map[uint64]sent
	saving  map[uint64]func(now time.Time, err error)
	unsaved bool // the disk has refused something

	feed        *lore.Feed
	known       bool      // the feed is as far as its vector says
	told        time.Time // when anyone last told this member news
	epoch       int       // how often what was known was given up for what another told
	heardAny    bool      // in this life
	roll        *lore.Roll
	members     map[string]*member
	candidates  map[string]*candidate // by node
	generations map[string]Generation // by node: of other replicas' disks
	calledBack  time.Time             // when one that knows a newer set was last called for it
	homeless    map[string]time.Time  // by node: since when appliances are known whose home is no member
	reach       map[string]reached    // how far each member has come that pulls here, by node
	tombs       map[string]time.Time
	apps        map[string]*lore.App // the newest of what pulses here have said
	deciding    map[string]bool      // services whose release is being decided
	census      census

	out Out
}

type member struct {
	Member
	source  string // as the version before numbers
	seq     uint64
	heard   time.Time
	origin  string    // of its life
	asked   time.Time // when the last pull of it began
	begun   bool      // heard since this member started
	lost    time.Time // since when it is not heard any more; zero while it is
	since   time.Time // when it became a member, as known here
	leaving bool      // it has said that it ends
	acting  uint64    // the epoch in which it acts, as it told last
}

// New takes up what a disk held.
func New(c Config, was Memory, now time.Time) *Replica {
	m := &Replica{c: c, acceptor: quorum.NewAcceptor(was.Entries, was.Floor), begun: now, open: map[string]time.Time{},
		tasks: map[uint64]*task{}, sent: map[uint64]sent{}, saving: map[uint64]func(time.Time, error){},
		members: map[string]*member{}, candidates: map[string]*candidate{}, homeless: map[string]time.Time{}, reach: map[string]reached{}, tombs: map[string]time.Time{},
		apps: map[string]*lore.App{}, deciding: map[string]bool{}, out: Out{News: -1}}
	m.feed = lore.NewFeed(c.Source, originOf(c.Me.Node, now, c.Luck()))
	m.roll = lore.NewRoll(LeaseTerm, memory)
	m.takePlace(now, was)
	m.recall(was, now)
	all := m.acceptor.All()
	slices.SortFunc(all, func(a, b quorum.Entry) int { return strings.Compare(a.Key, b.Key) })
	for _, e := range all {
		if e.Chosen {
			m.publish(e)
		} else {
			m.open[e.Key] = now.Add(settle)
		}
	}
	m.beginStanding(now)
	return m
}

// originOf names a member and its life in the numbers of what it tells: short, as it goes with every pull.
func originOf(node string, now time.Time, luck float64) string {
	h := fnv.New64a()
	h.Write([]byte(node))
	life := uint64(now.UnixMilli())<<5 | uint64(luck*32)
	return strconv.FormatUint(h.Sum64()>>24, 36) + "." + strconv.FormatUint(life, 36)
}

// Take hands over what the steps since the last call have brought.
func (m *Replica) Take() Out {
	out := m.out
	m.out = Out{News: -1}
	return out
}

func (m *Replica) say(text string, with ...string) {
	m.out.Lines = append(m.out.Lines, Line{text, with})
}

// save has entries brought to the disk, and then goes on. Where nothing has changed it goes on at once.
func (m *Replica) save(now time.Time, s Save, then func(now time.Time, err error)) {
	if len(s.Entries) == 0 && s.Floor == nil && s.Identity == nil {
		if then != nil {
			then(now, nil)
		}
		return
	}
	m.number++
	s.Number = m.number
	m.saving[s.Number] = then
	m.out.Saves = append(m.out.Saves, s)
}

// Saved takes the disk's word on a save.
func (m *Replica) Saved(now time.Time, number uint64, err error) {
	then, known := m.saving[number]
	if !known {
		return
	}
	delete(m.saving, number)
	if err != nil {
		m.unsaved = true
	}
	if then != nil {
		then(now, err)
	}
}

// resave brings all to the disk again after it has refused something: what was learned meanwhile is told by nobody again.
func (m *Replica) resave(now time.Time) {
	if !m.unsaved || len(m.saving) > 0 {
		return
	}
	m.unsaved = false // a failure sets it again
	floor := m.acceptor.Floor()
	identity := m.standing.handed
	m.save(now, Save{Entries: m.acceptor.All(), Floor: &floor, Identity: &identity}, nil)
}

// Asked takes another member's message, or this one's own; the answer comes under the call's number. What it says is on the
// disk by then.
func (m *Replica) Asked(now time.Time, call uint64, path string, a *Ask) {
	m.serve(now, path, a, func(_ time.Time, r *Reply, err error) {
		m.out.Answers = append(m.out.Answers, Answer{call, r, err})
	})
}

func (m *Replica) serve(now time.Time, path string, a *Ask, then func(now time.Time, r *Reply, err error)) {
	switch path {
	case GenerationPath:
		then(now, m.serveGeneration(a), nil)
		return
	case StatePath:
		m.serveState(now, a, then)
		return
	}
	if a.Epoch < m.standing.set.Epoch { // it is told which set is in force
		then(now, &Reply{Set: m.standing.entry()}, nil)
		return
	}
	if a.Epoch > m.standing.set.Epoch || !m.Acting() {
		then(now, nil, ErrCatching)
		return
	}
	r := &Reply{OK: true}
	var changed []quorum.Entry
	switch path {
	case PreparePath, AcceptPath:
		if m.sealed() && !onlyMembers(a) {
			then(now, &Reply{}, nil)
			return
		}
		if path == PreparePath {
			r.Held, changed, r.Refused = m.acceptor.Prepare(a.Ballot, a.Keys)
		} else {
			changed, r.Refused = m.acceptor.Accept(a.Ballot, a.Values)
		}
		if r.Refused != (quorum.Ballot{}) {
			r.OK, r.Held = false, nil
			then(now, r, nil)
			return
		}
	case ReadPath:
		// The next set may be in force already, and have decided what this member does not know of.
		if m.sealed() {
			then(now, &Reply{}, nil)
			return
		}
		if len(a.Keys) > 0 {
			r.Held = m.named(a.Keys)
		} else {
			m.compare(a, r)
		}
	}
	for _, e := range changed { // whether or not the disk takes it
		m.unsettled(now, e)
	}
	m.save(now, Save{Entries: changed}, func(now time.Time, err error) {
		if err != nil { // what is not on the disk is not said
			r = nil
		}
		then(now, r, err)
	})
}

// unsettled notes a register whose newest value this member holds without knowing that it is chosen.
func (m *Replica) unsettled(now time.Time, e quorum.Entry) {
	if held := m.acceptor.Get(e.Key); held.Chosen || held.Accepted == (quorum.Ballot{}) {
		return
	}
	if _, noted := m.open[e.Key]; !noted {
		wait := settle
		if e.Key == membership.Key { // nothing else is decided until it has an end
			wait = settleMembers
		}
		m.open[e.Key] = now.Add(wait + time.Duration(m.c.Luck()*float64(wait)))
	}
}

// learn takes up what is known to be chosen, or was accepted elsewhere, and tells on what is chosen.
func (m *Replica) learn(now time.Time, entries []quorum.Entry) []quorum.Entry {
	changed := m.acceptor.Learn(entries)
	for _, e := range changed {
		if e.Chosen {
			delete(m.open, e.Key)
			m.publish(e)
			m.adopt(now, e)
		} else {
			m.unsettled(now, e)
		}
	}
	return changed
}

// publish tells a chosen value.
func (m *Replica) publish(e quorum.Entry) {
	m.tell(lore.Item{Key: lore.RegKey + e.Key, Version: e.Value.Version, Body: regBody(e)})
}

func regBody(e quorum.Entry) string {
	b, _ := easyjson.Marshal(quorum.Entry{Key: e.Key, Accepted: e.Accepted, Value: e.Value, Chosen: true})
	return string(b)
}

// Held is a register as this member holds it.
func (m *Replica) Held(key string) quorum.Entry { return m.acceptor.Get(key) }
