package explore

import (
	"hash/maphash"
	"slices"
	"sync"
)

const (
	// workers is the number of goroutines that expand states. It does not affect the result.
	workers = 4
	// batchSize is the number of states that a worker expands at a time. It limits the memory for reached states.
	batchSize = 4096
)

// search is a breadth-first search. It stores only 64-bit hashes of the states that it has seen.
type search struct {
	models [workers]*model // one for each worker
	seed   maphash.Seed
	seen   map[uint64]struct{}
	visits []visit
	result Result
}

// visit records how a state was first reached. The first visit is that of the initial state.
type visit struct {
	predecessor uint32 // index of the predecessor's visit
	successor   uint16 // index among the successors of the predecessor
}

// queuedState is a state that is waiting to be expanded.
type queuedState struct {
	state state
	index uint32 // index of its visit
}

// reachedState is a state that a worker has reached, with the violation of an invariant if there is one.
type reachedState struct {
	hash       uint64
	state      state
	visit      visit
	violation  string
	finalSteps []Step // steps of the trace that follow the state
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
	for i, spec := range m.roundSpecs[:m.exploredRounds] {
		if round := reached.rounds[i]; round.chosen && spec.key == ItemKey {
			s.result.Acknowledged[round.epoch]++
		}
	}
}

// expand distributes the states of a batch among the workers and returns the states that they reach, ordered by worker.
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

// expandPart expands one worker's part of a batch. It runs concurrently with the other workers, so it only reads
// s.seen.
func (s *search) expandPart(m *model, part []queuedState) (reached []reachedState) {
	seenInPart := map[uint64]struct{}{}
	var successors []successor
	for i := range part {
		successors = m.successors(&part[i].state, successors[:0])
		for k := range successors {
			next := &successors[k].state
			hash := s.hash(m, next)
			_, seenBefore := s.seen[hash]
			_, repeated := seenInPart[hash]
			if seenBefore || repeated {
				continue
			}
			seenInPart[hash] = struct{}{}
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

// trace returns the steps from the initial state to the state of a visit.
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

// hash returns the hash of a state. If the first two members are in the same configurations, two states that differ
// only by swapping these members have the same hash.
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
		s.rounds[i].acceptedBy = swapBits(s.rounds[i].acceptedBy)
		s.rounds[i].promisedBy = swapBits(s.rounds[i].promisedBy)
	}
	if s.reader.epoch != 0 && s.reader.source < 2 {
		s.reader.source = 1 - s.reader.source
	}
	return s
}

// swapBits swaps the bits of the first two members.
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
