package replica

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"sagelever/internal/control/quorum"
)

// task is what this member has under way with the others.
type task struct {
	number uint64
	kind   int
	until  time.Time // after which it has failed; zero: it goes on until it is done
	keys   []string  // of a write
	decide quorum.Decide
	prefix string                  // of what a read is about
	only   []string                // the registers that a read is about, where they are named
	values map[string]quorum.Value // what a read has found that is chosen
	result bool                    // whoever began it wants to hear of it
	after  func()

	try      int // numbers the attempts, so that late replies are told apart
	taking   bool
	round    *quorum.Round
	floor    quorum.Ballot
	held     []quorum.Entry
	heard    map[string]bool
	waiting  int       // replies that are still to come
	deadline time.Time // of the attempt
	again    time.Time // when the next attempt begins; zero while one is under way
}

const (
	writing = iota
	reading
	settling // what a read has found without a known end
	catching
	mending // what this member holds without a known end
)

type sent struct {
	task uint64
	try  int
	to   string
}

// Write makes changes to registers lasting: when it is done without an error, so many disks hold the outcome that
// withstand can't lose it. It tries rounds until the time ends.
func (m *Replica) Write(now time.Time, until time.Time, changes map[string]quorum.Change) uint64 {
	keys, decide := quorum.Each(changes)
	return m.WriteTogether(now, until, keys, decide)
}

// WriteTogether is Write for a change that depends on what all of its registers hold.
func (m *Replica) WriteTogether(now time.Time, until time.Time, keys []string, decide quorum.Decide) uint64 {
	return m.begin(now, &task{kind: writing, until: until, keys: keys, decide: decide, result: true})
}

// Read brings this member up to what f+1 members know, so that it has all that was ever acknowledged, and brings to an end
// what it then holds of these registers without knowing that it is chosen: what a read tells stays so.
func (m *Replica) Read(now time.Time, until time.Time, prefix string) uint64 {
	return m.begin(now, &task{kind: reading, until: until, prefix: prefix, result: true})
}

// ReadKeys is Read for some registers by name: no more than these is told.
func (m *Replica) ReadKeys(now time.Time, until time.Time, keys []string) uint64 {
	return m.begin(now, &task{kind: reading, until: until, only: keys, result: true})
}

func (m *Replica) begin(now time.Time, t *task) uint64 {
	m.number++
	t.number = m.number
	m.tasks[t.number] = t
	m.attempt(now, t)
	return t.number
}

// attempt begins a task, or begins it again.
func (m *Replica) attempt(now time.Time, t *task) {
	if !m.caught && t.kind != catching {
		m.end(t, nil, ErrCatching)
		return
	}
	t.try++
	t.taking, t.again, t.deadline = false, time.Time{}, now.Add(attempt)
	t.heard, t.held = map[string]bool{}, nil
	switch t.kind {
	case writing, settling, mending:
		b := m.acceptor.Next(m.c.Me.Node)
		b.N = max(b.N, uint64(now.UnixMilli()))
		if !m.timely(now, b, Ahead) { // another's clock stood ahead of this one's
			m.pause(now, t)
			return
		}
		t.round = quorum.NewRound(b, m.c.N, m.c.F, t.keys, t.decide)
		m.ask(now, t, PreparePath, &Ask{Ballot: b, Keys: t.round.Keys()}, true)
	case reading:
		if m.c.F == 0 {
			m.read(now, t)
			return
		}
		if len(t.only) > 0 {
			m.ask(now, t, ReadPath, &Ask{Keys: t.only}, false)
			return
		}
		m.ask(now, t, ReadPath, &Ask{Digest: Digest(m.acceptor.All())}, false)
	case catching:
		if len(m.members) <= m.c.F { // each answer holds all that there is: none is asked for in vain
			m.pause(now, t)
			return
		}
		// Its ballot lies after all that it can have promised before: those were Ahead of its time of day at most.
		t.floor = quorum.Ballot{N: uint64(now.Add(Ahead).UnixMilli()) + 1, Who: m.c.Me.Node}
		m.ask(now, t, RefusePath, &Ask{Ballot: t.floor}, false)
	}
}

