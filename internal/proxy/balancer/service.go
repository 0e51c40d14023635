package balancer

import (
	"time"

	"sagelever/internal/stats/decay"
)

// serviceState is the balancer's state of one service.
type serviceState struct {
	backends     []*Backend // sorted by ID
	queue        []*Request // requests that wait for a backend
	retryTokens  float64
	canary       *canaryRelease        // nil if there is no release
	latency      decay.Mean            // mean latency of successful responses, in seconds
	stableBuild  string                // empty if unknown
	requestRates map[string]*decay.Sum // by home regions
}

// countRequest adds a request to the request rate of its home regions.
func (s *serviceState) countRequest(homeRegions string, now time.Time) {
	if s.requestRates == nil {
		s.requestRates = map[string]*decay.Sum{}
	}
	rate := s.requestRates[homeRegions]
	if rate == nil {
		rate = &decay.Sum{}
		s.requestRates[homeRegions] = rate
	}
	rate.Add(sinceOrigin(now), statsHalfLife, 1)
}
