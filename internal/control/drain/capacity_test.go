package drain

import (
	"fmt"
	"testing"
)

func newCapacities(n int, zone, region string) (out []BackendCapacity) {
	for i := range n {
		out = append(out, BackendCapacity{ID: fmt.Sprint(zone, i), Service: "s", Zone: zone, Region: region, Slots: 3, Serving: true})
	}
	return out
}

// What a removal leaves has to carry the load: everywhere, and within the homes of what is bound to some regions; removals
// under way are added up, cold ones count for what they bear, and the last appliance does not go while anything asks for it.
func TestCapacityShortfalls(t *testing.T) {
	all := append(append(newCapacities(5, "a1", "a"), newCapacities(5, "b1", "b")...), newCapacities(5, "c1", "c")...)
	any := []ServiceLoad{{"s", "", 100, 0.15}, {"s", "", 80, 0.15}} // 27 slots of 45
	homes := append([]ServiceLoad{{"s", "a,b", 120, 0.15}}, any...) // and 18 more, in a and b alone
	zone := func(z string) func(BackendCapacity) bool { return func(s BackendCapacity) bool { return s.Zone == z } }
	none := func(BackendCapacity) bool { return false }
	change := func(f func(i int, s *BackendCapacity)) []BackendCapacity {
		out := append([]BackendCapacity(nil), all...)
		for i := range out {
			f(i, &out[i])
		}
		return out
	}
	for name, x := range map[string]struct {
		loads   []ServiceLoad
		spots   []BackendCapacity
		leaving func(BackendCapacity) bool
		short   int
	}{
		"one zone of three":                     {any, all, zone("a1"), 0},
		"a zone while another is going":         {any, change(func(_ int, s *BackendCapacity) { s.Serving = s.Zone != "b1" }), zone("a1"), 1},
		"a home region, all would be too few":   {homes, all, zone("a1"), 2},
		"a zone outside the homes":              {homes[:1], all, zone("c1"), 0},
		"the others are cold":                   {any, change(func(_ int, s *BackendCapacity) { s.WarmUpRate = 5 }), zone("a1"), 1},
		"all of a service without load":         {nil, all, func(BackendCapacity) bool { return true }, 1},
		"nothing goes, though it is short":      {[]ServiceLoad{{"s", "", 1000, 1}}, all, none, 0},
		"short already, and nothing of it goes": {append([]ServiceLoad{{"z", "", 1000, 1}}, any...), append([]BackendCapacity{{ID: "z", Service: "z", Zone: "c1", Region: "c", Slots: 1, Serving: true}}, all...), zone("a1"), 0},
	} {
		if got := CapacityShortfalls(x.loads, x.spots, x.leaving); len(got) != x.short {
			t.Errorf("%s: %v, want %d", name, got, x.short)
		}
	}
	// At 0.9 of its room a service of 30 bears the loss of one and not of three.
	most := []ServiceLoad{{"s", "", 540, 0.15}}
	thirty := newCapacities(30, "a1", "a")
	for gone, short := range map[int]int{1: 0, 3: 1} {
		if got := CapacityShortfalls(most, thirty, func(s BackendCapacity) bool { return s.ID < fmt.Sprint("a1", gone) && len(s.ID) == 3 }); len(got) != short {
			t.Errorf("%d of 30 at 0.9: %v", gone, got)
		}
	}
}
