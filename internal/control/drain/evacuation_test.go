package drain

import (
	"testing"
	"time"

	"sagelever/internal/control/dedup"
	"sagelever/internal/control/quorum"
)

const evacuationConfirm = 6 * time.Second

// A word on a zone again is the same one within the term, while it isn't known to have had its answer; after it, it is
// another.
func TestSetEvacuationOnceAtWindowEdge(t *testing.T) {
	term, at := dedup.ResendWindow(evacuationConfirm), time.UnixMilli(1_000_000)
	v := SetEvacuationOnce(true, 0, at, term)(quorum.Value{})
	if again := SetEvacuationOnce(true, 0, at.Add(term-time.Millisecond), term)(v); again != v {
		t.Error("sent again within the term, it counts as another")
	}
	other := SetEvacuationOnce(true, 0, at.Add(term), term)(v)
	if c := ReadEvacuation(other.Body); c.Orders != 2 {
		t.Errorf("past the term, %d orders stand", c.Orders)
	}
	if heard := SetEvacuationOnce(true, v.Version, at.Add(time.Second), term)(v); ReadEvacuation(heard.Body).Orders != 2 {
		t.Error("known to have had its answer, it counts as the same")
	}
	old := quorum.Value{Version: 1, Body: "on"} // of a program that kept no time
	if again := SetEvacuationOnce(true, 0, at.Add(time.Hour), term)(old); again != old {
		t.Error("a word without a time counts as another")
	}
}

// What a register of a zone says, in the forms of this version and the one before.
func TestReadEvacuation(t *testing.T) {
	for body, want := range map[string]EvacuationState{"": {0, true}, "off": {0, true}, "on": {1, false}, "on 3": {3, false}, "on 2 back": {2, true}, "on x": {1, false}, "odd": {0, true}} {
		if got := ReadEvacuation(body); got != want {
			t.Errorf("%q: %+v, want %+v", body, got, want)
		}
	}
}
