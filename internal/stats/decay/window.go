package decay

import (
	"sort"
	"time"
)

// SlidingWindow counts events exactly over a trailing window. Its zero value is empty and ready to use. It is not safe
// for concurrent use.
//
// Invariant: moments is sorted in ascending order.
type SlidingWindow struct{ moments []time.Duration }

// Add records one event and discards those older than retention. Events must be added in order of time.
func (s *SlidingWindow) Add(now, retention time.Duration) {
	expired := s.countBefore(now - retention)
	if 2*expired > len(s.moments) { // so that fewer moments are moved than discarded
		s.moments = append(s.moments[:0], s.moments[expired:]...)
	}
	s.moments = append(s.moments, now)
}

// Count returns the number of events within the window that ends now. The window must not be longer than the retention
// passed to Add.
func (s *SlidingWindow) Count(now, window time.Duration) int {
	return len(s.moments) - s.countBefore(now-window)
}

func (s *SlidingWindow) countBefore(moment time.Duration) int {
	return sort.Search(len(s.moments), func(i int) bool { return s.moments[i] >= moment })
}
