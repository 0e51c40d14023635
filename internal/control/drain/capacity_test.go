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

// changed returns a copy of capacities with a change applied to each.
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

// The backends that remain after a removal must have the capacity for the load, in total and within the home regions of
// traffic that is restricted to some. Removals in progress add up, warming backends count with their warm-up rate, and
// removing the last backend of a service is a shortfall.
func TestCapacityShortfalls(t *testing.T) {
	all := newCapacities(5, "a1", "a")
	all = append(all, newCapacities(5, "b1", "b")...)
	all = append(all, newCapacities(5, "c1", "c")...)
	otherZoneNotServing := changed(all, func(c *BackendCapacity) { c.Serving = c.Zone != "b1" })
	warming := changed(all, func(c *BackendCapacity) { c.WarmUpRate = 5 })
	backendsWithOther := append([]BackendCapacity{
		{ID: "z", Service: "z", Zone: "c1", Region: "c", Slots: 1, Serving: true},
	}, all...)

	unrestricted := []ServiceLoad{{"s", "", 100, 0.15}, {"s", "", 80, 0.15}}      // 27 slots of 45
	restricted := append([]ServiceLoad{{"s", "a,b", 120, 0.15}}, unrestricted...) // and 18 more, only in a and b
	otherShort := append([]ServiceLoad{{"z", "", 1000, 1}}, unrestricted...)      // and another, overloaded service
	everything := func(BackendCapacity) bool { return true }
	nothing := func(BackendCapacity) bool { return false }

	for name, test := range map[string]struct {
		loads    []ServiceLoad
		backends []BackendCapacity
		removed  func(BackendCapacity) bool
		want     int
	}{
		"one zone of three":                          {unrestricted, all, inZone("a1"), 0},
		"a zone while another is not serving":        {unrestricted, otherZoneNotServing, inZone("a1"), 1},
		"a home region; total capacity also too low": {restricted, all, inZone("a1"), 2},
		"a zone outside the home regions":            {restricted[:1], all, inZone("c1"), 0},
		"the remaining zones are warming up":         {unrestricted, warming, inZone("a1"), 1},
		"all backends of a service without load":     {nil, all, everything, 1},
		"nothing removed, already short":             {[]ServiceLoad{{"s", "", 1000, 1}}, all, nothing, 0},
		"another service is already short":           {otherShort, backendsWithOther, inZone("a1"), 0},
	} {
		if got := CapacityShortfalls(test.loads, test.backends, test.removed); len(got) != test.want {
			t.Errorf("%s: shortfalls %v, want %d", name, got, test.want)
		}
	}
}

// At 0.9 of its capacity, a service of 30 backends has enough capacity without one of them and too little without
// three.
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
			t.Errorf("%d of 30 backends removed: shortfalls %v, want %d", count, got, want)
		}
	}
}
