package server

import (
	"testing"

	"sagelever/internal/control/membership"
	"sagelever/internal/settings"
)

// The control group consists of the members that the deploy file places in the zones of the settings, and survives the
// largest loss that the settings specify.
func TestControlGroupTarget(t *testing.T) {
	cfg := &settings.Settings{
		Zones:          map[string]string{"a1": "a", "a2": "a", "b1": "b", "b2": "b", "c1": "c", "c2": "c"},
		FaultTolerance: settings.FaultTolerance{Hosts: 1, Zones: 1, Regions: 1},
	}
	for membersPerZone, want := range map[int]membership.Target{
		1: {MembersPerZone: 1, Zones: 6, MaxFailures: 2},
		2: {MembersPerZone: 2, Zones: 6, MaxFailures: 4},
	} {
		got := controlGroupTarget(cfg, membersPerZone)
		if got != want || got.Size() != 6*membersPerZone {
			t.Errorf("%d in each zone: %+v, want %+v", membersPerZone, got, want)
		}
	}
}
