package lease

import (
	"testing"
	"time"
)

// The durations satisfy the bounds that docs/leaving.md derives. A lease outlasts the pull that renewed it and the next
// pull, with a fifth of its duration to spare. It leaves a quarter of the drain time for requests in transit and for a
// controller that has just lost contact with the others.
func TestDurations(t *testing.T) {
	for _, drainTime := range []time.Duration{
		0, 400 * time.Millisecond, time.Second, 3 * time.Second, 4 * time.Second, time.Minute,
	} {
		duration := Duration(drainTime)
		wait := PullWait(drainTime)
		if wait <= 0 || 2*wait+duration/5 > duration {
			t.Errorf("drain time %v: a lease of %v does not outlast two pulls of %v", drainTime, duration, wait)
		}
		if drainTime > 0 && duration > drainTime*3/4 || duration > maxDuration {
			t.Errorf("drain time %v: a lease of %v is too long", drainTime, duration)
		}
	}
}
