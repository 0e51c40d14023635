package linear

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"
)

// DefaultMaxConfigurations is how many configurations are looked at for an item: some seconds at most.
const DefaultMaxConfigurations = 1_000_000

// Verdict is what a check came to.
type Verdict int

// The verdicts.
const (
	Linearizable Verdict = iota
	NotLinearizable
	Undecided // the bound was reached before an order was found or all were ruled out
)

func (v Verdict) String() string {
	return [...]string{"linearizable", "not linearizable", "undecided"}[v]
}

// Result is what a check of a history came to: violated if one item is, else undecided if one item is.
type Result struct {
	Verdict        Verdict
	Items          int
	Operations     int // those that count: reads without an answer do not
	Configurations int
	Violations     []Violation
	Undecided      []string // items
}

func (r Result) String() string {
	var out strings.Builder
	out.WriteString(r.Verdict.String())
	for _, v := range r.Violations {
		out.WriteString("\n" + v.String())
	}
	if len(r.Undecided) > 0 {
		out.WriteString("\nundecided: " + strings.Join(r.Undecided, ", "))
	}
	return out.String()
}

// Check tells whether a history is linearizable. For each item at most so many configurations are looked at; 0 stands for
// DefaultMaxConfigurations.
func Check(history []Operation, maxConfigurations int) (Result, error) {
	if maxConfigurations == 0 {
		maxConfigurations = DefaultMaxConfigurations
	}
	var result Result
	for _, operations := range groupByItem(history) {
		for _, o := range operations {
			if err := o.validate(); err != nil {
				return Result{}, err
			}
		}
		s := newSearch(operations, maxConfigurations)
		verdict := s.run()
		result.Items++
		result.Operations += len(s.operations)
		result.Configurations += s.visited
		switch verdict {
		case NotLinearizable:
			result.Violations = append(result.Violations, findViolation(operations, maxConfigurations))
		case Undecided:
			result.Undecided = append(result.Undecided, operations[0].Item)
		}
	}
	switch {
	case len(result.Violations) > 0:
		result.Verdict = NotLinearizable
	case len(result.Undecided) > 0:
		result.Verdict = Undecided
	}
	return result, nil
}

// groupByItem parts a history; the items come in the order in which they were first called.
func groupByItem(history []Operation) (out [][]Operation) {
	at := map[string]int{}
	for _, o := range history {
		i, known := at[o.Item]
		if !known {
			i, at[o.Item] = len(out), len(out)
			out = append(out, nil)
		}
		out[i] = append(out[i], o)
	}
	return out
}

// indefinitely is after each answer.
const indefinitely = time.Duration(math.MaxInt64)

// search looks for an order of one item's operations.
type search struct {
	operations        []Operation // by their calls
	maxConfigurations int
	visited           int
	seen              map[string]struct{}
	linearization     []Operation // of the operations in the linearization that was found
}

func newSearch(operations []Operation, limit int) *search {
	s := &search{maxConfigurations: limit, seen: map[string]struct{}{}}
	for _, o := range operations {
		if o.Outcome == Unknown {
			if o.Kind == Read {
				continue
			}
			o.Return = indefinitely
		}
		s.operations = append(s.operations, o)
	}
	slices.SortStableFunc(s.operations, func(a, b Operation) int { return cmp.Compare(a.Call, b.Call) })
	return s
}

// linearizedOperation is one operation with its place, and those before it.
type linearizedOperation struct {
	previous  *linearizedOperation
	operation int
}

// configuration is which operations have their place, and what is held after them.
type configuration struct {
	linearized operationSet
	register   Value
	last       *linearizedOperation
}

func (s *search) run() Verdict {
	stack := []configuration{{linearized: newOperationSet(len(s.operations))}}
	for len(stack) > 0 {
		c := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		if s.visited++; s.visited > s.maxConfigurations {
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

// linearizeWithoutEffect places all that fits this moment and leaves the register as it is. Nothing is lost by it: moved here from a
// later moment, such an operation is in nobody's way, and as versions only rise it had no effect there either.
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

func (c *configuration) linearize(i int) {
	c.linearized.add(i)
	c.last = &linearizedOperation{c.last, i}
}

// candidates are the operations that may come next: those that were called before any that has no place yet was answered.
func (s *search) candidates(c *configuration) (out []int) {
	first := indefinitely
	for i := c.linearized.prefix; i < len(s.operations); i++ {
		if s.operations[i].Call > first {
			break
		}
		if c.linearized.has(i) {
			continue
		}
		out = append(out, i)
		first = min(first, s.operations[i].Return)
	}
	return out
}

// isComplete tells whether all that were answered have their place.
func (s *search) isComplete(c *configuration) bool {
	for i := c.linearized.prefix; i < len(s.operations); i++ {
		if !c.linearized.has(i) && s.operations[i].Outcome != Unknown {
			return false
		}
	}
	return true
}

// isDeadEnd tells whether an operation is left that fits no moment from here on.
func (s *search) isDeadEnd(c *configuration) bool {
	for i := c.linearized.prefix; i < len(s.operations); i++ {
		if !c.linearized.has(i) && s.operations[i].isImpossibleAfter(c.register) {
			return true
		}
	}
	return false
}

// expand adds a configuration for each order that may take effect next. The one with the lowest version is tried first: it
// leaves the most to come.
func (s *search) expand(c *configuration, stack []configuration) []configuration {
	var orders []int
	for _, i := range s.candidates(c) {
		if s.operations[i].effectOn(c.register) == setsRegister {
			orders = append(orders, i)
		}
	}
	slices.SortStableFunc(orders, func(a, b int) int {
		return cmp.Compare(s.operations[b].Value.Version, s.operations[a].Value.Version)
	})
	for _, i := range orders {
		after := configuration{linearized: c.linearized.clone(), register: s.operations[i].Value, last: c.last}
		after.linearize(i)
		stack = append(stack, after)
	}
	return stack
}

func (s *search) linearizationOf(last *linearizedOperation) (out []Operation) {
	for ; last != nil; last = last.previous {
		out = append(out, s.operations[last.operation])
	}
	slices.Reverse(out)
	return out
}
