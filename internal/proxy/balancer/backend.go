package balancer

import (
	"slices"
	"sort"
	"time"

	"sagelever/internal/control/replication"
	"sagelever/internal/proxy/draining"
	"sagelever/internal/stats/decay"
)

// Distance is the network distance between this proxy and a backend. Traffic between zones costs more than within a
// zone, and traffic between regions costs most.
type Distance int

// The distances, nearest first.
const (
	SameZone Distance = iota
	SameRegion
	OtherRegion
)

const (
	// maxClockSkew is the maximum difference between the clocks of two machines.
	maxClockSkew = 250 * time.Millisecond
	// newBackendRetention is the time, in heartbeat intervals, for which a backend is kept after its first update even
	// if a controller's complete list lacks it.
	newBackendRetention = 10
)

// Backend is this proxy's state of a backend.
type Backend struct {
	ID string
	replication.Backend
	Drain    draining.Tracker // the drain state, and the number of requests of this proxy in flight
	Distance Distance

	firstSeen       time.Time
	healthCheckedAt time.Time // when the last health check was scheduled
	updateVersion   uint64    // version of the newest update that was applied
	warmingUntil    time.Time
	nextWarmUpSend  time.Time // earliest time for the next request while the backend warms up
	health          passiveHealth
	relativeLatency decay.Mean // mean response latency, as a multiple of the service's mean
}

// Backend returns the backend with an ID, or nil if there is none.
func (b *Balancer) Backend(id string) *Backend { return b.backends[id] }

// UpdateBackend applies an update of a backend from a controller. It ignores an update whose version is not newer than
// that of the last one, and any update of a backend whose incarnation has ended.
func (b *Balancer) UpdateBackend(id string, version uint64, update *replication.Backend, now time.Time) {
	backend := b.backends[id]
	if backend != nil && backend.updateVersion >= version {
		return // an older update that arrived by a slower path
	}
	if update.Phase == replication.PhaseLeft {
		b.removeBackend(id, now)
		b.tombstones.add(id, now)
		return
	}
	if b.tombstones.has(id, now) {
		return // a partitioned controller may still report the backend's earlier state
	}
	if backend == nil {
		backend = b.insertBackend(id, update.Service, now)
	}
	backend.Backend = *update
	backend.updateVersion = version
	backend.Distance = b.distanceTo(update.Zone)
	backend.updateWarmUp(update, now)
	b.reviewDrains(b.service(backend.Service), now)
}

// isReady reports whether the backend serves according to its last heartbeat. A backend whose heartbeats have stopped
// still counts as ready: the outcomes of requests show whether it is reachable.
func (b *Backend) isReady() bool {
	return b.Phase == replication.PhaseReady || b.Phase == replication.PhaseTimedOut
}

func (b *Balancer) insertBackend(id, serviceName string, now time.Time) *Backend {
	backend := &Backend{ID: id, firstSeen: now}
	b.backends[id] = backend
	svc := b.service(serviceName)
	svc.backends = append(svc.backends, backend)
	sort.Slice(svc.backends, func(i, j int) bool { return svc.backends[i].ID < svc.backends[j].ID })
	return backend
}

func (b *Balancer) distanceTo(zone string) Distance {
	switch {
	case zone == b.zone:
		return SameZone
	case b.regionByZone[zone] == b.region:
		return SameRegion
	}
	return OtherRegion
}

// removeBackend removes a backend whose incarnation has ended. Its requests in flight are still tracked until they end.
func (b *Balancer) removeBackend(id string, now time.Time) {
	backend := b.backends[id]
	if backend == nil {
		return
	}
	delete(b.backends, id)
	backend.Drain.End(now)
	if backend.Drain.InFlight() > 0 {
		b.removedInFlight[id] = backend
	}
	svc := b.service(backend.Service)
	if i := slices.Index(svc.backends, backend); i >= 0 {
		svc.backends = append(svc.backends[:i:i], svc.backends[i+1:]...)
	}
	b.reviewDrains(svc, now)
}

// RetainBackends removes the backends that are not in a controller's complete list. It keeps a backend that was first
// reported within newBackendRetention, since another controller may have reported it.
func (b *Balancer) RetainBackends(ids map[string]bool, now time.Time) {
	for id, backend := range b.backends {
		if !ids[id] && now.Sub(backend.firstSeen) > newBackendRetention*b.bounds.HeartbeatInterval {
			b.removeBackend(id, now)
		}
	}
}
