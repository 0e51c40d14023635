package api

import "time"

// Identifiers. Each kind is a type of its own, so that one cannot pass for another.
type (
	// TransactionID names a transaction; its client has chosen it.
	TransactionID string
	// BackendID names a backend, alike at every agent.
	BackendID uint32
	// Build numbers a build; a higher one is newer.
	Build int
	// Stage numbers a stage of a rollout, from 0 on.
	Stage int
	// AttemptNumber numbers the attempts of one transaction, from 0 on.
	AttemptNumber int
	// PeerNumber numbers the agents, from 0 on.
	PeerNumber int
	// TimerID names a timer; the policy chooses it.
	TimerID uint64
	// Workload names a kind of transactions that the deployment knows.
	Workload string
	// Customer names whom a transaction is for; "" if that is not known.
	Customer string
	// Zone names a failure domain of several cells.
	Zone string
	// Cell numbers a group of backends within a zone.
	Cell int
	// MachineType names a type of machine.
	MachineType string
	// AffinityKey is what a client's transactions have in common; "" if there is none.
	AffinityKey string
)

// UnknownStart is the start of a backend whose start is not known: long ago.
const UnknownStart = time.Duration(-1 << 62)

// BackendState is what discovery says of a backend.
type BackendState int

// States of a backend.
const (
	StateUp       BackendState = iota
	StateDraining              // gets nothing new and finishes what it has
	StateGone
)

// Backend is one entry of discovery's list.
type Backend struct {
	ID          BackendID
	Build       Build
	Cell        Cell
	MachineType MachineType
	Zone        Zone
	State       BackendState
	Started     time.Duration // UnknownStart if it is not known
	Weight      float64
}

// Outcome is how an attempt ended. What may have run must not be repeated if the workload has an effect.
type Outcome int

// Outcomes of an attempt.
const (
	Succeeded         Outcome = iota
	ErrorResponse             // answered with an error; may have run
	Rejected                  // turned away before it was looked at; never ran
	TimedOut                  // no response in time; may have run
	Unreachable               // no connection; never ran
	ConnectionLost            // the connection broke; may have run
	Canceled                  // canceled by the agent; may have run
	NotSent                   // never left the agent; never ran
	MalformedResponse         // answered with what cannot be read; may have run
	InvalidRequest            // turned away as a request that cannot be used; may have run
)

// Phase is the state of the rollout of a build.
type Phase int

// Phases of a rollout.
const (
	PhaseTrial       Phase = iota // backends run it in growing stages
	PhaseRollingBack              // they are being taken back
	PhaseReleased
	PhaseWithdrawn
)

// Verdict is what a vote says of the build on trial.
type Verdict int

// Verdicts.
const (
	VerdictNone Verdict = iota
	VerdictAdvance
	VerdictHold
	VerdictRollBack
)

// UpdateKind is how a BackendUpdate is to be read.
type UpdateKind int

// Kinds of updates.
const (
	UpdateIncremental UpdateKind = iota // what has changed
	UpdateSnapshot                      // the whole list
	UpdateCached                        // the whole list as it was known before the agent started
	UpdateUnavailable                   // no list: discovery did not answer
)

// VoteResult is how the platform took a vote.
type VoteResult int

// Results of a vote.
const (
	VoteCounted VoteResult = iota
	VoteStale              // it came too late for its build or stage
	VoteRateLimited
	VoteFailed     // it did not reach the platform, or was answered by an error; it did not count
	VoteUnanswered // it may have counted
)

// Reason is why a transaction was given up.
type Reason int

// Reasons for giving a transaction up.
const (
	ReasonUnspecified      Reason = iota
	ReasonConcurrencyLimit        // as many attempts of its workload were in flight as may be
	ReasonNoBackend               // no backend could have it
	ReasonNoRetry                 // its attempts failed, and it may have no more
	ReasonMayHaveRun              // its attempt failed, may have run, and must not be repeated
	ReasonDeadline                // its client's time was nearly up
	ReasonInvalidRequest          // backends cannot use it
	ReasonCount                   // how many reasons there are
)

var reasonNames = [ReasonCount]string{
	"unsaid", "bounded", "no_appliance", "no_further_send", "may_have_run", "time_up", "unfit",
}

// String is the name of a reason in the log, which docs/oncall.md describes.
func (r Reason) String() string {
	if r < 0 || r >= ReasonCount {
		r = ReasonUnspecified
	}
	return reasonNames[r]
}
