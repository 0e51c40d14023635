package drain_test

import (
	"testing"
	"time"

	"sagelever/internal/control/drain"
	"sagelever/internal/control/quorum"
	"sagelever/internal/control/routing"
)

// A target name is parsed to the drain with this name, which covers the expected backends.
func TestParseTarget(t *testing.T) {
	regionByZone := map[string]string{"a1": "a", "b1": "b"}
	zoneOf := func(id string) string { return map[string]string{"i1": "a1"}[id] }
	neverEnded := func(string) bool { return false }
	type backend struct{ service, id, zone string }
	for name, test := range map[string]struct{ covered, notCovered backend }{
		"i1":   {backend{"s", "i1", "a1"}, backend{"s", "i2", "a1"}},
		"s@b1": {backend{"s", "i2", "b1"}, backend{"z", "i3", "b1"}},
		"b1":   {backend{"z", "i3", "b1"}, backend{"z", "i3", "a1"}},
	} {
		zone, parsed, err := drain.ParseTarget(name, regionByZone, zoneOf)
		if err != nil || parsed.TargetName(zone) != name {
			t.Errorf("%s: parsed as zone %q and %+v, error %v", name, zone, parsed, err)
		}
		value := drain.Add(parsed, neverEnded, time.Now())(quorum.Value{})
		table := routing.NewTable(map[string]quorum.Value{drain.ListKey(zone): value})
		if !table.IsDrained(test.covered.service, test.covered.id, test.covered.zone) {
			t.Errorf("%s does not cover %v", name, test.covered)
		}
		if table.IsDrained(test.notCovered.service, test.notCovered.id, test.notCovered.zone) {
			t.Errorf("%s covers %v", name, test.notCovered)
		}
		if table.DrainVersions[zone] != 1 {
			t.Errorf("%s: version %d of the zone's drains, want 1", name, table.DrainVersions[zone])
		}
	}
	for _, unknown := range []string{"", "i9", "s@", "@a1", "s@nowhere", "a1@s"} {
		if _, _, err := drain.ParseTarget(unknown, regionByZone, zoneOf); err == nil {
			t.Errorf("%q is accepted", unknown)
		}
	}
}
