package explore

import (
	"fmt"
	"hash/maphash"
	"slices"
	"strings"
	"sync"
)

// Result is what an exploration came to.
type Result struct {
	States   int
	Complete bool // every state within the bounds was looked at
	// Confirmed is in how many states a round on the item was chosen, by its epoch: what was never reached shows nothing.
	Confirmed [maxEpochs + 1]int
	Broken    string
	Trace     []Step // the shortest way to what is broken
}

func (r Result) String() string {
	if r.Broken == "" {
		return fmt.Sprintf("%d states, complete: %t, confirmed by epoch: %v, nothing broken", r.States, r.Complete, r.Confirmed[1:])
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

// workers look at states side by side; the outcome does not depend on how many there are.
const workers = 4

// batch is how many states a worker looks at before what it found is taken up: it bounds the memory.
const batch = 4096

// candidate is a state that a worker reached, and what it breaks.
type candidate struct {
	hash   uint64
	state  state
	visit  visit
	broken string
	last   []Step // of the trace, after the state
}

// search goes through the states breadth first. Those that were seen are kept as hashes of 64 bits.
type search struct {
	models [workers]*model
	seed   maphash.Seed
	seen   map[uint64]struct{}
	visits []visit
	result Result
}

// Explore looks at every state within the bounds, until one breaks something.
func Explore(b Bounds, fault Fault, restore Restore) (Result, error) {
	s := &search{seed: maphash.MakeSeed(), seen: map[uint64]struct{}{}}
	for i := range s.models {
		m, err := newModel(b, fault, restore)
		if err != nil {
			return Result{}, err
		}
		s.models[i] = m
	}
	first := s.models[0].initial()
	s.enter(s.hash(s.models[0], &first), visit{})
	return s.run([]queued{{first, 0}}), nil
}

func (s *search) run(level []queued) Result {
	for len(level) > 0 {
		var next []queued
		for from := 0; from < len(level); from += workers * batch {
			part := level[from:min(len(level), from+workers*batch)]
			for _, c := range s.reach(part) {
				if !s.enter(c.hash, c.visit) {
					continue
				}
				at := uint32(len(s.visits) - 1)
				s.count(&c.state)
				if c.broken != "" {
					s.result.Broken, s.result.Trace = c.broken, append(s.trace(at), c.last...)
					return s.result
				}
				next = append(next, queued{c.state, at})
			}
			if len(s.visits) >= s.models[0].bounds.MaxStates {
				return s.result
			}
		}
		level = next
	}
	s.result.Complete = true
	return s.result
}

func (s *search) count(x *state) {
	s.result.States = len(s.visits)
	m := s.models[0]
	for i, r := range m.rounds[:m.ordinary] {
		if x.rounds[i].chosen && r.key == ItemKey {
			s.result.Confirmed[x.rounds[i].epoch]++
		}
	}
}

// reach has the workers look at the successors of some states.
func (s *search) reach(part []queued) []candidate {
	var found [workers][]candidate
	var group sync.WaitGroup
	share := (len(part) + workers - 1) / workers
	for i, m := range s.models {
		own := part[min(len(part), i*share):min(len(part), (i+1)*share)]
		group.Go(func() { found[i] = s.reachAlone(m, own) })
	}
	group.Wait()
	return slices.Concat(found[:]...)
}

// reachAlone is one worker's share. It only reads what was seen.
func (s *search) reachAlone(m *model, part []queued) (out []candidate) {
	mine := map[uint64]struct{}{}
	var reached []successor
	for i := range part {
		reached = m.successors(&part[i].state, reached[:0])
		for k := range reached {
			x := &reached[k]
			hash := s.hash(m, &x.state)
			_, known := s.seen[hash]
			_, again := mine[hash]
			if known || again {
				continue
			}
			mine[hash] = struct{}{}
			c := candidate{hash: hash, state: x.state, visit: visit{part[i].at, uint16(k)}, broken: m.broken(&x.state)}
			if c.broken == "" {
				c.broken, c.last = m.brokenLateRead(&x.state)
			}
			out = append(out, c)
		}
	}
	return out
}

// enter notes a state, and tells whether it is new.
func (s *search) enter(hash uint64, v visit) bool {
	if _, seen := s.seen[hash]; seen {
		return false
	}
	s.seen[hash] = struct{}{}
	s.visits = append(s.visits, v)
	return true
}

// trace plays the way to a state again.
func (s *search) trace(at uint32) []Step {
	var way []uint16
	for ; at != 0; at = s.visits[at].before {
		way = append(way, s.visits[at].successor)
	}
	m := s.models[0]
	x := m.initial()
	var out []Step
	for i := len(way) - 1; i >= 0; i-- {
		next := m.successors(&x, nil)[way[i]]
		x, out = next.state, append(out, next.step)
	}
	return out
}

// hash is the same for states that differ only by which of two members with one part in every set is which.
func (s *search) hash(m *model, x *state) uint64 {
	hash := maphash.Comparable(s.seed, *x)
	if !m.twins {
		return hash
	}
	other := swapped(*x)
	return min(hash, maphash.Comparable(s.seed, other))
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
