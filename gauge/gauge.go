// Package gauge holds what is measured over time. It knows no tuned value: callers name spans and half-lives.
package gauge

import (
	"math"
	"sort"
	"time"
)

// Sliding counts moments exactly over a trailing window.
type Sliding struct{ at []time.Duration }

// Add notes one moment and drops those older than keep; moments come in order.
func (s *Sliding) Add(now, keep time.Duration) {
	if old := s.before(now - keep); 2*old > len(s.at) { // half at a time, so that each is moved once at most
		s.at = append(s.at[:0], s.at[old:]...)
	}
	s.at = append(s.at, now)
}

// Count tells how many moments lie within the window that ends now, which is no longer than what is kept.
func (s *Sliding) Count(now, window time.Duration) int { return len(s.at) - s.before(now-window) }

// before tells how many moments lie before one.
func (s *Sliding) before(moment time.Duration) int {
	return sort.Search(len(s.at), func(i int) bool { return s.at[i] >= moment })
}

// Decaying is a sum whose past halves with every half-life; it is brought up to date when read.
type Decaying struct {
	sum float64
	at  time.Duration
}

// Add puts x onto the sum.
func (d *Decaying) Add(now, half time.Duration, x float64) { d.sum = d.Read(now, half) + x }

// Read gives the sum as of now.
func (d *Decaying) Read(now, half time.Duration) float64 {
	if now > d.at {
		d.sum *= math.Exp2(-float64(now-d.at) / float64(half))
		d.at = now
	}
	return d.sum
}

// Mean is a decaying mean.
type Mean struct{ total, weight Decaying }

// Add notes one value.
func (m *Mean) Add(now, half time.Duration, x float64) {
	m.total.Add(now, half, x)
	m.weight.Add(now, half, 1)
}

// Read gives the mean drawn towards prior as if prior had been seen weight times.
func (m *Mean) Read(now, half time.Duration, prior, weight float64) float64 {
	w := m.weight.Read(now, half) + weight
	if w == 0 {
		return prior
	}
	return (m.total.Read(now, half) + prior*weight) / w
}

// Weight tells how much has been seen lately.
func (m *Mean) Weight(now, half time.Duration) float64 { return m.weight.Read(now, half) }
