// Package replica is one member of the core as a pure machine: a state, a message, the next state and messages out. It holds
// the lasting registers (items of the configuration, releases, cleared zones), who is a member and who holds a lease, and
// what is known of appliances; it keeps the rounds in which values are chosen, read, brought to an end and caught up with.
// Network, disk, clock and luck are handed in, so that a whole core is stepped in one process by a seed.
package replica

import (
	"crypto/sha256"
	"encoding/binary"
	"hash/fnv"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/mailru/easyjson"

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

	// Ahead is by how much a ballot's number may lie before this member's time of day. A member that lost its disk has
	// forgotten its promises, but knows with this bound that none was later, and refuses all from before: see catchUp.
	Ahead = 10 * time.Second
)

// Reasons why something was not done; whoever asked may ask another member, or again.
var (
	ErrFew      = errors.New("too few members answer")
	ErrCatching = errors.New("this member is catching up")
	ErrUnsound  = errors.New("this agent does not hear most of the core")
)

// Config is what a member is told.
type Config struct {
	Me      Member
	Source  string            // this member and its life, as the version before names it
	N, F    int               // members of the core, and how many may lose their disks at once
	Zones   map[string]string // zone to region
	Silence time.Duration     // after which an appliance that pulsed here counts as silent
	Luck    func() float64    // from [0, 1): spreads what several members would do at one moment
}

// Memory is what a member's disk held.
type Memory struct {
	Entries []quorum.Entry
	Floor   quorum.Ballot
	Caught  bool // the disk is the member's own: never lost, or caught up since
	Members []Member
	Items   []Kept      // what was known
	Come    lore.Vector // and how far that goes
	Noted   time.Time   // when it was last so
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
	Call    []Member      // members that are up, though this one has not heard them: they are best pulled from at once
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
	Number  uint64
	Entries []quorum.Entry
	Floor   *quorum.Ballot
	Caught  bool // the disk counts from now on
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
	caught   bool
	leaving  bool
	was      bool // sound, when last looked
	begun    time.Time
	open     map[string]time.Time // registers held without a known end, and when to bring them to one

	number  uint64
	tasks   map[uint64]*task
	sent    map[uint64]sent
	saving  map[uint64]func(now time.Time, err error)
	unsaved bool // the disk has refused something

	feed     *lore.Feed
	known    bool      // the feed is as far as its vector says
	told     time.Time // when anyone last told this member news
	epoch    int       // how often what was known was given up for what another told
	heardAny bool      // in this life
	roll     *lore.Roll
	members  map[string]*member
	reach    map[string]reached // how far each member has come that pulls here, by node
	tombs    map[string]time.Time
	apps     map[string]*lore.App // the newest of what pulses here have said
	deciding map[string]bool      // services whose release is being decided
	census   census

	out Out
}

type member struct {
	Member
	source string // as the version before numbers
	seq    uint64
	heard  time.Time
	origin string    // of its life
	asked  time.Time // when the last pull of it began
	begun  bool      // heard since this member started
	lost   time.Time // since when it is not heard any more; zero while it is
}

