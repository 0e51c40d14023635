package api

import "time"

// Event is an input of the policy: one of the structs in this file.
type Event any

// BackendUpdate is a list of backends, or of changes to it, from discovery.
type BackendUpdate struct {
	Kind     UpdateKind
	Version  int64
	Backends []Backend
}

// TransactionAccepted is a new transaction. The policy must give it exactly one final answer.
type TransactionAccepted struct {
	ID        TransactionID
	Workload  Workload
	Timeout   time.Duration // of the client
	Cost      time.Duration // expected work, valid if CostKnown
	CostKnown bool
	Key       AffinityKey
	IsRetry   bool // the client has already sent it
	IsWrite   bool
	Customer  Customer
}

// ResponseStarted reports that a streamed response has begun to arrive.
type ResponseStarted struct {
	Transaction TransactionID
	Backend     BackendID
	Attempt     AttemptNumber
	Elapsed     time.Duration // since the attempt started
}

// AttemptEnded is the outcome of an attempt, reported exactly once.
type AttemptEnded struct {
	Transaction     TransactionID
	Backend         BackendID
	Attempt         AttemptNumber
	Elapsed         time.Duration // since the attempt started
	TransactionDone bool          // the transaction has its final answer
	Outcome         Outcome
	Load            map[string]float64 // the backend's load report, nil if there was none
}

// TransactionClosed reports that a transaction ended without an answer of the policy: the client disconnected, or the
// adapter answered it.
type TransactionClosed struct{ Transaction TransactionID }

// TimerFired reports that a timer set by the policy is due.
type TimerFired struct{ Timer TimerID }

// HealthChecked is the result of one health check.
type HealthChecked struct {
	Backend BackendID
	Outcome Outcome
	Elapsed time.Duration
	Load    map[string]float64 // the backend's load report, nil if there was none
}

// MessageReceived is a message from another agent.
type MessageReceived struct {
	From PeerNumber
	Data []byte
}

// RolloutUpdate is the state of the newest build. The state is valid only if Result is VoteCounted, which is also the
// Result of updates that do not answer a vote.
type RolloutUpdate struct {
	Result      VoteResult
	AnswersVote bool // the update answers a vote of this agent
	Stage       Stage
	Build       Build
	Age         time.Duration // of the state when it was sent
	Cap         float64       // share of transactions that the build may receive
	Phase       Phase
}

// ReleaseTally holds the platform's counts over a sample of all agents' attempts.
type ReleaseTally struct {
	Build       Build
	Workload    Workload
	Attempts    int
	Failed      int
	MeanLatency time.Duration // of successful attempts
	Age         time.Duration // since the end of the counted period
}

// Complaint reports that a client found a successful response wrong.
type Complaint struct {
	Backend  BackendID
	Workload Workload
	Age      time.Duration // of the response
}
