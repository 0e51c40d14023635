package api

import "time"

// Action is a request of the policy to the adapter: one of the structs in this file.
type Action any

// StartAttempt starts the next attempt of a transaction. Without a Timeout it lasts until the client's timeout.
type StartAttempt struct {
	Transaction TransactionID
	Backend     BackendID
	Timeout     time.Duration
}

// CancelAttempt cancels an attempt. Its outcome is still reported by an AttemptEnded event.
type CancelAttempt struct {
	Transaction TransactionID
	Attempt     AttemptNumber
}

// DeferTransaction is a final answer: the client may safely repeat the transaction, after RetryAfter if it is not 0.
type DeferTransaction struct {
	Transaction TransactionID
	RetryAfter  time.Duration
	Reason      Reason
}

// FailTransaction is a final answer that leaves open whether the transaction has run.
type FailTransaction struct {
	Transaction TransactionID
	Reason      Reason
}

// SetTimer requests a TimerFired event after a delay.
type SetTimer struct {
	After time.Duration
	Timer TimerID
}

// CheckHealth requests a health check of a backend, which a HealthChecked event reports.
type CheckHealth struct{ Backend BackendID }

// CloseIdleConnections closes the idle connections to a backend.
type CloseIdleConnections struct{ Backend BackendID }

// SendMessage sends a message to the agent To, or to all other agents if All is set.
type SendMessage struct {
	To   PeerNumber
	All  bool
	Data []byte
}

// WatchBackends subscribes to changes from discovery, or unsubscribes.
type WatchBackends struct{ On bool }

// FetchBackends requests the complete list from discovery once.
type FetchBackends struct{}

// CastVote casts the agent's vote on a build at a stage.
type CastVote struct {
	Build   Build
	Stage   Stage
	Verdict Verdict
}

// LogLine writes a line to the log.
type LogLine struct{ Text string }
