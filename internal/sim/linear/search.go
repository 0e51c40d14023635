package linear

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// never is the return of an operation with an unknown outcome.
const never = time.Duration(math.MaxInt64)

// search looks for a linearization of the operations of one item, depth first.
type search struct {
	operations        []Operation // ordered by call
	maxConfigurations int
	visited           int
	seen              map[string]struct{} // keys of the configurations that were visited
	linearization     []Operation         // the one that was found
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

// configuration is the set of the operations that have been linearized, and the register that they leave.
type configuration struct {
	linearized operationSet
	register   Value
	last       *linearizedOperation
}

// linearizedOperation is an element of the linked list of linearized operations, which configurations share.
type linearizedOperation struct {
	previous *linearizedOperation
	index    int
}

// linearize appends an operation to the linearization.
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
		if _, known := s.seen[key]; known {
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

// linearizeWithoutEffect linearizes all operations that are allowed now and leave the register as it is. This loses no
// linearization: wherever such an operation comes in one, it can be moved here, because it is in no other operation's
// way here and, as versions only increase, had no effect there either.
func (s *search) linearizeWithoutEffect(c *configuration) {
	for again := true; again; {
		again = false
		for _, i := range s.candidates(c) {
			if s.operations[i].effectOn(c.register) == noEffect {
				c.linearize(i)
				again = true
			}
		}
	}
}

// candidates returns the operations that may come next: those that were called before any operation that has not been
// linearized yet returned.
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

// isDeadEnd reports whether an operation is left that is not allowed from now on.
func (s *search) isDeadEnd(c *configuration) bool {
	for i := c.linearized.prefix; i < len(s.operations); i++ {
		if !c.linearized.has(i) && s.operations[i].isImpossibleAfter(c.register) {
			return true
		}
	}
	return false
}

// expand pushes a configuration for each write that may take effect next. The one with the lowest version comes out
// first, because it leaves the most choices.
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

// linearizationOf returns the operations of a linked list, first operation first.
func (s *search) linearizationOf(last *linearizedOperation) (operations []Operation) {
	for ; last != nil; last = last.previous {
		operations = append(operations, s.operations[last.index])
	}
	slices.Reverse(operations)
	return operations
}
