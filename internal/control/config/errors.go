package config

import "fmt"

// InvalidError reports a request that is malformed, or that would leave the configuration inconsistent.
// Nothing of the request has taken effect.
type InvalidError struct{ Err error }

func (e *InvalidError) Error() string { return e.Err.Error() }

// Unwrap returns the reason for the rejection.
func (e *InvalidError) Unwrap() error { return e.Err }

// ConflictError reports a change that carries an item under a version under which a different content was already
// confirmed. Nothing of the change has taken effect.
type ConflictError struct {
	Kind, Name string
	Version    uint64
}

func (e *ConflictError) Error() string {
	const format = "%s %s: another content was confirmed under version %s"
	return fmt.Sprintf(format, e.Kind, e.Name, FormatVersion(e.Version))
}

// IndeterminateError reports a change of which it cannot be determined whether it took effect. It must be neither
// confirmed nor rejected.
type IndeterminateError struct{ Reason string }

func (e *IndeterminateError) Error() string { return e.Reason }
