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
	Item   string
	Order  []Operation // an order of what was answered before the misfit; orders that had no answer yet may be among it
	Held   Value       // what that order leaves
	Misfit Operation
}

// shownOperations is how many operations of an order an explanation shows at most: the last ones tell the most.
const shownOperations = 20

func (v Violation) String() string {
	var out strings.Builder
	fmt.Fprintf(&out, "%s: does not fit: %s\n  before it, one order that fits:", v.Item, v.Misfit)
	shown := v.Order
	if len(shown) > shownOperations {
		fmt.Fprintf(&out, "\n    (%d more)", len(shown)-shownOperations)
		shown = shown[len(shown)-shownOperations:]
	}
	for _, o := range shown {
		out.WriteString("\n    " + o.String())
	}
	fmt.Fprintf(&out, "\n  which leaves %s", v.Held)
	return out.String()
}

// explain finds the first answer with which a history is no longer linearizable.
func explain(operations []Operation, limit int) Violation {
	answered := slices.DeleteFunc(slices.Clone(operations), func(o Operation) bool { return o.Outcome == Unknown })
	slices.SortStableFunc(answered, func(a, b Operation) int { return cmp.Compare(a.End, b.End) })
	// What is linearizable stays so when answers are left out. An undecided part passes for linearizable.
	fitting := sort.Search(len(answered), func(count int) bool {
		return newSearch(until(operations, answered, count+1), limit).run() == Violated
	})
	fitting = min(fitting, len(answered)-1)
	s := newSearch(until(operations, answered, fitting), limit)
	s.run()
	v := Violation{Item: operations[0].Item, Order: s.order, Misfit: answered[fitting]}
	for i := range s.order {
		if s.order[i].at(v.Held) == changes {
			v.Held = s.order[i].Value
		}
	}
	return v
}

// until is a history as it was after so many answers: what was called by then and answered later has no answer yet.
func until(operations, answered []Operation, count int) (out []Operation) {
	out = slices.Clone(answered[:count])
	if count == 0 {
		return out
	}
	moment := answered[count-1].End
	for _, o := range answered[count:] {
		o.Outcome = Unknown
		if o.Begin <= moment {
			out = append(out, o)
		}
	}
	for _, o := range operations {
		if o.Outcome == Unknown && o.Begin <= moment {
			out = append(out, o)
		}
	}
	return out
}
