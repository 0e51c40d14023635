package retry

import (
	"io"
	"testing"

	"github.com/go-faster/errors"
)

// A request never ran only where every send of it never ran; an error that says nothing may have run.
func TestCombineAndExecutionOf(t *testing.T) {
	all := []Execution{MaybeExecuted, NotExecuted, Executed}
	for _, a := range all {
		for _, b := range all {
			if got := Combine(a, b); (got == NotExecuted) != (a == NotExecuted && b == NotExecuted) || got != Combine(b, a) {
				t.Errorf("%v and %v give %v", a, b, got)
			}
		}
	}
	if ExecutionOf(io.EOF) != MaybeExecuted || ExecutionOf(errors.Wrap(&ExecutionError{NotExecuted, io.EOF}, "a send")) != NotExecuted {
		t.Error("verdicts of errors")
	}
}
