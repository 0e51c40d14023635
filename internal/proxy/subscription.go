package proxy

import (
	"context"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	"sagelever/internal/control/message"
	"sagelever/internal/control/quorum"
	"sagelever/internal/control/replication"
	"sagelever/internal/lease"
	"sagelever/internal/rpc"
)

const (
	pullRetryDelay     = 100 * time.Millisecond
	unreachableBackoff = 2 * time.Second        // a member that can't be reached is passed over for so long
	noQuorumBackoff    = 500 * time.Millisecond // and one that does not hear the core: at a start that is soon over
	startupFanout      = 4                      // members asked in a round at the start
	fullSyncAfter      = 30 * time.Second       // after which it asks for all: stewards forget lives that have left a minute ago
)

// subscription pulls from the core what this relay lacks, by the number that it has seen of each source, and holds the lease.
type subscription struct {
	proxy       *Proxy
	client      *http.Client
	incarnation string
	pollTimeout time.Duration // how long a pull waits for news

	mu              sync.Mutex
	controllers     map[string]message.Member // by address
	lastUpdate      time.Time                 // when it last heard news
	progress        replication.Vector        // how far this relay has come, by every source's numbers
	legacyProgress  map[string]uint64         // the same for a source that speaks the version before, by its own
	legacySources   map[string]string         // which such a source an address was last
	backoffUntil    map[string]time.Time      // until when an address is passed over
	sourceAddr      string                    // the address pulled from
	values          map[string]quorum.Value
	advertisedAddr  string
	advertVersion   uint64
	reportedTallies map[string]string
	tallyVersion    uint64
	lastSurvey      uint64 // the last census that was answered, of the address pulled from
	leaseReleased   bool   // the lease is given back: no pull may ask for it again
}

func newSubscription(proxy *Proxy) *subscription {
	s := &subscription{proxy: proxy, pollTimeout: lease.PullWait(proxy.settings.RuleLimits.DrainTime), incarnation: proxy.settings.Node + "@" + strconv.FormatInt(time.Now().UnixNano(), 36),
		controllers: map[string]message.Member{}, progress: replication.Vector{}, legacyProgress: map[string]uint64{}, legacySources: map[string]string{}, backoffUntil: map[string]time.Time{},
		values: map[string]quorum.Value{}, reportedTallies: map[string]string{}, advertVersion: uint64(time.Now().UnixMilli())}
	s.client = rpc.NewClient(proxy.dial)
	s.addControllers(append([]string{net.JoinHostPort(proxy.settings.IP, "0")}, proxy.settings.SeedAddresses...)) // there may be a steward here
	return s
}

// addControllers takes up control addresses of members.
func (s *subscription) addControllers(contacts []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, contact := range contacts {
		if host, _, err := net.SplitHostPort(contact); err == nil {
			addr := net.JoinHostPort(host, s.proxy.settings.PeerPort())
			if _, known := s.controllers[addr]; !known {
				s.controllers[addr] = message.Member{Addr: addr}
			}
		}
	}
}

// candidates lists the members to pull from: those that have not just failed, the near ones first.
func (s *subscription) candidates() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	addrs := make([]string, 0, len(s.controllers))
	distances := map[string]int{}
	for addr, controller := range s.controllers {
		addrs = append(addrs, addr)
		if distances[addr] = s.distance(controller); now.Before(s.backoffUntil[addr]) {
			distances[addr] += unknownDistance + 1
		}
	}
	sort.Slice(addrs, func(i, j int) bool {
		return distances[addrs[i]] < distances[addrs[j]] || distances[addrs[i]] == distances[addrs[j]] && addrs[i] < addrs[j]
	})
	return addrs
}

// unknownDistance is the distance of a member of which nothing but its address is known.
const unknownDistance = 3

// distance is 0 for a member in this zone, 1 in the region, 2 beyond it.
func (s *subscription) distance(controller message.Member) int {
	switch {
	case controller.Zone == "":
		return unknownDistance
	case controller.Zone == s.proxy.settings.Zone:
		return 0
	case s.proxy.settings.Zones[controller.Zone] == s.proxy.settings.Region:
		return 1
	}
	return 2
}

// run pulls for as long as the relay works. A source that can't be reached, or does not hear most of the core, is left for
// the next; it is come back to when it is near and some seconds have passed.
func (s *subscription) run(ctx context.Context) {
	s.findInitialSource(ctx)
	var unsoundAddr string
	for ctx.Err() == nil {
		addrs := s.candidates()
		if len(addrs) == 0 {
			return
		}
		addr, startedAt := addrs[0], time.Now()
		response, err := s.pull(ctx, addr, s.pollTimeout)
		if err != nil {
			s.backOff(addr, unreachableBackoff)
			s.pause(ctx)
			continue
		}
		if !response.HasQuorum {
			if unsoundAddr == "" {
				s.proxy.log.Warn("the source does not hear most of the core", zap.String("source", response.Source))
			}
			unsoundAddr = addr
			s.backOff(addr, noQuorumBackoff)
			s.pause(ctx)
			continue
		}
		unsoundAddr = ""
		if len(response.Items) == 0 && time.Since(startedAt) < pullRetryDelay { // a source that answers at once without news must not be asked without end
			s.pause(ctx)
		}
	}
}

// findInitialSource finds a sound source at the start. Where many start at once some are down, and some do not hear the core yet: one
// after the other is asked, and none is waited for long.
func (s *subscription) findInitialSource(ctx context.Context) {
	for ctx.Err() == nil && !s.proxy.synced.Load() {
		addrs := s.candidates()
		for _, addr := range addrs[:min(len(addrs), startupFanout)] {
			done := make(chan struct{})
			go func() {
				defer close(done)
				if _, err := s.pull(ctx, addr, 0); err != nil {
					s.backOff(addr, unreachableBackoff)
				}
			}()
			select {
			case <-done:
			case <-time.After(pullRetryDelay):
			case <-ctx.Done():
			}
			if s.proxy.synced.Load() {
				return
			}
		}
		s.pause(ctx)
	}
}

func (s *subscription) pause(ctx context.Context) {
	select {
	case <-time.After(pullRetryDelay):
	case <-ctx.Done():
	}
}

// backOff passes an address over for a while.
func (s *subscription) backOff(addr string, duration time.Duration) {
	s.mu.Lock()
	s.backoffUntil[addr] = time.Now().Add(duration)
	s.mu.Unlock()
}
