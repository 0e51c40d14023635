package proxy

import (
	"context"
	"maps"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/mailru/easyjson"
	"go.uber.org/zap"

	"sagelever/internal/control/message"
	"sagelever/internal/control/quorum"
	"sagelever/internal/control/replication"
	"sagelever/internal/control/routing"
	"sagelever/internal/rpc"
)

// newPullRequest is this relay's word to the core.
func (s *subscription) newPullRequest(addr string, wait time.Duration) *message.PullRequest {
	front := ""
	if s.proxy.ready() {
		front = s.proxy.settings.ListenAddresses["front"]
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if front != s.advertisedAddr {
		s.advertisedAddr = front
		s.advertVersion = max(s.advertVersion+1, uint64(time.Now().UnixMilli()))
	}
	request := &message.PullRequest{From: message.Member{Node: s.proxy.settings.Node, Zone: s.proxy.settings.Zone}, Role: message.RoleProxy,
		ProtocolVersion: message.ProtocolVersion, WaitMs: wait.Milliseconds(), ListenerAddr: s.advertisedAddr, Incarnation: s.advertVersion}
	if time.Since(s.lastUpdate) < fullSyncAfter {
		request.Progress = maps.Clone(s.progress)
	}
	if addr == s.sourceAddr {
		request.SurveyID = s.lastSurvey
	}
	if source := s.legacySources[addr]; source != "" {
		request.LegacyVector = map[string]uint64{source: s.legacyProgress[source]}
	}
	return request
}

// responseTimeout is how long a member may take for its answer, besides what it waits for news.
const responseTimeout = time.Second

var (
	errLeaseReleased = errors.New("the lease is given back")
	errStaleResponse = errors.New("the answer was given too long ago")
)

func (s *subscription) pull(ctx context.Context, addr string, wait time.Duration) (*message.PullResponse, error) {
	s.mu.Lock()
	released := s.leaseReleased
	s.mu.Unlock()
	if released {
		return nil, errLeaseReleased
	}
	request := s.newPullRequest(addr, wait)
	body, err := easyjson.Marshal(request)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, wait+responseTimeout)
	defer cancel()
	response, askedAt := &message.PullResponse{}, time.Now()
	if err := rpc.Post(ctx, s.client, addr, message.PullPath, body, response); err != nil {
		return nil, err
	}
	if err := s.apply(addr, request, response, askedAt, time.Now()); err != nil {
		return nil, err
	}
	return response, nil
}

// apply takes up news: the configuration as a table swapped whole, the appliances, and what others count of releases. News
// that has lain here while the process stood still is not taken: when it was told can't be said any more, and what has been
// forgotten since would stay.
func (s *subscription) apply(addr string, request *message.PullRequest, response *message.PullResponse, askedAt, now time.Time) error {
	if now.Sub(askedAt) > time.Duration(request.WaitMs)*time.Millisecond+responseTimeout {
		return errStaleResponse
	}
	fullSync, table := s.applyConfiguration(addr, request, response, askedAt)
	p := s.proxy
	p.mu.Lock()
	p.balancer.SetProxyCounts(response.Proxies, response.ZoneProxies, now)
	if response.HasQuorum {
		p.balancer.RenewLease(askedAt)
	}
	if table != nil {
		p.balancer.Configure(table, now)
		p.routingTable.Store(table)
	}
	backends := s.applyBackends(response, now)
	if fullSync && response.HasQuorum {
		p.balancer.RetainBackends(backends, now)
	}
	if len(response.Items) > 0 {
		p.balancer.DispatchAll(now)
	}
	hints := p.balancer.TakePreconnects()
	p.mu.Unlock()
	p.connPool.preconnect(hints)
	if table != nil && table.Limits != (routing.RequestLimits{}) {
		p.listener.applyLimits(table.Limits)
	}
	if response.HasQuorum && !p.synced.Load() {
		p.synced.Store(true)
		p.log.Info("the configuration is whole", zap.Int("items", p.routingTable.Load().ItemCount), zap.Int64("sinceStartMs", time.Since(p.startedAt).Milliseconds()))
	}
	return nil
}

