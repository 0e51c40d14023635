package policy

// transition is one row of a state machine's table: in state, input leads to next and runs effect.
type transition[S, I comparable, T any] struct {
	state  S
	input  I
	next   S
	effect func(*Balancer, T) // may be nil; runs after the change of state
}

// The tables of the three state machines. They are filled by init in decide.go, because their effects refer to them.
var (
	transactionTransitions []transition[transactionState, transactionInput, *transaction]
	healthTransitions      []transition[healthState, healthInput, *backend]
	voteTransitions        []transition[voteState, voteInput, *vote]
)

// advance applies an input to a state machine. An input without a row for the current state is ignored.
func advance[S, I comparable, T any](b *Balancer, table []transition[S, I, T], state *S, input I, subject T) {
	for _, row := range table {
		if row.state != *state || row.input != input {
			continue
		}
		*state = row.next
		if row.effect != nil {
			row.effect(b, subject)
		}
		return
	}
}

func (b *Balancer) advanceTransaction(tx *transaction, input transactionInput) {
	advance(b, transactionTransitions, &tx.state, input, tx)
}

func (b *Balancer) advanceHealth(backend *backend, input healthInput) {
	advance(b, healthTransitions, &backend.health, input, backend)
}

func (b *Balancer) advanceVote(input voteInput) {
	advance(b, voteTransitions, &b.vote.state, input, &b.vote)
}

// transactionState is the state of a transaction.
type transactionState int

const (
	queued    transactionState = iota // no attempt is in flight
	inFlight                          // one attempt or more is in flight
	streaming                         // the response has begun to arrive
	finished                          // it has a final answer
)

// transactionInput is an input of the transaction state machine.
type transactionInput int

const (
	accepted          transactionInput = iota
	retryPlacement                     // placement of a queued transaction is retried
	attemptStarted                     // an attempt started
	attemptsFailed                     // the last attempt in flight failed
	hedgeDue                           // the first attempt is slow
	deadlineNear                       // the client's timeout is near, or no further attempt is possible
	responseStarted                    // the response has begun to arrive
	transactionClosed                  // it was answered, or the client disconnected
)

// healthState is the health of a backend by this agent's observations and peers' reports.
type healthState int

const (
	healthy healthState = iota
	ejected             // gets no attempt while others are available
	probing             // gets one attempt at a time
)

// healthInput is an input of the health state machine.
type healthInput int

const (
	foundHealthy        healthInput = iota // an attempt succeeded
	foundUnhealthy                         // this agent's own attempts indicate a fault
	ejectionExpired                        // the ejection period is over
	peersFoundUnhealthy                    // enough peers reported it as unhealthy
	peerFoundHealthy                       // a peer reported its recovery
)

// voteState is the state of this agent's vote.
type voteState int

const (
	voteNone    voteState = iota
	votePending           // the platform has not answered
	voteCounted           // the platform has counted it
)

// voteInput is an input of the vote state machine.
type voteInput int

const (
	verdictChanged voteInput = iota // the verdict differs from the vote that was cast
	voteAccepted                    // the platform counted the vote
	voteRefused                     // the platform did not count the vote
	voteOutdated                    // the vote was stale for its build or stage
	voteExpired                     // no answer arrived in time, or the vote is about to expire
)
