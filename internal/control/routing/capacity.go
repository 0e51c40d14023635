package routing

import (
	"maps"
	"slices"
	"time"

	"sagelever/internal/control/drain"
	"sagelever/internal/control/release"
	"sagelever/internal/control/replication"
)

// BackendCapacities are the appliances as room is reckoned with them: what is leaving for any reason, a build on trial and one that is
// out of service carry nothing.
func BackendCapacities(table *Table, backends map[string]*replication.Backend, regionByZone map[string]string, now time.Time) (capacities []drain.BackendCapacity) {
	for _, id := range slices.Sorted(maps.Keys(backends)) {
		backend := backends[id]
		capacity := drain.BackendCapacity{ID: id, Service: backend.Service, Zone: backend.Zone, Region: regionByZone[backend.Zone], Slots: backend.Capacity,
			Serving: backend.Phase == replication.PhaseReady && !table.Evacuated[backend.Zone] && !table.IsDrained(backend.Service, id, backend.Zone)}
		if rel := table.Releases[backend.Service]; rel != nil && (backend.Version == rel.Target) != (rel.Phase == release.PhaseFinished) {
			capacity.Serving = false
		}
		if service := table.Services[backend.Service]; service != nil && backend.WarmAtMs > now.UnixMilli() {
			capacity.WarmUpRate = service.WarmUpRate
		}
		capacities = append(capacities, capacity)
	}
	return capacities
}
