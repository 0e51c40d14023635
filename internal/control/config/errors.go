package config

import "fmt"

// InvalidError is an order that can't be taken: by its own words, or by what it would leave in force. Nothing of it comes into
// force.
type InvalidError struct{ Err error }

func (e *InvalidError) Error() string { return e.Err.Error() }

// Unwrap is the reason.
func (e *InvalidError) Unwrap() error { return e.Err }

// ConflictError is a call that sends an item under a version that another content was confirmed under. Nothing of it comes into
// force.
type ConflictError struct {
	Kind, Name string
	Version    uint64
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("%s %s: another content was confirmed under version %s", e.Kind, e.Name, FormatVersion(e.Version))
}

// IndeterminateError is an order of which can't be told whether it was taken, so that it is neither confirmed nor refused.
type IndeterminateError struct{ Reason string }

func (e *IndeterminateError) Error() string { return e.Reason }