// ask sends a message to all members, this one too where its own word counts.
func (m *Replica) ask(now time.Time, t *task, path string, a *Ask, self bool) {
	t.waiting = 0
	for _, x := range m.Members() {
		m.number++
		m.sent[m.number] = sent{t.number, t.try, x.Node}
		m.out.Sends = append(m.out.Sends, Send{m.number, x, path, a})
		t.waiting++
	}
	if self {
		t.waiting++
		try := t.try
		m.serve(now, path, a, func(now time.Time, r *Reply, err error) {
			if m.tasks[t.number] == t && t.try == try {
				if err != nil {
					r = nil
				}
				m.reply(now, t, m.c.Me.Node, r)
			}
		})
	} else if t.waiting == 0 {
		m.pause(now, t)
	}
}

// Replied takes the reply to a message, or nil where none came.
func (m *Replica) Replied(now time.Time, number uint64, r *Reply) {
	s, ok := m.sent[number]
	delete(m.sent, number)
	if t := m.tasks[s.task]; ok && t != nil && t.try == s.try {
		m.reply(now, t, s.to, r)
	}
}

func (m *Replica) reply(now time.Time, t *task, from string, r *Reply) {
	t.waiting--
	try, taking := t.try, t.taking
	if r != nil {
		switch t.kind {
		case writing, settling, mending:
			m.hearRound(now, t, from, r)
		case reading:
			m.hearRead(now, t, from, r)
		case catching:
			m.hearCatching(now, t, from, r)
		}
	}
	if m.tasks[t.number] != t || t.try != try || t.taking != taking || !t.again.IsZero() || t.kind == catching && t.taking {
		return
	}
	if t.waiting <= 0 || t.round != nil && t.round.Hopeless(t.waiting) {
		m.pause(now, t) // too few are left that could make enough
	}
}

func (m *Replica) hearRound(now time.Time, t *task, from string, r *Reply) {
	if !r.OK {
		t.round.Refused(r.Refused)
		return
	}
	if !t.taking {
		if values := t.round.Told(from, r.Held); values != nil {
			t.taking = true
			t.try++ // promises that come after this are not counted as words
			m.ask(now, t, AcceptPath, &Ask{Ballot: t.round.Ballot, Values: values}, true)
		}
		return
	}
	if !t.round.Took(from) {
		return
	}
	chosen := t.round.Chosen()
	m.save(now, Save{Entries: m.learn(now, chosen)}, nil) // whoever finds it unsettled settles it again: no word is wanted
	values := make(map[string]quorum.Value, len(chosen))
	for _, e := range chosen {
		values[e.Key] = e.Value
	}
	maps.Copy(values, t.values)
	m.end(t, values, nil)
}

func (m *Replica) hearRead(now time.Time, t *task, from string, r *Reply) {
	if t.heard[from] {
		return
	}
	if r.Same {
		m.readFrom(now, t, from)
		return
	}
	try := t.try
	m.save(now, Save{Entries: m.learn(now, r.Held)}, func(now time.Time, err error) {
		if err == nil && m.tasks[t.number] == t && t.try == try {
			m.readFrom(now, t, from)
		}
	})
}

func (m *Replica) readFrom(now time.Time, t *task, from string) {
	if t.heard[from] = true; len(t.heard) >= m.c.F {
		m.read(now, t)
	}
}

// read ends a read, once what it tells is chosen.
func (m *Replica) read(now time.Time, t *task) {
	t.kind, t.keys, t.decide, t.values = settling, nil, keep, map[string]quorum.Value{}
	for _, e := range m.asked(t.only) {
		switch {
		case !strings.HasPrefix(e.Key, t.prefix):
		case e.Chosen:
			t.values[e.Key] = e.Value
		default:
			t.keys = append(t.keys, e.Key)
		}
	}
	slices.Sort(t.keys)
	if len(t.keys) == 0 {
		m.end(t, t.values, nil)
		return
	}
	m.attempt(now, t)
}

