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

// An order that is resent within the time that the protocol allows, to a controller whose clock differs by up to
// MaxClockSkew, is a repetition. Once the window has passed by the clock of the controller that receives the order, it
// is a new order.
func TestApplyOnceAtWindowEdge(t *testing.T) {
	window := dedup.ResendWindow(confirmTimeout)
	start := time.UnixMilli(1_000_000)
	for _, test := range []struct {
		elapsed      time.Duration // since the order was applied
		clockAhead   time.Duration // of this controller, relative to the one that applied the order
		isRepetition bool
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
		now := start.Add(test.elapsed).Add(test.clockAhead)
		next := release.StartOnce("v2", time.Second, now, window)(ended)
		if isRepetition := next == ended; isRepetition != test.isRepetition {
			t.Errorf("%v later with a clock %v ahead: treated as a repetition: %v, want %v",
				test.elapsed, test.clockAhead, isRepetition, test.isRepetition)
		}
	}
}
