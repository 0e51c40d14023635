package explore

import (
	"hash/maphash"
	"slices"
	"sync"
)

const (
	// workers is the number of goroutines that expand states. The result does not depend on it.
	workers = 4
	// batchSize is how many states a worker expands at a time, which bounds the memory.
	batchSize = 4096
)

// search is a breadth-first search. States that have been seen are kept as 64-bit hashes only.
type search struct {
	models [workers]*model // one of each worker
	seed   maphash.Seed
	seen   map[uint64]struct{}
	visits []visit
	result Result
}

// visit is how a state was first reached. The initial state is the first one.
type visit struct {
	predecessor uint32 // index of its visit
	successor   uint16 // index among the successors of the predecessor
}

// queuedState is a state that is to be expanded.
type queuedState struct {
	state state
	index uint32 // of its visit
}

// reachedState is a state that a worker has reached.
type reachedState struct {
	hash       uint64
	state      state
	visit      visit
	violation  string
	finalSteps []Step // of the trace, after the state
}

func (s *search) run(level []queuedState) Result {
	for len(level) > 0 {
		var next []queuedState
		for batch := range slices.Chunk(level, workers*batchSize) {
			for _, reached := range s.expand(batch) {
				if !s.addIfNew(reached.hash, reached.visit) {
					continue
				}
				index := uint32(len(s.visits) - 1)
				s.countState(&reached.state)
				if reached.violation != "" {
					s.result.Violation = reached.violation
					s.result.Trace = append(s.trace(index), reached.finalSteps...)
					return s.result
				}
				next = append(next, queuedState{state: reached.state, index: index})
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

func (s *search) countState(reached *state) {
	s.result.States = len(s.visits)
	m := s.models[0]
	for i, spec := range m.roundSpecs[:m.stepRounds] {
		if round := reached.rounds[i]; round.chosen && spec.key == ItemKey {
			s.result.Acknowledged[round.epoch]++
		}
	}
}

// expand lets the workers expand the states of a batch.
func (s *search) expand(batch []queuedState) []reachedState {
	var reached [workers][]reachedState
	var group sync.WaitGroup
	share := (len(batch) + workers - 1) / workers
	for i, m := range s.models {
		part := batch[min(len(batch), i*share):min(len(batch), (i+1)*share)]
		group.Go(func() { reached[i] = s.expandPart(m, part) })
	}
	group.Wait()
	return slices.Concat(reached[:]...)
}

// expandPart expands the part of a worker. It only reads what has been seen before.
func (s *search) expandPart(m *model, part []queuedState) (reached []reachedState) {
	seenHere := map[uint64]struct{}{}
	var successors []successor
	for i := range part {
		successors = m.successors(&part[i].state, successors[:0])
		for k := range successors {
			next := &successors[k].state
			hash := s.hash(m, next)
			_, seenBefore := s.seen[hash]
			_, seenAgain := seenHere[hash]
			if seenBefore || seenAgain {
				continue
			}
			seenHere[hash] = struct{}{}
			violation := m.violation(next)
			var finalSteps []Step
			if violation == "" {
				violation, finalSteps = m.staleSlowRead(next)
			}
			reached = append(reached, reachedState{
				hash:       hash,
				state:      *next,
				visit:      visit{predecessor: part[i].index, successor: uint16(k)},
				violation:  violation,
				finalSteps: finalSteps,
			})
		}
	}
	return reached
}

// addIfNew records a visit, and reports whether the state is new.
func (s *search) addIfNew(hash uint64, v visit) bool {
	if _, seen := s.seen[hash]; seen {
		return false
	}
	s.seen[hash] = struct{}{}
	s.visits = append(s.visits, v)
	return true
}

// trace returns the steps from the initial state to that of a visit.
func (s *search) trace(index uint32) (steps []Step) {
	var path []uint16
	for ; index != 0; index = s.visits[index].predecessor {
		path = append(path, s.visits[index].successor)
	}
	m := s.models[0]
	current := m.initial()
	for _, successor := range slices.Backward(path) {
		next := m.successors(&current, nil)[successor]
		steps = append(steps, next.step)
		current = next.state
	}
	return steps
}

// hash returns the hash of a state. If the first two members are in the same configurations, it is the same for two
// states that differ only in which of them is which.
func (s *search) hash(m *model, current *state) uint64 {
	hash := maphash.Comparable(s.seed, *current)
	if !m.symmetric {
		return hash
	}
	swapped := swapMembers(*current)
	return min(hash, maphash.Comparable(s.seed, swapped))
}

// swapMembers swaps the first two members.
func swapMembers(s state) state {
	s.members[0], s.members[1] = s.members[1], s.members[0]
	for i := range s.rounds {
		s.rounds[i].accepted = swapBits(s.rounds[i].accepted)
		s.rounds[i].promisedBy = swapBits(s.rounds[i].promisedBy)
	}
	if s.reader.epoch != 0 && s.reader.source < 2 {
		s.reader.source = 1 - s.reader.source
	}
	return s
}

func swapBits(mask memberMask) memberMask {
	swapped := mask &^ 3
	if mask.has(0) {
		swapped = swapped.with(1)
	}
	if mask.has(1) {
		swapped = swapped.with(0)
	}
	return swapped
}
