// Package gauge holds what is measured over time. It knows no tuned value: callers name spans and half-lives.
package decay

import (
	"math"
	"sort"
	"time"
)

// SlidingWindow counts moments exactly over a trailing window.
type SlidingWindow struct{ moments []time.Duration }

// Add notes one moment and drops those older than keep; moments come in order.
func (s *SlidingWindow) Add(now, retention time.Duration) {
	if expired := s.countBefore(now - retention); 2*expired > len(s.moments) { // half at a time, so that each is moved once at most
		s.moments = append(s.moments[:0], s.moments[expired:]...)
	}
	s.moments = append(s.moments, now)
}

// Count tells how many moments lie within the window that ends now, which is no longer than what is kept.
func (s *SlidingWindow) Count(now, window time.Duration) int {
	return len(s.moments) - s.countBefore(now-window)
}

// countBefore tells how many moments lie before one.
func (s *SlidingWindow) countBefore(moment time.Duration) int {
	return sort.Search(len(s.moments), func(i int) bool { return s.moments[i] >= moment })
}

// Sum is a sum whose past halves with every half-life; it is brought up to date when read.
type Sum struct {
	total     float64
	updatedAt time.Duration
}

// Add puts x onto the sum.
func (d *Sum) Add(now, halfLife time.Duration, value float64) {
	d.total = d.Value(now, halfLife) + value
}

// Value gives the sum as of now.
func (d *Sum) Value(now, halfLife time.Duration) float64 {
	if now > d.updatedAt {
		d.total *= math.Exp2(-float64(now-d.updatedAt) / float64(halfLife))
		d.updatedAt = now
	}
	return d.total
}

// Mean is a decaying mean.
type Mean struct{ sum, weight Sum }

// Add notes one value.
func (m *Mean) Add(now, halfLife time.Duration, value float64) {
	m.sum.Add(now, halfLife, value)
	m.weight.Add(now, halfLife, 1)
}

// Estimate gives the mean drawn towards prior as if prior had been seen weight times.
func (m *Mean) Estimate(now, halfLife time.Duration, prior, priorWeight float64) float64 {
	totalWeight := m.weight.Value(now, halfLife) + priorWeight
	if totalWeight == 0 {
		return prior
	}
	return (m.sum.Value(now, halfLife) + prior*priorWeight) / totalWeight
}

// Weight tells how much has been seen lately.
func (m *Mean) Weight(now, halfLife time.Duration) float64 { return m.weight.Value(now, halfLife) }
