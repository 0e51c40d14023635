package linear

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"
)

// DefaultConfigurations is how many configurations are looked at for an item: some seconds at most.
const DefaultConfigurations = 1_000_000

// Verdict is what a check came to.
type Verdict int

// The verdicts.
const (
	Linearizable Verdict = iota
	Violated
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
// DefaultConfigurations.
func Check(history []Operation, configurations int) (Result, error) {
	if configurations == 0 {
		configurations = DefaultConfigurations
	}
	var result Result
	for _, operations := range byItem(history) {
		for _, o := range operations {
			if err := o.validate(); err != nil {
				return Result{}, err
			}
		}
		s := newSearch(operations, configurations)
		verdict := s.run()
		result.Items++
		result.Operations += len(s.operations)
		result.Configurations += s.looked
		switch verdict {
		case Violated:
			result.Violations = append(result.Violations, explain(operations, configurations))
		case Undecided:
			result.Undecided = append(result.Undecided, operations[0].Item)
		}
	}
	switch {
	case len(result.Violations) > 0:
		result.Verdict = Violated
	case len(result.Undecided) > 0:
		result.Verdict = Undecided
	}
	return result, nil
}

// byItem parts a history; the items come in the order in which they were first called.
func byItem(history []Operation) (out [][]Operation) {
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

// forever is after each answer.
const forever = time.Duration(math.MaxInt64)

// search looks for an order of one item's operations.
type search struct {
	operations []Operation // by their calls
	limit      int
	looked     int
	tried      map[string]struct{}
	order      []Operation // of the operations in the linearization that was found
}

func newSearch(operations []Operation, limit int) *search {
	s := &search{limit: limit, tried: map[string]struct{}{}}
	for _, o := range operations {
		if o.Outcome == Unknown {
			if o.Kind == Read {
				continue
			}
			o.End = forever
		}
		s.operations = append(s.operations, o)
	}
	slices.SortStableFunc(s.operations, func(a, b Operation) int { return cmp.Compare(a.Begin, b.Begin) })
	return s
}

// placing is one operation with its place, and those before it.
type placing struct {
	before    *placing
	operation int
}

// configuration is which operations have their place, and what is held after them.
type configuration struct {
	placed placedSet
	held   Value
	last   *placing
}

func (s *search) run() Verdict {
	stack := []configuration{{placed: newPlacedSet(len(s.operations))}}
	for len(stack) > 0 {
		c := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		if s.looked++; s.looked > s.limit {
			return Undecided
		}
		s.placeIdle(&c)
		key := c.placed.key(c.held)
		if _, known := s.tried[key]; known {
			continue
		}
		s.tried[key] = struct{}{}
		if s.complete(&c) {
			s.order = s.orderOf(c.last)
			return Linearizable
		}
		if !s.hopeless(&c) {
			stack = s.branch(&c, stack)
		}
	}
	return Violated
}

// placeIdle places all that fits this moment and leaves the register as it is. Nothing is lost by it: moved here from a
// later moment, such an operation is in nobody's way, and as versions only rise it had no effect there either.
func (s *search) placeIdle(c *configuration) {
	for again := true; again; {
		again = false
		for _, i := range s.next(c) {
			if s.operations[i].at(c.held) == idle {
				c.place(i)
				again = true
			}
		}
	}
}

func (c *configuration) place(i int) {
	c.placed.add(i)
	c.last = &placing{c.last, i}
}

// next are the operations that may come next: those that were called before any that has no place yet was answered.
func (s *search) next(c *configuration) (out []int) {
	first := forever
	for i := c.placed.prefix; i < len(s.operations); i++ {
		if s.operations[i].Begin > first {
			break
		}
		if c.placed.has(i) {
			continue
		}
		out = append(out, i)
		first = min(first, s.operations[i].End)
	}
	return out
}

// complete tells whether all that were answered have their place.
func (s *search) complete(c *configuration) bool {
	for i := c.placed.prefix; i < len(s.operations); i++ {
		if !c.placed.has(i) && s.operations[i].Outcome != Unknown {
			return false
		}
	}
	return true
}

// hopeless tells whether an operation is left that fits no moment from here on.
func (s *search) hopeless(c *configuration) bool {
	for i := c.placed.prefix; i < len(s.operations); i++ {
		if !c.placed.has(i) && s.operations[i].never(c.held) {
			return true
		}
	}
	return false
}

// branch adds a configuration for each order that may take effect next. The one with the lowest version is tried first: it
// leaves the most to come.
func (s *search) branch(c *configuration, stack []configuration) []configuration {
	var orders []int
	for _, i := range s.next(c) {
		if s.operations[i].at(c.held) == changes {
			orders = append(orders, i)
		}
	}
	slices.SortStableFunc(orders, func(a, b int) int {
		return cmp.Compare(s.operations[b].Value.Version, s.operations[a].Value.Version)
	})
	for _, i := range orders {
		after := configuration{placed: c.placed.clone(), held: s.operations[i].Value, last: c.last}
		after.place(i)
		stack = append(stack, after)
	}
	return stack
}

func (s *search) orderOf(last *placing) (out []Operation) {
	for ; last != nil; last = last.before {
		out = append(out, s.operations[last.operation])
	}
	slices.Reverse(out)
	return out
}
