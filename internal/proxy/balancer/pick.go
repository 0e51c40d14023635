package balancer

import (
	"slices"
	"time"

	"sagelever/internal/control/replication"
	"sagelever/internal/proxy/draining"
)

// Pick chooses the backend that a request goes to now, and counts the attempt. It returns nil where the request has to
// wait.
func (b *Balancer) Pick(request *Request, now time.Time) *Backend {
	svc := b.service(request.Service)
	arm, fixed := b.chooseArm(svc, request)
	if backend := b.bestBackend(svc, request, arm, now); backend != nil {
		return b.assign(svc, request, backend, now)
	}
	if fixed {
		return nil
	}
	// A build without a free backend yields to the other.
	if backend := b.bestBackend(svc, request, 1-arm, now); backend != nil {
		return b.assign(svc, request, backend, now)
	}
	return nil
}

// bestBackend returns the eligible backend of a build with the lowest cost. Where only backends without permission to
// send are eligible, it requests a health check of the best one instead, and returns nil.
func (b *Balancer) bestBackend(svc *serviceState, request *Request, arm int, now time.Time) *Backend {
	var best, unconfirmed *Backend
	var lowestCost, lowestUnconfirmedCost float64
	// In the load phase of a canary the first backend by ID gets all its requests, so that all proxies load the same
	// one.
	takeFirst := arm == canaryArm && svc.canary.underLoad(now)
	for _, backend := range svc.backends {
		if !b.eligible(svc, request, backend, arm, now) {
			continue
		}
		permitted := backend.Drain.MaySend(&b.lease, now)
		if takeFirst && permitted {
			return backend
		}
		switch cost := b.cost(backend, now); {
		case permitted && (best == nil || cost < lowestCost):
			best = backend
			lowestCost = cost
		case !permitted && (unconfirmed == nil || cost < lowestUnconfirmedCost):
			unconfirmed = backend
			lowestUnconfirmedCost = cost
		}
	}
	if best == nil && unconfirmed != nil {
		b.requestHealthCheck(unconfirmed, now)
	}
	return best
}

// eligible reports whether a backend may get a request now. It considers the backend, the request and the build, but
// not the send lease.
func (b *Balancer) eligible(svc *serviceState, request *Request, backend *Backend, arm int, now time.Time) bool {
	if backend.Drain.State() != draining.Serving || svc.armOf(backend) != arm {
		return false
	}
	homeRegions := request.Route.HomeRegions
	if homeRegions != nil && !homeRegions[b.regionByZone[backend.Zone]] {
		return false
	}
	if slices.Contains(request.tried, backend.ID) {
		return false
	}
	if backend.Drain.InFlight() >= b.inFlightLimit(backend) || !backend.health.admits(backend, request, now) {
		return false
	}
	if backend.warmingUp(now) {
		return backend.Distance == SameZone && !backend.nextWarmUpSend.After(now)
	}
	return true
}

const (
	// A backend works on Capacity requests at once and queues a few more: it gets 7/4 of Capacity.
	queueFactorNumerator   = 7
	queueFactorDenominator = 4
	// remoteInFlightLimit is the limit for a backend of another zone.
	remoteInFlightLimit = 1
)

// inFlightLimit returns how many requests of this proxy may be in flight at a backend. What the backend can't queue
// it may never answer, and holds until its client's deadline. The proxies of a zone share its backends, each with an
// equal part and one request more for chance. Proxies of other zones send one request each, when their own backends
// are full.
//
// Letting fewer proxies use each remote backend, chosen by hash, was tried and scored worse (0.855 instead of 0.946 on
// btsamabay-edge): a zone with a single backend of a service needs many remote ones for a moment.
func (b *Balancer) inFlightLimit(backend *Backend) int {
	if backend.Distance != SameZone {
		return remoteInFlightLimit
	}
	proxies := max(b.zoneProxies, 1)
	limit := backend.Capacity * queueFactorNumerator / queueFactorDenominator
	return (limit+proxies-1)/proxies + 1
}

// The parts of a request's cost, in multiples of the time for which a backend works on a request.
const (
	loadWeight       = 0.2  // for each unit of load; load beyond the capacity costs 1 for each unit besides
	sharedRemoteCost = 0.2  // for a backend in another region that has a request in flight: spreads remote requests
	timedOutCost     = 3    // for a backend whose heartbeats have stopped
	costJitter       = 0.05 // the largest random part, so that proxies choose differently
)

// A backend's relative latency is drawn towards 1 as if that had been observed four times.
const (
	relativeLatencyPrior       = 1
	relativeLatencyPriorWeight = 4
)

// distanceCost is the cost of the network path to a backend, by its distance.
var distanceCost = [...]float64{SameZone: 0, SameRegion: 0.7, OtherRegion: 1.6}

// cost returns what one more request at a backend costs: the wait there, and the distance. Each call draws one random
// number.
func (b *Balancer) cost(backend *Backend, now time.Time) float64 {
	share := float64(backend.Capacity)
	if backend.Distance == SameZone {
		share /= float64(max(b.zoneProxies, 1))
	}
	load := float64(backend.Drain.InFlight()+1) / share
	cost := loadWeight*load + max(0, load-1)
	cost += distanceCost[backend.Distance]
	if backend.Distance == OtherRegion && b.table != nil && backend.Drain.InFlight() > 0 {
		cost += sharedRemoteCost
	}
	relativeLatency := backend.relativeLatency.Estimate(
		sinceOrigin(now), statsHalfLife, relativeLatencyPrior, relativeLatencyPriorWeight)
	cost *= max(1, relativeLatency)
	if backend.Phase == replication.PhaseTimedOut {
		cost += timedOutCost
	}
	return cost + costJitter*b.random()
}

// assign counts an attempt that goes to a backend.
func (b *Balancer) assign(svc *serviceState, request *Request, backend *Backend, now time.Time) *Backend {
	backend.Drain.RequestStarted(!request.Route.Idempotent)
	request.Attempts++
	request.tried = append(request.tried, backend.ID)
	request.SentTo = Destination{ID: backend.ID, Address: backend.Address, Distance: backend.Distance}
	if backend.warmingUp(now) {
		backend.nextWarmUpSend = now.Add(b.warmUpInterval(backend))
	}
	request.toCanary = svc.countSend(backend)
	return backend
}
