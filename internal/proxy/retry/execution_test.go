package retry

import "testing"

// A request is certainly not executed only if none of its sends was, in whatever order they are combined.
func TestCombine(t *testing.T) {
	all := []Execution{MaybeExecuted, NotExecuted, Executed}
	for _, a := range all {
		for _, b := range all {
			got := Combine(a, b)
			if (got == NotExecuted) != (a == NotExecuted && b == NotExecuted) || got != Combine(b, a) {
				t.Errorf("%v and %v give %v", a, b, got)
			}
		}
	}
}
