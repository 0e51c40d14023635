package drain

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sagelever/internal/control/quorum"
)

const testWindow = 16 * time.Second

func neverEnded(string) bool { return false }

// drainHistory is the register of a zone after a number of orders, each based on the value before it.
type drainHistory struct {
	value quorum.Value
	now   time.Time
}

func (h *drainHistory) begin(target string) {
	h.value = AddRecorded(h.value, "z", Drain{ID: target}, neverEnded, h.now, testWindow)(h.value)
}

func (h *drainHistory) end(target string) {
	h.value = RemoveRecorded(h.value, "z", Drain{ID: target}, h.now, testWindow)(h.value)
}

// Guards against a late copy of a drain order that undoes a later order on the same target. Whatever is ordered between the
// base of an order and its decision, the order has an effect only if its target has had none since. Orders on a few
// other targets don't overtake it.
func TestLateDrainOrderGivesWay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		history := drainHistory{now: time.UnixMilli(1_000_000)}
		for range rapid.IntRange(0, 5).Draw(t, "earlier orders") {
			history.begin(fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "target")))
		}
		base, receivedAt := history.value, history.now
		touched, others := false, 0
		for range rapid.IntRange(0, 40).Draw(t, "later orders") {
			target := rapid.SampledFrom([]string{"0", "1", "2", "3", "4", "5", "6", "7"}).Draw(t, "target")
			before := history.value.Version
			if rapid.Bool().Draw(t, "begin") {
				history.begin(target)
			} else {
				history.end(target)
			}
			if history.value.Version != before {
				touched = touched || target == "0"
				others++
			}
			history.now = history.now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "pause ms")) * time.Millisecond)
		}
		late := Drain{ID: "0"}
		for name, update := range map[string]quorum.UpdateFunc{
			"begin": AddRecorded(base, "z", late, neverEnded, receivedAt, testWindow),
			"end":   RemoveRecorded(base, "z", late, receivedAt, testWindow),
		} {
			next := update(history.value)
			if touched && next != history.value {
				t.Fatalf("%s: a later order on the target was undone", name)
			}
		}
		if others == 0 && Overtaken(base, history.value, "0") {
			t.Fatal("overtaken without another order")
		}
	})
}

// An order on another target of the zone does not overtake an order, so that many drains can begin at once.
func TestDrainOrdersOnOtherTargetsDoNotOvertake(t *testing.T) {
	history := drainHistory{now: time.UnixMilli(1_000_000)}
	base := history.value
	for i := range 10 {
		history.begin(fmt.Sprint("other", i))
	}
	if Overtaken(base, history.value, "i") {
		t.Error("orders on other targets have overtaken an order")
	}
	next := AddRecorded(base, "z", Drain{ID: "i"}, neverEnded, history.now, testWindow)(history.value)
	if count := len(ReadList(next)); count != 11 {
		t.Errorf("%d drains, want 11", count)
	}
}
