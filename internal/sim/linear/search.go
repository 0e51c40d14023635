package linear

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// never is the return time of an operation with an unknown outcome.
const never = time.Duration(math.MaxInt64)

// search is a depth-first search for a linearization of the operations of one item.
type search struct {
	operations        []Operation // ordered by call
	maxConfigurations int
	visited           int
	seen              map[string]struct{} // keys of the visited configurations
	linearization     []Operation         // set if the verdict is Linearizable
}

func newSearch(operations []Operation, maxConfigurations int) *search {
	s := &search{maxConfigurations: maxConfigurations, seen: map[string]struct{}{}}
	for _, o := range operations {
		if o.Outcome == Unknown {
			if o.Kind == Read {
				continue
			}
			o.Return = never
		}
		s.operations = append(s.operations, o)
	}
	slices.SortStableFunc(s.operations, func(a, b Operation) int { return cmp.Compare(a.Call, b.Call) })
	return s
}

// configuration is the set of linearized operations and the register value that results from them.
type configuration struct {
	linearized operationSet
	register   Value
	last       *linearizedOperation // the most recently linearized one
}

// linearizedOperation is an element of a linked list of linearized operations. Configurations share parts of the list.
type linearizedOperation struct {
	previous *linearizedOperation
	index    int
}

// linearize appends the operation at index to the linearization.
func (c *configuration) linearize(index int) {
	c.linearized.add(index)
	c.last = &linearizedOperation{previous: c.last, index: index}
}

func (s *search) run() Verdict {
	stack := []configuration{{linearized: newOperationSet(len(s.operations))}}
	for len(stack) > 0 {
		c := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		s.visited++
		if s.visited > s.maxConfigurations {
			return Undecided
		}
		s.linearizeWithoutEffect(&c)
		key := c.linearized.key(c.register)
		if _, found := s.seen[key]; found {
			continue
		}
		s.seen[key] = struct{}{}
		if s.isComplete(&c) {
			s.linearization = s.linearizationOf(c.last)
			return Linearizable
		}
		if !s.isDeadEnd(&c) {
			stack = s.expand(&c, stack)
		}
	}
	return NotLinearizable
}

// linearizeWithoutEffect linearizes all operations that may come next and leave the register unchanged. The search
// stays complete: in any linearization, such an operation can be moved to this point. It does not constrain the other
// operations here and, since versions only increase, it had no effect at its original position either.
func (s *search) linearizeWithoutEffect(c *configuration) {
	for changed := true; changed; {
		changed = false
		for _, i := range s.candidates(c) {
			if s.operations[i].effectOn(c.register) == noEffect {
				c.linearize(i)
				changed = true
			}
		}
	}
}

// candidates returns the operations that may come next: those that were called no later than the earliest return among
// the operations that are not linearized yet.
func (s *search) candidates(c *configuration) (indexes []int) {
	firstReturn := never
	for i := c.linearized.prefix; i < len(s.operations); i++ {
		if s.operations[i].Call > firstReturn {
			break
		}
		if c.linearized.has(i) {
			continue
		}
		indexes = append(indexes, i)
		firstReturn = min(firstReturn, s.operations[i].Return)
	}
	return indexes
}

// isComplete reports whether all operations with a known outcome are linearized.
func (s *search) isComplete(c *configuration) bool {
	for i := c.linearized.prefix; i < len(s.operations); i++ {
		if !c.linearized.has(i) && s.operations[i].Outcome != Unknown {
			return false
		}
	}
	return true
}

// isDeadEnd reports whether one of the remaining operations can no longer be linearized.
func (s *search) isDeadEnd(c *configuration) bool {
	for i := c.linearized.prefix; i < len(s.operations); i++ {
		if !c.linearized.has(i) && s.operations[i].isImpossibleAfter(c.register) {
			return true
		}
	}
	return false
}

// expand pushes a configuration for each write that may take effect next. The write with the lowest version is pushed
// last and so visited first, because it leaves the most choices.
func (s *search) expand(c *configuration, stack []configuration) []configuration {
	var writes []int
	for _, i := range s.candidates(c) {
		if s.operations[i].effectOn(c.register) == setsRegister {
			writes = append(writes, i)
		}
	}
	slices.SortStableFunc(writes, func(a, b int) int {
		return cmp.Compare(s.operations[b].Value.Version, s.operations[a].Value.Version)
	})
	for _, i := range writes {
		next := configuration{linearized: c.linearized.clone(), register: s.operations[i].Value, last: c.last}
		next.linearize(i)
		stack = append(stack, next)
	}
	return stack
}

// linearizationOf returns the operations of a linked list in the order in which they were linearized.
func (s *search) linearizationOf(last *linearizedOperation) (operations []Operation) {
	for ; last != nil; last = last.previous {
		operations = append(operations, s.operations[last.index])
	}
	slices.Reverse(operations)
	return operations
}
