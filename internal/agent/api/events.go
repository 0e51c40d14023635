package api

import "time"

// Event is anything that the policy is told: one of the structs in this file.
type Event any

// BackendUpdate brings the backends that discovery lists, or what changed among them.
type BackendUpdate struct {
	Kind     UpdateKind
	Version  int64
	Backends []Backend
}

// TransactionAccepted hands the policy a transaction, to which it now owes one final answer.
type TransactionAccepted struct {
	ID        TransactionID
	Workload  Workload
	Timeout   time.Duration // until its client gives up
	Cost      time.Duration // expected work, valid if CostKnown
	CostKnown bool
	Key       AffinityKey
	IsRetry   bool // the client has sent it before
	IsWrite   bool
	Customer  Customer
}

// ResponseStarted says that a streamed response has begun to arrive.
type ResponseStarted struct {
	Transaction TransactionID
	Backend     BackendID
	Attempt     AttemptNumber
	Elapsed     time.Duration // since the attempt started
}

// AttemptEnded is the one outcome of an attempt.
type AttemptEnded struct {
	Transaction     TransactionID
	Backend         BackendID
	Attempt         AttemptNumber
	Elapsed         time.Duration // since the attempt started
	TransactionDone bool          // the transaction has its final answer
	Outcome         Outcome
	Load            map[string]float64 // the backend's load report, nil if none came
}

// TransactionClosed says that a transaction is over without an answer of the policy's: its client has left, or the
// adapter has answered it.
type TransactionClosed struct{ Transaction TransactionID }

// TimerFired says that a timer of the policy's is due.
type TimerFired struct{ Timer TimerID }

// HealthChecked is the result of one health check.
type HealthChecked struct {
	Backend BackendID
	Outcome Outcome
	Elapsed time.Duration
	Load    map[string]float64 // the backend's load report, nil if none came
}

// MessageReceived is a message from another agent.
type MessageReceived struct {
	From PeerNumber
	Data []byte
}

// RolloutUpdate is the state of the newest build. The fields after Result hold only if Result is VoteCounted, as it is
// where no vote was asked about.
type RolloutUpdate struct {
	Result      VoteResult
	AnswersVote bool // it answers a vote of this agent's
	Stage       Stage
	Build       Build
	Age         time.Duration // of the state, when it was told
	Cap         float64       // share of transactions that may reach the build
	Phase       Phase
}

// ReleaseTally is what the platform counted in a sample of all agents' attempts.
type ReleaseTally struct {
	Build       Build
	Workload    Workload
	Attempts    int
	Failed      int
	MeanLatency time.Duration // of those that succeeded
	Age         time.Duration // since the end of the time over which it was counted
}

// Complaint says that a client found a successful answer wrong.
type Complaint struct {
	Backend  BackendID
	Workload Workload
	Age      time.Duration // of the answer
}
