package server

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/mailru/easyjson"

	"sagelever/internal/control/message"
	"sagelever/internal/control/replica"
	"sagelever/internal/control/replication"
	"sagelever/internal/rpc"
)

const peerCallTimeout = 4 * time.Second

// peerHandler serves other agents.
func (s *Server) peerHandler() http.Handler {
	mux := http.NewServeMux()
	register := func(path string, handler http.HandlerFunc) {
		counter := &pathCounters{}
		s.pathCounters[path] = counter
		mux.HandleFunc(path, func(w http.ResponseWriter, r *http.Request) {
			counter.calls.Add(1)
			counter.receivedBytes.Add(max(0, r.ContentLength))
			handler(&countingWriter{w, counter}, r)
		})
	}
	register(message.PullPath, s.handlePull)
	register(message.TallyPath, s.handleTally)
	register(message.InFlightReportPath, s.handleInFlightReport)
	register(message.InFlightSurveyPath, s.handleInFlightSurvey)
	for _, path := range []string{message.PreparePath, message.AcceptPath, message.ReadPath, message.StatePath, message.GenerationPath} {
		register(path, func(w http.ResponseWriter, r *http.Request) {
			request := &message.PeerRequest{}
			if !rpc.ReadRequest(w, r, request) {
				return
			}
			response, err := s.handleRequest(r.Context(), path, request)
			if err != nil {
				http.Error(w, err.Error(), http.StatusServiceUnavailable)
				return
			}
			rpc.WriteResponse(w, response)
			s.counters.peerCalls.Add(1)
		})
	}
	return mux
}

// pathCounters counts the calls of one path and their bytes, as packed.
type pathCounters struct{ calls, receivedBytes, sentBytes atomic.Int64 }

type countingWriter struct {
	http.ResponseWriter
	counters *pathCounters
}

func (w *countingWriter) Write(p []byte) (int, error) {
	w.counters.sentBytes.Add(int64(len(p)))
	return w.ResponseWriter.Write(p)
}

// handlePull answers with what is new, at once or when there is some.
func (s *Server) handlePull(w http.ResponseWriter, r *http.Request) {
	request := &message.PullRequest{}
	if !rpc.ReadRequest(w, r, request) {
		return
	}
	deadline := time.NewTimer(time.Duration(max(0, min(request.WaitMs, 10_000))) * time.Millisecond)
	defer deadline.Stop()
	var pending *replica.PendingPull
	s.step(func(now time.Time) { pending = s.replica.HandlePull(now, request) })
	s.mu.Lock()
	response, ready := s.replica.AnswerPull(s.now(), pending)
	for !ready {
		updated := s.updated
		s.mu.Unlock()
		expired := false
		select {
		case <-updated:
		case <-deadline.C:
			expired = true
		case <-r.Context().Done():
			return
		}
		s.mu.Lock()
		response, ready = s.replica.AnswerPull(s.now(), pending)
		ready = ready || expired
	}
	s.mu.Unlock()
	s.counters.pulls.Add(1)
	s.countSent(request.From.Zone, rpc.WriteResponse(w, response))
}

// discoverMembers keeps a pull going to every member known, and to the first contacts until this replica is one of the members and
// hears most of them.
func (s *Server) discoverMembers(ctx context.Context) {
	following := map[string]context.CancelFunc{}
	for ctx.Err() == nil {
		s.mu.Lock()
		members, contacts, healthy := s.replica.OtherMembers(), s.contacts, s.replica.HasQuorum(s.now())
		s.mu.Unlock()
		s.updatePullers(ctx, following, members)
		interval := 8 * tickInterval // only a set of members that all others went on without is still to be heard of
		if !healthy {
			interval = tickInterval
		}
		if !healthy || len(members) == 0 {
			for _, address := range s.peerAddresses(contacts) {
				if address != s.self.Addr {
					go s.pullOnce(ctx, message.Member{Addr: address})
				}
			}
		}
		select {
		case <-time.After(interval):
		case <-ctx.Done():
		}
	}
}

// updatePullers begins to pull from members that are new, and ends it for those that are none any more.
func (s *Server) updatePullers(ctx context.Context, following map[string]context.CancelFunc, members []message.Member) {
	present := map[string]bool{}
	for _, member := range members {
		present[member.Addr] = true
		if following[member.Addr] == nil {
			memberCtx, cancel := context.WithCancel(ctx)
			following[member.Addr] = cancel
			go s.pullLoop(memberCtx, member)
		}
	}
	for address, cancel := range following {
		if !present[address] {
			cancel()
			delete(following, address)
		}
	}
}

// pullLoop pulls one member's news for as long as this agent runs. A member that answers at once without news, twice running,
// is not asked without end.
func (s *Server) pullLoop(ctx context.Context, member message.Member) {
	emptyPulls := 0
	deferred := func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.replica.DeferPull(s.now(), member)
	}
	for deferred() && ctx.Err() == nil {
		time.Sleep(10 * time.Millisecond)
	}
	for ctx.Err() == nil {
		started := time.Now()
		pullCtx, cancel := context.WithCancel(ctx)
		s.mu.Lock()
		s.cancelPulls[member.Addr] = cancel
		s.mu.Unlock()
		items, err := s.pullOnce(pullCtx, member)
		if items > 0 || time.Since(started) > tickInterval {
			emptyPulls = 0
		} else {
			emptyPulls++
		}
		if err != nil || emptyPulls > 1 {
			select {
			case <-time.After(tickInterval):
			case <-pullCtx.Done(): // it is known to be up
			}
		}
		cancel()
	}
}

// pullOnce asks one agent once and takes up what it tells.
func (s *Server) pullOnce(ctx context.Context, source message.Member) (items int, err error) {
	s.mu.Lock()
	request := s.replica.NewPullRequest(s.now(), source)
	s.mu.Unlock()
	body, err := easyjson.Marshal(request)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(request.WaitMs)*time.Millisecond+time.Second)
	defer cancel()
	response := &message.PullResponse{}
	if err := rpc.Post(ctx, s.peerClient, source.Addr, message.PullPath, body, response); err != nil {
		return 0, err
	}
	s.step(func(now time.Time) { s.replica.HandlePullResponse(now, source, request, response) })
	return len(response.Items), nil
}

// awaitReplication waits until an item has gone far enough to be acknowledged; false where it does not in time.
func (s *Server) awaitReplication(ctx context.Context, key string) bool {
	for started := s.now(); ; {
		s.mu.Lock()
		replicated := s.replica.Replicated(s.now(), key, started)
		s.mu.Unlock()
		if replicated {
			return true
		}
		select {
		case <-time.After(15 * time.Millisecond):
		case <-ctx.Done():
			return false
		}
	}
}

// awaitPropagation puts the word on a removal off until the other members have heard of it, so that no agent goes on when it is
// given; it lasts already, so that the word comes in any case, and within the caller's time.
func (s *Server) awaitPropagation(ctx context.Context, register string) {
	ctx, cancel := context.WithTimeout(ctx, replica.RemovalReplicationWait)
	defer cancel()
	s.awaitReplication(ctx, replication.RegisterKey+register)
}

// handleTally takes what an edge agent has seen of a release.
func (s *Server) handleTally(w http.ResponseWriter, r *http.Request) {
	message := &message.PullResponse{}
	if !rpc.ReadRequest(w, r, message) {
		return
	}
	s.step(func(now time.Time) { s.replica.MergeTallies(now, message.Items) })
	w.WriteHeader(http.StatusOK)
}