// applyConfiguration takes up what concerns members and the configuration; table is nil where the latter has not changed.
func (s *subscription) applyConfiguration(addr string, request *message.PullRequest, response *message.PullResponse, askedAt time.Time) (fullSync bool, table *routing.Table) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fullSync = s.recordProgress(addr, request, response, askedAt)
	for _, controller := range response.Members {
		s.controllers[controller.Addr] = controller
	}
	s.advertVersion = max(s.advertVersion, response.KnownIncarnation+1)
	// A member that has started again may number lower than in its life before, where its time of day has gone back.
	if response.SurveyID != 0 && response.SurveyID != s.lastSurvey {
		s.lastSurvey = response.SurveyID
		go s.reportInFlight(addr, response.SurveyID)
	}
	if s.mergeItems(response.Items) || s.proxy.routingTable.Load() == nil && response.HasQuorum {
		table = routing.NewTable(s.values)
	}
	return fullSync, table
}

// mergeItems takes up items of the configuration, and tells whether any is newer than what was known; under the lock.
func (s *subscription) mergeItems(items []replication.Item) (changed bool) {
	for _, item := range items {
		if !strings.HasPrefix(item.Key, replication.RegisterKey) {
			continue
		}
		entry := quorum.Entry{}
		if easyjson.Unmarshal([]byte(item.Body), &entry) != nil || !entry.Chosen || entry.Value.Version <= s.values[entry.Key].Version {
			continue // within one life no item goes back
		}
		s.values[entry.Key] = entry.Value
		changed = true
	}
	return changed
}

// applyBackends takes up appliances and counts of releases, under the relay's lock; all are the appliances that were told.
func (s *subscription) applyBackends(response *message.PullResponse, now time.Time) (backends map[string]bool) {
	backends = map[string]bool{}
	for _, item := range response.Items {
		if id, ok := strings.CutPrefix(item.Key, replication.BackendKey); ok {
			if backend, ok := replication.ReadBackend(item); ok {
				toLocalTime(backend, response, now)
				s.proxy.balancer.UpdateBackend(id, item.Version, backend, now)
				backends[id] = true
			}
		} else if key, ok := strings.CutPrefix(item.Key, replication.ReleaseTallyKey); ok {
			if tally, ok := replication.ReadReleaseTally(item); ok {
				s.proxy.balancer.UpdateTally(key, tally)
			}
		}
	}
	return backends
}

// toLocalTime puts the moments that an appliance's entry holds into this machine's time of day: the member's may stand apart.
func toLocalTime(backend *replication.Backend, response *message.PullResponse, now time.Time) {
	if response.NowMs <= 0 {
		return
	}
	offset := now.UnixMilli() - response.NowMs
	backend.HeartbeatMs += offset
	if backend.WarmAtMs != 0 {
		backend.WarmAtMs += offset
	}
}

// recordProgress notes how far this relay has come with what an address has told, and tells whether that takes the place of what it
// knew; under the lock. Several may be asked at once: an answer that builds on what was given up meanwhile claims nothing. It
// tells of the moment at which it was asked for, not of that at which it is read.
func (s *subscription) recordProgress(addr string, request *message.PullRequest, response *message.PullResponse, askedAt time.Time) (fullSync bool) {
	stale := len(s.progress) == 0 || askedAt.Sub(s.lastUpdate) >= fullSyncAfter
	if addr != s.sourceAddr {
		s.lastSurvey = 0
	}
	s.sourceAddr = addr
	if askedAt.After(s.lastUpdate) {
		s.lastUpdate = askedAt
	}
	delete(s.legacyProgress, s.legacySources[addr])
	delete(s.legacySources, addr)
	switch {
	case response.ProtocolVersion < message.ProtocolVersion:
		s.legacySources[addr], s.legacyProgress[response.Source] = response.Source, response.Seq
		return response.Complete
	case response.Complete && stale:
		s.progress = maps.Clone(response.Progress)
		return true
	case response.Complete || s.progress.Covers(request.Progress):
		s.advanceProgress(response)
	}
	return false
}

// advanceProgress adds what an answer has told to how far this relay has come; under the lock.
func (s *subscription) advanceProgress(response *message.PullResponse) {
	for origin, seq := range response.Progress {
		s.progress[origin] = max(s.progress[origin], seq)
	}
	for _, origin := range response.DroppedOrigins {
		delete(s.progress, origin)
	}
}
