package settings

import (
	"github.com/go-faster/errors"
)

var (
	errMissing    = errors.New("missing")
	errPortRange  = errors.New("want the first and the last of two ports or more")
	errOutOfRange = errors.New("out of range")
)

// ErrDuration is the error of ParseDuration for an invalid duration.
var ErrDuration = errors.New("want a duration of a number and ms or s")

// FieldError reports an invalid field of the settings file.
type FieldError struct {
	Field string // the field's name in the file
	Err   error
}

// Error implements error.
func (e *FieldError) Error() string { return e.Field + ": " + e.Err.Error() }

// Unwrap returns the underlying error.
func (e *FieldError) Unwrap() error { return e.Err }
