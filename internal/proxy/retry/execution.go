// Package retry determines the consequences of an event that ends or affects an attempt to send a request to a backend:
// whether the request may have been executed, what the client gets, whether the request may be sent again, and whether
// the connection may be reused.
//
// The rules are a table over the phase that the attempt has reached and the event that occurred (see Decide). They
// depend on whether a backend may have executed the request. Only if it was certainly not executed, a non-idempotent
// request is sent again, or a client gets a response that states that its request was not executed.
package retry

// Execution is what is known about the execution of a request. The zero value is the safe assumption.
type Execution uint8

// The states of execution. A response counts as evidence only if it carries the try ID of the request.
const (
	MaybeExecuted Execution = iota // the request was written, at least in part, and no response shows the outcome
	NotExecuted                    // nothing was written, or a response states that the request was not executed
	Executed                       // a complete response has arrived
)

func (e Execution) String() string {
	return [...]string{"maybe executed", "not executed", "executed"}[e]
}

// Combine returns the execution of a request, given those of two of its attempts. It is NotExecuted only if both are.
func Combine(a, b Execution) Execution {
	switch {
	case a == Executed || b == Executed:
		return Executed
	case a == NotExecuted && b == NotExecuted:
		return NotExecuted
	}
	return MaybeExecuted
}
