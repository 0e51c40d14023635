package retry

// Rule is what follows from an event in a phase. The zero value, an impossible rule, is the safest one: the request may
// have been executed, the client gets 502, there is no retry and the connection is closed.
type Rule struct {
	Possible     bool           // whether the event can happen in this phase
	Continuation Continuation   // whether the send is over; what follows holds once it is
	Execution    Execution      // what is known about the execution by this send
	Response     ClientResponse // what the client gets, unless the request is sent again
	Retry        Policy         // whether the request may be sent again, as far as budget, attempts and time allow
	Connection   Disposition    // what happens to the connection to the backend
}

// Continuation is whether a send goes on after an event.
type Continuation uint8

// The zero value is Ended.
const (
	Ended             Continuation = iota // the send has ended
	EndedIfIdempotent                     // it has ended if the request is idempotent; otherwise it goes on
	Continues                             // it goes on as if nothing had happened
)

func (c Continuation) String() string {
	return [...]string{"ended", "ended if idempotent", "continues"}[c]
}

// ClientResponse is what a client gets.
type ClientResponse uint8

// The zero value is BadGateway.
const (
	BadGateway         ClientResponse = iota // 502: the request may have been executed, and there is no response
	GatewayTimeout                           // 504: the request may have been executed, and its time is over
	ServiceUnavailable                       // 503 with Retry-After: not executed; 502 if an earlier send may have been
	Forwarded                                // the backend's response
	Aborted                                  // the end of the connection in the middle of a response
	Pending                                  // nothing yet
)

func (r ClientResponse) String() string {
	return [...]string{"502", "504", "503 with Retry-After", "forwarded", "aborted", "pending"}[r]
}

// Policy is which requests may be sent again.
type Policy uint8

// The zero value is Never.
const (
	Never        Policy = iota // none
	IfIdempotent               // those that may be executed more than once
	Always                     // all
)

func (p Policy) String() string { return [...]string{"never", "if idempotent", "always"}[p] }

// Allows reports whether a request may be sent again.
func (p Policy) Allows(idempotent bool) bool { return p == Always || p == IfIdempotent && idempotent }

// Disposition is what happens to a connection.
type Disposition uint8

// The zero value is Discard.
const (
	Discard      Disposition = iota // no other request is ever written on it
	Reuse                           // it may carry the next request
	NoConnection                    // there is none
)

func (d Disposition) String() string { return [...]string{"discarded", "reused", "none"}[d] }

// withConnection returns the rule with another disposition of the connection.
func (r Rule) withConnection(disposition Disposition) Rule {
	r.Connection = disposition
	return r
}

// withRetry returns the rule with another policy of retries.
func (r Rule) withRetry(policy Policy) Rule {
	r.Retry = policy
	return r
}

// withExecution returns the rule with another state of execution.
func (r Rule) withExecution(execution Execution) Rule {
	r.Execution = execution
	return r
}
