// Package agent is the interface between an adapter and the decision module: ids, events and actions.
// Events tell one agent what it has seen; actions are what it wants done. Nothing here decides anything.
package api

import "time"

// Each kind of id is a type of its own.
type (
	TransactionID string
	BackendID     uint32
	Build         int
	Stage         int
	AttemptNumber int
	PeerNumber    int
	TimerID       uint64
	Workload      string
	Customer      string
	Zone          string
	MachineType   string
	AffinityKey   string
	Cell          int
)

// UnknownStart is the start of an appliance whose start is not told.
const UnknownStart = time.Duration(-1 << 62)

// BackendState is what discovery knows of an appliance.
type BackendState int

const (
	StateUp BackendState = iota
	StateDraining
	StateGone
)

// Backend is one line of the list.
type Backend struct {
	ID          BackendID
	Build       Build
	Cell        Cell
	MachineType MachineType
	Zone        Zone
	State       BackendState
	Started     time.Duration
	Weight      float64
}

// Outcome tells how a send ended.
type Outcome int

const (
	Succeeded         Outcome = iota
	ErrorResponse             // answered with an error; may have run
	Rejected                  // turned away unlooked-at; never ran
	TimedOut                  // no answer in time; may have run
	Unreachable               // no connection; never ran
	ConnectionLost            // connection broke; may have run
	Canceled                  // cancelled; may have run
	NotSent                   // never left the agent; never ran
	MalformedResponse         // answered with what cannot be read; may have run
	InvalidRequest            // turned away as a request that cannot be used; may have run
)

// Phase is where a build on trial stands.
type Phase int

const (
	PhaseTrial Phase = iota
	PhaseRollingBack
	PhaseReleased
	PhaseWithdrawn
)

// Verdict is what a vote says.
type Verdict int

const (
	VerdictNone Verdict = iota
	VerdictAdvance
	VerdictHold
	VerdictRollBack
)

// UpdateKind tells how to read a list event.
type UpdateKind int

const (
	UpdateIncremental UpdateKind = iota
	UpdateSnapshot
	UpdateCached
	UpdateUnavailable
)

// VoteResult is how the platform took a vote.
type VoteResult int

const (
	VoteCounted VoteResult = iota
	VoteStale
	VoteRateLimited
	VoteFailed
	VoteUnanswered
)

// Event is anything that one agent is told.
type Event interface{}

// BackendUpdate brings the appliances known to discovery, or what changed among them.
type BackendUpdate struct {
	Kind     UpdateKind
	Version  int64
	Backends []Backend
}

// TransactionAccepted hands the agent a transaction that it now owes one final answer.
type TransactionAccepted struct {
	ID        TransactionID
	Workload  Workload
	Timeout   time.Duration // until the client gives this try up
	Cost      time.Duration // expected work, valid if CostKnown
	CostKnown bool
	Key       AffinityKey
	IsRetry   bool
	IsWrite   bool
	Customer  Customer
}

// ResponseStarted says that a streamed answer has started.
type ResponseStarted struct {
	Transaction TransactionID
	Backend     BackendID
	Attempt     AttemptNumber
	Elapsed     time.Duration
}

// AttemptEnded is the one outcome of a send.
type AttemptEnded struct {
	Transaction     TransactionID
	Backend         BackendID
	Attempt         AttemptNumber
	Elapsed         time.Duration
	TransactionDone bool // the transaction has its final answer
	Outcome         Outcome
	Load            map[string]float64
}

// TransactionClosed says that a transaction is over without an answer of the agent's.
type TransactionClosed struct{ Transaction TransactionID }

// TimerFired is a timer that the agent has set.
type TimerFired struct{ Timer TimerID }

// HealthChecked is what one probe found.
type HealthChecked struct {
	Backend BackendID
	Outcome Outcome
	Elapsed time.Duration
	Load    map[string]float64
}

// MessageReceived is a message from another agent.
type MessageReceived struct {
	From PeerNumber
	Data []byte
}

// RolloutUpdate tells where the newest build stands; the fields after Answer hold only if it is Counted.
type RolloutUpdate struct {
	Result      VoteResult
	AnswersVote bool
	Stage       Stage
	Build       Build
	Age         time.Duration
	Cap         float64
	Phase       Phase
}

// ReleaseTally is what the platform counted in a sample of all agents' sends.
type ReleaseTally struct {
	Build       Build
	Workload    Workload
	Attempts    int
	Failed      int
	MeanLatency time.Duration
	Age         time.Duration
}

// Complaint says that a client found a satisfied answer wrong.
type Complaint struct {
	Backend  BackendID
	Workload Workload
	Age      time.Duration
}

// Reason is the reason for which a transaction was given up.
type Reason int

const (
	ReasonUnspecified      Reason = iota
	ReasonConcurrencyLimit        // as many sends of its workload were out as may be
	ReasonNoBackend               // no appliance could have it
	ReasonNoRetry                 // its sends failed, and it may have no more
	ReasonMayHaveRun              // its send failed, may have run, and must not be repeated
	ReasonDeadline                // its client's time was nearly up
	ReasonInvalidRequest          // appliances cannot use it
	ReasonCount                   // how many there are
)

func (r Reason) String() string {
	if r < 0 || r >= ReasonCount {
		r = ReasonUnspecified
	}
	return [ReasonCount]string{"unsaid", "bounded", "no_appliance", "no_further_send", "may_have_run", "time_up", "unfit"}[r]
}

// Action is anything that an agent wants done.
type Action interface{}

type (
	// StartAttempt starts the next send of a transaction; a Timeout of 0 lasts till the client gives up.
	StartAttempt struct {
		Transaction TransactionID
		Backend     BackendID
		Timeout     time.Duration
	}
	// CancelAttempt stops waiting for a send.
	CancelAttempt struct {
		Transaction TransactionID
		Attempt     AttemptNumber
	}
	// DeferTransaction is a final answer: trying again is harmless, after Wait if that is above 0.
	DeferTransaction struct {
		Transaction TransactionID
		RetryAfter  time.Duration
		Reason      Reason
	}
	// FailTransaction is a final answer that promises nothing.
	FailTransaction struct {
		Transaction TransactionID
		Reason      Reason
	}
	// SetTimer sets a timer.
	SetTimer struct {
		After time.Duration
		Timer TimerID
	}
	// CheckHealth checks an appliance.
	CheckHealth struct{ Backend BackendID }
	// CloseIdleConnections closes the idle connections to an appliance.
	CloseIdleConnections struct{ Backend BackendID }
	// SendMessage sends a message to one agent, or to all others.
	SendMessage struct {
		To   PeerNumber
		All  bool
		Data []byte
	}
	// WatchBackends asks discovery for changes, or stops them.
	WatchBackends struct{ On bool }
	// FetchBackends asks discovery for the whole list once.
	FetchBackends struct{}
	// CastVote casts this agent's vote.
	CastVote struct {
		Build   Build
		Stage   Stage
		Verdict Verdict
	}
	// LogLine leaves a line for the report.
	LogLine struct{ Text string }
)
