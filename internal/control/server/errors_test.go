package server

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/go-faster/errors"

	"sagelever/internal/control/config"
	"sagelever/internal/control/drain"
	"sagelever/internal/control/replica"
)

// Only errors that are known to be rejections map to a 4xx. Other errors map to 503 with a Retry-After header, except
// for encoding errors. Wrapped errors map to the same status.
func TestStatusOf(t *testing.T) {
	t.Parallel()
	shortage := &insufficientCapacityError{drain.Response{Target: "z"}}
	for _, tt := range []struct {
		err            error
		wantStatus     int
		wantRetryAfter string
	}{
		{invalidParam("of: missing"), http.StatusBadRequest, ""},
		{&config.ConflictError{}, http.StatusConflict, ""},
		{shortage, http.StatusConflict, ""},
		{errTooManyDrains, http.StatusConflict, ""},
		{errNoSuchDrain, http.StatusNotFound, ""},
		{&tooLargeError{errors.New("too large")}, http.StatusRequestEntityTooLarge, ""},
		{&encodingError{errors.New("not a number")}, http.StatusInternalServerError, ""},
		{errInProgress, http.StatusServiceUnavailable, retryAfter},
		{errTooManyOperations, http.StatusServiceUnavailable, retryAfter},
		{errNotReplicated, http.StatusServiceUnavailable, retryAfter},
		{replica.ErrNoQuorum, http.StatusServiceUnavailable, retryAfter},
		{replica.ErrTooFewResponses, http.StatusServiceUnavailable, retryAfter},
		{errors.New("anything else"), http.StatusServiceUnavailable, retryAfter},
	} {
		for _, err := range []error{tt.err, errors.Wrap(tt.err, "wrapped")} {
			recorder := httptest.NewRecorder()
			writeError(recorder, err)
			if recorder.Code != tt.wantStatus {
				t.Errorf("%v: status %d, want %d", err, recorder.Code, tt.wantStatus)
			}
			if got := recorder.Header().Get("Retry-After"); got != tt.wantRetryAfter {
				t.Errorf("%v: Retry-After %q, want %q", err, got, tt.wantRetryAfter)
			}
		}
	}
}

// The response to a drain that is rejected for lack of capacity contains the details.
func TestWriteShortfalls(t *testing.T) {
	t.Parallel()
	recorder := httptest.NewRecorder()
	writeError(recorder, &insufficientCapacityError{drain.Response{Target: "z"}})
	if want := `{"target":"z"}`; recorder.Body.String() != want {
		t.Errorf("got %s, want %s", recorder.Body, want)
	}
}
