package replica

import (
	"maps"
	"slices"
	"time"

	"sagelever/internal/control/membership"
	"sagelever/internal/control/quorum"
	"sagelever/internal/control/rangesync"
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
	heard    map[string]bool               // members whose answer is whole
	sessions map[Member]*rangesync.Session // comparisons with other replicas
	unsaved  int                           // what was learned and is not on the disk yet
	failed   bool                          // the disk has refused it
	waiting  int                           // replies that are still to come
	deadline time.Time                     // of the attempt
	again    time.Time                     // when the next attempt begins; zero while one is under way
}

const (
	writing = iota
	reading
	settling   // what a read has found without a known end
	mending    // what this member holds without a known end
	confirming // that this member's disk is not one from the past
	joining    // the epoch in force: taking over from the one before
	learning   // what an acting member holds, as a candidate
)

// acts tells whether a task wants this member to act in the epoch in force.
func (t *task) acts() bool { return t.kind <= mending }

type sent struct {
	task uint64
	try  int
	to   Member
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
	if t.acts() && !m.Acting() || t.kind == reading && m.sealed() {
		m.postpone(now, t)
		return
	}
	t.try++
	t.taking, t.again, t.deadline = false, time.Time{}, now.Add(attempt)
	t.heard, t.unsaved, t.failed = map[string]bool{}, 0, false
	set := m.standing.set
	switch t.kind {
	case writing, settling, mending:
		t.round = quorum.NewRound(m.acceptor.Next(set.Epoch, m.standing.proposer()), len(set.Members), set.Lose, t.keys, t.decide)
		m.askAll(now, t, PreparePath, &Ask{Epoch: set.Epoch, Ballot: t.round.Ballot, Keys: t.round.Keys()})
	case reading:
		if set.Lose == 0 {
			m.read(now, t)
			return
		}
		peers := m.peers()
		if len(t.only) > 0 {
			m.ask(now, t, peers, ReadPath, &Ask{Epoch: set.Epoch, Keys: t.only})
			return
		}
		m.ask(now, t, peers, ReadPath, m.rangesAsk(ReadPath, m.compareWith(t, peers, rangesync.Prefix(t.prefix))))
	case confirming:
		m.attemptConfirm(now, t)
	case joining:
		m.attemptJoin(now, t)
	case learning:
		m.attemptLearn(now, t)
	}
}

// postpone has a task wait until this member acts in the epoch in force, where it is about to; else the task ends at once,
// as another agent is better asked.
func (m *Replica) postpone(now time.Time, t *task) {
	switch {
	case !m.standing.member():
		m.end(t, nil, ErrOutside)
	case !m.standing.identity.Acting:
		m.end(t, nil, ErrCatching)
	default:
		t.again = now.Add(between/2 + time.Duration(m.c.Luck()*float64(between)))
	}
}

// askAll sends a message to all members, this one too.
func (m *Replica) askAll(now time.Time, t *task, path string, a *Ask) {
	peers := m.peers()
	m.send(t, peers, path, a)
	t.waiting = len(peers) + 1
	try := t.try
	m.serve(now, path, a, func(now time.Time, r *Reply, err error) {
		if m.tasks[t.number] != t || t.try != try {
			return
		}
		if err != nil {
			r = nil
		}
		m.reply(now, t, Member{Node: m.self()}, r)
	})
}

// ask sends a message to some others.
func (m *Replica) ask(now time.Time, t *task, to []Member, path string, a *Ask) {
	m.send(t, to, path, a)
	t.waiting = len(to)
	if t.waiting == 0 {
		m.pause(now, t)
	}
}

func (m *Replica) send(t *task, to []Member, path string, a *Ask) {
	for _, x := range to {
		m.number++
		m.sent[m.number] = sent{t.number, t.try, x}
		m.out.Sends = append(m.out.Sends, Send{m.number, x, path, a})
	}
}

// askMore asks one member for the next page of its answer.
func (m *Replica) askMore(t *task, from Member, path string, a *Ask) {
	t.waiting++
	m.send(t, []Member{from}, path, a)
}

