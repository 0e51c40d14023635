package dedup_test

import (
	"testing"
	"time"

	"sagelever/internal/control/dedup"
	"sagelever/internal/control/quorum"
	"sagelever/internal/control/release"
)

const (
	confirmTimeout = 6 * time.Second
	skew           = dedup.MaxClockSkew
)

// An order that is resent for as long as the protocol allows, to a controller whose clock differs by up to
// MaxClockSkew, is the same order. Past the window it is a new one, by whichever clock.
func TestApplyOnceAtWindowEdge(t *testing.T) {
	window := dedup.ResendWindow(confirmTimeout)
	start := time.UnixMilli(1_000_000)
	for _, x := range []struct {
		after time.Duration // since the order was applied
		ahead time.Duration // by which the clock of this controller is ahead of the one that applied it
		again bool
	}{
		{0, 0, true},
		{confirmTimeout, 0, true},
		{confirmTimeout - time.Millisecond, skew, true},
		{confirmTimeout, skew, false},
		{confirmTimeout + skew - time.Millisecond, 0, true},
		{confirmTimeout + skew, 0, false},
		{0, -skew, true},
		{confirmTimeout, -skew, true},
		{confirmTimeout + 2*skew - time.Millisecond, -skew, true},
		{confirmTimeout + 2*skew, -skew, false},
	} {
		first := release.StartOnce("v2", time.Second, start, window)(quorum.Value{})
		ended := release.End(1, release.PhaseReverted)(first)
		now := start.Add(x.after).Add(x.ahead)
		next := release.StartOnce("v2", time.Second, now, window)(ended)
		if again := next == ended; again != x.again {
			t.Errorf("%v later by a clock %v ahead: the same order %v, want %v", x.after, x.ahead, again, x.again)
		}
	}
}
