package linear

import "strings"

// DefaultMaxConfigurations is the default limit on the configurations that are visited for an item. A search takes some
// seconds to reach it.
const DefaultMaxConfigurations = 1_000_000

// Verdict is the outcome of a check.
type Verdict int

// The verdicts.
const (
	Linearizable Verdict = iota
	NotLinearizable
	Undecided // the limit on configurations was reached
)

func (v Verdict) String() string {
	return [...]string{"linearizable", "not linearizable", "undecided"}[v]
}

// Result is the outcome of a check with its details. The verdict is NotLinearizable if any item is not linearizable,
// and otherwise Undecided if any item is undecided.
type Result struct {
	Verdict        Verdict
	Items          int
	Operations     int // reads with an unknown outcome are not counted
	Configurations int // number of visited configurations
	Violations     []Violation
	Undecided      []string // items whose search reached the limit
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

// Check checks whether a history is linearizable. It visits at most maxConfigurations configurations for each item, or
// DefaultMaxConfigurations if that is 0. It returns ErrInvalidHistory for a history that cannot occur.
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
		result.checkItem(operations, maxConfigurations)
	}
	switch {
	case len(result.Violations) > 0:
		result.Verdict = NotLinearizable
	case len(result.Undecided) > 0:
		result.Verdict = Undecided
	}
	return result, nil
}

// checkItem checks the operations of one item and adds the outcome to the result.
func (r *Result) checkItem(operations []Operation, maxConfigurations int) {
	s := newSearch(operations, maxConfigurations)
	verdict := s.run()
	r.Items++
	r.Operations += len(s.operations)
	r.Configurations += s.visited
	switch verdict {
	case NotLinearizable:
		r.Violations = append(r.Violations, findViolation(operations, maxConfigurations))
	case Undecided:
		r.Undecided = append(r.Undecided, operations[0].Item)
	}
}

// groupByItem groups the operations by item, in the order in which the items first occur.
func groupByItem(history []Operation) (groups [][]Operation) {
	indexes := map[string]int{}
	for _, o := range history {
		i, found := indexes[o.Item]
		if !found {
			i = len(groups)
			indexes[o.Item] = i
			groups = append(groups, nil)
		}
		groups[i] = append(groups[i], o)
	}
	return groups
}
