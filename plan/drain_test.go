package plan

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sagelever/internal/control/quorum"
)

var zones = map[string]string{"a1": "a", "b1": "b"}

// Words on drains from many operators, in any order, leave what the last word on each target says; a word again, or one on
// what does not stand, changes nothing, and the register does not grow with the appliances that were ever drained.
func TestDrainListMatchesLastOrders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		held, over := quorum.Value{}, map[string]bool{}
		want := map[Drain]bool{}
		now := time.UnixMilli(5)
		for range rapid.IntRange(1, 80).Draw(t, "words") {
			d := rapid.SampledFrom([]Drain{{}, {Service: "s"}, {Service: "z"}, {ID: "i1"}, {ID: "i2"}, {ID: "i3"}}).Draw(t, "target")
			before := held
			if rapid.Bool().Draw(t, "on") {
				held = Add(d, func(id string) bool { return over[id] }, now)(held)
				if !want[d] {
					for x := range want {
						if over[x.ID] {
							delete(want, x)
						}
					}
				}
				want[d] = true
			} else {
				held = Remove(d)(held)
				delete(want, d)
			}
			if over["i3"] = over["i3"] || rapid.IntRange(0, 9).Draw(t, "over") == 0; held.Version != before.Version && held.Version != before.Version+1 {
				t.Fatalf("version %d after %d", held.Version, before.Version)
			}
			list := ReadList(held)
			if len(list) != len(want) {
				t.Fatalf("%v, want %v", list, want)
			}
			for _, x := range list {
				x.BeganMs = 0
				if !want[x] {
					t.Fatalf("%v stands, want %v", x, want)
				}
			}
		}
	})
	held := quorum.Value{}
	for i := range MaxPerZone + 5 {
		held = Add(Drain{ID: fmt.Sprint("i", i)}, func(string) bool { return false }, time.UnixMilli(1))(held)
	}
	if n := len(ReadList(held)); n != MaxPerZone {
		t.Errorf("%d drains stand in a zone, want %d at most", n, MaxPerZone)
	}
}

// What a name of a drain means, and what it covers.
func TestParseTarget(t *testing.T) {
	where := func(id string) string { return map[string]string{"i1": "a1"}[id] }
	type app struct{ service, id, zone string }
	for name, x := range map[string]struct {
		covers, not app
	}{
		"i1":   {app{"s", "i1", "a1"}, app{"s", "i2", "a1"}},
		"s@b1": {app{"s", "i2", "b1"}, app{"z", "i3", "b1"}},
		"b1":   {app{"z", "i3", "b1"}, app{"z", "i3", "a1"}},
	} {
		zone, d, err := ParseTarget(name, zones, where)
		if err != nil || d.TargetName(zone) != name {
			t.Errorf("%s: %v %v %v", name, zone, d, err)
		}
		table := NewTable(map[string]quorum.Value{ListKey(zone): Add(d, neverEnded, time.Now())(quorum.Value{})})
		if !table.IsDrained(x.covers.service, x.covers.id, x.covers.zone) || table.IsDrained(x.not.service, x.not.id, x.not.zone) || table.DrainVersions[zone] != 1 {
			t.Errorf("%s covers the wrong ones", name)
		}
	}
	for _, bad := range []string{"", "i9", "s@", "@a1", "s@nowhere", "a1@s"} {
		if _, _, err := ParseTarget(bad, zones, where); err == nil {
			t.Errorf("%q is taken", bad)
		}
	}
}

func neverEnded(string) bool { return false }
