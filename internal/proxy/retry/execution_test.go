package retry

import "testing"

// A request is NotExecuted only if all its attempts are, regardless of the order in which they are combined.
func TestCombine(t *testing.T) {
	all := []Execution{MaybeExecuted, NotExecuted, Executed}
	for _, a := range all {
		for _, b := range all {
			got := Combine(a, b)
			if (got == NotExecuted) != (a == NotExecuted && b == NotExecuted) || got != Combine(b, a) {
				t.Errorf("Combine(%v, %v) = %v", a, b, got)
			}
		}
	}
}
