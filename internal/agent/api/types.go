package api

import "time"

// Identifiers. Each kind has its own type, so that they cannot be confused.
type (
	// TransactionID identifies a transaction. The client chooses it.
	TransactionID string
	// BackendID identifies a backend, by the same value at all agents.
	BackendID uint32
	// Build numbers a build; a higher one is newer.
	Build int
	// Stage numbers a stage of a rollout, from 0 on.
	Stage int
	// AttemptNumber numbers the attempts of one transaction, from 0 on.
	AttemptNumber int
	// PeerNumber numbers the agents, from 0 on.
	PeerNumber int
	// TimerID identifies a timer. The policy chooses it.
	TimerID uint64
	// Workload names a kind of transactions defined by the deployment.
	Workload string
	// Customer names the customer of a transaction, "" if unknown.
	Customer string
	// Zone names a failure domain of several cells.
	Zone string
	// Cell numbers a group of backends within a zone.
	Cell int
	// MachineType names a type of machine.
	MachineType string
	// AffinityKey is a key shared by a client's transactions, "" if there is none.
	AffinityKey string
)

// UnknownStart is the value of Started if the start is unknown: long ago.
const UnknownStart = time.Duration(-1 << 62)

// BackendState is the state of a backend by discovery.
type BackendState int

// States of a backend.
const (
	StateUp       BackendState = iota
	StateDraining              // gets no new attempts and finishes those in flight
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
	Started     time.Duration // UnknownStart if unknown
	Weight      float64
}

// Outcome is the result of an attempt. An attempt that may have run must not be repeated if its workload has an effect.
type Outcome int

// Outcomes of an attempt.
const (
	Succeeded         Outcome = iota
	ErrorResponse             // the backend responded with an error; may have run
	Rejected                  // rejected before it was processed; never ran
	TimedOut                  // no response in time; may have run
	Unreachable               // no connection; never ran
	ConnectionLost            // the connection broke; may have run
	Canceled                  // canceled by the agent; may have run
	NotSent                   // never left the agent; never ran
	MalformedResponse         // the response was malformed; may have run
	InvalidRequest            // rejected as invalid; may have run
)

// Phase is the phase of a build's rollout.
type Phase int

// Phases of a rollout.
const (
	PhaseTrial       Phase = iota // a growing number of backends runs it, in stages
	PhaseRollingBack              // these backends are being rolled back
	PhaseReleased
	PhaseWithdrawn
)

// Verdict is the content of a vote on the build on trial.
type Verdict int

// Verdicts.
const (
	VerdictNone Verdict = iota
	VerdictAdvance
	VerdictHold
	VerdictRollBack
)

// UpdateKind is the kind of a BackendUpdate.
type UpdateKind int

// Kinds of updates.
const (
	UpdateIncremental UpdateKind = iota // only changes
	UpdateSnapshot                      // the complete list
	UpdateCached                        // the complete list, stored before the agent started
	UpdateUnavailable                   // no list: discovery did not answer
)

// VoteResult is the platform's answer to a vote.
type VoteResult int

// Results of a vote.
const (
	VoteCounted VoteResult = iota
	VoteStale              // too late for its build or stage
	VoteRateLimited
	VoteFailed     // not delivered, or answered by an error; not counted
	VoteUnanswered // possibly counted
)

// Reason is the reason for giving a transaction up.
type Reason int

// Reasons for giving a transaction up.
const (
	ReasonUnspecified      Reason = iota
	ReasonConcurrencyLimit        // the limit on attempts in flight was reached
	ReasonNoBackend               // no backend was eligible
	ReasonNoRetry                 // its attempts failed, and no further attempt is allowed
	ReasonMayHaveRun              // a failed attempt may have run and must not be repeated
	ReasonDeadline                // the client's timeout was near
	ReasonInvalidRequest          // backends rejected it as invalid
	ReasonCount                   // number of reasons
)

var reasonNames = [ReasonCount]string{
	"unsaid", "bounded", "no_appliance", "no_further_send", "may_have_run", "time_up", "unfit",
}

// String returns the name of the reason in the log. docs/oncall.md describes these names.
func (r Reason) String() string {
	if r < 0 || r >= ReasonCount {
		r = ReasonUnspecified
	}
	return reasonNames[r]
}
