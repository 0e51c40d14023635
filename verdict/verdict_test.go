package verdict

import (
	"io"
	"testing"

	"github.com/go-faster/errors"
)

// A request never ran only where every send of it never ran; an error that says nothing may have run.
func TestOnlyWhatIsCertainNeverRan(t *testing.T) {
	all := []Verdict{MayHaveRun, NeverRan, Ran}
	for _, a := range all {
		for _, b := range all {
			if got := Join(a, b); (got == NeverRan) != (a == NeverRan && b == NeverRan) || got != Join(b, a) {
				t.Errorf("%v and %v give %v", a, b, got)
			}
		}
	}
	if Of(io.EOF) != MayHaveRun || Of(errors.Wrap(&Error{NeverRan, io.EOF}, "a send")) != NeverRan {
		t.Error("verdicts of errors")
	}
}
