package balancer

import (
	"sort"
	"time"

	"sagelever/internal/proxy/draining"
)

// PreconnectTarget is a backend to which a connection is to be opened in advance.
type PreconnectTarget struct {
	BackendID, Address string
	InUse              int // number of connections in use, one per request in flight
}

// planPreconnects plans connections for requests that are displaced by draining backends: one connection per displaced
// request, to different backends in ascending order of cost. It leaves out backends that warm up, because they get
// requests at a limited rate.
func (b *Balancer) planPreconnects(svc *serviceState, displaced int, now time.Time) {
	if displaced == 0 || b.table == nil {
		return
	}
	type candidate struct {
		backend *Backend
		cost    float64
	}
	var candidates []candidate
	for _, backend := range svc.backends {
		if b.canTakeDisplaced(svc, backend, now) {
			candidates = append(candidates, candidate{backend, b.cost(backend, now)})
		}
	}
	sort.Slice(candidates, func(i, j int) bool { return candidates[i].cost < candidates[j].cost })
	for _, chosen := range candidates[:min(displaced, len(candidates))] {
		target := PreconnectTarget{
			BackendID: chosen.backend.ID,
			Address:   chosen.backend.Address,
			InUse:     chosen.backend.Drain.InFlight(),
		}
		b.preconnects = append(b.preconnects, target)
	}
}

// canTakeDisplaced reports whether a backend may get displaced requests.
func (b *Balancer) canTakeDisplaced(svc *serviceState, backend *Backend, now time.Time) bool {
	if backend.Drain.State() != draining.Serving || svc.armOf(backend) != stableArm {
		return false
	}
	if backend.warmingUp(now) || backend.health.pausedUntil.After(now) {
		return false
	}
	return backend.Drain.InFlight() < b.inFlightLimit(backend)
}

// TakePreconnects returns the connections that are to be opened, and removes them from the balancer.
func (b *Balancer) TakePreconnects() []PreconnectTarget {
	targets := b.preconnects
	b.preconnects = nil
	return targets
}
