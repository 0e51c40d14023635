package linear

import (
	"cmp"
	"fmt"
	"slices"
	"sort"
	"strings"
)

// Violation explains why an item's history is not linearizable: up to the answer of the misfit it is, with it it is not.
type Violation struct {
	Item          string
	Linearization []Operation // an order of what was answered before the misfit; orders that had no answer yet may be among it
	Register      Value       // what that order leaves
	Conflicting   Operation
}

// maxShownOperations is how many operations of an order an explanation shows at most: the last ones tell the most.
const maxShownOperations = 20

func (v Violation) String() string {
	var out strings.Builder
	fmt.Fprintf(&out, "%s: does not fit: %s\n  before it, one order that fits:", v.Item, v.Conflicting)
	shown := v.Linearization
	if len(shown) > maxShownOperations {
		fmt.Fprintf(&out, "\n    (%d more)", len(shown)-maxShownOperations)
		shown = shown[len(shown)-maxShownOperations:]
	}
	for _, o := range shown {
		out.WriteString("\n    " + o.String())
	}
	fmt.Fprintf(&out, "\n  which leaves %s", v.Register)
	return out.String()
}

// findViolation finds the first answer with which a history is no longer linearizable.
func findViolation(operations []Operation, limit int) Violation {
	answered := slices.DeleteFunc(slices.Clone(operations), func(o Operation) bool { return o.Outcome == Unknown })
	slices.SortStableFunc(answered, func(a, b Operation) int { return cmp.Compare(a.Return, b.Return) })
	// What is linearizable stays so when answers are left out. An undecided part passes for linearizable.
	fitting := sort.Search(len(answered), func(count int) bool {
		return newSearch(historyUntil(operations, answered, count+1), limit).run() == NotLinearizable
	})
	fitting = min(fitting, len(answered)-1)
	s := newSearch(historyUntil(operations, answered, fitting), limit)
	s.run()
	v := Violation{Item: operations[0].Item, Linearization: s.linearization, Conflicting: answered[fitting]}
	for i := range s.linearization {
		if s.linearization[i].effectOn(v.Register) == setsRegister {
			v.Register = s.linearization[i].Value
		}
	}
	return v
}

// historyUntil is a history as it was after so many answers: what was called by then and answered later has no answer yet.
func historyUntil(operations, answered []Operation, count int) (out []Operation) {
	out = slices.Clone(answered[:count])
	if count == 0 {
		return out
	}
	moment := answered[count-1].Return
	for _, o := range answered[count:] {
		o.Outcome = Unknown
		if o.Call <= moment {
			out = append(out, o)
		}
	}
	for _, o := range operations {
		if o.Outcome == Unknown && o.Call <= moment {
			out = append(out, o)
		}
	}
	return out
}
