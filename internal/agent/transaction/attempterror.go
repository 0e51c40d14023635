package transaction

import (
	"errors"
	"fmt"
)

// AttemptStage is how far an attempt had come when it ended without a usable response.
type AttemptStage int

// Stages of an attempt.
const (
	NotConnected    AttemptStage = iota // no connection came up
	NotWritten                          // there was a connection, and the end of the request was not written: it never ran
	Written                             // it may have run
	ResponseStarted                     // a response had begun
)

var attemptStageNames = [...]string{"unconnected", "unwritten", "written", "answering"}

func (s AttemptStage) String() string { return attemptStageNames[s] }

// AttemptError says why an attempt has no usable response, and how far it had come.
type AttemptError struct {
	Stage AttemptStage
	Cause error
}

func (e *AttemptError) Error() string { return fmt.Sprintf("%s: %v", e.Stage, e.Cause) }

// Unwrap returns the cause.
func (e *AttemptError) Unwrap() error { return e.Cause }

// NeverRan reports whether an attempt with this error has certainly not run.
func NeverRan(err error) bool {
	var attempt *AttemptError
	return errors.As(err, &attempt) && attempt.Stage < Written
}
