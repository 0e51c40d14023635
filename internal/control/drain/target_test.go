package drain_test

import (
	"testing"
	"time"

	"sagelever/internal/control/drain"
	"sagelever/internal/control/quorum"
	"sagelever/internal/control/routing"
)

var targetZones = map[string]string{"a1": "a", "b1": "b"}

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
		zone, d, err := drain.ParseTarget(name, targetZones, where)
		if err != nil || d.TargetName(zone) != name {
			t.Errorf("%s: %v %v %v", name, zone, d, err)
		}
		table := routing.NewTable(map[string]quorum.Value{drain.ListKey(zone): drain.Add(d, neverEnded, time.Now())(quorum.Value{})})
		if !table.IsDrained(x.covers.service, x.covers.id, x.covers.zone) || table.IsDrained(x.not.service, x.not.id, x.not.zone) || table.DrainVersions[zone] != 1 {
			t.Errorf("%s covers the wrong ones", name)
		}
	}
	for _, bad := range []string{"", "i9", "s@", "@a1", "s@nowhere", "a1@s"} {
		if _, _, err := drain.ParseTarget(bad, targetZones, where); err == nil {
			t.Errorf("%q is taken", bad)
		}
	}
}

func neverEnded(string) bool { return false }
