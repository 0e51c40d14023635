package server

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"sagelever/internal/tcp"
)

const (
	// tickInterval is the interval of the replica's periodic work.
	tickInterval = 250 * time.Millisecond

	// reportInterval is the interval at which the counters are logged.
	reportInterval = 10 * time.Second

	// shutdownTimeout bounds how long requests in progress may take after the servers have stopped listening.
	shutdownTimeout = time.Second

	// replacementTimeout bounds how long a member that shuts down waits until it is replaced. It is well below the time
	// that the platform grants a process after SIGTERM.
	replacementTimeout = 2 * time.Second

	// replacementPollInterval is the interval at which a member that shuts down checks whether it has been replaced.
	replacementPollInterval = 20 * time.Millisecond

	// listenUserTimeout is TCP_USER_TIMEOUT of accepted connections.
	listenUserTimeout = tcp.UserTimeout(1500 * time.Millisecond)

	readHeaderTimeout = 3 * time.Second
	readTimeout       = 10 * time.Second
	idleTimeout       = 30 * time.Second
)

// Run serves until ctx ends. It then announces that this member is leaving, continues to serve until a candidate has
// replaced it, if one is ready, and closes the store. Run returns once the listeners and loops that it has started have
// ended. Operations and requests to other controllers that are still in progress end by their own timeouts.
func (s *Server) Run(ctx context.Context) error {
	workCtx, cancelWork := context.WithCancel(context.WithoutCancel(ctx))
	defer cancelWork()
	var background sync.WaitGroup
	servers, err := s.listen(&background)
	if err != nil {
		return err
	}
	s.step(func(time.Time) {}) // processes the output that the replica produced while it was restored
	background.Go(func() { s.discoverMembers(workCtx) })
	background.Go(func() { s.maintain(workCtx) })
	s.log.Info("controller started", zap.String("node", s.settings.Node))

	<-ctx.Done()
	s.step(s.replica.Leave)
	s.awaitReplacement(workCtx)
	shutdown(workCtx, servers)
	cancelWork()
	background.Wait()
	return s.store.Close()
}

// listen starts an HTTP server on each configured address. It adds the serving goroutines to background.
func (s *Server) listen(background *sync.WaitGroup) ([]*http.Server, error) {
	endpoints := []struct {
		address string
		handler http.Handler
	}{
		{net.JoinHostPort(s.settings.IP, s.settings.PeerPort()), s.peerHandler()},
		{s.settings.ListenAddresses["control"], s.apiHandler()},
		{s.settings.ListenAddresses["directory"], s.lookupHandler()},
	}
	var servers []*http.Server
	for _, endpoint := range endpoints {
		if endpoint.address == "" {
			continue
		}
		listener, err := listenUserTimeout.Listen(endpoint.address)
		if err != nil {
			for _, server := range servers {
				_ = server.Close() // the error of Listen is reported instead
			}
			return nil, errors.Wrap(err, "controller")
		}
		server := s.newHTTPServer(endpoint.handler)
		servers = append(servers, server)
		background.Go(func() { s.serve(server, listener) })
	}
	return servers, nil
}

func (s *Server) newHTTPServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
		ConnState:         s.resources.trackConnection,
		ErrorLog:          zap.NewStdLog(s.log),
	}
}

func (s *Server) serve(server *http.Server, listener net.Listener) {
	err := server.Serve(listener)
	if !errors.Is(err, http.ErrServerClosed) {
		s.log.Error("listener failed", zap.Stringer("address", listener.Addr()), zap.Error(err))
	}
}

// shutdown stops the servers. All requests in progress together have shutdownTimeout to complete.
func shutdown(ctx context.Context, servers []*http.Server) {
	ctx, cancel := context.WithTimeout(ctx, shutdownTimeout)
	defer cancel()
	for _, server := range servers {
		_ = server.Shutdown(ctx) // requests that take longer end with the process
	}
}

// maintain runs the periodic work until ctx ends.
func (s *Server) maintain(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	lastReport := time.Now()
	for {
		select {
		case now := <-ticker.C:
			s.step(s.replica.Maintain)
			s.saveItems()
			s.resources.sampleMemory()
			if now.Sub(lastReport) > reportInterval {
				lastReport = now
				s.reportCounters()
			}
		case <-ctx.Done():
			return
		}
	}
}

// awaitReplacement waits until a candidate has replaced this member, if one is ready to do so.
func (s *Server) awaitReplacement(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, min(replacementTimeout, s.settings.RuleLimits.ShutdownGrace/2))
	defer cancel()
	poll(ctx, replacementPollInterval, func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return !s.replica.AwaitingReplacement(s.now())
	})
}

// poll calls condition, immediately and then after each interval, until it returns true or ctx ends. It reports whether
// condition has returned true.
func poll(ctx context.Context, interval time.Duration, condition func() bool) bool {
	for !condition() {
		select {
		case <-time.After(interval):
		case <-ctx.Done():
			return false
		}
	}
	return true
}
