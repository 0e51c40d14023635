// Package pool decides on the connections to appliances that carry many sends at once: which one carries a send, when
// another is opened, when one is asked whether it lives, and when one is given up. Which appliance gets a send is
// decided elsewhere. Like the decision module it is free of I/O and clock: it is told what happened, and when, and says
// what to do. The two tables stand first; step reads them.
package pool

import (
	"math/rand/v2"
	"slices"
	"time"

	"sagelever/agent"
)

// LinkID names one connection; ids are never used again.
type LinkID uint64

// state of one connection.
type state int

const (
	dialing state = iota
	up
	asked  // a sign of life has been asked for
	ending // it carries no new send, and is closed when those that it has are over
	gone
)

// input is what befalls a connection.
type input int

const (
	opened  input = iota
	failed        // it did not come up, or broke
	heard         // anything came
	quiet         // it owes an answer and nothing has come for long
	mute          // nor has a sign of life
	retired       // its appliance drains or has left, or room is wanted
	emptied       // its last send is over
	rested        // it has carried nothing for long
)

type row struct {
	state  state
	input  input
	next   state
	effect func(*Pool, *link)
}

var links []row

func init() {
	links = []row{
		{dialing, opened, up, (*Pool).wake},
		{dialing, failed, gone, (*Pool).refused},
		{dialing, retired, gone, (*Pool).drop},
		{up, quiet, asked, (*Pool).ask},
		{up, failed, gone, (*Pool).broke},
		{up, retired, ending, (*Pool).endIfEmpty},
		{up, rested, gone, (*Pool).drop},
		{asked, heard, up, nil},
		{asked, mute, gone, (*Pool).drop}, // it took the upgrade and is silent: what it has may have run
		{asked, failed, gone, (*Pool).broke},
		{asked, retired, ending, (*Pool).endIfEmpty},
		{ending, emptied, gone, (*Pool).drop},
		{ending, mute, gone, (*Pool).drop},
		{ending, failed, gone, (*Pool).drop},
	}
}

// Act is what the pool wants done. Exactly one of Dial, Ping and Close is meant, by Kind.
type Act struct {
	Kind      Kind
	Link      LinkID
	Appliance agent.ApplianceID
}

// Kind of an act.
type Kind int

const (
	Dial  Kind = iota // open this connection, then tell Opened or Failed
	Ping              // ask for a sign of life; whatever comes is told by Heard
	Close             // close it; what it still carries has ended without an answer
)

func (k Kind) String() string { return [...]string{"dial", "ping", "close"}[k] }

// Bounds are what the pool keeps to.
type Bounds struct {
	Each     int           // connections to one appliance at most
	All      int           // connections at most
	Full     int           // sends on one connection from which another is opened
	Quiet    time.Duration // without a word, while it owes one, after which a sign of life is asked for
	Mute     time.Duration // and after that, it is given up
	Rest     time.Duration // without a send after which a connection is closed
	Backoff  time.Duration // after a first failure to connect; doubles up to 16 times that
	DialSlow time.Duration // a dial takes no longer; it is then told as failed by whoever dials
}

// Usual are bounds for appliances of one site: two connections, so that one that breaks leaves another; 64 sends, as many
// as an appliance of some cores holds in work and queue; half a second is several times what answers take.
var Usual = Bounds{Each: 2, All: 1 << 16, Full: 64, Quiet: 500 * time.Millisecond, Mute: 500 * time.Millisecond, Rest: 30 * time.Second,
	Backoff: 100 * time.Millisecond, DialSlow: 2 * time.Second}

type link struct {
	id    LinkID
	of    *site
	state state
	out   int
	word  time.Duration // when anything last came, or the first send was written
	since time.Duration // when it became asked, or empty
}

// site is one appliance's side of the pool.
type site struct {
	id       agent.ApplianceID
	listed   bool // may get new sends
	links    []*link
	fails    int // in a row
	notUntil time.Duration
}

