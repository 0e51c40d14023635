package balancer

import (
	"time"

	"sagelever/internal/proxy/draining"
)

// reviewDrains brings the reasons for which each backend of a service gets no new requests up to date.
func (b *Balancer) reviewDrains(svc *serviceState, now time.Time) {
	displaced := 0 // requests in flight at backends that begin to drain: later ones will go elsewhere
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

// RenewLease records that a healthy controller has answered what was asked at requestedAt.
func (b *Balancer) RenewLease(requestedAt time.Time) { b.lease.Renew(requestedAt) }

// LeaseValid reports whether the send lease is valid. Without it only backends that confirm themselves get requests.
func (b *Balancer) LeaseValid(now time.Time) bool { return b.lease.Valid(now) }

// MayWrite reports whether a request that was assigned to a backend may still be written to it: the backend may have
// begun to drain while the connection came up, or the send lease may have expired.
func (b *Balancer) MayWrite(backend *Backend, now time.Time) bool {
	return backend.Drain.State() == draining.Serving && backend.Drain.MaySend(&b.lease, now)
}
