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
	// pullRetryDelay is the pause after a pull that returned nothing at once.
	pullRetryDelay = 100 * time.Millisecond

	// overdueAfter is how long a controller may take for its response, in addition to the time for which it may hold
	// the pull, until others are asked besides. It covers a few round trips between regions. The send lease outlasts a
	// pull that is overdue and the search that follows.
	overdueAfter = 300 * time.Millisecond

	// maxSearchPulls bounds the pulls that are in progress in a search for a controller.
	maxSearchPulls = 4

	// fullSyncAfter is the time without updates after which the proxy asks for everything again. It is below the
	// minute after which controllers forget the incarnations that have left.
	fullSyncAfter = 30 * time.Second
)

// subscription pulls updates from one controller at a time, by long polling, and so renews the lease of the proxy. Each
// pull says how far the proxy has come with the log of every origin, so that any controller can continue where another
// stopped.
type subscription struct {
	proxy       *Proxy
	client      *http.Client
	incarnation string        // names this run of the proxy in its release tallies
	pollTimeout time.Duration // how long a controller may hold a pull until it has updates

	mu         sync.Mutex
	sources    *source.Selector // which controller to pull from
	sourceAddr string           // the controller that was pulled from last

	lastUpdate time.Time          // when the last pull that was answered was sent
	progress   replication.Vector // the position in the log of every origin
	transfer   *transfer          // a response of which parts are still to come; nil for none
	values     map[string]quorum.Value

	// Positions at controllers of the previous protocol version, which number their updates themselves.
	legacyProgress map[string]uint64 // by name of the controller
	legacySources  map[string]string // the name, by address

	advertisedAddr string // the client address in the lease; empty while clients should not come
	advertVersion  uint64 // grows with each change of advertisedAddr
	leaseReleased  bool   // the lease is released, and no pull may renew it

	reportedTallies map[string]string // the last reported tally, by service
	tallyVersion    uint64            // grows with each tally reported
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

// locality says where the proxy is.
func locality(config *settings.Settings) source.Locality {
	return source.Locality{Zone: config.Zone, Region: config.Region, RegionByZone: config.Zones}
}

// addSeeds adds controllers by their addresses. Only the host counts: controllers answer proxies on the peer port of
// the settings.
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

// run pulls until ctx ends. A controller that does not answer in time or has no quorum is left for another one, which
// a search finds.
func (s *subscription) run(ctx context.Context) {
	for ctx.Err() == nil {
		if addr := s.search(ctx); addr != "" {
			s.follow(ctx, addr)
		}
	}
}

// pullResult is how a pull ended.
type pullResult struct {
	addr     string
	response *message.PullResponse
	err      error
}

// usable reports whether the controller answered and has a quorum.
func (r pullResult) usable() bool { return r.err == nil && r.response.HasQuorum }

// search asks one controller after the other until one with a quorum has answered, and returns its address. A pull that
// has no answer yet goes on while the next controller is asked, so that controllers that are gone cost a short pause
// each, not the time after which a call fails. search returns "" if ctx ends first.
func (s *subscription) search(ctx context.Context) (addr string) {
	results := make(chan pullResult, maxSearchPulls) // nobody waits for the results that come after the first usable one
	inProgress := 0
	timer := time.NewTimer(0)
	defer timer.Stop()
	for asked := 0; ; {
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
				asked++
				go func() { results <- s.ask(ctx, next, 0) }()
			}
			timer.Reset(s.searchDelay(asked))
		}
	}
}

// follow pulls from one controller, each time until it has updates. It returns when that is overdue with an answer,
// fails or has no quorum, and when ctx ends. As soon as a nearer controller has answered it goes on with that.
func (s *subscription) follow(ctx context.Context, addr string) {
	nearer := make(chan pullResult, 1)
	checkingNearer := false
	for ctx.Err() == nil {
		startedAt := time.Now()
		result, ok := s.askInTime(ctx, addr)
		if !ok || !result.usable() {
			return
		}
		if len(result.response.Items) == 0 && time.Since(startedAt) < pullRetryDelay {
			pause(ctx) // a controller that does not hold pulls must not be asked in a tight loop
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
			go func() { nearer <- s.ask(ctx, next, 0) }()
		}
	}
}

// askInTime pulls from a controller. ok is false if the answer is overdue; the pull then goes on, and its answer is
// applied if it comes at all.
func (s *subscription) askInTime(ctx context.Context, addr string) (result pullResult, ok bool) {
	results := make(chan pullResult, 1)
	go func() { results <- s.ask(ctx, addr, s.pollTimeout) }()
	overdue := time.NewTimer(s.pollTimeout + overdueAfter)
	defer overdue.Stop()
	select {
	case result := <-results:
		return result, true
	case <-overdue.C:
		s.noteOverdue(addr)
		return pullResult{}, false
	}
}

// ask pulls from a controller and records how that ended.
func (s *subscription) ask(ctx context.Context, addr string, wait time.Duration) pullResult {
	askedAt := time.Now()
	s.mu.Lock()
	previousAddr := s.sourceAddr
	s.sources.Asked(addr, askedAt)
	s.mu.Unlock()
	response, err := s.pull(ctx, addr, wait)
	if err != nil {
		s.noteFailure(ctx, addr, err)
	} else {
		s.noteAnswer(addr, previousAddr, askedAt, response)
	}
	return pullResult{addr: addr, response: response, err: err}
}

// nextSource returns the controller to ask next in a search.
func (s *subscription) nextSource() (addr string, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sources.Next()
}

// searchDelay returns the pause until the next controller is asked in a search.
func (s *subscription) searchDelay(asked int) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sources.SearchDelay(asked)
}

// nearerSource returns a controller that is worth asking instead of the one at addr.
func (s *subscription) nearerSource(addr string) (nearer string, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sources.Nearer(addr, time.Now())
}

// noteFailure records that a pull has failed, and logs the first failure of a controller in a row. The end of ctx is no
// failure of the controller, and neither is that of the lease.
func (s *subscription) noteFailure(ctx context.Context, addr string, err error) {
	s.mu.Lock()
	first := s.sources.Failed(addr, time.Now())
	s.mu.Unlock()
	if ctx.Err() != nil || errors.Is(err, errLeaseReleased) {
		return
	}
	s.proxy.counters.pullsFailed.Add(1)
	if first {
		s.proxy.log.Warn("controller does not answer", zap.String("controller", addr), zap.Error(err))
	}
}

// noteOverdue records that the answer of a controller is overdue.
func (s *subscription) noteOverdue(addr string) {
	s.mu.Lock()
	first := s.sources.Overdue(addr, time.Now())
	s.mu.Unlock()
	if first {
		s.proxy.log.Warn("controller does not answer in time", zap.String("controller", addr))
	}
}

// noteAnswer records an answered pull. It logs when it came from another controller than the one before, and when the
// present controller has lost its quorum.
func (s *subscription) noteAnswer(addr, previousAddr string, askedAt time.Time, response *message.PullResponse) {
	s.proxy.counters.pullsAnswered.Add(1)
	s.mu.Lock()
	hadQuorum := s.sources.Answered(addr, askedAt, time.Now(), response.HasQuorum)
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

// updateAge returns how long ago the last answered pull was sent.
func (s *subscription) updateAge(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.lastUpdate)
}

// logCounters logs what has become of the pulls so far.
func (s *subscription) logCounters(now time.Time) {
	s.proxy.counters.logPullsTo(s.proxy.log, s.source(), s.updateAge(now))
}

func pause(ctx context.Context) {
	select {
	case <-time.After(pullRetryDelay):
	case <-ctx.Done():
	}
}
