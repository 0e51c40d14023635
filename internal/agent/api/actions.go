package api

import "time"

// Action is anything that the policy wants done: one of the structs in this file.
type Action any

// StartAttempt starts the next attempt of a transaction. Without a Timeout it lasts until the client gives up.
type StartAttempt struct {
	Transaction TransactionID
	Backend     BackendID
	Timeout     time.Duration
}

// CancelAttempt cancels an attempt; its outcome still follows.
type CancelAttempt struct {
	Transaction TransactionID
	Attempt     AttemptNumber
}

// DeferTransaction is a final answer: the client may safely repeat the transaction, after RetryAfter if that is not 0.
type DeferTransaction struct {
	Transaction TransactionID
	RetryAfter  time.Duration
	Reason      Reason
}

// FailTransaction is a final answer that promises nothing: the transaction may have run, or not.
type FailTransaction struct {
	Transaction TransactionID
	Reason      Reason
}

// SetTimer sets a timer.
type SetTimer struct {
	After time.Duration
	Timer TimerID
}

// CheckHealth checks a backend's health.
type CheckHealth struct{ Backend BackendID }

// CloseIdleConnections closes the idle connections to a backend.
type CloseIdleConnections struct{ Backend BackendID }

// SendMessage sends a message to one agent, or to all others.
type SendMessage struct {
	To   PeerNumber
	All  bool
	Data []byte
}

// WatchBackends asks discovery for changes, or stops them.
type WatchBackends struct{ On bool }

// FetchBackends asks discovery for the whole list once.
type FetchBackends struct{}

// CastVote casts this agent's vote on a build at a stage.
type CastVote struct {
	Build   Build
	Stage   Stage
	Verdict Verdict
}

// LogLine leaves a line in the log.
type LogLine struct{ Text string }
