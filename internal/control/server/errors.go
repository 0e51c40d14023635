package server

import (
	"net/http"

	"github.com/go-faster/errors"

	"sagelever/internal/control/config"
	"sagelever/internal/control/drain"
)

// Errors of operations without a definite result. The caller may retry at this controller or at another one.
var (
	errInProgress        = errors.New("the operation is still in progress: ask again")
	errTooManyOperations = errors.New("too many operations are in progress at this controller")
	errNotReplicated     = errors.New("too few other members hold this yet")
	errNoProxies         = errors.New("no proxy is ready")
	// errConfigurationChanged means that a change has to be validated again.
	errConfigurationChanged = errors.New("the configuration was changed in between: ask again")
	errOvertakenOrder       = errors.New("another order was carried out in between: ask again")
)

// errTooManyDrains rejects a drain in a zone that has the maximum number of drains.
var errTooManyDrains = errors.New("this zone has too many drains")

// errNoSuchDrain rejects a call whose target is a drain that is not active.
var errNoSuchDrain = &notFoundError{"of: there is no such drain"}

// notFoundError rejects a call whose target does not exist.
type notFoundError struct{ message string }

func (e *notFoundError) Error() string { return e.message }

// tooLargeError rejects a request whose body exceeds the limit.
type tooLargeError struct{ err error }

func (e *tooLargeError) Error() string { return e.err.Error() }

func (e *tooLargeError) Unwrap() error { return e.err }

// insufficientCapacityError rejects a drain that would leave too little capacity. The response lists the shortfalls.
type insufficientCapacityError struct{ response drain.Response }

func (e *insufficientCapacityError) Error() string {
	return "the drain would leave too little capacity"
}

// coordinatorError reports that the controller to which a change was handed over has rejected it.
type coordinatorError struct {
	status  int // HTTP status code
	message string
}

func (e *coordinatorError) Error() string { return e.message }

// encodingError reports that a response could not be encoded.
type encodingError struct{ err error }

func (e *encodingError) Error() string { return e.err.Error() }

func (e *encodingError) Unwrap() error { return e.err }

// invalidRequest rejects a request whose content is invalid.
func invalidRequest(err error) error { return &config.InvalidError{Err: err} }

// invalidParam rejects a request with a text that names the invalid parameter or field.
func invalidParam(text string) error { return invalidRequest(errors.New(text)) }

// statusOf maps an error to the HTTP status of the response. A 4xx is definite: the call is rejected and the caller
// need not retry it. An error that is not known to be a rejection maps to 503, so that the caller retries, here or at
// another controller.
func statusOf(err error) int {
	if rejection, ok := errors.Into[*coordinatorError](err); ok {
		return rejection.status
	}
	switch {
	case isType[*config.InvalidError](err):
		return http.StatusBadRequest
	case isType[*config.ConflictError](err):
		return http.StatusConflict
	case isType[*insufficientCapacityError](err), errors.Is(err, errTooManyDrains):
		return http.StatusConflict
	case isType[*notFoundError](err):
		return http.StatusNotFound
	case isType[*tooLargeError](err):
		return http.StatusRequestEntityTooLarge
	case isType[*encodingError](err):
		return http.StatusInternalServerError
	}
	return http.StatusServiceUnavailable
}

// isRejection reports whether an error is a definite rejection of a call.
func isRejection(err error) bool {
	return err != nil && statusOf(err) < http.StatusInternalServerError
}

// isType reports whether an error in err's chain has type T.
func isType[T error](err error) bool {
	_, ok := errors.Into[T](err)
	return ok
}
