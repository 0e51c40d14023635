package retry

// Rule holds the consequences of an event in a phase. The zero value is the rule of an impossible event and the safest
// one: the request may have been executed, the client gets 502, there is no retry, and the connection is closed.
type Rule struct {
	Possible     bool           // whether the event can occur in this phase
	Continuation Continuation   // whether the attempt has ended; the other fields apply once it has
	Execution    Execution      // whether this attempt executed the request
	Response     ClientResponse // what the client gets if the request is not retried
	Retry        Policy         // which requests may be retried, subject to retry budget, attempts and deadline
	Connection   Disposition    // what happens to the connection to the backend
}

// Continuation is whether an attempt continues after an event.
type Continuation uint8

// The zero value is Ended.
const (
	Ended             Continuation = iota // the attempt has ended
	EndedIfIdempotent                     // the attempt has ended if the request is idempotent, and continues otherwise
	Continues                             // the attempt continues unaffected
)

func (c Continuation) String() string {
	return [...]string{"ended", "ended if idempotent", "continues"}[c]
}

// ClientResponse is what a client gets.
type ClientResponse uint8

// The zero value is BadGateway.
const (
	BadGateway         ClientResponse = iota // 502: the request may have been executed, and there is no response
	GatewayTimeout                           // 504: the request may have been executed, and its deadline has passed
	ServiceUnavailable                       // 503 with Retry-After: not executed; 502 if an earlier attempt may have run
	Forwarded                                // the backend's response
	Aborted                                  // part of a response, after which the proxy closes the client's connection
	Pending                                  // nothing yet
)

func (r ClientResponse) String() string {
	return [...]string{"502", "504", "503 with Retry-After", "forwarded", "aborted", "pending"}[r]
}

// Policy determines which requests may be retried.
type Policy uint8

// The zero value is Never.
const (
	Never        Policy = iota // no request
	IfIdempotent               // idempotent requests
	Always                     // all requests
)

func (p Policy) String() string { return [...]string{"never", "if idempotent", "always"}[p] }

// Allows reports whether a request may be retried.
func (p Policy) Allows(idempotent bool) bool { return p == Always || p == IfIdempotent && idempotent }

// Disposition is what happens to a connection.
type Disposition uint8

// The zero value is Discard.
const (
	Discard      Disposition = iota // the connection carries no further request and is closed
	Reuse                           // the connection may carry the next request
	NoConnection                    // there is no connection
)

func (d Disposition) String() string { return [...]string{"discarded", "reused", "none"}[d] }

// withConnection returns a copy of the rule with another disposition of the connection.
func (r Rule) withConnection(disposition Disposition) Rule {
	r.Connection = disposition
	return r
}

// withRetry returns a copy of the rule with another retry policy.
func (r Rule) withRetry(policy Policy) Rule {
	r.Retry = policy
	return r
}

// withExecution returns a copy of the rule with another execution.
func (r Rule) withExecution(execution Execution) Rule {
	r.Execution = execution
	return r
}
