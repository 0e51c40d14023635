package drain

import (
	"testing"
	"time"

	"sagelever/internal/control/dedup"
	"sagelever/internal/control/quorum"
)

// An order is a copy of the last one within the window, as long as the last one is not known to be acknowledged.
func TestSetEvacuationOnceAtWindowEdge(t *testing.T) {
	window := dedup.ResendWindow(6 * time.Second)
	start := time.UnixMilli(1_000_000)
	evacuateAt := func(acknowledged uint64, after time.Duration) quorum.UpdateFunc {
		return SetEvacuationOnce(true, acknowledged, start.Add(after), window)
	}
	first := evacuateAt(0, 0)(quorum.Value{})
	if again := evacuateAt(0, window-time.Millisecond)(first); again != first {
		t.Error("sent again within the window, it counts as another order")
	}
	if state := ReadEvacuation(evacuateAt(0, window)(first).Body); state.orders != 2 {
		t.Errorf("past the window, %d orders are in force, want 2", state.orders)
	}
	if state := ReadEvacuation(evacuateAt(first.Version, time.Second)(first).Body); state.orders != 2 {
		t.Error("after an acknowledged order, it counts as a copy")
	}
	withoutTime := quorum.Value{Version: 1, Body: "on"} // written by a program that recorded no times
	if again := evacuateAt(0, time.Hour)(withoutTime); again != withoutTime {
		t.Error("after an order without a time, it counts as another order")
	}
}

// The body of the register, in the forms of this version and the one before.
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
