package explore

import (
	"fmt"
	"hash/maphash"
	"strings"
)

// Result is what an exploration came to.
type Result struct {
	States   int
	Complete bool // every state within the bounds was looked at
	Broken   string
	Trace    []Step // the shortest way to what is broken
}

func (r Result) String() string {
	if r.Broken == "" {
		return fmt.Sprintf("%d states, complete: %t, nothing broken", r.States, r.Complete)
	}
	var out strings.Builder
	fmt.Fprintf(&out, "%d states: %s", r.States, r.Broken)
	for i, s := range r.Trace {
		fmt.Fprintf(&out, "\n%3d. %s", i+1, s)
	}
	return out.String()
}

// visit is how a state was first reached: the state before, and which of its successors it is.
type visit struct {
	before    uint32
	successor uint16
}

// queued is a state whose successors are still to be looked at.
type queued struct {
	state state
	at    uint32
}

// search goes through the states breadth first. Those that were seen are kept as hashes of 64 bits.
type search struct {
	model  *model
	seed   maphash.Seed
	seen   map[uint64]struct{}
	visits []visit
}

// Explore looks at every state within the bounds, until one breaks something.
func Explore(b Bounds, fault Fault, restore Restore) (Result, error) {
	m, err := newModel(b, fault, restore)
	if err != nil {
		return Result{}, err
	}
	s := &search{model: m, seed: maphash.MakeSeed(), seen: map[uint64]struct{}{}}
	first := m.initial()
	s.enter(&first, visit{})
	return s.run([]queued{{first, 0}}), nil
}

func (s *search) run(level []queued) Result {
	for len(level) > 0 {
		var next []queued
		for i := range level {
			q := &level[i]
			for k, x := range s.model.successors(&q.state) {
				if !s.enter(&x.state, visit{q.at, uint16(k)}) {
					continue
				}
				at := uint32(len(s.visits) - 1)
				if result, found := s.check(&x.state, at); found {
					return result
				}
				if len(s.visits) >= s.model.bounds.MaxStates {
					return Result{States: len(s.visits)}
				}
				next = append(next, queued{x.state, at})
			}
		}
		level = next
	}
	return Result{States: len(s.visits), Complete: true}
}

// enter notes a state, and tells whether it is new.
func (s *search) enter(x *state, v visit) bool {
	hash := s.hash(x)
	if _, seen := s.seen[hash]; seen {
		return false
	}
	s.seen[hash] = struct{}{}
	s.visits = append(s.visits, v)
	return true
}

func (s *search) check(x *state, at uint32) (Result, bool) {
	if text := s.model.broken(x); text != "" {
		return Result{States: len(s.visits), Broken: text, Trace: s.trace(at)}, true
	}
	if text, last := s.model.brokenLateRead(x); text != "" {
		return Result{States: len(s.visits), Broken: text, Trace: append(s.trace(at), last)}, true
	}
	return Result{}, false
}

// trace plays the way to a state again.
func (s *search) trace(at uint32) []Step {
	var way []uint16
	for ; at != 0; at = s.visits[at].before {
		way = append(way, s.visits[at].successor)
	}
	x := s.model.initial()
	var out []Step
	for i := len(way) - 1; i >= 0; i-- {
		next := s.model.successors(&x)[way[i]]
		x, out = next.state, append(out, next.step)
	}
	return out
}

// hash is the same for states that differ only by which of two members with one part in every set is which.
func (s *search) hash(x *state) uint64 {
	hash := maphash.Comparable(s.seed, *x)
	if !s.model.twins() {
		return hash
	}
	other := swapped(*x)
	return min(hash, maphash.Comparable(s.seed, other))
}

// twins tells whether the first two members have the same part in every set.
func (m *model) twins() bool {
	for _, set := range m.bounds.Sets {
		if mask := set.mask(); mask&1 != mask>>1&1 {
			return false
		}
	}
	return true
}

func swapped(x state) state {
	x.members[0], x.members[1] = x.members[1], x.members[0]
	for i := range x.rounds {
		x.rounds[i].accepted = swapBits(x.rounds[i].accepted)
		x.rounds[i].toldBy = swapBits(x.rounds[i].toldBy)
	}
	if x.reader.epoch != 0 && x.reader.from < 2 {
		x.reader.from = 1 - x.reader.from
	}
	return x
}

func swapBits(mask uint8) uint8 { return mask&^3 | mask&1<<1 | mask>>1&1 }