// Replied takes the reply to a message, or nil where none came.
func (m *Replica) Replied(now time.Time, number uint64, r *Reply) {
	s, ok := m.sent[number]
	delete(m.sent, number)
	if !ok {
		return
	}
	if r != nil && r.Set != nil { // whoever asked goes by a set that is over
		m.save(now, Save{Entries: m.learn(now, []quorum.Entry{*r.Set})}, nil)
	}
	if t := m.tasks[s.task]; t != nil && t.try == s.try {
		m.reply(now, t, s.to, r)
	}
}

func (m *Replica) reply(now time.Time, t *task, from Member, r *Reply) {
	t.waiting--
	try := t.try
	if r != nil {
		switch t.kind {
		case writing, settling, mending:
			m.hearRound(now, t, from.Node, r)
		case reading:
			m.hearRead(now, t, from, r)
		case confirming:
			m.hearGeneration(now, t, from, r)
		case joining, learning:
			m.hearState(now, t, from, r)
		}
	}
	if m.tasks[t.number] != t || t.try != try || !t.again.IsZero() || t.unsaved > 0 {
		return
	}
	if t.waiting <= 0 || t.round != nil && t.acts() && t.kind != reading && t.round.Hopeless(t.waiting) {
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
			m.askAll(now, t, AcceptPath, &Ask{Epoch: t.round.Ballot.Epoch, Ballot: t.round.Ballot, Values: values})
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

// learnFor learns what a member has told in answer to a task, and goes on with it once that is on the disk.
func (m *Replica) learnFor(now time.Time, t *task, held []quorum.Entry, then func(now time.Time)) {
	try := t.try
	t.unsaved++
	m.save(now, Save{Entries: m.learn(now, held)}, func(now time.Time, err error) {
		if m.tasks[t.number] != t || t.try != try {
			return
		}
		t.unsaved--
		if err != nil {
			t.failed = true
		}
		if !t.failed {
			then(now)
		}
		if m.tasks[t.number] == t && t.try == try && t.again.IsZero() && t.unsaved == 0 && t.waiting <= 0 {
			m.pause(now, t)
		}
	})
}

func keep(map[string]quorum.Value) map[string]quorum.Value { return nil }

// mendAtOnce bounds the registers of one round that brings values to an end, and so the size of its messages.
const mendAtOnce = 256

// mend brings values to an end whose writer is gone: each holder waits a while, by lot, and then writes them again. The set of
// members comes by itself: whoever has accepted a next one takes part in no other round.
func (m *Replica) mend(now time.Time) {
	if !m.Acting() {
		return
	}
	var due []string
	for _, key := range slices.Sorted(maps.Keys(m.open)) {
		if e := m.acceptor.Get(key); e.Chosen || e.Accepted == (quorum.Ballot{}) {
			delete(m.open, key)
			continue
		}
		if !now.Before(m.open[key]) && len(due) < mendAtOnce && (key == membership.Key || !m.sealed()) {
			due = append(due, key)
		}
	}
	if slices.Contains(due, membership.Key) {
		due = []string{membership.Key}
	}
	for _, key := range due {
		m.open[key] = now.Add(attempt + time.Duration(m.c.Luck()*float64(settle)))
	}
	if len(due) > 0 {
		m.begin(now, &task{kind: mending, keys: due, decide: keep})
	}
}

// pause ends an attempt that has failed; the next begins after a while, by lot, as another may be at the same registers.
func (m *Replica) pause(now time.Time, t *task) {
	if t.round != nil {
		m.acceptor.Seen(t.round.After())
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
	first := func(x time.Time) {
		if !x.IsZero() && (at.IsZero() || x.Before(at)) {
			at = x
		}
	}
	for _, t := range m.tasks {
		first(t.until)
		if t.again.IsZero() {
			first(t.deadline)
		} else {
			first(t.again)
		}
	}
	return at
}

// Tick does what is due by the clock among what is under way.
func (m *Replica) Tick(now time.Time) {
	m.keepTime(now)
	for _, number := range m.taskNumbers() {
		t := m.tasks[number]
		if t == nil { // another one has ended it
			continue
		}
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

// taskNumbers are the tasks in the order in which they began.
func (m *Replica) taskNumbers() []uint64 { return slices.Sorted(maps.Keys(m.tasks)) }
