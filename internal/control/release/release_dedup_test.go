package release

import (
	"fmt"
	"testing"
	"time"

	"sagelever/internal/control/dedup"
	"sagelever/internal/control/quorum"
)

const confirm = 6 * time.Second

// An order that is sent again for as long as it may be, by an agent whose clock stands as far apart as clocks may, is the same
// order; a moment past the term it is a new one, and so it is past the term by the clock that is behind.
func TestApplyOnceAtWindowEdge(t *testing.T) {
	term, at := dedup.ResendWindow(confirm), time.UnixMilli(1_000_000)
	for _, x := range []struct {
		after, ahead time.Duration // since the order was taken, and by which this agent's clock stands before the taker's
		again        bool
	}{
		{0, 0, true}, {confirm, 0, true},
		{confirm - time.Millisecond, dedup.MaxClockSkew, true},
		{confirm, dedup.MaxClockSkew, false},
		{confirm + dedup.MaxClockSkew - time.Millisecond, 0, true},
		{confirm + dedup.MaxClockSkew, 0, false},
		{0, -dedup.MaxClockSkew, true}, {confirm, -dedup.MaxClockSkew, true},
		{confirm + 2*dedup.MaxClockSkew - time.Millisecond, -dedup.MaxClockSkew, true},
		{confirm + 2*dedup.MaxClockSkew, -dedup.MaxClockSkew, false},
	} {
		first := StartOnce("v2", time.Second, at, term)(quorum.Value{})
		ended := End(1, PhaseReverted)(first)
		next := StartOnce("v2", time.Second, at.Add(x.after).Add(x.ahead), term)(ended)
		if again := next == ended; again != x.again {
			t.Errorf("%v later by a clock %v ahead: the same order %v, want %v", x.after, x.ahead, again, x.again)
		}
	}
}

// What makes two orders of a release the same: target and time, also after others; a release under way goes on whenever the
// same is ordered.
func TestStartOnceRecognizesResends(t *testing.T) {
	term, at := dedup.ResendWindow(confirm), time.UnixMilli(1_000_000)
	v := quorum.Value{}
	begin := func(target string, over, after time.Duration, want uint64) {
		t.Helper()
		v = StartOnce(target, over, at.Add(after), term)(v)
		if r, _ := Read(v); r.Number != want {
			t.Errorf("%s over %v, %v later: release %d, want %d", target, over, after, r.Number, want)
		}
	}
	begin("v2", time.Second, 0, 1)
	begin("v2", time.Second, time.Hour, 1) // it is under way
	begin("v2", 2*time.Second, 0, 2)
	begin("v3", time.Second, 0, 3)
	begin("v2", time.Second, time.Second, 3)
	v = End(3, PhaseFinished)(v)
	begin("v3", time.Second, time.Second, 3)
	begin("v3", time.Second, term, 4)
	for i := range 3 * dedup.MaxAppliedOrders {
		v = StartOnce(fmt.Sprint("w", i), time.Second, at, term)(v)
	}
	if n := len(dedup.ReadAppliedOrders(v).Orders); n != dedup.MaxAppliedOrders {
		t.Errorf("%d orders are remembered, want %d", n, dedup.MaxAppliedOrders)
	}
}
