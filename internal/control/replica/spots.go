package replica

import (
	"maps"
	"slices"
	"strings"
	"time"

	"sagelever/ebb"
	"sagelever/internal/control/quorum"
	"sagelever/lore"
	"sagelever/plan"
)

// BackendCapacities are the appliances as room is reckoned with them: what is leaving for any reason, a build on trial and one that is
// out of service carry nothing.
func BackendCapacities(table *plan.Table, backends map[string]*lore.Backend, regionByZone map[string]string, now time.Time) (capacities []ebb.BackendCapacity) {
	for _, id := range slices.Sorted(maps.Keys(backends)) {
		backend := backends[id]
		capacity := ebb.BackendCapacity{ID: id, Service: backend.Service, Zone: backend.Zone, Region: regionByZone[backend.Zone], Slots: backend.Capacity,
			Serving: backend.Phase == lore.PhaseReady && !table.Evacuated[backend.Zone] && !table.IsDrained(backend.Service, id, backend.Zone)}
		if rel := table.Releases[backend.Service]; rel != nil && (backend.Version == rel.Target) != (rel.Phase == plan.PhaseFinished) {
			capacity.Serving = false
		}
		if service := table.Services[backend.Service]; service != nil && backend.WarmAtMs > now.UnixMilli() {
			capacity.WarmUpRate = service.WarmUpRate
		}
		capacities = append(capacities, capacity)
	}
	return capacities
}

// DrainOrders are the drains that stand, by the registers as chosen.
func DrainOrders(registers map[string]quorum.Value) (orders []ebb.ActiveDrain) {
	for _, key := range slices.Sorted(maps.Keys(registers)) {
		zone, ok := strings.CutPrefix(key, plan.ListKey(""))
		if !ok {
			continue
		}
		for _, zoneDrain := range plan.ReadList(registers[key]) {
			orders = append(orders, NewDrainOrder(zone, zoneDrain, registers[key].Version))
		}
	}
	return orders
}

// NewDrainOrder is a drain in a zone, of a version of its register.
func NewDrainOrder(zone string, zoneDrain plan.Drain, version uint64) ebb.ActiveDrain {
	return ebb.ActiveDrain{Target: zoneDrain.TargetName(zone), Zone: zone, Version: version, StartedAt: time.UnixMilli(zoneDrain.BeganMs),
		Covers: func(capacity ebb.BackendCapacity) bool {
			return capacity.Zone == zone && zoneDrain.Covers(capacity.Service, capacity.ID)
		}}
}