// New takes up what a disk held.
func New(c Config, was Memory, now time.Time) *Replica {
	m := &Replica{c: c, acceptor: quorum.NewAcceptor(was.Entries, was.Floor), caught: was.Caught, begun: now, open: map[string]time.Time{},
		tasks: map[uint64]*task{}, sent: map[uint64]sent{}, saving: map[uint64]func(time.Time, error){},
		members: map[string]*member{}, reach: map[string]reached{}, tombs: map[string]time.Time{},
		apps: map[string]*lore.App{}, deciding: map[string]bool{}, out: Out{News: -1}}
	m.feed = lore.NewFeed(c.Source, originOf(c.Me.Node, now, c.Luck()))
	m.roll = lore.NewRoll(LeaseTerm, memory)
	for _, x := range was.Members {
		if x.Node != c.Me.Node {
			m.members[x.Node] = &member{Member: x}
		}
	}
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
	if !m.caught {
		m.catchUp(now)
	}
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
	if len(s.Entries) == 0 && s.Floor == nil && !s.Caught {
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
	m.save(now, Save{Entries: m.acceptor.All(), Floor: &floor}, nil)
}

// Asked takes another member's message, or this one's own; the answer comes under the call's number. What it says is on the
// disk by then.
func (m *Replica) Asked(now time.Time, call uint64, path string, a *Ask) {
	m.serve(now, path, a, func(_ time.Time, r *Reply, err error) {
		m.out.Answers = append(m.out.Answers, Answer{call, r, err})
	})
}

func (m *Replica) serve(now time.Time, path string, a *Ask, then func(now time.Time, r *Reply, err error)) {
	if !m.caught {
		then(now, nil, ErrCatching)
		return
	}
	r := &Reply{OK: true}
	var changed []quorum.Entry
	var floor *quorum.Ballot
	switch path {
	case PreparePath, AcceptPath:
		if !m.timely(now, a.Ballot, Ahead) {
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
		if held := m.asked(a.Keys); len(a.Keys) == 0 && Digest(held) == a.Digest {
			r.Same = true
		} else {
			r.Held = held
		}
	case RefusePath:
		if !m.timely(now, a.Ballot, 2*Ahead) {
			then(now, nil, errors.New("the times of day stand too far apart"))
			return
		}
		if m.acceptor.Refuse(a.Ballot) {
			f := m.acceptor.Floor()
			floor = &f
		}
		r.Held, r.Refused = m.acceptor.All(), m.acceptor.Floor()
	}
	for _, e := range changed { // whether or not the disk takes it
		m.unsettled(now, e)
	}
	m.save(now, Save{Entries: changed, Floor: floor}, func(now time.Time, err error) {
		if err != nil { // what is not on the disk is not said
			r = nil
		}
		then(now, r, err)
	})
}

// timely tells whether a ballot's number lies at most so far ahead of the time of day.
func (m *Replica) timely(now time.Time, b quorum.Ballot, ahead time.Duration) bool {
	return b.N <= uint64(now.Add(ahead).UnixMilli())
}

// unsettled notes a register whose newest value this member holds without knowing that it is chosen.
func (m *Replica) unsettled(now time.Time, e quorum.Entry) {
	if held := m.acceptor.Get(e.Key); held.Chosen || held.Accepted == (quorum.Ballot{}) {
		return
	}
	if _, noted := m.open[e.Key]; !noted {
		m.open[e.Key] = now.Add(settle + time.Duration(m.c.Luck()*float64(settle)))
	}
}

// learn takes up what is known to be chosen, or was accepted elsewhere, and tells on what is chosen.
func (m *Replica) learn(now time.Time, entries []quorum.Entry) []quorum.Entry {
	changed := m.acceptor.Learn(entries)
	for _, e := range changed {
		if e.Chosen {
			delete(m.open, e.Key)
			m.publish(e)
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

// Digest is equal for members that hold the same, and for others by a chance of one in 2^64: of a chosen value its version
// says all, whichever ballot it came by. A sum of weak hashes, which needs no order, once took versions 20 and 11 of two
// registers for 21 and 8.
func Digest(entries []quorum.Entry) uint64 {
	slices.SortFunc(entries, func(a, b quorum.Entry) int { return strings.Compare(a.Key, b.Key) })
	var text []byte
	for _, e := range entries {
		n, who := e.Accepted.N, e.Accepted.Who
		if e.Chosen {
			n, who = e.Value.Version, ""
		}
		text = binary.BigEndian.AppendUint64(append(append(text, e.Key...), 0), n)
		text = append(append(text, who...), 0)
	}
	sum := sha256.Sum256(text)
	return binary.BigEndian.Uint64(sum[:])
}

// Held is a register as this member holds it.
func (m *Replica) Held(key string) quorum.Entry { return m.acceptor.Get(key) }

// Caught tells whether this member counts.
func (m *Replica) Caught() bool { return m.caught }
