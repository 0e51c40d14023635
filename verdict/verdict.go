// Package verdict says of every send to an appliance whether its request may have run there. All that a relay may do
// next hangs on it: a risky request is sent again, or refused with the promise that it has not run, only after NeverRan.
package verdict

import "github.com/go-faster/errors"

// Verdict is what is known of one send. Its zero value is the careful one.
type Verdict uint8

const (
	MayHaveRun Verdict = iota // written, at least in part, and no answer tells
	NeverRan                  // not written whole, or turned away by an answer that says so
	Ran                       // an answer of the appliance to this very request came whole
)

func (v Verdict) String() string { return [...]string{"may have run", "never ran", "ran"}[v] }

// Error is why a send has no answer, and what that says of its request.
type Error struct {
	Verdict Verdict
	Cause   error
}

func (e *Error) Error() string { return e.Verdict.String() + ": " + e.Cause.Error() }
func (e *Error) Unwrap() error { return e.Cause }

// Of reads the verdict of an error; an error that carries none may have run.
func Of(err error) Verdict {
	if e, ok := errors.Into[*Error](err); ok {
		return e.Verdict
	}
	return MayHaveRun
}

// Join is what two sends of one request together allow: the request never ran only if neither did.
func Join(a, b Verdict) Verdict {
	switch {
	case a == Ran || b == Ran:
		return Ran
	case a == NeverRan && b == NeverRan:
		return NeverRan
	}
	return MayHaveRun
}
