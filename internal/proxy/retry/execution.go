// Package retry decides what follows from the end of a send: whether the request may have been executed, what the
// client gets, whether the request may be sent again, and whether the connection may be reused.
//
// The decision is a table over the phase that the send has reached and the event that ended it (see Decide). Everything
// depends on whether a backend may have executed the request: one that is not idempotent is sent again, and a client is
// told that its request was not executed, only if that is certain.
package retry

// Execution is what is known about the execution of a request. The zero value is the safe assumption.
type Execution uint8

// A response proves anything only if it carries the id of this very attempt.
const (
	MaybeExecuted Execution = iota // the request was written, at least in part, and no response tells
	NotExecuted                    // nothing was written, or a response says that the request was not executed
	Executed                       // a response has arrived completely
)

func (e Execution) String() string {
	return [...]string{"maybe executed", "not executed", "executed"}[e]
}

// Combine returns what is known about the execution of a request after two of its sends. The request was certainly not
// executed only if neither send was.
func Combine(a, b Execution) Execution {
	switch {
	case a == Executed || b == Executed:
		return Executed
	case a == NotExecuted && b == NotExecuted:
		return NotExecuted
	}
	return MaybeExecuted
}