// asked is what this member holds of some registers, or of all where none is named.
func (m *Replica) asked(keys []string) []quorum.Entry {
	if len(keys) == 0 {
		return m.acceptor.All()
	}
	var held []quorum.Entry
	for _, key := range keys {
		if e := m.acceptor.Get(key); e.Accepted != (quorum.Ballot{}) {
			held = append(held, e)
		}
	}
	return held
}

func keep(map[string]quorum.Value) map[string]quorum.Value { return nil }

// catchUp is for a member whose disk came back empty. Until f+1 others that have not lost theirs have told what they hold,
// and refuse the ballots from before, it neither promises nor accepts nor reads.
func (m *Replica) catchUp(now time.Time) { m.begin(now, &task{kind: catching}) }

func (m *Replica) hearCatching(now time.Time, t *task, from string, r *Reply) {
	if t.heard[from] || t.taking {
		return
	}
	t.heard[from] = true
	if t.floor.Less(r.Refused) {
		t.floor = r.Refused
	}
	t.held = append(t.held, r.Held...)
	if len(t.heard) <= m.c.F {
		return
	}
	t.taking, t.deadline = true, time.Time{} // it takes as long as the disk does
	m.acceptor.Refuse(t.floor)
	m.learn(now, t.held)
	floor, try := m.acceptor.Floor(), t.try
	m.save(now, Save{Entries: m.acceptor.All(), Floor: &floor, Caught: true}, func(now time.Time, err error) {
		if m.tasks[t.number] != t || t.try != try {
			return
		}
		if err != nil {
			m.pause(now, t)
			return
		}
		m.caught = true
		m.end(t, nil, nil)
		m.say("caught up after the disk was lost", "registers", strconv.Itoa(len(m.acceptor.All())))
	})
}

// mend brings values to an end whose writer is gone: each holder waits a while, by lot, and then writes them again.
func (m *Replica) mend(now time.Time) {
	var due []string
	for _, key := range slices.Sorted(maps.Keys(m.open)) {
		at := m.open[key]
		if e := m.acceptor.Get(key); e.Chosen || e.Accepted == (quorum.Ballot{}) {
			delete(m.open, key)
		} else if !now.Before(at) {
			due = append(due, key)
			m.open[key] = now.Add(attempt + time.Duration(m.c.Luck()*float64(settle)))
		}
	}
	if len(due) > 0 && m.caught {
		m.begin(now, &task{kind: mending, keys: due, decide: keep})
	}
}

// pause ends an attempt that has failed; the next begins after a while, by lot, as another may be at the same registers.
func (m *Replica) pause(now time.Time, t *task) {
	if t.round != nil {
		if after := t.round.After(); m.timely(now, after, 2*Ahead) {
			m.acceptor.Seen(after)
		}
	}
	if t.kind == mending { // it is tried again when it is due again
		m.end(t, nil, ErrFew)
		return
	}
	t.again = now.Add(between + time.Duration(m.c.Luck()*float64(4*between)))
}

func (m *Replica) end(t *task, values map[string]quorum.Value, err error) {
	delete(m.tasks, t.number)
	if t.after != nil {
		t.after()
	}
	if t.result {
		m.out.Done = append(m.out.Done, Done{t.number, values, err})
	}
}

// Due is when Tick wants to be called next; zero where nothing is under way.
func (m *Replica) Due() (at time.Time) {
	earlier := func(x time.Time) {
		if !x.IsZero() && (at.IsZero() || x.Before(at)) {
			at = x
		}
	}
	for _, t := range m.tasks {
		earlier(t.until)
		if t.again.IsZero() {
			earlier(t.deadline)
		} else {
			earlier(t.again)
		}
	}
	return at
}

// Tick does what is due by the clock among what is under way.
func (m *Replica) Tick(now time.Time) {
	for _, number := range slices.Sorted(maps.Keys(m.tasks)) {
		t := m.tasks[number]
		switch {
		case !t.until.IsZero() && !now.Before(t.until):
			m.end(t, nil, ErrFew)
		case t.again.IsZero() && !t.deadline.IsZero() && !now.Before(t.deadline):
			m.pause(now, t)
		case !t.again.IsZero() && !now.Before(t.again):
			if t.kind == settling && !t.taking && t.round == nil {
				t.kind = reading
			}
			m.attempt(now, t)
		}
	}
}
