package server

import (
	"io"
	"net/http"

	"github.com/go-faster/errors"
	"github.com/mailru/easyjson"

	"sagelever/internal/control/config"
)

const (
	maxCallBytes      = 16 << 20 // bytes of a configuration
	maxHeartbeatBytes = 64 << 10
	maxIDBytes        = 256

	// retryAfter is the Retry-After, in seconds, of an answer that promises nothing: another agent may be asked sooner.
	retryAfter = "0.2"
)

// notFoundError is a call about something that there is not.
type notFoundError struct{ message string }

func (e *notFoundError) Error() string { return e.message }

// tooLargeError is a call that holds more bytes than are taken.
type tooLargeError struct{ reason error }

func (e *tooLargeError) Error() string { return e.reason.Error() }

// insufficientCapacityError is a drain that is refused, as too few slots would be left.
type insufficientCapacityError struct{ answer easyjson.Marshaler }

func (e *insufficientCapacityError) Error() string { return "too little room would be left" }

// tooManyDrainsError is a drain that is refused, as too many stand.
type tooManyDrainsError struct{}

func (e *tooManyDrainsError) Error() string { return "too many drains stand in this zone" }

// invalidRequest is a call that can't be taken by its own words.
func invalidRequest(text string) error { return &config.InvalidError{Err: errors.New(text)} }

// statusOf maps the reason why a call was not done to the status of its answer. A refusal is said only for what is known to
// be refused; whatever else hinders promises nothing, so that the caller asks again, here or at another agent.
func statusOf(err error) int {
	if _, is := errors.Into[*config.InvalidError](err); is {
		return http.StatusBadRequest
	}
	if _, is := errors.Into[*config.ConflictError](err); is {
		return http.StatusConflict
	}
	if _, is := errors.Into[*insufficientCapacityError](err); is {
		return http.StatusConflict
	}
	if _, is := errors.Into[*tooManyDrainsError](err); is {
		return http.StatusConflict
	}
	if _, is := errors.Into[*notFoundError](err); is {
		return http.StatusNotFound
	}
	if _, is := errors.Into[*tooLargeError](err); is {
		return http.StatusRequestEntityTooLarge
	}
	return http.StatusServiceUnavailable
}

// writeError answers a call that was not done.
func writeError(w http.ResponseWriter, err error) {
	status := statusOf(err)
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", retryAfter)
	}
	if shortage, is := errors.Into[*insufficientCapacityError](err); is {
		writeValue(w, status, shortage.answer)
		return
	}
	http.Error(w, err.Error(), status)
}

// writeUnavailable says that this agent can't do it now; another may.
func writeUnavailable(w http.ResponseWriter, reason string) { writeError(w, errors.New(reason)) }

// writeOK acknowledges an order.
func writeOK(w http.ResponseWriter) { writeJSON(w, []byte("{}")) }

// writeResult answers a call by how it ended.
func writeResult(w http.ResponseWriter, err error) {
	if err != nil {
		writeError(w, err)
		return
	}
	writeOK(w)
}

func writeJSON(w http.ResponseWriter, data []byte) { writeJSONStatus(w, http.StatusOK, data) }

func writeJSONStatus(w http.ResponseWriter, status int, data []byte) {
	w.Header()["Date"] = nil
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	w.Write(data)
}

func writeValue(w http.ResponseWriter, status int, value easyjson.Marshaler) {
	data, err := easyjson.Marshal(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	writeJSONStatus(w, status, data)
}

// targetParam is what a call is about; it answers 400 where there is nothing, or too much.
func targetParam(w http.ResponseWriter, r *http.Request) (string, bool) {
	target := r.URL.Query().Get("of")
	if target == "" || len(target) > maxIDBytes {
		writeError(w, invalidRequest("of: missing or too long"))
		return "", false
	}
	return target, true
}

// readBody reads a call whole; it answers 400 or 413 where that can't be.
func readBody(w http.ResponseWriter, r *http.Request, maxBytes int64) ([]byte, bool) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBytes))
	if err == nil {
		return data, true
	}
	if _, tooLarge := errors.Into[*http.MaxBytesError](err); tooLarge {
		writeError(w, &tooLargeError{err})
	} else {
		writeError(w, &config.InvalidError{Err: err})
	}
	return nil, false
}

func writeInvalid(w http.ResponseWriter, err error) { writeError(w, &config.InvalidError{Err: err}) }
