package replica

import (
	"slices"
	"time"

	"sagelever/internal/control/quorum"
)

func (m *Replica) hearRead(now time.Time, t *task, from Member, r *Reply) {
	if t.heard[from.Node] || !r.OK {
		return
	}
	whole := func(now time.Time) {
		t.heard[from.Node] = true
		if len(t.heard) >= m.standing.set.Lose {
			m.read(now, t)
		}
	}
	if len(t.only) > 0 {
		m.learnFor(now, t, r.Held, whole)
		return
	}
	m.compared(now, t, from, ReadPath, r, whole)
}

// read ends a read, once what it tells is chosen.
func (m *Replica) read(now time.Time, t *task) {
	if m.sealed() { // this member's own word does not count any more
		m.pause(now, t)
		return
	}
	t.kind, t.keys, t.decide, t.values = settling, nil, keep, map[string]quorum.Value{}
	for _, e := range m.toRead(t) {
		if e.Chosen {
			t.values[e.Key] = e.Value
		} else {
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

// toRead is what this member holds of what a read is about.
func (m *Replica) toRead(t *task) []quorum.Entry {
	if len(t.only) > 0 {
		return m.named(t.only)
	}
	return m.registers(t.prefix)
}

// named is what this member holds of some registers.
func (m *Replica) named(keys []string) []quorum.Entry {
	var held []quorum.Entry
	for _, key := range keys {
		if e := m.acceptor.Get(key); e.Accepted != (quorum.Ballot{}) {
			held = append(held, e)
		}
	}
	return held
}
