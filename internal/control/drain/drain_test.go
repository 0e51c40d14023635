package drain

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sagelever/internal/control/quorum"
)

// After any sequence of orders, the listed drains are those that the last order for each target implies. An order
// increases the register's version by one at most. Drains of ended backends are removed when another drain is added, so
// that the register does not grow with the number of backends that were ever drained.
func TestDrainListMatchesLastOrders(t *testing.T) {
	targets := []Drain{{}, {Service: "s"}, {Service: "z"}, {ID: "i1"}, {ID: "i2"}, {ID: "i3"}}
	rapid.Check(t, func(t *rapid.T) {
		current, ended := quorum.Value{}, map[string]bool{}
		want := map[Drain]bool{}
		now := time.UnixMilli(5)
		for range rapid.IntRange(1, 80).Draw(t, "orders") {
			target := rapid.SampledFrom(targets).Draw(t, "target")
			before := current
			if rapid.Bool().Draw(t, "add") {
				current = Add(target, func(id string) bool { return ended[id] }, now)(current)
				if !want[target] {
					for drained := range want {
						if ended[drained.ID] {
							delete(want, drained)
						}
					}
				}
				want[target] = true
			} else {
				current = Remove(target)(current)
				delete(want, target)
			}
			ended["i3"] = ended["i3"] || rapid.IntRange(0, 9).Draw(t, "ended") == 0
			if current.Version != before.Version && current.Version != before.Version+1 {
				t.Fatalf("version %d after %d", current.Version, before.Version)
			}
			wantDrains(t, ReadList(current), want)
		}
	})
}

func wantDrains(t *rapid.T, drains []Drain, want map[Drain]bool) {
	t.Helper()
	if len(drains) != len(want) {
		t.Fatalf("%v, want %v", drains, want)
	}
	for _, d := range drains {
		d.StartedMs = 0
		if !want[d] {
			t.Fatalf("%v is listed, want %v", d, want)
		}
	}
}

func TestMaxPerZone(t *testing.T) {
	current := quorum.Value{}
	for i := range maxPerZone + 5 {
		added := Drain{ID: fmt.Sprint("i", i)}
		current = Add(added, func(string) bool { return false }, time.UnixMilli(1))(current)
	}
	if count := len(ReadList(current)); count != maxPerZone {
		t.Errorf("%d drains in a zone, want %d", count, maxPerZone)
	}
}
