package server

import (
	"context"
	"net"
	"slices"
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

	// listenUserTimeout is TCP_USER_TIMEOUT of accepted connections.
	listenUserTimeout = tcp.UserTimeout(1500 * time.Millisecond)

	readHeaderTimeout = 3 * time.Second
	readTimeout       = 10 * time.Second
	idleTimeout       = 30 * time.Second
)

// Run serves until ctx ends. It then announces that this member is leaving, continues to serve until a candidate has
// replaced it, if one is ready, answers the requests in progress, and closes the store. Run returns once the listeners
// and loops that it has started have ended. Operations and requests to other controllers that are still in progress end
// by their own timeouts.
func (s *Server) Run(ctx context.Context) error {
	workCtx, cancelWork := context.WithCancel(context.WithoutCancel(ctx))
	defer cancelWork()
	var background sync.WaitGroup
	endpoints, err := s.listen(&background)
	if err != nil {
		return err
	}
	s.step(func(time.Time) {}) // processes the output that the replica produced while it was restored
	background.Go(func() { s.discoverMembers(workCtx) })
	background.Go(func() { s.maintain(workCtx) })
	background.Go(func() { s.decideDoubtfulOrders(workCtx) })
	s.log.Info("controller started", zap.String("node", s.settings.Node))

	<-ctx.Done()
	s.step(s.replica.Leave)
	schedule := newShutdownSchedule(s.settings.RuleLimits.ShutdownGrace)
	leavingAt := time.Now()
	s.awaitReplacement(workCtx, schedule.replacement)
	s.shutdown(endpoints, schedule.afterReplacement(time.Since(leavingAt)))
	cancelWork()
	background.Wait()
	return s.store.Close()
}

// listen starts an endpoint on each configured address. It adds the serving goroutines to background.
func (s *Server) listen(background *sync.WaitGroup) (endpoints, error) {
	endpoints := endpoints{
		api: []*endpoint{
			s.newEndpoint(s.settings.ListenAddresses["control"], s.apiHandler()),
			s.newEndpoint(s.settings.ListenAddresses["directory"], s.lookupHandler()),
		},
		peers: []*endpoint{s.newEndpoint(net.JoinHostPort(s.settings.IP, s.settings.PeerPort()), s.peerHandler())},
	}
	endpoints.api = slices.DeleteFunc(endpoints.api, func(e *endpoint) bool { return e.address == "" })
	var started []*endpoint
	for _, endpoint := range slices.Concat(endpoints.peers, endpoints.api) {
		listener, err := listenUserTimeout.Listen(endpoint.address)
		if err != nil {
			for _, previous := range started {
				_ = previous.Close() // the error of Listen is reported instead
			}
			return endpoints, errors.Wrap(err, "controller")
		}
		started = append(started, endpoint)
		background.Go(func() { s.serve(endpoint, listener) })
	}
	return endpoints, nil
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
