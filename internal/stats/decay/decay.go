// Package decay provides statistics over recent time: sums and means whose past fades with a half-life, and exact
// counts over a sliding window.
//
// Time is passed in as a duration since an origin of the caller's choice, so that simulations can drive the package. It
// holds no tuned value: callers name windows and half-lives, and must use the same half-life throughout for one value.
package decay

import (
	"math"
	"time"
)

// Sum is an exponentially decaying sum: what was added halves with every half-life. It is brought up to date when it is
// read. Its zero value is an empty sum. It is not safe for concurrent use.
type Sum struct {
	total     float64
	updatedAt time.Duration
}

// Add adds a value to the sum.
func (s *Sum) Add(now, halfLife time.Duration, value float64) {
	s.total = s.Value(now, halfLife) + value
}

// Value returns the sum as of now. A moment before the last update counts as that update's.
func (s *Sum) Value(now, halfLife time.Duration) float64 {
	if now > s.updatedAt {
		s.total *= math.Exp2(-float64(now-s.updatedAt) / float64(halfLife))
		s.updatedAt = now
	}
	return s.total
}

// Mean is an exponentially decaying mean. Its zero value has seen nothing.
type Mean struct{ sum, weight Sum }

// Add adds one observation.
func (m *Mean) Add(now, halfLife time.Duration, value float64) {
	m.sum.Add(now, halfLife, value)
	m.weight.Add(now, halfLife, 1)
}

// Estimate returns the mean as of now, drawn towards prior as if prior had been observed priorWeight times. It returns
// prior where neither has any weight.
func (m *Mean) Estimate(now, halfLife time.Duration, prior, priorWeight float64) float64 {
	totalWeight := m.weight.Value(now, halfLife) + priorWeight
	if totalWeight == 0 {
		return prior
	}
	return (m.sum.Value(now, halfLife) + prior*priorWeight) / totalWeight
}

// Weight returns the decayed number of observations.
func (m *Mean) Weight(now, halfLife time.Duration) float64 { return m.weight.Value(now, halfLife) }
