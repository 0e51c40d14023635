package proxy

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"sagelever/internal/control/message"
	"sagelever/internal/control/quorum"
	"sagelever/internal/control/replication"
	"sagelever/internal/lease"
	"sagelever/internal/proxy/source"
	"sagelever/internal/rpc"
	"sagelever/internal/settings"
)

const (
	// pullRetryDelay is the pause after a pull that returned immediately and without items.
	pullRetryDelay = 100 * time.Millisecond

	// overdueAfter is the time after the poll timeout at which a response is overdue and the search for another
	// controller starts. It covers a few round trips between regions. The send lease must last longer than an overdue
	// pull and the search that follows.
	overdueAfter = 300 * time.Millisecond

	// maxSearchPulls bounds the concurrent pulls in a search for a controller.
	maxSearchPulls = 4

	// fullSyncAfter is the time without updates after which the proxy requests the entire state again. It must be below
	// the minute after which controllers delete the records of incarnations that have left.
	fullSyncAfter = 30 * time.Second
)

// subscription pulls updates from one controller at a time by long polling, which also renews the membership lease and
// the send lease. Each pull contains the proxy's position in the log of every origin, so that any controller can
// continue where another stopped.
type subscription struct {
	proxy       *Proxy
	client      *http.Client
	incarnation string        // identifies this run of the proxy in its release tallies
	pollTimeout time.Duration // how long a controller may delay its response while it has no updates

	mu         sync.Mutex
	sources    *source.Selector // selects the controller to pull from
	sourceAddr string           // address of the controller that responded last

	lastUpdate time.Time          // send time of the latest answered pull
	progress   replication.Vector // the position in the log of every origin
	transfer   *transfer          // a response of which parts are missing; nil if none
	values     map[string]quorum.Value

	// Positions at controllers of the previous protocol version, which number their updates themselves.
	legacyProgress map[string]uint64 // position by controller name
	legacySources  map[string]string // controller name by address

	advertisedAddr string // the client address in the membership lease; empty while the proxy accepts no clients
	advertVersion  uint64 // increases with each change of advertisedAddr
	leaseReleased  bool   // the membership lease is released, and no pull may renew it

	reportedTallies map[string]string // the last reported tally, by service
	tallyVersion    uint64            // increases with each reported tally
	lastSurvey      uint64            // the last in-flight survey of sourceAddr that was answered
}

func newSubscription(proxy *Proxy) *subscription {
	now := time.Now()
	s := &subscription{
		proxy:           proxy,
		client:          rpc.NewClient(proxy.dial),
		incarnation:     proxy.settings.Node + "@" + strconv.FormatInt(now.UnixNano(), 36),
		pollTimeout:     lease.PullWait(proxy.settings.RuleLimits.DrainTime),
		sources:         source.NewSelector(locality(proxy.settings), rand.Float64),
		progress:        replication.Vector{},
		values:          map[string]quorum.Value{},
		legacyProgress:  map[string]uint64{},
		legacySources:   map[string]string{},
		advertVersion:   uint64(now.UnixMilli()),
		reportedTallies: map[string]string{},
	}
	ownAddr := net.JoinHostPort(proxy.settings.IP, "0") // a controller may run on the same machine
	s.addSeeds(append([]string{ownAddr}, proxy.settings.SeedAddresses...))
	return s
}

// locality returns the zone and region of the proxy, and the region of each zone.
func locality(config *settings.Settings) source.Locality {
	return source.Locality{Zone: config.Zone, Region: config.Region, RegionByZone: config.Zones}
}

