package drain

import (
	"testing"
	"time"

	"sagelever/internal/control/dedup"
	"sagelever/internal/control/quorum"
)

// An order within the window is treated as a resend of the last one, unless the last one is known to be acknowledged.
func TestSetEvacuationOnceAtWindowEdge(t *testing.T) {
	window := dedup.ResendWindow(6 * time.Second)
	start := time.UnixMilli(1_000_000)
	evacuateAt := func(acknowledged uint64, after time.Duration) quorum.UpdateFunc {
		return SetEvacuationOnce(true, acknowledged, start.Add(after), window)
	}
	first := evacuateAt(0, 0)(quorum.Value{})
	if again := evacuateAt(0, window-time.Millisecond)(first); again != first {
		t.Error("an order resent within the window counts as a new one")
	}
	if state := ReadEvacuation(evacuateAt(0, window)(first).Body); state.orders != 2 {
		t.Errorf("after the window, %d orders are in force, want 2", state.orders)
	}
	if state := ReadEvacuation(evacuateAt(first.Version, time.Second)(first).Body); state.orders != 2 {
		t.Error("an order after an acknowledged one counts as a resend")
	}
	withoutTime := quorum.Value{Version: 1, Body: "on"} // written by a build that recorded no times
	if again := evacuateAt(0, time.Hour)(withoutTime); again != withoutTime {
		t.Error("an order after one without a time counts as a new one")
	}
}

// Bodies of the register in the forms of this version of the software and of the previous one.
func TestReadEvacuation(t *testing.T) {
	for body, want := range map[string]EvacuationState{
		"":          {orders: 0, lastWithdrawn: true},
		"off":       {orders: 0, lastWithdrawn: true},
		"on":        {orders: 1, lastWithdrawn: false},
		"on 3":      {orders: 3, lastWithdrawn: false},
		"on 2 back": {orders: 2, lastWithdrawn: true},
		"on x":      {orders: 1, lastWithdrawn: false},
		"odd":       {orders: 0, lastWithdrawn: true},
	} {
		if got := ReadEvacuation(body); got != want {
			t.Errorf("%q: %+v, want %+v", body, got, want)
		}
	}
}
