package transaction

import (
	"errors"
	"fmt"
)

// AttemptStage is how far an attempt had got when it ended without a usable response.
type AttemptStage int

// Stages of an attempt.
const (
	NotConnected    AttemptStage = iota // no connection was established
	NotWritten                          // the request was not written completely, so it has not run
	Written                             // the request may have run
	ResponseStarted                     // part of a response was received
)

var attemptStageNames = [...]string{"unconnected", "unwritten", "written", "answering"}

func (s AttemptStage) String() string { return attemptStageNames[s] }

// AttemptError is the error of an attempt without a usable response, with the stage that the attempt had reached.
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
