package server

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"sagelever/internal/graceful"
	"sagelever/internal/tcp"
)

const (
	// defaultShutdownGrace applies if the settings contain no shutdown grace period.
	defaultShutdownGrace = 3 * time.Second

	// maxReplacementWait bounds how long a member that shuts down waits until it is replaced.
	maxReplacementWait = 2 * time.Second

	// replacementPollInterval is the interval at which a member that shuts down checks whether it has been replaced.
	replacementPollInterval = 20 * time.Millisecond
)

// shutdownSchedule divides the shutdown grace period of a controller. Its parts follow one another and together take
// less than the grace period. The peer server is stopped last, as orders in progress here and at other controllers need
// this member as long as possible.
type shutdownSchedule struct {
	replacement time.Duration     // a candidate may replace this member
	api         graceful.Schedule // for requests of operators, backends and clients
	peers       graceful.Schedule // for requests of controllers and proxies
}

func newShutdownSchedule(grace time.Duration) shutdownSchedule {
	if grace <= 0 {
		grace = defaultShutdownGrace
	}
	return shutdownSchedule{
		replacement: min(grace/3, maxReplacementWait),
		api:         graceful.Schedule{Drain: grace * 2 / 5, Answers: grace / 20},
		peers:       graceful.Schedule{Drain: grace / 10, Answers: grace / 20},
	}
}

// afterReplacement returns the schedule for a replacement that took the given time. Requests of operators, backends and
// clients get what it has left.
func (s shutdownSchedule) afterReplacement(took time.Duration) shutdownSchedule {
	s.api.Drain += max(0, s.replacement-took)
	return s
}

// endpoint is an HTTP server on one address.
type endpoint struct {
	*http.Server
	address     string
	endRequests context.CancelFunc // ends the contexts of all requests, so that their handlers respond
}

// newEndpoint returns an endpoint for an address. It does not listen yet.
func (s *Server) newEndpoint(address string, handler http.Handler) *endpoint {
	requests, endRequests := context.WithCancel(context.Background())
	return &endpoint{
		Server: &http.Server{
			Handler:           handler,
			ReadHeaderTimeout: readHeaderTimeout,
			ReadTimeout:       readTimeout,
			IdleTimeout:       idleTimeout,
			ConnState:         s.trackConnection,
			ConnContext:       tcp.WithConn,
			BaseContext:       func(net.Listener) context.Context { return requests },
			ErrorLog:          zap.NewStdLog(s.log),
		},
		address:     address,
		endRequests: endRequests,
	}
}

// trackConnection is the ConnState hook of the endpoints.
func (s *Server) trackConnection(conn net.Conn, state http.ConnState) {
	s.resources.trackConnection(conn, state)
	if state == http.StateIdle {
		tcp.ExpectRequest(conn)
	}
}

// Serve is like http.Server.Serve. On the connections of a TCP listener, it is known since when a request can have waited
// (tcp.ArrivedAfter).
func (e *endpoint) Serve(listener net.Listener) error {
	if plain, ok := listener.(*net.TCPListener); ok {
		arrivals, err := tcp.NewArrivalListener(plain)
		if err != nil {
			return err
		}
		listener = arrivals
	}
	return e.Server.Serve(listener)
}

// serve serves connections until the endpoint is shut down.
func (s *Server) serve(endpoint *endpoint, listener net.Listener) {
	err := endpoint.Serve(listener)
	if !errors.Is(err, http.ErrServerClosed) {
		s.log.Error("listener failed", zap.Stringer("address", listener.Addr()), zap.Error(err))
	}
}

// endpoints are the endpoints of a controller.
type endpoints struct {
	api   []*endpoint // for operators, backends and clients
	peers []*endpoint // for controllers and proxies
}

// shutdown stops the endpoints in the order of the schedule. All requests in progress get a response.
func (s *Server) shutdown(endpoints endpoints, schedule shutdownSchedule) {
	s.stopEndpoints(endpoints.api, schedule.api)
	s.stopEndpoints(endpoints.peers, schedule.peers)
}

// stopEndpoints stops endpoints together, and logs if requests are left unanswered.
func (s *Server) stopEndpoints(stopping []*endpoint, schedule graceful.Schedule) {
	servers := make([]*http.Server, len(stopping))
	addresses := make([]string, len(stopping))
	for i, endpoint := range stopping {
		servers[i] = endpoint.Server
		addresses[i] = endpoint.address
	}
	complete := graceful.Shutdown(servers, schedule, func() {
		for _, endpoint := range stopping {
			endpoint.endRequests()
		}
	})
	if !complete {
		s.log.Warn("requests unanswered at exit", zap.Strings("addresses", addresses))
	}
}

// awaitReplacement waits until a candidate has replaced this member, if one is ready to do so, for at most maxWait.
func (s *Server) awaitReplacement(ctx context.Context, maxWait time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, maxWait)
	defer cancel()
	poll(ctx, replacementPollInterval, func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return !s.replica.AwaitingReplacement(s.now())
	})
}
