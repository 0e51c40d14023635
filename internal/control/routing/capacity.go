package routing

import (
	"maps"
	"slices"
	"time"

	"sagelever/internal/control/drain"
	"sagelever/internal/control/release"
	"sagelever/internal/control/replication"
)

// BackendCapacities returns the backends, by rising ID, as a capacity check counts them. backends are given by ID.
func BackendCapacities(
	table *Table, backends map[string]*replication.Backend, regionByZone map[string]string, now time.Time,
) []drain.BackendCapacity {
	var capacities []drain.BackendCapacity
	for _, id := range slices.Sorted(maps.Keys(backends)) {
		backend := backends[id]
		capacity := drain.BackendCapacity{
			ID:      id,
			Service: backend.Service,
			Zone:    backend.Zone,
			Region:  regionByZone[backend.Zone],
			Slots:   backend.Capacity,
			Serving: isServing(table, id, backend),
		}
		if service := table.Services[backend.Service]; service != nil && backend.WarmUpEndMs > now.UnixMilli() {
			capacity.WarmUpRate = service.WarmUpRate
		}
		capacities = append(capacities, capacity)
	}
	return capacities
}

// isServing reports whether a backend can be counted on: it is not leaving for any reason, and its build is neither on
// trial nor replaced. During a release that is the old build, after a finished one the new build.
func isServing(table *Table, id string, backend *replication.Backend) bool {
	if backend.Phase != replication.PhaseReady || table.Evacuated[backend.Zone] {
		return false
	}
	if table.IsDrained(backend.Service, id, backend.Zone) {
		return false
	}
	serviceRelease := table.Releases[backend.Service]
	if serviceRelease == nil {
		return true
	}
	isTarget := backend.Version == serviceRelease.Target
	finished := serviceRelease.Phase == release.PhaseFinished
	return isTarget == finished
}
