package server

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"sagelever/internal/control/message"
	"sagelever/internal/control/replica"
	"sagelever/internal/rpc"
)

// maxPullWait bounds how long a pull may wait for updates, regardless of what the caller requests.
const maxPullWait = 10 * time.Second

// peerHandler returns the handler for requests from other controllers and proxies.
func (s *Server) peerHandler() http.Handler {
	mux := http.NewServeMux()
	handle := func(path string, handler http.HandlerFunc) {
		mux.HandleFunc(path, s.countPath(path, handler))
	}
	handle(message.PullPath, s.handlePull)
	handle(message.TallyPath, s.handleTally)
	handle(message.ChangePath, s.handleHandedOverChange)
	handle(message.InFlightReportPath, s.handleInFlightReport)
	handle(message.InFlightSurveyPath, s.handleInFlightSurvey)
	for _, path := range message.ReplicaPaths() {
		handle(path, s.replicaHandler(path))
	}
	return mux
}

// replicaHandler returns a handler that passes the requests to a path to the replica.
func (s *Server) replicaHandler(path string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		request := &message.PeerRequest{}
		if !rpc.ReadRequest(w, r, request) {
			return
		}
		response, err := s.handleRequest(r.Context(), path, request)
		if err != nil {
			http.Error(w, err.Error(), peerErrorStatus(err))
			return
		}
		rpc.WriteResponse(w, response)
		s.counters.peerCalls.Add(1)
	}
}

// peerErrorStatus returns the status of the response to a request that failed.
func peerErrorStatus(err error) int {
	_, invalid := message.AsInvalid(err)
	switch {
	case invalid:
		return http.StatusBadRequest
	case errors.Is(err, replica.ErrForeignProposer):
		return http.StatusForbidden
	default:
		return http.StatusServiceUnavailable
	}
}

// rejectInvalid responds with 400 and returns true if validation has failed.
func rejectInvalid(w http.ResponseWriter, err error) bool {
	if err == nil {
		return false
	}
	http.Error(w, err.Error(), http.StatusBadRequest)
	return true
}

// handlePull responds with the updates that the caller lacks. If there are none, it waits for updates, and responds
// without any when the wait that the caller has requested is over.
func (s *Server) handlePull(w http.ResponseWriter, r *http.Request) {
	request := &message.PullRequest{}
	if !rpc.ReadRequest(w, r, request) || rejectInvalid(w, request.Validate()) {
		return
	}
	waitMs := max(0, min(request.WaitMs, maxPullWait.Milliseconds()))
	deadline := time.NewTimer(time.Duration(waitMs) * time.Millisecond)
	defer deadline.Stop()
	var pending *replica.PendingPull
	s.step(func(now time.Time) { pending = s.replica.HandlePull(now, request) })
	response := s.awaitUpdates(r.Context(), pending, deadline.C)
	if response == nil { // the caller has closed the connection, or this controller is about to exit
		http.Error(w, "shutting down", http.StatusServiceUnavailable)
		return
	}
	s.counters.pulls.Add(1)
	s.countSent(request.From.Zone, rpc.WriteResponse(w, response))
}

// awaitUpdates returns the response to a pull when there are updates, or at the deadline. It returns nil if ctx ends
// first.
func (s *Server) awaitUpdates(
	ctx context.Context, pending *replica.PendingPull, deadline <-chan time.Time,
) *message.PullResponse {
	expired := false
	for {
		s.mu.Lock()
		response, ready := s.replica.AnswerPull(s.now(), pending)
		updated := s.updated
		s.mu.Unlock()
		if ready || expired {
			return response
		}
		select {
		case <-updated:
		case <-deadline:
			expired = true
		case <-ctx.Done():
			return nil
		}
	}
}

// handleTally records a proxy's tallies of the releases in progress. The request carries them as items of a
// PullResponse.
func (s *Server) handleTally(w http.ResponseWriter, r *http.Request) {
	tallies := &message.PullResponse{}
	if !rpc.ReadRequest(w, r, tallies) {
		return
	}
	s.step(func(now time.Time) { s.replica.MergeTallies(now, tallies.Items) })
	w.WriteHeader(http.StatusOK)
}

// handleInFlightReport records a proxy's report for an in-flight survey.
func (s *Server) handleInFlightReport(w http.ResponseWriter, r *http.Request) {
	report := &message.InFlightReport{}
	if !rpc.ReadRequest(w, r, report) || rejectInvalid(w, report.Validate()) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.replica.RecordInFlightReport(report)
}

// handleInFlightSurvey surveys the proxies that hold a lease from this controller.
func (s *Server) handleInFlightSurvey(w http.ResponseWriter, r *http.Request) {
	survey := s.surveyLocal(r.Context())
	rpc.WriteResponse(w, &survey)
}
