package balancer

import (
	"slices"
	"sort"
	"time"

	"sagelever/internal/control/replication"
	"sagelever/internal/proxy/draining"
	"sagelever/internal/stats/decay"
)

// Distance is how far a backend is from this proxy. Traffic between zones, and more so between regions, is expensive.
type Distance int

// The distances, the nearest first.
const (
	SameZone Distance = iota
	SameRegion
	OtherRegion
)

const (
	// maxClockSkew is by how much the clocks of two machines may differ.
	maxClockSkew = 250 * time.Millisecond
	// retainedHeartbeats is for how many heartbeat intervals after its first update a backend is kept though a
	// controller's complete list lacks it.
	retainedHeartbeats = 10
)

// Backend is a backend as this proxy sees it.
type Backend struct {
	ID string
	replication.Backend
	Drain    draining.Tracker // whether it drains, and what this proxy has in flight there
	Distance Distance

	firstSeen       time.Time
	healthCheckedAt time.Time // when it was last asked whether it serves
	updateVersion   uint64    // of the newest update that was applied
	warmingUntil    time.Time
	nextWarmUpSend  time.Time // when it may be sent the next request, while it warms up
	health          passiveHealth
	relativeLatency decay.Mean // of its responses, as a multiple of the service's mean
}

// Backend returns a backend by its ID, and nil where it is not known.
func (b *Balancer) Backend(id string) *Backend { return b.backends[id] }

// UpdateBackend applies what the controllers say of a backend. An update with a version that is not newer than the last
// one, or of a backend whose incarnation is over, changes nothing.
func (b *Balancer) UpdateBackend(id string, version uint64, update *replication.Backend, now time.Time) {
	backend := b.backends[id]
	if backend != nil && backend.updateVersion >= version {
		return // an older update that came by another path
	}
	if update.Phase == replication.PhaseLeft {
		b.removeBackend(id, now)
		b.tombstones.add(id, now)
		return
	}
	if b.tombstones.has(id, now) {
		return // a controller that was cut off may still report the backend as it was
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

// isReady reports whether the backend serves by its last heartbeat. One whose heartbeats have stopped still counts as
// ready: requests find out whether it is there.
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

// removeBackend removes a backend whose incarnation is over. Requests in flight there are waited for all the same.
func (b *Balancer) removeBackend(id string, now time.Time) {
	backend := b.backends[id]
	if backend == nil {
		return
	}
	delete(b.backends, id)
	backend.Drain.End(now)
	if backend.Drain.InFlight() > 0 {
		b.departed[id] = backend
	}
	svc := b.service(backend.Service)
	if i := slices.Index(svc.backends, backend); i >= 0 {
		svc.backends = append(svc.backends[:i:i], svc.backends[i+1:]...)
	}
	b.reviewDrains(svc, now)
}

// RetainBackends removes the backends that are not in a controller's complete list. One that was first reported
// recently stays, since its update may have come by another path.
func (b *Balancer) RetainBackends(ids map[string]bool, now time.Time) {
	for id, backend := range b.backends {
		if !ids[id] && now.Sub(backend.firstSeen) > retainedHeartbeats*b.bounds.HeartbeatInterval {
			b.removeBackend(id, now)
		}
	}
}
