package routing

import (
	"maps"
	"slices"
	"time"

	"sagelever/internal/control/drain"
	"sagelever/internal/control/release"
	"sagelever/internal/control/replication"
)

// BackendCapacities returns the input of a capacity check for some backends, given by ID. It is sorted by ID.
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

// isServing reports whether the capacity of a backend counts: the backend is not leaving service for any reason, and
// its build is neither on trial nor replaced. The build that counts is the old one during a release and after a
// reverted one, and the new one after a finished release.
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
