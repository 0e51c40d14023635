package server

import (
	"net/http"
	"sync"
	"sync/atomic"

	"go.uber.org/zap"

	"sagelever/internal/control/message"
	"sagelever/internal/control/replica"
	"sagelever/internal/telemetry"
)

// Distances to a peer, used as indices of counters.sentBytes. The cost of traffic increases with the distance.
const (
	sameZone = iota
	sameRegion
	otherRegion
	distanceCount // number of distances
)

// counters are event counts since the start of the controller. They are logged every reportInterval.
type counters struct {
	heartbeats atomic.Int64
	pulls      atomic.Int64
	lookups    atomic.Int64
	proposals  atomic.Int64
	handedOver atomic.Int64 // changes handed over to another controller

	abandonedOrders atomic.Int64 // orders that were not begun because their callers had left

	peerCalls atomic.Int64
	sentBytes [distanceCount]atomic.Int64 // in responses to pulls, by distance
}

// pathCounters count the requests to one path of the peer port and the bytes of their bodies as transmitted.
type pathCounters struct {
	calls         atomic.Int64
	receivedBytes atomic.Int64
	sentBytes     atomic.Int64
}

// countPath wraps the handler of a path of the peer port to count its requests.
func (s *Server) countPath(path string, handler http.HandlerFunc) http.HandlerFunc {
	counters := &pathCounters{}
	s.pathCounters[path] = counters
	return func(w http.ResponseWriter, r *http.Request) {
		counters.calls.Add(1)
		counters.receivedBytes.Add(max(0, r.ContentLength))
		handler(&countingWriter{w, counters}, r)
	}
}

// countingWriter counts the bytes of a response body.
type countingWriter struct {
	http.ResponseWriter
	counters *pathCounters
}

func (w *countingWriter) Write(p []byte) (int, error) {
	w.counters.sentBytes.Add(int64(len(p)))
	return w.ResponseWriter.Write(p)
}

// countSent adds the size of a response to the counter for the distance of the peer's zone.
func (s *Server) countSent(zone string, size int) {
	distance := otherRegion
	switch {
	case zone == s.self.Zone:
		distance = sameZone
	case s.settings.Zones[zone] == s.settings.Region:
		distance = sameRegion
	}
	s.counters.sentBytes[distance].Add(int64(size))
}

// reportCounters logs all counters.
func (s *Server) reportCounters() {
	contention, usage := s.contentionStats(), s.resources.usage()
	s.log.Info("counters",
		zap.Int64("heartbeats", s.counters.heartbeats.Load()),
		zap.Int64("pulls", s.counters.pulls.Load()),
		zap.Int64("lookups", s.counters.lookups.Load()),
		zap.Int64("proposals", s.counters.proposals.Load()),
		zap.Int64("handedOver", s.counters.handedOver.Load()),
		zap.Int64("abandonedOrders", s.counters.abandonedOrders.Load()),
		zap.Uint64("defeats", contention.Defeats),
		zap.Uint64("batched", contention.Batched),
		zap.Int64("connections", usage.connections),
		zap.Uint64("memoryMB", usage.memoryBytes>>20),
		zap.Int64("peerCalls", s.counters.peerCalls.Load()),
		zap.Int64("bytesSentInZone", s.counters.sentBytes[sameZone].Load()),
		zap.Int64("bytesSentInRegion", s.counters.sentBytes[sameRegion].Load()),
		zap.Int64("bytesSentToOtherRegions", s.counters.sentBytes[otherRegion].Load()))
	for path, counters := range s.pathCounters {
		s.log.Info("peer calls",
			zap.String("path", path),
			zap.Int64("calls", counters.calls.Load()),
			zap.Int64("receivedBytes", counters.receivedBytes.Load()),
			zap.Int64("sentBytes", counters.sentBytes.Load()))
	}
	s.peerCalls.logConfirmations()
}

// metricsPage returns the page with the counters of this controller.
func (s *Server) metricsPage() *telemetry.Page {
	page := telemetry.NewPage()
	page.AddCounters(map[string]*atomic.Int64{
		"heartbeats_total":         &s.counters.heartbeats,
		"pulls_total":              &s.counters.pulls,
		"lookups_total":            &s.counters.lookups,
		"proposals_total":          &s.counters.proposals,
		"changes_handed_over":      &s.counters.handedOver,
		"abandoned_orders_total":   &s.counters.abandonedOrders,
		"peer_calls_total":         &s.counters.peerCalls,
		"sent_in_zone_bytes":       &s.counters.sentBytes[sameZone],
		"sent_in_region_bytes":     &s.counters.sentBytes[sameRegion],
		"sent_other_regions_bytes": &s.counters.sentBytes[otherRegion],
	})
	page.Add("round_defeats_total", func() float64 { return float64(s.contentionStats().Defeats) })
	page.Add("batched_proposals_total", func() float64 { return float64(s.contentionStats().Batched) })
	page.Add("connections", func() float64 { return float64(s.resources.usage().connections) })
	page.Add("memory_bytes", func() float64 { return float64(s.resources.usage().memoryBytes) })
	for name, count := range map[string]func(*peerCallCounts) int64{
		"confirmations_sent_total":     func(c *peerCallCounts) int64 { return c.sent },
		"confirmations_answered_total": func(c *peerCallCounts) int64 { return c.answered },
		"confirmations_refused_total":  func(c *peerCallCounts) int64 { return c.refused },
	} {
		page.Add(name, func() float64 { return float64(s.peerCalls.total(message.ConfirmPath, count)) })
	}
	page.Add("undecided_registers", func() float64 { return float64(s.undecidedCount()) })
	page.Add("operations_in_progress", func() float64 { return float64(s.operations.size()) })
	return page
}

// contentionStats returns the replica's statistics of competing rounds.
func (s *Server) contentionStats() replica.ContentionStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.replica.ContentionStats()
}

// undecidedCount returns the number of registers whose value is not known to be chosen.
func (s *Server) undecidedCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.replica.UndecidedCount()
}

// failureLog logs the first failed disk write of a series, and the first successful one after it.
type failureLog struct {
	log *zap.Logger

	mu       sync.Mutex
	failures int // consecutive failed writes
}

// record logs the result of a write if it differs from that of the previous one.
func (f *failureLog) record(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil {
		f.failures++
		if f.failures == 1 {
			f.log.Warn("disk writes fail", zap.Error(err))
		}
		return
	}
	if f.failures > 0 {
		f.log.Info("disk writes succeed again", zap.Int("failures", f.failures))
	}
	f.failures = 0
}
