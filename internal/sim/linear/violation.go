package linear

import (
	"cmp"
	"fmt"
	"slices"
	"sort"
	"strings"
)

// Violation explains why the history of an item is not linearizable. The history is linearizable up to the return of
// the conflicting operation, but not if it includes that return.
type Violation struct {
	Item string
	// Linearization is a linearization of the history up to the return of the conflicting operation. It may include
	// writes that had not returned by then.
	Linearization []Operation
	// Register is the value of the register after the linearization.
	Register    Value
	Conflicting Operation
}

// maxShownOperations limits how many operations of a linearization are printed. The last ones are printed, because they
// are the closest to the conflict.
const maxShownOperations = 20

func (v Violation) String() string {
	var out strings.Builder
	fmt.Fprintf(&out, "%s: conflicting operation: %s\n  a linearization before it:", v.Item, v.Conflicting)
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

// findViolation finds the first return that makes a history non-linearizable.
func findViolation(operations []Operation, maxConfigurations int) Violation {
	returned := slices.DeleteFunc(slices.Clone(operations), func(o Operation) bool { return o.Outcome == Unknown })
	slices.SortStableFunc(returned, func(a, b Operation) int { return cmp.Compare(a.Return, b.Return) })
	// A linearizable history remains linearizable if returns are removed, so a binary search is valid. A part of the
	// history for which the search is undecided counts as linearizable.
	conflicting := sort.Search(len(returned), func(count int) bool {
		return newSearch(historyUntil(operations, returned, count+1), maxConfigurations).run() == NotLinearizable
	})
	conflicting = min(conflicting, len(returned)-1)
	s := newSearch(historyUntil(operations, returned, conflicting), maxConfigurations)
	s.run()
	v := Violation{Item: operations[0].Item, Linearization: s.linearization, Conflicting: returned[conflicting]}
	for i := range s.linearization {
		if s.linearization[i].effectOn(v.Register) == setsRegister {
			v.Register = s.linearization[i].Value
		}
	}
	return v
}

// historyUntil returns the history as of the first count returns. Operations that were called by then but returned
// later have an unknown outcome.
func historyUntil(operations, returned []Operation, count int) (history []Operation) {
	history = slices.Clone(returned[:count])
	if count == 0 {
		return history
	}
	end := returned[count-1].Return
	for _, o := range returned[count:] {
		o.Outcome = Unknown
		if o.Call <= end {
			history = append(history, o)
		}
	}
	for _, o := range operations {
		if o.Outcome == Unknown && o.Call <= end {
			history = append(history, o)
		}
	}
	return history
}
