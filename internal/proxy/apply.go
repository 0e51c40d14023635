package proxy

import (
	"maps"
	"strings"
	"time"

	"github.com/mailru/easyjson"

	"sagelever/internal/control/message"
	"sagelever/internal/control/quorum"
	"sagelever/internal/control/replication"
	"sagelever/internal/control/routing"
	"sagelever/internal/proxy/balancer"
)

// apply applies the response to a pull: the configuration as a new routing table, the backends, and the release tallies
// of other proxies.
//
// It returns errStaleResponse and applies nothing if the response is read later than a pull may take, for example after
// the process was suspended. The age of such a response is unknown, and the controllers may have dropped records of
// removals that it does not contain.
func (s *subscription) apply(pull answeredPull, now time.Time) error {
	maxAge := time.Duration(pull.request.WaitMs)*time.Millisecond + responseTimeout
	if now.Sub(pull.sentAt) > maxAge {
		return errStaleResponse
	}
	wasAuthoritative := s.proxy.holdsAuthority(now)
	table, fullSync := s.applyConfiguration(pull)
	targets := s.updateBalancer(pull, table, fullSync, now)
	s.proxy.connPool.preconnect(targets)
	if table != nil && table.Limits != (routing.RequestLimits{}) {
		s.proxy.listener.applyLimits(table.Limits)
	}
	s.proxy.updateAuthority(pull.response, wasAuthoritative)
	return nil
}

// updateBalancer applies a response to the balancer in one critical section, so that no request is placed while only a
// part of the response is applied. It returns the backends to which connections should be opened ahead of time.
func (s *subscription) updateBalancer(pull answeredPull, table *routing.Table, fullSync bool,
	now time.Time) []balancer.PreconnectTarget {
	p, response := s.proxy, pull.response
	p.mu.Lock()
	defer p.mu.Unlock()
	p.balancer.SetProxyCounts(response.Proxies, response.ZoneProxies, now)
	if response.HasQuorum {
		p.balancer.RenewLease(pull.sentAt)
	}
	if table != nil {
		p.balancer.Configure(table, now)
		p.routingTable.Store(table)
	}
	backends := s.applyItems(response, now)
	if fullSync && response.HasQuorum {
		p.balancer.RetainBackends(backends, now)
	}
	if len(response.Items) > 0 {
		p.balancer.DispatchAll(now)
	}
	return p.balancer.TakePreconnects()
}

// applyConfiguration applies the parts of a response that concern the controllers and the configuration. table is nil
// if the configuration has not changed. fullSync reports whether the response replaces the proxy's entire state.
func (s *subscription) applyConfiguration(pull answeredPull) (table *routing.Table, fullSync bool) {
	response := pull.response
	s.mu.Lock()
	defer s.mu.Unlock()
	fullSync = s.recordProgress(pull)
	s.updateMembers(response)
	s.advertVersion = max(s.advertVersion, response.KnownIncarnation+1)
	// Survey numbers are compared for inequality: a restarted controller whose clock was set back numbers surveys
	// lower.
	if response.SurveyID != 0 && response.SurveyID != s.lastSurvey {
		s.lastSurvey = response.SurveyID
		go s.reportInFlight(pull.addr, response.SurveyID)
	}
	changed := s.mergeConfiguration(response.Items)
	if changed || s.proxy.routingTable.Load() == nil && response.HasQuorum {
		table = routing.NewTable(s.values)
	}
	return table, fullSync
}

// updateMembers records the members of the control group that a response lists. Only a response with quorum replaces
// the list; one without quorum can only add members, as its list may be outdated. The caller must hold s.mu.
func (s *subscription) updateMembers(response *message.PullResponse) {
	switch {
	case len(response.Members) == 0:
	case response.HasQuorum:
		s.sources.SetMembers(response.Members)
	default:
		s.sources.AddMembers(response.Members)
	}
}

// mergeConfiguration merges configuration items into s.values and reports whether any value has changed. The version of
// a key never decreases. The caller must hold s.mu.
func (s *subscription) mergeConfiguration(items []replication.Item) (changed bool) {
	for _, item := range items {
		if !strings.HasPrefix(item.Key, replication.RegisterKeyPrefix) {
			continue
		}
		entry := quorum.Entry{}
		if err := easyjson.Unmarshal([]byte(item.Body), &entry); err != nil || !entry.Chosen {
			continue
		}
		if entry.Value.Version > s.values[entry.Key].Version {
			s.values[entry.Key] = entry.Value
			changed = true
		}
	}
	return changed
}

// applyItems applies the items of backends and release tallies and returns the ids of the backends in the response. The
// caller must hold Proxy.mu.
func (s *subscription) applyItems(response *message.PullResponse, now time.Time) (backends map[string]bool) {
	backends = map[string]bool{}
	for _, item := range response.Items {
		if id, ok := strings.CutPrefix(item.Key, replication.BackendKeyPrefix); ok {
			if backend, ok := replication.ReadBackend(item); ok {
				toLocalTime(backend, response, now)
				s.proxy.balancer.UpdateBackend(id, item.Version, backend, now)
				backends[id] = true
			}
		} else if key, ok := strings.CutPrefix(item.Key, replication.ReleaseTallyKeyPrefix); ok {
			if tally, ok := replication.ReadReleaseTally(item); ok {
				s.proxy.balancer.UpdateTally(key, tally)
			}
		}
	}
	return backends
}

// toLocalTime converts the times in a backend's item from the controller's clock to the local one.
func toLocalTime(backend *replication.Backend, response *message.PullResponse, now time.Time) {
	if response.NowMs <= 0 {
		return
	}
	offset := now.UnixMilli() - response.NowMs
	backend.HeartbeatMs += offset
	if backend.WarmUpEndMs != 0 {
		backend.WarmUpEndMs += offset
	}
}

// recordProgress records the log positions that a response reaches and reports whether the response replaces the
// proxy's entire state. The caller must hold s.mu.
//
// Pulls may overlap. A response does not advance the progress if s.progress no longer covers the positions that its
// request started from. lastUpdate is the time of the request, because the time at which the controller answered is
// unknown.
func (s *subscription) recordProgress(pull answeredPull) (fullSync bool) {
	response := pull.response
	stale := len(s.progress) == 0 || pull.sentAt.Sub(s.lastUpdate) >= fullSyncAfter
	if pull.addr != s.sourceAddr {
		s.lastSurvey = 0
	}
	s.sourceAddr = pull.addr
	if pull.sentAt.After(s.lastUpdate) {
		s.lastUpdate = pull.sentAt
	}
	delete(s.legacyProgress, s.legacySources[pull.addr])
	delete(s.legacySources, pull.addr)
	switch {
	case response.ProtocolVersion < message.ProtocolVersion:
		s.legacySources[pull.addr] = response.Source
		s.legacyProgress[response.Source] = response.LocalSequence
		return response.Complete
	case response.Complete && stale:
		s.progress = maps.Clone(response.Progress)
		return true
	case s.recordPart(pull):
	case response.Complete || s.progress.Covers(pull.request.Progress):
		s.advanceProgress(response.Progress, response.DroppedOrigins)
	}
	return false
}

// advanceProgress merges progress into s.progress and removes dropped origins, those that have no item left. The caller
// must hold s.mu.
func (s *subscription) advanceProgress(progress replication.Vector, droppedOrigins []string) {
	for origin, seq := range progress {
		s.progress[origin] = max(s.progress[origin], seq)
	}
	for _, origin := range droppedOrigins {
		delete(s.progress, origin)
	}
}