// Pool holds what is known. It is not safe for use by several goroutines.
type Pool struct {
	bounds Bounds
	now    time.Duration
	chance *rand.Rand
	sites  map[agent.ApplianceID]*site
	byID   map[LinkID]*link
	order  []*link // by id: the same inputs lead to the same acts
	last   LinkID
	acts   []Act
	Counts Counts
}

// Counts are what has happened since the start, and how many connections there are now.
type Counts struct{ Dialled, Refused, Broken, Mute, Rested, Crowded, Now int }

// New makes an empty pool; chance spreads what agents would else do all at once.
func New(bounds Bounds, seed uint64) *Pool {
	return &Pool{bounds: bounds, chance: rand.New(rand.NewPCG(seed, 1)), sites: map[agent.ApplianceID]*site{}, byID: map[LinkID]*link{}}
}

// step puts an input to a link.
func (p *Pool) step(l *link, in input) {
	for _, r := range links {
		if r.state == l.state && r.input == in {
			if l.state = r.next; r.effect != nil {
				r.effect(p, l)
			}
			return
		}
	}
}

// take hands out what is to be done.
func (p *Pool) take() []Act {
	acts := p.acts
	p.acts = nil
	return acts
}

// List says that an appliance may get sends. One that was retired, or is another machine under an old id, starts anew.
func (p *Pool) List(now time.Duration, id agent.ApplianceID) []Act {
	p.now = now
	if s := p.sites[id]; s == nil || !s.listed {
		p.sites[id] = &site{id: id, listed: true}
	}
	return p.take()
}

// Retire says that an appliance gets no new send: it drains, has left, or another machine has its id. Connections on
// which nothing is out are closed at once, the others when they are empty or silent.
func (p *Pool) Retire(now time.Duration, id agent.ApplianceID) []Act {
	p.now = now
	if s := p.sites[id]; s != nil {
		s.listed = false
		delete(p.sites, id)
		for _, l := range slices.Clone(s.links) {
			p.step(l, retired)
		}
	}
	return p.take()
}

// Answer tells what becomes of a send that wants a connection.
type Answer int

const (
	Go     Answer = iota // on this link, now
	Wait                 // a connection is coming up: ask again when something has changed
	Refuse               // there is no way now: it is told at once
)

// Want asks for a connection to an appliance. With Go the send counts as out on the link until Over.
func (p *Pool) Want(now time.Duration, id agent.ApplianceID) (Answer, LinkID, []Act) {
	p.now = now
	s := p.sites[id]
	if s == nil {
		return Refuse, 0, p.take()
	}
	best, coming := p.best(s)
	if (best == nil || best.out >= p.bounds.Full) && !coming {
		p.open(s)
		_, coming = p.best(s)
	}
	switch {
	case best != nil:
		if best.out == 0 {
			best.word = now
		}
		best.out++
		return Go, best.id, p.take()
	case coming:
		return Wait, 0, p.take()
	}
	return Refuse, 0, p.take()
}

// best is the link with the fewest sends out, one that has just been asked for a sign of life only if there is no other.
func (p *Pool) best(s *site) (best *link, coming bool) {
	for _, l := range s.links {
		switch {
		case l.state == dialing:
			coming = true
		case l.state != up && l.state != asked:
		case best == nil, l.state == up && best.state == asked, l.state == best.state && l.out < best.out:
			best = l
		}
	}
	return best, coming
}

// open dials one more, if the bounds and the appliance's last refusals allow it. Room is made by what carries nothing.
func (p *Pool) open(s *site) {
	live := 0
	for _, l := range s.links {
		if l.state != ending {
			live++
		}
	}
	if live >= p.bounds.Each || p.now < s.notUntil {
		return
	}
	if len(p.order) >= p.bounds.All && !p.makeRoom(s) {
		p.Counts.Crowded++
		return
	}
	p.last++
	l := &link{id: p.last, of: s, state: dialing, word: p.now, since: p.now}
	s.links, p.byID[l.id], p.order = append(s.links, l), l, append(p.order, l)
	p.Counts.Dialled++
	p.acts = append(p.acts, Act{Dial, l.id, s.id})
}

