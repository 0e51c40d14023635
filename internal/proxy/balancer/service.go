package balancer

import (
	"time"

	"sagelever/internal/stats/decay"
)

// serviceState is what the balancer keeps for one service.
type serviceState struct {
	backends     []*Backend // sorted by ID
	queue        []*Request // waiting for a backend
	retryTokens  float64
	canary       *canaryRelease // nil while no release is under way
	latency      decay.Mean     // seconds that a response takes
	stableBuild  string         // empty while it is not known
	requestRates map[string]*decay.Sum
}

// countRequest counts a request by the regions in which it may be served.
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
