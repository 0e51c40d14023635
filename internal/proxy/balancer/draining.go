package balancer

import (
	"time"

	"sagelever/internal/proxy/draining"
)

// reviewDrains updates the drain reasons of each backend of a service, and plans connections for requests that new
// drains displace.
func (b *Balancer) reviewDrains(svc *serviceState, now time.Time) {
	displaced := 0 // requests in flight at backends that begin to drain, as an estimate of those that will go elsewhere
	for _, backend := range svc.backends {
		changed := backend.Drain.SetReasons(b.drainReasons(svc, backend), now)
		if changed && backend.Drain.State() == draining.Draining {
			displaced += backend.Drain.InFlight()
		}
	}
	b.planPreconnects(svc, displaced, now)
}

func (b *Balancer) drainReasons(svc *serviceState, backend *Backend) (reasons draining.Reasons) {
	if !backend.isReady() {
		reasons |= draining.SelfReported
	}
	if b.table != nil && b.table.Evacuated[backend.Zone] {
		reasons |= draining.ZoneEvacuated
	}
	if b.table != nil && b.table.IsDrained(backend.Service, backend.ID, backend.Zone) {
		reasons |= draining.OperatorDrain
	}
	if svc.buildRetired(backend) {
		reasons |= draining.BuildRetired
	}
	return reasons
}

// RenewLease records that a healthy controller has answered a request sent at requestedAt.
func (b *Balancer) RenewLease(requestedAt time.Time) { b.lease.Renew(requestedAt) }

// LeaseValid reports whether the send lease is valid. Without a valid lease, only backends that have themselves
// confirmed lately that they serve get requests.
func (b *Balancer) LeaseValid(now time.Time) bool { return b.lease.Valid(now) }

// MayWrite reports whether a request that was assigned to a backend may still be written to it. While the connection is
// being established, the backend may begin to drain or the send lease may expire.
func (b *Balancer) MayWrite(backend *Backend, now time.Time) bool {
	return backend.Drain.State() == draining.Serving && backend.Drain.MaySend(&b.lease, now)
}
