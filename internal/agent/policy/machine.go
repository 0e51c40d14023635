package policy

// transition is one row of a state machine's table: in this state, this input leads to the next state and its effect.
type transition[S, I comparable, T any] struct {
	state  S
	input  I
	next   S
	effect func(*Balancer, T) // nil if there is none; it runs in the next state
}

// The tables of the three state machines. init in decide.go fills them, as their effects refer to them.
var (
	transactionTransitions []transition[transactionState, transactionInput, *transaction]
	healthTransitions      []transition[healthState, healthInput, *backend]
	voteTransitions        []transition[voteState, voteInput, *vote]
)

// advance puts an input to a state machine. An input without a row for the present state changes nothing.
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
	streaming                         // its response has begun to arrive
	finished                          // it has its final answer
)

// transactionInput is what happens to a transaction.
type transactionInput int

const (
	accepted          transactionInput = iota
	retryPlacement                     // a queued transaction is to be placed again
	attemptStarted                     // an attempt has started
	attemptsFailed                     // the last attempt in flight has failed
	hedgeDue                           // the response is later than most
	deadlineNear                       // the client's time is nearly up, or nothing more can be done
	responseStarted                    // its response has begun to arrive
	transactionClosed                  // it was answered, or its client left
)

// healthState is what this agent thinks of a backend.
type healthState int

const (
	healthy healthState = iota
	ejected             // gets no attempt while others are available
	probing             // gets one attempt at a time
)

// healthInput is what is learned about a backend.
type healthInput int

const (
	foundHealthy        healthInput = iota // it answered an attempt well
	foundUnhealthy                         // this agent's own attempts show that it is unhealthy
	ejectionExpired                        // its ejection has lasted long enough
	peersFoundUnhealthy                    // enough other agents found it unhealthy
	peerFoundHealthy                       // another agent found it healthy again
)

// voteState is the state of this agent's vote.
type voteState int

const (
	voteNone    voteState = iota
	votePending           // the platform has not answered yet
	voteCounted           // the platform has counted it
)

// voteInput is what happens to this agent's vote.
type voteInput int

const (
	verdictChanged voteInput = iota // the verdict differs from the vote that was cast
	voteAccepted                    // the platform counted it
	voteRefused                     // the platform did not count it
	voteOutdated                    // it came too late for its build or stage
	voteExpired                     // no answer came in time, or it is about to lapse
)
