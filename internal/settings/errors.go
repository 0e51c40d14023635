package settings

import (
	"github.com/go-faster/errors"
)

var (
	errMissing    = errors.New("missing")
	errPortRange  = errors.New("want the first and the last of two ports or more")
	errOutOfRange = errors.New("out of range")
)

// ErrDuration is the error of a text that is not a duration by ParseDuration.
var ErrDuration = errors.New("want a duration of a number and ms or s")

// FieldError reports an invalid field of the settings file.
type FieldError struct {
	Field string // its name in the file
	Err   error
}

// Error implements error.
func (e *FieldError) Error() string { return e.Field + ": " + e.Err.Error() }

// Unwrap returns the reason.
func (e *FieldError) Unwrap() error { return e.Err }
