package routing

import (
	"slices"
	"testing"
	"time"

	"sagelever/internal/control/config"
	"sagelever/internal/control/drain"
	"sagelever/internal/control/quorum"
	"sagelever/internal/control/release"
	"sagelever/internal/control/replication"
)

// Which appliances carry load, as room is reckoned: not those that leave for any reason, nor a build on trial or out of
// service; and the drains that stand, by the registers.
func TestBackendCapacitiesAndDrainOrders(t *testing.T) {
	now := time.UnixMilli(1000)
	begun := release.Start("v2", time.Second, now)(quorum.Value{})
	drains := drain.Add(drain.Drain{ID: "drained"}, func(string) bool { return false }, now)(quorum.Value{})
	registers := map[string]quorum.Value{drain.EvacuationKey("c1"): drain.SetEvacuation(true, 0)(quorum.Value{}), drain.ListKey("a1"): drains,
		config.Key(config.KindServices, "s"): {Version: 1, Body: `{"warmUp":"3s","warmingRateS":5}`}}
	newBackend := func(zone, build, phase string, warm int64) *replication.Backend {
		return &replication.Backend{Service: "s", Zone: zone, Version: build, Capacity: 3, Phase: phase, WarmAtMs: warm}
	}
	backends := map[string]*replication.Backend{"old": newBackend("a1", "v1", replication.PhaseReady, 0), "new": newBackend("a1", "v2", replication.PhaseReady, 0), "cold": newBackend("a1", "v1", replication.PhaseReady, 2000),
		"drained": newBackend("a1", "v1", replication.PhaseReady, 0), "cleared": newBackend("c1", "v1", replication.PhaseReady, 0), "leaving": newBackend("a1", "v1", replication.PhaseDraining, 0), "silent": newBackend("a1", "v1", replication.PhaseTimedOut, 0)}
	regionByZone := map[string]string{"a1": "a", "c1": "c"}
	for phase, want := range map[string][]string{"": {"cold", "new", "old"}, release.PhaseInService: {"cold", "old"}, release.PhaseReverted: {"cold", "old"}, release.PhaseFinished: {"new"}} {
		switch phase {
		case "":
		case release.PhaseInService:
			registers[release.RegisterKey("s")] = begun
		default:
			registers[release.RegisterKey("s")] = release.End(1, phase)(begun)
		}
		var serving []string
		for _, capacity := range BackendCapacities(NewTable(registers), backends, regionByZone, now) {
			if capacity.Serving {
				serving = append(serving, capacity.ID)
			}
			if (capacity.WarmUpRate > 0) != (capacity.ID == "cold") || capacity.Region != regionByZone[capacity.Zone] {
				t.Errorf("%+v", capacity)
			}
		}
		if !slices.Equal(serving, want) {
			t.Errorf("release %q: %v carry load, want %v", phase, serving, want)
		}
		delete(registers, release.RegisterKey("s"))
	}
	orders := drain.ActiveDrains(registers)
	if len(orders) != 1 || orders[0].Target != "drained" || orders[0].Version != 1 || !orders[0].Covers(drain.BackendCapacity{ID: "drained", Zone: "a1"}) || orders[0].Covers(drain.BackendCapacity{ID: "drained", Zone: "c1"}) {
		t.Errorf("%+v", orders)
	}
}