// makeRoom closes the link that has carried nothing for longest, of another appliance.
func (p *Pool) makeRoom(not *site) bool {
	var longest *link
	for _, l := range p.order {
		if l.of != not && l.state == up && l.out == 0 && (longest == nil || l.since < longest.since) {
			longest = l
		}
	}
	if longest != nil {
		p.step(longest, rested)
	}
	return longest != nil
}

// Opened tells that a connection came up.
func (p *Pool) Opened(now time.Duration, id LinkID) []Act { return p.tell(now, id, opened) }

// Failed tells that a connection did not come up, or broke.
func (p *Pool) Failed(now time.Duration, id LinkID) []Act { return p.tell(now, id, failed) }

// Heard tells that anything came on a connection.
func (p *Pool) Heard(now time.Duration, id LinkID) []Act {
	if l := p.byID[id]; l != nil {
		l.word = now
	}
	return p.tell(now, id, heard)
}

// Over tells that a send on a connection has ended.
func (p *Pool) Over(now time.Duration, id LinkID) []Act {
	l := p.byID[id]
	if l == nil || l.out == 0 {
		return nil
	}
	if l.out--; l.out == 0 {
		l.since = now
		return p.tell(now, id, emptied)
	}
	return nil
}

func (p *Pool) tell(now time.Duration, id LinkID, in input) []Act {
	p.now = now
	if l := p.byID[id]; l != nil {
		p.step(l, in)
	}
	return p.take()
}

// Tick looks at the time; some ten times in the shortest bound.
func (p *Pool) Tick(now time.Duration) []Act {
	p.now = now
	for _, l := range slices.Clone(p.order) {
		switch {
		case l.state == asked && now-max(l.since, l.word) >= p.bounds.Mute,
			l.state == ending && now-l.word >= p.bounds.Quiet+p.bounds.Mute:
			p.Counts.Mute++
			p.step(l, mute)
		case l.state == up && l.out > 0 && now-l.word >= p.bounds.Quiet:
			p.step(l, quiet)
		case l.state == up && l.out == 0 && now-l.since >= p.bounds.Rest:
			p.Counts.Rested++
			p.step(l, rested)
		}
	}
	p.Counts.Now = len(p.order)
	return p.take()
}

// wake begins a link's time.
func (p *Pool) wake(l *link) {
	l.of.fails, l.of.notUntil = 0, 0
	l.word, l.since = p.now, p.now
}

func (p *Pool) ask(l *link) {
	l.since = p.now
	p.acts = append(p.acts, Act{Ping, l.id, l.of.id})
}

// refused spaces the next tries: a machine that starts must not be met by every agent's dial at once.
func (p *Pool) refused(l *link) {
	p.Counts.Refused++
	s := l.of
	wait := p.bounds.Backoff << min(s.fails, 4)
	s.notUntil = p.now + wait/2 + time.Duration(p.chance.Int64N(int64(wait)))
	s.fails++
	p.forget(l)
}

// broke lets the next dial go at once: a connection that worked says nothing against the machine.
func (p *Pool) broke(l *link) {
	p.Counts.Broken++
	p.forget(l)
}

func (p *Pool) endIfEmpty(l *link) {
	l.word = p.now // what it carries has a whole span for a word from now on
	if l.out == 0 {
		p.step(l, emptied)
	}
}

func (p *Pool) drop(l *link) {
	p.acts = append(p.acts, Act{Close, l.id, l.of.id})
	p.forget(l)
}

func (p *Pool) forget(l *link) {
	l.state = gone
	delete(p.byID, l.id)
	l.of.links = slices.DeleteFunc(l.of.links, func(x *link) bool { return x == l })
	p.order = slices.DeleteFunc(p.order, func(x *link) bool { return x == l })
}
