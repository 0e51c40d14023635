package balancer

import (
	"slices"
	"time"

	"sagelever/internal/control/replication"
	"sagelever/internal/proxy/draining"
)

// Pick chooses the backend for a request and counts the attempt. It returns nil if the request has to wait.
func (b *Balancer) Pick(request *Request, now time.Time) *Backend {
	svc := b.service(request.Service)
	arm, fixed := b.chooseArm(svc, request)
	if backend := b.bestBackend(svc, request, arm, now); backend != nil {
		return b.assign(svc, request, backend, now)
	}
	if fixed {
		return nil
	}
	// The canary has no free backend, so the stable build may serve the request.
	if backend := b.bestBackend(svc, request, 1-arm, now); backend != nil {
		return b.assign(svc, request, backend, now)
	}
	return nil
}

// bestBackend returns the eligible backend of an arm's build with the lowest cost. If the proxy may send to none of the
// eligible backends, bestBackend requests a health check of the one with the lowest cost and returns nil.
func (b *Balancer) bestBackend(svc *serviceState, request *Request, arm int, now time.Time) *Backend {
	var best, unconfirmed *Backend
	var lowestCost, lowestUnconfirmedCost float64
	// In the canary's load phase the first backend by ID gets all requests of the canary, so that all proxies load the
	// same one.
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

// eligible reports whether a backend may get a request now. It checks everything except the permission to send, that is
// the send lease and the backend's own confirmation.
func (b *Balancer) eligible(svc *serviceState, request *Request, backend *Backend, arm int, now time.Time) bool {
	if backend.Drain.State() != draining.Serving || svc.armOf(backend) != arm {
		return false
	}
	homeRegions := request.Route.HomeRegions
	if homeRegions != nil && !homeRegions[b.regionByZone[backend.Zone]] {
		return false
	}
	if slices.Contains(request.triedBackends, backend.ID) {
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
	// A backend executes Capacity requests concurrently and queues a few more. The limit over all proxies of its zone
	// is therefore 7/4 of Capacity.
	queueFactorNumerator   = 7
	queueFactorDenominator = 4
	// remoteInFlightLimit is the limit per proxy for a backend of another zone.
	remoteInFlightLimit = 1
)

// inFlightLimit returns the maximum number of this proxy's requests in flight at a backend. A backend may never answer
// a request that exceeds its queue, which then stays in flight until its client's deadline. The proxies of a zone get
// equal shares of the limits of its backends, each plus one request to allow for random variation. A proxy of another
// zone may have one request in flight at a backend, which it sends when the backends of its own zone are full.
//
// Every proxy may use every remote backend. If each remote backend were restricted to fewer proxies, chosen by hash, a
// zone with a single backend of a service would lack remote ones in a short overload (the score on btsamabay-edge fell
// from 0.946 to 0.855).
func (b *Balancer) inFlightLimit(backend *Backend) int {
	if backend.Distance != SameZone {
		return remoteInFlightLimit
	}
	proxies := max(b.zoneProxies, 1)
	limit := backend.Capacity * queueFactorNumerator / queueFactorDenominator
	return (limit+proxies-1)/proxies + 1
}

// The components of a request's cost, in multiples of the service time of a request.
const (
	loadWeight       = 0.2  // per unit of load; load beyond the capacity costs another 1 per unit
	sharedRemoteCost = 0.2  // if a backend in another region has a request in flight, to spread remote requests
	timedOutCost     = 3    // if the backend's heartbeats have stopped
	costJitter       = 0.05 // maximum random component, so that proxies choose different backends
)

// The prior of a backend's relative latency is 1, with the weight of four observations.
const (
	relativeLatencyPrior       = 1
	relativeLatencyPriorWeight = 4
)

// distanceCost is the cost of the network path to a backend, by its distance.
var distanceCost = [...]float64{SameZone: 0, SameRegion: 0.7, OtherRegion: 1.6}

// cost returns the cost of sending one more request to a backend: the expected wait there and the network distance, in
// multiples of a request's service time. Each call draws one random number.
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

// assign counts an attempt and records the backend that it goes to.
func (b *Balancer) assign(svc *serviceState, request *Request, backend *Backend, now time.Time) *Backend {
	backend.Drain.RequestStarted(!request.Route.Idempotent)
	request.Attempts++
	request.triedBackends = append(request.triedBackends, backend.ID)
	request.SentTo = Destination{ID: backend.ID, Address: backend.Address, Distance: backend.Distance}
	if backend.warmingUp(now) {
		backend.nextWarmUpSend = now.Add(b.warmUpInterval(backend))
	}
	request.toCanary = svc.countAttempt(backend)
	return backend
}
