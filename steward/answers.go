package steward

import (
	"io"
	"net/http"

	"github.com/go-faster/errors"
	"github.com/mailru/easyjson"

	"sagelever/plan"
)

const (
	longestCall  = 16 << 20 // bytes of a configuration
	longestPulse = 64 << 10
	longestID    = 256

	// comeAgain is the Retry-After, in seconds, of an answer that promises nothing: another agent may be asked sooner.
	comeAgain = "0.2"
)

// notFound is a call about something that there is not.
type notFound struct{ what string }

func (e *notFound) Error() string { return e.what }

// tooLong is a call that holds more bytes than are taken.
type tooLong struct{ reason error }

func (e *tooLong) Error() string { return e.reason.Error() }

// noRoom is a drain that is refused, as too few slots would be left.
type noRoom struct{ answer easyjson.Marshaler }

func (e *noRoom) Error() string { return "too little room would be left" }

// tooMany is a drain that is refused, as too many stand.
type tooMany struct{}

func (e *tooMany) Error() string { return "too many drains stand in this zone" }

// invalid is a call that can't be taken by its own words.
func invalid(text string) error { return &plan.Invalid{Reason: errors.New(text)} }

// statusOf maps the reason why a call was not done to the status of its answer. A refusal is said only for what is known to
// be refused; whatever else hinders promises nothing, so that the caller asks again, here or at another agent.
func statusOf(err error) int {
	if _, is := errors.Into[*plan.Invalid](err); is {
		return http.StatusBadRequest
	}
	if _, is := errors.Into[*plan.Conflict](err); is {
		return http.StatusConflict
	}
	if _, is := errors.Into[*noRoom](err); is {
		return http.StatusConflict
	}
	if _, is := errors.Into[*tooMany](err); is {
		return http.StatusConflict
	}
	if _, is := errors.Into[*notFound](err); is {
		return http.StatusNotFound
	}
	if _, is := errors.Into[*tooLong](err); is {
		return http.StatusRequestEntityTooLarge
	}
	return http.StatusServiceUnavailable
}

// fail answers a call that was not done.
func fail(w http.ResponseWriter, err error) {
	status := statusOf(err)
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", comeAgain)
	}
	if short, is := errors.Into[*noRoom](err); is {
		tellJSON(w, status, short.answer)
		return
	}
	http.Error(w, err.Error(), status)
}

// later says that this agent can't do it now; another may.
func later(w http.ResponseWriter, why string) { fail(w, errors.New(why)) }

// done acknowledges an order.
func done(w http.ResponseWriter) { answerJSON(w, []byte("{}")) }

// end answers a call by how it ended.
func end(w http.ResponseWriter, err error) {
	if err != nil {
		fail(w, err)
		return
	}
	done(w)
}

func answerJSON(w http.ResponseWriter, data []byte) { sayJSON(w, http.StatusOK, data) }

func sayJSON(w http.ResponseWriter, status int, data []byte) {
	w.Header()["Date"] = nil
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	w.Write(data)
}

func tellJSON(w http.ResponseWriter, status int, what easyjson.Marshaler) {
	data, err := easyjson.Marshal(what)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	sayJSON(w, status, data)
}

// of is what a call is about; it answers 400 where there is nothing, or too much.
func of(w http.ResponseWriter, r *http.Request) (string, bool) {
	x := r.URL.Query().Get("of")
	if x == "" || len(x) > longestID {
		fail(w, invalid("of: missing or too long"))
		return "", false
	}
	return x, true
}

// body reads a call whole; it answers 400 or 413 where that can't be.
func body(w http.ResponseWriter, r *http.Request, most int64) ([]byte, bool) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, most))
	if err == nil {
		return data, true
	}
	if _, long := errors.Into[*http.MaxBytesError](err); long {
		fail(w, &tooLong{err})
	} else {
		fail(w, &plan.Invalid{Reason: err})
	}
	return nil, false
}

func refuse(w http.ResponseWriter, err error) { fail(w, &plan.Invalid{Reason: err}) }
