package server

import (
	"io"
	"net/http"

	"github.com/go-faster/errors"
	"github.com/gorilla/mux"
	"github.com/mailru/easyjson"

	"sagelever/internal/control/calls"
	"sagelever/internal/telemetry"
)

// targetParam is the query parameter that names the target of an API call: a backend, a service, a zone or a drain.
const targetParam = "of"

// Limits on the size of requests, in bytes.
const (
	maxConfigBytes = 16 << 20
	maxBodyBytes   = 64 << 10 // of heartbeats and release orders
	maxDrainBytes  = 4 << 10
	maxTargetBytes = 256
)

// retryAfter is the Retry-After header of a 503 response, in seconds. Callers may try another controller sooner.
const retryAfter = "0.2"

// apiFunc handles an API call. If it returns an error, it has written nothing, and the error determines the response.
type apiFunc func(w http.ResponseWriter, r *http.Request) error

// ServeHTTP implements http.Handler.
func (f apiFunc) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if err := f(w, r); err != nil {
		writeError(w, err)
	}
}

// apiHandler returns the handler for requests from backends and operators.
func (s *Server) apiHandler() http.Handler {
	router := mux.NewRouter()
	router.UseEncodedPath()
	router.Path(telemetry.Path).Methods(http.MethodGet).Handler(s.metricsPage())
	callRouter := router.Path("/api/rpc").Methods(http.MethodPost).Subrouter()
	handle := func(call calls.Name, handler apiFunc) {
		callRouter.NewRoute().Queries("call", string(call)).Handler(handler)
	}
	handle(calls.Heartbeat, s.handleHeartbeat)
	handle(calls.SignOff, s.handleSignOff)
	read := func(call calls.Name, handler apiFunc) { handle(call, watchArrivals(handler)) }
	order := func(call calls.Name, handler apiFunc) { handle(call, watchArrivals(s.refuseAbandoned(handler))) }
	order(calls.SettingsChange, s.admitOrder(s.handleSettingsChange))
	read(calls.SettingsRead, s.handleSettingsRead)
	order(calls.ReleaseBegin, s.admitOrder(s.handleReleaseBegin))
	read(calls.ReleaseRead, s.handleReleaseRead)
	order(calls.EvacuationBegin, s.handleEvacuationBegin)
	order(calls.EvacuationEnd, s.handleEvacuationEnd)
	order(calls.DrainBegin, s.admitOrder(s.handleDrainBegin))
	order(calls.DrainEnd, s.handleDrainEnd)
	read(calls.DrainsRead, s.handleDrainsRead)
	return router
}

// readTarget returns the value of targetParam in a request.
func readTarget(r *http.Request) (string, error) {
	target := r.URL.Query().Get(targetParam)
	if target == "" || len(target) > maxTargetBytes {
		return "", invalidParam(targetParam + ": missing or too long")
	}
	return target, nil
}

// readBody reads the body of a request, up to a limit.
func readBody(w http.ResponseWriter, r *http.Request, maxBytes int64) ([]byte, error) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBytes))
	if err == nil {
		return data, nil
	}
	if isType[*http.MaxBytesError](err) {
		return nil, &tooLargeError{err}
	}
	return nil, invalidRequest(err)
}

// writeError writes the response to an API call that failed with err.
func writeError(w http.ResponseWriter, err error) {
	if shortage, ok := errors.Into[*insufficientCapacityError](err); ok {
		err = writeValue(w, statusOf(err), shortage.response)
		if err == nil {
			return
		}
	}
	status := statusOf(err)
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", retryAfter)
	}
	http.Error(w, err.Error(), status)
}

// writeOK acknowledges an API call that has no result.
func writeOK(w http.ResponseWriter) { writeJSON(w, http.StatusOK, []byte("{}")) }

// writeValue responds with a value as JSON. If it returns an error, which is an *encodingError, it has written nothing.
func writeValue(w http.ResponseWriter, status int, value easyjson.Marshaler) error {
	data, err := easyjson.Marshal(value)
	if err != nil {
		return &encodingError{err}
	}
	writeJSON(w, status, data)
	return nil
}

// writeJSON responds with JSON. It leaves out the Date header, which no caller uses.
func writeJSON(w http.ResponseWriter, status int, data []byte) {
	w.Header()["Date"] = nil
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	w.Write(data)
}
