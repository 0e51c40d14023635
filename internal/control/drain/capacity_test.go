package drain

import (
	"fmt"
	"testing"
)

func newCapacities(count int, zone, region string) []BackendCapacity {
	var capacities []BackendCapacity
	for i := range count {
		capacities = append(capacities, BackendCapacity{
			ID: fmt.Sprint(zone, i), Service: "s", Zone: zone, Region: region, Slots: 3, Serving: true,
		})
	}
	return capacities
}

// changed returns copies of capacities, each changed.
func changed(capacities []BackendCapacity, change func(*BackendCapacity)) []BackendCapacity {
	copies := append([]BackendCapacity(nil), capacities...)
	for i := range copies {
		change(&copies[i])
	}
	return copies
}

func inZone(zone string) func(BackendCapacity) bool {
	return func(backend BackendCapacity) bool { return backend.Zone == zone }
}

// What remains after a removal has to carry the load: everywhere, and within the home regions of the traffic that is
// bound to some. Removals that are under way add up, warming backends count for the rate that they bear, and the last
// backend is not removed while a service has it.
func TestCapacityShortfalls(t *testing.T) {
	all := newCapacities(5, "a1", "a")
	all = append(all, newCapacities(5, "b1", "b")...)
	all = append(all, newCapacities(5, "c1", "c")...)
	otherZoneLeaving := changed(all, func(c *BackendCapacity) { c.Serving = c.Zone != "b1" })
	warming := changed(all, func(c *BackendCapacity) { c.WarmUpRate = 5 })
	withShort := append([]BackendCapacity{
		{ID: "z", Service: "z", Zone: "c1", Region: "c", Slots: 1, Serving: true},
	}, all...)

	unbound := []ServiceLoad{{"s", "", 100, 0.15}, {"s", "", 80, 0.15}}  // 27 slots of 45
	bound := append([]ServiceLoad{{"s", "a,b", 120, 0.15}}, unbound...)  // and 18 more, in a and b alone
	shortBefore := append([]ServiceLoad{{"z", "", 1000, 1}}, unbound...) // and another service beyond its capacity
	everything := func(BackendCapacity) bool { return true }
	nothing := func(BackendCapacity) bool { return false }

	for name, x := range map[string]struct {
		loads    []ServiceLoad
		backends []BackendCapacity
		removed  func(BackendCapacity) bool
		want     int
	}{
		"one zone of three":                       {unbound, all, inZone("a1"), 0},
		"a zone while another is leaving":         {unbound, otherZoneLeaving, inZone("a1"), 1},
		"a home region, all would be too few":     {bound, all, inZone("a1"), 2},
		"a zone outside the home regions":         {bound[:1], all, inZone("c1"), 0},
		"the others are warming up":               {unbound, warming, inZone("a1"), 1},
		"all of a service without load":           {nil, all, everything, 1},
		"nothing is removed, though it is short":  {[]ServiceLoad{{"s", "", 1000, 1}}, all, nothing, 0},
		"short before, and nothing of it removed": {shortBefore, withShort, inZone("a1"), 0},
	} {
		if got := CapacityShortfalls(x.loads, x.backends, x.removed); len(got) != x.want {
			t.Errorf("%s: %v, want %d", name, got, x.want)
		}
	}
}

// At 0.9 of its capacity a service of 30 backends bears the loss of one and not of three.
func TestCapacityShortfallsNearCapacity(t *testing.T) {
	load := []ServiceLoad{{"s", "", 540, 0.15}}
	thirty := newCapacities(30, "a1", "a")
	for count, want := range map[int]int{1: 0, 3: 1} {
		removed := map[string]bool{}
		for i := range count {
			removed[fmt.Sprint("a1", i)] = true
		}
		got := CapacityShortfalls(load, thirty, func(backend BackendCapacity) bool { return removed[backend.ID] })
		if len(got) != want {
			t.Errorf("%d of 30 removed at 0.9: %v, want %d", count, got, want)
		}
	}
}