// addSeeds adds controllers by their addresses. The port of an address is ignored: controllers serve proxies on the
// peer port of the settings.
func (s *subscription) addSeeds(addresses []string) {
	seeds := make([]string, 0, len(addresses))
	for _, address := range addresses {
		host, _, err := net.SplitHostPort(address)
		if err != nil {
			continue
		}
		seeds = append(seeds, net.JoinHostPort(host, s.proxy.settings.PeerPort()))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sources.AddSeeds(seeds)
}

// run pulls until ctx ends. It searches for another controller when the current one does not respond in time, returns
// an error or has no quorum.
func (s *subscription) run(ctx context.Context) {
	for ctx.Err() == nil {
		if addr := s.search(ctx); addr != "" {
			s.follow(ctx, addr)
		}
	}
}

// pullResult is the result of a pull.
type pullResult struct {
	addr     string
	response *message.PullResponse
	err      error
}

// usable reports whether the controller responded and has a quorum.
func (r pullResult) usable() bool { return r.err == nil && r.response.HasQuorum }

// search pulls from one controller after the other until one with a quorum responds, and returns its address. A pull
// continues while the next controller is tried, so that an unreachable controller delays the search by the short search
// delay and not by the timeout of a call. search returns "" if ctx ends first.
func (s *subscription) search(ctx context.Context) (addr string) {
	results := make(chan pullResult, maxSearchPulls) // buffered because results after the first usable one are not read
	inProgress := 0
	timer := time.NewTimer(0)
	defer timer.Stop()
	for pulls := 0; ; {
		select {
		case <-ctx.Done():
			return ""
		case result := <-results:
			inProgress--
			if result.usable() {
				return result.addr
			}
		case <-timer.C:
			if next, ok := s.nextSource(); ok && inProgress < maxSearchPulls {
				inProgress++
				pulls++
				go func() { results <- s.pullAndRecord(ctx, next, 0) }()
			}
			timer.Reset(s.searchDelay(pulls))
		}
	}
}

// follow long-polls one controller. It switches to a nearer controller once that has responded with a quorum. It
// returns when a response is overdue, a pull fails, the controller has no quorum or ctx ends.
func (s *subscription) follow(ctx context.Context, addr string) {
	nearer := make(chan pullResult, 1)
	checkingNearer := false
	for ctx.Err() == nil {
		startedAt := time.Now()
		result, ok := s.pullUntilOverdue(ctx, addr)
		if !ok || !result.usable() {
			return
		}
		if len(result.response.Items) == 0 && time.Since(startedAt) < pullRetryDelay {
			waitRetryDelay(ctx) // avoids a tight loop if the controller does not delay its responses
		}
		select {
		case checked := <-nearer:
			checkingNearer = false
			if checked.usable() {
				addr = checked.addr
			}
		default:
		}
		if next, ok := s.nearerSource(addr); ok && !checkingNearer {
			checkingNearer = true
			go func() { nearer <- s.pullAndRecord(ctx, next, 0) }()
		}
	}
}

// pullUntilOverdue pulls from a controller. ok is false if the response is overdue; the pull then continues in the
// background, and a response that still arrives is applied.
func (s *subscription) pullUntilOverdue(ctx context.Context, addr string) (result pullResult, ok bool) {
	results := make(chan pullResult, 1)
	go func() { results <- s.pullAndRecord(ctx, addr, s.pollTimeout) }()
	overdue := time.NewTimer(s.pollTimeout + overdueAfter)
	defer overdue.Stop()
	select {
	case result := <-results:
		return result, true
	case <-overdue.C:
		s.recordOverdue(addr)
		return pullResult{}, false
	}
}

// pullAndRecord pulls from a controller and records the result in the source selector.
func (s *subscription) pullAndRecord(ctx context.Context, addr string, wait time.Duration) pullResult {
	startedAt := time.Now()
	s.mu.Lock()
	previousAddr := s.sourceAddr
	s.sources.CallStarted(addr, startedAt)
	s.mu.Unlock()
	response, err := s.pull(ctx, addr, wait)
	if err != nil {
		s.recordFailure(ctx, addr, err)
	} else {
		s.recordResponse(addr, previousAddr, startedAt, response)
	}
	return pullResult{addr: addr, response: response, err: err}
}

// nextSource returns the controller to pull from next in a search.
func (s *subscription) nextSource() (addr string, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sources.Next()
}

// searchDelay returns the pause before the next pull of a search that has started the given number of pulls.
func (s *subscription) searchDelay(pulls int) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sources.SearchDelay(pulls)
}

// nearerSource returns a nearer controller to try instead of the one at addr, if there is one.
func (s *subscription) nearerSource(addr string) (nearer string, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sources.Nearer(addr, time.Now())
}

// recordFailure records a failed pull and logs the first of consecutive failures of a controller. A pull that failed
// because ctx ended or the membership lease was released is neither counted nor logged.
func (s *subscription) recordFailure(ctx context.Context, addr string, err error) {
	s.mu.Lock()
	first := s.sources.CallFailed(addr, time.Now())
	s.mu.Unlock()
	if ctx.Err() != nil || errors.Is(err, errLeaseReleased) {
		return
	}
	s.proxy.counters.pullsFailed.Add(1)
	if first {
		s.proxy.log.Warn("controller does not answer", zap.String("controller", addr), zap.Error(err))
	}
}

// recordOverdue records that the response of a controller is overdue, and logs the first of consecutive failures.
func (s *subscription) recordOverdue(addr string) {
	s.mu.Lock()
	first := s.sources.CallOverdue(addr, time.Now())
	s.mu.Unlock()
	if first {
		s.proxy.log.Warn("controller does not answer in time", zap.String("controller", addr))
	}
}

// recordResponse records an answered pull. It logs a change of the controller that responds, and the loss of its
// quorum.
func (s *subscription) recordResponse(addr, previousAddr string, startedAt time.Time, response *message.PullResponse) {
	s.proxy.counters.pullsAnswered.Add(1)
	s.mu.Lock()
	hadQuorum := s.sources.CallAnswered(addr, startedAt, time.Now(), response.HasQuorum)
	s.mu.Unlock()
	if addr == previousAddr && hadQuorum && !response.HasQuorum {
		s.proxy.log.Warn("controller has no quorum", zap.String("controller", response.Source))
	}
	if addr != previousAddr {
		s.proxy.counters.sourceChanges.Add(1)
		s.proxy.log.Info("pulling from another controller",
			zap.String("controller", addr), zap.String("previous", previousAddr))
	}
}

// updateAge returns the time since the latest answered pull was sent.
func (s *subscription) updateAge(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.lastUpdate)
}

// logCounters logs the counters of the pulls.
func (s *subscription) logCounters(now time.Time) {
	s.proxy.counters.logPullsTo(s.proxy.log, s.source(), s.updateAge(now))
}

// waitRetryDelay waits for pullRetryDelay, or until ctx ends.
func waitRetryDelay(ctx context.Context) {
	select {
	case <-time.After(pullRetryDelay):
	case <-ctx.Done():
	}
}
