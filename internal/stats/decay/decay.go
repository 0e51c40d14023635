// Package decay provides statistics over recent time: exponentially decaying sums and means, and exact counts over
// a sliding window.
//
// Times are durations since an origin of the caller's choice, so that simulations can use the package. Callers must
// always pass the same half-life for one value.
package decay

import (
	"math"
	"time"
)

// Sum is an exponentially decaying sum: each added value halves with every half-life. The decay is applied when the sum
// is read. The zero value is an empty sum. A Sum is not safe for concurrent use, not even for reading.
type Sum struct {
	total     float64
	updatedAt time.Duration
}

// Add adds a value to the sum.
func (s *Sum) Add(now, halfLife time.Duration, value float64) {
	s.total = s.Value(now, halfLife) + value
}

// Value returns the sum as of now. If now is before the last update, it returns the sum as of that
// update.
func (s *Sum) Value(now, halfLife time.Duration) float64 {
	if now > s.updatedAt {
		s.total *= math.Exp2(-float64(now-s.updatedAt) / float64(halfLife))
		s.updatedAt = now
	}
	return s.total
}

// Mean is an exponentially decaying mean. The zero value is a mean without observations.
type Mean struct{ sum, weight Sum }

// Add adds one observation.
func (m *Mean) Add(now, halfLife time.Duration, value float64) {
	m.sum.Add(now, halfLife, value)
	m.weight.Add(now, halfLife, 1)
}

// Estimate returns the mean as of now, with prior counted as priorWeight additional observations. It returns prior if
// there are neither observations nor a prior weight.
func (m *Mean) Estimate(now, halfLife time.Duration, prior, priorWeight float64) float64 {
	totalWeight := m.weight.Value(now, halfLife) + priorWeight
	if totalWeight == 0 {
		return prior
	}
	return (m.sum.Value(now, halfLife) + prior*priorWeight) / totalWeight
}

// Weight returns the decayed number of observations.
func (m *Mean) Weight(now, halfLife time.Duration) float64 { return m.weight.Value(now, halfLife) }
