// Package verdict says of every send to an appliance whether its request may have run there. All that a relay may do
// next hangs on it: a risky request is sent again, or refused with the promise that it has not run, only after NotExecuted.
package retry

import "github.com/go-faster/errors"

// Execution is what is known of one send. Its zero value is the careful one.
type Execution uint8

const (
	MaybeExecuted Execution = iota // written, at least in part, and no answer tells
	NotExecuted                    // not written whole, or turned away by an answer that says so
	Executed                       // an answer of the appliance to this very request came whole
)

func (e Execution) String() string { return [...]string{"may have run", "never ran", "ran"}[e] }

// ExecutionError is why a send has no answer, and what that says of its request.
type ExecutionError struct {
	Execution Execution
	Cause     error
}

func (e *ExecutionError) Error() string { return e.Execution.String() + ": " + e.Cause.Error() }
func (e *ExecutionError) Unwrap() error { return e.Cause }

// ExecutionOf reads the verdict of an error; an error that carries none may have run.
func ExecutionOf(err error) Execution {
	if e, ok := errors.Into[*ExecutionError](err); ok {
		return e.Execution
	}
	return MaybeExecuted
}

// Combine is what two sends of one request together allow: the request never ran only if neither did.
func Combine(a, b Execution) Execution {
	switch {
	case a == Executed || b == Executed:
		return Executed
	case a == NotExecuted && b == NotExecuted:
		return NotExecuted
	}
	return MaybeExecuted
}
