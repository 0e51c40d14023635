// Package backoff computes the delays between retries of an operation that fails. It keeps no state: callers count the
// failures, wait, and supply the random numbers.
package backoff

import "time"

// Policy defines how the delays grow.
type Policy struct {
	Initial time.Duration // maximum delay after the first failure
	Max     time.Duration // maximum delay after any number of failures
}

// Delay returns the delay after a number of consecutive failures, which must be at least 1. The maximum delay doubles
// with each failure up to Max. The delay is between half of the maximum and the maximum, in proportion to random, which
// must be between 0 and 1. The jitter keeps callers that failed at the same time from retrying at the same time.
func (p Policy) Delay(failures int, random float64) time.Duration {
	longest := p.Initial
	for i := 1; i < failures && longest < p.Max; i++ {
		longest *= 2
	}
	longest = min(longest, p.Max)
	return longest/2 + time.Duration(random*float64(longest/2))
}
