package replica

import (
	"time"

	"sagelever/internal/control/quorum"
	"sagelever/internal/control/rangesync"
)

// entryText bounds the bytes of a register in a message beside its key, note and body: names of fields, ballots, numbers.
const entryText = 256

// compare answers for the ranges of registers that another replica asks about: that it holds the same, or what it lacks, as
// far as one message goes. Registers change only to what is newer, so that a comparison misses nothing that was held when it
// began.
func (m *Replica) compare(a *Ask, r *Reply) {
	if a.Ranges == nil {
		r.OK = false
		return
	}
	answerer := rangesync.Answerer{Index: m.acceptor.Index(), Limits: rangesync.DefaultLimits, Size: m.entrySize}
	answer, err := answerer.Answer(a.Ranges)
	if err != nil { // no correct replica asks so
		r.OK = false
		return
	}
	r.Ranges = answer
	for _, key := range answer.Keys {
		r.Held = append(r.Held, m.acceptor.Get(key))
	}
}

// escaped is by how many times a text may grow in a message.
const escaped = 6

// entrySize bounds the bytes of a register in a message.
func (m *Replica) entrySize(key string) int {
	e := m.acceptor.Get(key)
	texts := len(key) + len(e.Value.Body) + len(e.Value.Note) + len(e.Promised.Who) + len(e.Accepted.Who)
	return entryText + escaped*texts
}

// compareWith begins to compare ranges of registers with some other replicas: the first request is the same for all.
func (m *Replica) compareWith(t *task, others []Member, r rangesync.Range) *rangesync.Request {
	m.number++
	t.sessions = map[Member]*rangesync.Session{}
	var first *rangesync.Request
	for _, x := range others {
		s := rangesync.NewSession(m.number, m.acceptor.Index(), r, rangesync.DefaultLimits)
		t.sessions[x] = s
		first = s.Next()
	}
	return first
}

// compared takes an answer to a comparison, learns what it brings, and asks on; then is called once all is held that the other
// held when the comparison began, and is on the disk as far as it came by it.
func (m *Replica) compared(now time.Time, t *task, from Member, path string, r *Reply, then func(now time.Time)) {
	session := t.sessions[from]
	if session == nil || r.Ranges == nil {
		return
	}
	m.learnFor(now, t, r.Held, func(now time.Time) {
		if session.Answered(r.Ranges) != nil {
			return // malformed: the other is passed over
		}
		for next := session.Next(); next != nil; next = session.Next() {
			m.askMore(t, from, path, m.rangesAsk(path, next))
		}
		if session.Done() {
			delete(t.sessions, from)
			then(now)
		}
	})
}

func (m *Replica) rangesAsk(path string, ranges *rangesync.Request) *Ask {
	a := &Ask{Epoch: m.standing.set.Epoch, Ranges: ranges}
	if path == StatePath {
		a.Set = m.standing.entry()
	}
	return a
}

// registers are those that hold something and whose keys begin so.
func (m *Replica) registers(prefix string) []quorum.Entry { return m.acceptor.Below(prefix) }
