package config

import "fmt"

// InvalidError reports a request that is malformed or would make the configuration inconsistent. No part of the request
// has taken effect.
type InvalidError struct{ Err error }

func (e *InvalidError) Error() string { return e.Err.Error() }

// Unwrap returns the reason for the rejection.
func (e *InvalidError) Unwrap() error { return e.Err }

// ConflictError reports a change with an item whose version was already confirmed with a different content. No part of
// the change has taken effect.
type ConflictError struct {
	Kind, Name string
	Version    uint64
}

func (e *ConflictError) Error() string {
	const format = "%s %s: another content was confirmed under version %s"
	return fmt.Sprintf(format, e.Kind, e.Name, FormatVersion(e.Version))
}

// IndeterminateError reports a change that may or may not have taken effect. The change must be neither confirmed nor
// rejected.
type IndeterminateError struct{ Reason string }

func (e *IndeterminateError) Error() string { return e.Reason }
