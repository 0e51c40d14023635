package lease

import (
	"testing"
	"time"
)

// The arithmetic of docs/leaving.md: a leave outlasts the pull that has brought it and the next one, with a fifth to spare,
// and keeps a quarter of `empty` for a request on its way and a member that has just lost the others.
func TestLeaseDurations(t *testing.T) {
	for _, empty := range []time.Duration{0, 400 * time.Millisecond, time.Second, 3 * time.Second, 4 * time.Second, time.Minute} {
		term, wait := LeaseDuration(empty), PullWait(empty)
		if wait <= 0 || 2*wait+term/5 > term || empty > 0 && term > empty*3/4 || term > maxLeaseDuration {
			t.Errorf("empty %v: a leave of %v, pulls of %v", empty, term, wait)
		}
	}
}
