// Package sway holds what a relay decides on each request: which appliance gets it and when, whether it may be sent again,
// how fast a cold appliance is fed, and which build serves while a release is under way. It is pure: the time and the luck
// are handed in, and whoever calls guards it against two calls at once.
package balancer

import (
	"sort"
	"time"

	"sagelever/internal/control/replication"
	"sagelever/internal/control/routing"
	"sagelever/internal/lease"
	"sagelever/internal/proxy/draining"
	"sagelever/internal/proxy/retry"
	"sagelever/internal/settings"
	"sagelever/internal/stats/decay"
)

// Backend is an appliance as this relay sees it.
type Backend struct {
	ID string
	replication.Backend
	Drain           draining.Tracker // whether it leaves, and what of this relay is out there
	Distance        int              // 0 in this zone, 1 in this region, 2 beyond
	firstSeen       time.Time
	healthCheckedAt time.Time // when it was last asked whether it serves
	version         uint64
	warmingUntil    time.Time // until when it is cold
	nextWarmUpSend  time.Time // when a cold one may be sent the next request
	health          passiveHealth
	relativeLatency decay.Mean // answer times against what the route usually takes
}

// Request is one client's try.
type Request struct {
	Route     *routing.Route
	Service   string
	ArrivedAt time.Time
	Deadline  time.Time
	Sends     int             // to appliances, so far
	Delivered int             // of these, the ones that reached their appliance or may have
	Execution retry.Execution // over all sends; NeverRan while there is none
	SentTo    Destination     // of the send that is out
	tried     []string
	toCanary  bool // the send that is out goes to the build on trial
	queued    bool
	Granted   chan *Backend // gets the appliance when a place comes free; it has room for one
}

// Destination is where a send goes. It stays as it was while news of the appliance comes in.
type Destination struct {
	ID, Address string
	Distance    int
}

// serviceState is what is kept for each service.
type serviceState struct {
	backends     []*Backend
	queue        []*Request
	retryTokens  float64 // further tries that are left
	canary       *canaryRelease
	latency      decay.Mean            // seconds that an answer takes
	stableBuild  string                // the build in force, as far as it is known
	requestRates map[string]*decay.Sum // requests taken of late, by the regions in which they may be served
}

// Balancer is a relay's view.
type Balancer struct {
	node          string
	zone          string
	region        string
	regionByZone  map[string]string
	bounds        settings.RuleLimits
	random        func() float64
	table         *routing.Table
	backends      map[string]*Backend
	services      map[string]*serviceState
	proxies       int // n, never below what it is
	zoneProxies   int // agents in this zone
	proxiesAt     time.Time
	zoneProxiesAt time.Time
	tallies       map[string]*replication.ReleaseTally
	lease         lease.SendLease
	departed      map[string]*Backend // whose life is over, while something is out there
	tombstones    tombstones          // lives of appliances that are over
	healthChecks  []HealthCheck
	preconnects   []PreconnectTarget
}

// New begins a view that knows nothing.
func New(nodeSettings *settings.Settings, random func() float64) *Balancer {
	return &Balancer{node: nodeSettings.Node, zone: nodeSettings.Zone, region: nodeSettings.Region, regionByZone: nodeSettings.Zones, bounds: nodeSettings.RuleLimits, random: random,
		backends: map[string]*Backend{}, services: map[string]*serviceState{}, tallies: map[string]*replication.ReleaseTally{},
		lease: lease.NewSendLease(nodeSettings.RuleLimits.DrainTime), departed: map[string]*Backend{}}
}

// SetProxyCounts takes n, the agents that may be sending, and how many of them stand in this zone. A source that has just started
// knows few of them, and shares of what all may do together are divided by n: a smaller one is believed only when no
// larger one has been told for a while.
func (b *Balancer) SetProxyCounts(proxies, zoneProxies int, now time.Time) {
	if proxies >= b.proxies || now.Sub(b.proxiesAt) > proxyCountRetention {
		b.proxies, b.proxiesAt = max(proxies, 1), now
	}
	if zoneProxies >= b.zoneProxies || now.Sub(b.zoneProxiesAt) > proxyCountRetention {
		b.zoneProxies, b.zoneProxiesAt = max(zoneProxies, 1), now
	}
}

// proxyCountRetention is for how long a larger n stands against smaller ones: longer than agents take to renew their leases at a
// source that has just started, some times over.
const proxyCountRetention = 10 * time.Second

// Configure takes a new table.
func (b *Balancer) Configure(table *routing.Table, now time.Time) {
	previous := b.table
	b.table = table
	for name := range table.Services {
		b.service(name)
	}
	for name := range b.services {
		if table.Services[name] == nil && len(b.services[name].queue) == 0 && len(b.services[name].backends) == 0 {
			delete(b.services, name)
		}
	}
	for name, latest := range table.Releases {
		b.service(name).followRelease(latest, now)
	}
	if previous != nil {
		for _, backend := range b.backends {
			wasCleared, isCleared := previous.Evacuated[backend.Zone], table.Evacuated[backend.Zone]
			if wasCleared && !isCleared || previous.IsDrained(backend.Service, backend.ID, backend.Zone) && !table.IsDrained(backend.Service, backend.ID, backend.Zone) {
				b.assumeWarmUp(backend, now)
			}
		}
	}
	for _, svc := range b.services {
		b.reviewDrains(svc, now)
	}
}

// assumeWarmUp guards against an appliance that went cold while nothing was sent to it, as its zone was cleared out or an operator
// drained it: until its pulses have had time to say so it counts as cold.
func (b *Balancer) assumeWarmUp(backend *Backend, now time.Time) {
	backend.extendWarmUp(now.Add(b.warmUpTime(backend.Service)+2*b.bounds.HeartbeatInterval), now)
}

func (b *Balancer) warmUpTime(service string) time.Duration {
	if b.table != nil {
		if serviceConfig := b.table.Services[service]; serviceConfig != nil {
			return serviceConfig.WarmUp
		}
	}
	return 0
}

func (b *Backend) extendWarmUp(until, now time.Time) {
	if until.After(b.warmingUntil) {
		if !b.warmingUntil.After(now) {
			b.nextWarmUpSend = now
		}
		b.warmingUntil = until
	}
}

func (b *Balancer) service(name string) *serviceState {
	svc := b.services[name]
	if svc == nil {
		svc = &serviceState{}
		b.services[name] = svc
	}
	return svc
}

// UpdateBackend takes what the core tells of an appliance, under a version: an older one changes nothing.
func (b *Balancer) UpdateBackend(id string, version uint64, update *replication.Backend, now time.Time) {
	backend := b.backends[id]
	if backend != nil && backend.version >= version {
		return // an older word, by another way
	}
	if update.Phase == replication.PhaseLeft {
		b.removeBackend(id, now)
		b.tombstones.add(id, now)
		return
	}
	if b.tombstones.has(id, now) { // a source that was cut off may still tell of it as it was
		return
	}
	if backend == nil {
		backend = &Backend{ID: id, firstSeen: now}
		b.backends[id] = backend
		svc := b.service(update.Service)
		svc.backends = append(svc.backends, backend)
		sort.Slice(svc.backends, func(i, j int) bool { return svc.backends[i].ID < svc.backends[j].ID })
	}
	backend.Backend, backend.version = *update, version
	switch {
	case update.Zone == b.zone:
		backend.Distance = 0
	case b.regionByZone[update.Zone] == b.region:
		backend.Distance = 1
	default:
		backend.Distance = 2
	}
	if warmingUntil := time.UnixMilli(update.WarmAtMs).Add(maxClockSkew); update.WarmAtMs != 0 && warmingUntil.After(now) {
		backend.extendWarmUp(warmingUntil, now)
	} else if update.WarmAtMs == 0 && update.Phase == replication.PhaseReady && backend.health.refusedAt.Before(time.UnixMilli(update.HeartbeatMs).Add(-maxClockSkew)) {
		backend.warmingUntil = time.Time{} // its own word, and newer than what made us doubt
	}
	b.reviewDrains(b.service(backend.Service), now)
}

// maxClockSkew is by how far the times of day of two machines may stand apart, as the pages call them close.
const maxClockSkew = 250 * time.Millisecond

// removeBackend takes an appliance out whose life is over; what is out there is waited for all the same.
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
	for i, other := range svc.backends {
		if other == backend {
			svc.backends = append(svc.backends[:i:i], svc.backends[i+1:]...)
			break
		}
	}
	b.reviewDrains(svc, now)
}

// RetainBackends keeps just the appliances that a source names which has told all that it knows; what it lacks and was heard of
// lately stays, as news may come by another way.
func (b *Balancer) RetainBackends(ids map[string]bool, now time.Time) {
	for id, backend := range b.backends {
		if !ids[id] && now.Sub(backend.firstSeen) > 10*b.bounds.HeartbeatInterval {
			b.removeBackend(id, now)
		}
	}
}

// Backend is an appliance by its id.
func (b *Balancer) Backend(id string) *Backend { return b.backends[id] }

// StartRequest counts a request that a client has sent for a service, and says which service that is.
func (b *Balancer) StartRequest(request *Request, now time.Time) {
	request.Service = request.Route.PickService(b.random())
	request.Execution = retry.NotExecuted
	svc := b.service(request.Service)
	svc.countRequest(request.Route.HomeRegionList, now)
	svc.earnRetryTokens(b.bounds, b.proxies)
	if svc.canary != nil {
		svc.canary.received++
	}
}

// Pick chooses where a request goes now; nil where it has to wait for a place.
func (b *Balancer) Pick(request *Request, now time.Time) *Backend {
	svc := b.service(request.Service)
	arm, fixed := b.chooseArm(svc, request, now)
	if backend := b.bestBackend(svc, request, arm, now); backend != nil {
		return b.assign(svc, request, backend, now)
	}
	if !fixed { // a build without a place yields to the other
		if backend := b.bestBackend(svc, request, 1-arm, now); backend != nil {
			return b.assign(svc, request, backend, now)
		}
	}
	return nil
}

// Enqueue puts a request into the line for a place.
func (b *Balancer) Enqueue(request *Request) {
	svc := b.service(request.Service)
	request.queued = true
	svc.queue = append(svc.queue, request)
}

// Dequeue takes a request out of the line; false where a place was granted just before.
func (b *Balancer) Dequeue(request *Request) bool {
	if !request.queued {
		return false
	}
	request.queued = false
	svc := b.service(request.Service)
	for i, other := range svc.queue {
		if other == request {
			svc.queue = append(svc.queue[:i:i], svc.queue[i+1:]...)
			break
		}
	}
	return true
}

// DispatchQueue gives places to those who wait for a service: rank first, then who came first.
func (b *Balancer) DispatchQueue(name string, now time.Time) {
	svc := b.services[name]
	if svc == nil || len(svc.queue) == 0 {
		return
	}
	sort.SliceStable(svc.queue, func(i, j int) bool {
		a, second := svc.queue[i], svc.queue[j]
		return a.Route.Priority < second.Route.Priority || a.Route.Priority == second.Route.Priority && a.ArrivedAt.Before(second.ArrivedAt)
	})
	var waiting []*Request
	for _, request := range svc.queue {
		if a := b.Pick(request, now); a != nil {
			request.queued = false
			request.Granted <- a
		} else {
			waiting = append(waiting, request)
		}
	}
	svc.queue = waiting
}

// DispatchAll is Serve for all services.
func (b *Balancer) DispatchAll(now time.Time) {
	for name := range b.services {
		b.DispatchQueue(name, now)
	}
}

// HasQueued tells whether any request waits for a place.
func (b *Balancer) HasQueued() bool {
	for _, svc := range b.services {
		if len(svc.queue) > 0 {
			return true
		}
	}
	return false
}

// bestBackend is the appliance of a build with the least cost, of those that may have the request. One that may have it but for
// the leave to send is asked, where there is no other.
func (b *Balancer) bestBackend(svc *serviceState, request *Request, arm int, now time.Time) *Backend {
	var best, unconfirmed *Backend
	lowestCost, lowestUnconfirmedCost := 0.0, 0.0
	takeFirst := arm == 1 && svc.canary.underLoad(now) // by id: all agents take the same one
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
			best, lowestCost = backend, cost
		case !permitted && (unconfirmed == nil || cost < lowestUnconfirmedCost):
			unconfirmed, lowestUnconfirmedCost = backend, cost
		}
	}
	if best == nil && unconfirmed != nil {
		b.requestHealthCheck(unconfirmed, now)
	}
	return best
}

// eligible tells whether an appliance may have a request now, as far as the appliance, the request and the build go.
func (b *Balancer) eligible(svc *serviceState, request *Request, backend *Backend, arm int, now time.Time) bool {
	if backend.Drain.State() != draining.Serving || svc.armOf(backend) != arm {
		return false
	}
	if request.Route.HomeRegions != nil && !request.Route.HomeRegions[b.regionByZone[backend.Zone]] {
		return false
	}
	for _, id := range request.tried {
		if id == backend.ID {
			return false
		}
	}
	if backend.Drain.InFlight() >= b.inFlightLimit(backend) || !backend.health.admits(backend, request, now) {
		return false
	}
	if backend.warmingUntil.After(now) {
		return backend.Distance == 0 && !backend.nextWarmUpSend.After(now)
	}
	return true
}

// inFlightLimit is how many requests of this relay may be out at an appliance. An appliance works on capacity at once and queues a
// few more; what it can't queue it may never answer, and holds to its client's last moment. The relays of a zone share
// its appliances, each a part and a little for chance. Those from elsewhere come only when their own are full, one request
// each. (Fewer relays to each far appliance, drawn by hash: 0.946 to 0.855 on btsamabay-edge, as zones with one appliance
// of a service need many others for a moment.)
func (b *Balancer) inFlightLimit(backend *Backend) int {
	if backend.Distance > 0 {
		return 1
	}
	proxies := max(b.zoneProxies, 1)
	return (backend.Capacity*7/4+proxies-1)/proxies + 1
}

// cost is what one more request at an appliance costs, in times of work: what it waits there, and how far it goes, as
// bytes between zones and regions are dear.
func (b *Balancer) cost(backend *Backend, now time.Time) float64 {
	share := float64(backend.Capacity)
	if backend.Distance == 0 {
		share /= float64(max(b.zoneProxies, 1))
	}
	load := float64(backend.Drain.InFlight()+1) / share
	cost := 0.2*load + max(0, load-1)
	cost += [...]float64{0, 0.7, 1.6}[backend.Distance]
	if backend.Distance == 2 && b.table != nil && backend.Drain.InFlight() > 0 {
		cost += 0.2 // what is far is spread: others far from it think the same
	}
	cost *= max(1, backend.relativeLatency.Estimate(sinceOrigin(now), statsHalfLife, 1, 4))
	if backend.Phase == replication.PhaseTimedOut {
		cost += 3
	}
	return cost + 0.05*b.random()
}

// assign notes that a request goes to an appliance.
func (b *Balancer) assign(svc *serviceState, request *Request, backend *Backend, now time.Time) *Backend {
	backend.Drain.RequestStarted(!request.Route.Idempotent)
	request.Sends++
	request.tried = append(request.tried, backend.ID)
	request.SentTo = Destination{backend.ID, backend.Address, backend.Distance}
	if backend.warmingUntil.After(now) {
		backend.nextWarmUpSend = now.Add(b.warmUpInterval(backend))
	}
	request.toCanary = svc.countSend(backend)
	return backend
}

// warmUpInterval is the time between two requests to a cold appliance. The relays of its zone alone feed it, each at its part of
// the rate; in any second that is the rate and one more from each, within what the excess and the leeway allow.
func (b *Balancer) warmUpInterval(backend *Backend) time.Duration {
	rate := 0.0
	if serviceConfig := b.table.Services[backend.Service]; serviceConfig != nil {
		rate = serviceConfig.WarmUpRate
	}
	if rate <= 0 {
		return time.Second
	}
	return time.Duration(float64(max(b.zoneProxies, 1)) / rate * float64(time.Second))
}

// Outcome is how a send ended.
type Outcome struct {
	Execution        retry.Execution
	Status           int  // of the appliance's answer, 0 where there is none
	Succeeded        bool // a success with its stamp and its whole body
	Connected        bool // a connection was there
	Cancelled        bool // we broke it off: its client is gone, or its time is over
	TimedOut         bool // its time was over before it was answered
	Latency          time.Duration
	ClosesConnection bool // the answer closes its connection
	// Withheld: nothing was written, as the appliance began to leave while the connection came up. It is not to blame.
	Withheld bool
}

// ReportOutcome takes the outcome of a send.
func (b *Balancer) ReportOutcome(request *Request, backend *Backend, outcome Outcome, now time.Time) {
	backend.Drain.RequestFinished(!request.Route.Idempotent)
	if backend.Drain.InFlight() == 0 {
		delete(b.departed, backend.ID)
	}
	svc := b.service(request.Service)
	if outcome.Withheld {
		b.undoSend(svc, request)
		return
	}
	if outcome.Status != 0 {
		backend.Drain.ObserveResponse(now.Add(-outcome.Latency), outcome.ClosesConnection)
	}
	request.Execution = retry.Combine(request.Execution, outcome.Execution)
	if outcome.Connected {
		request.Delivered++
	}
	backend.health.observe(backend, outcome, now)
	if outcome.Status == 421 {
		b.removeBackend(backend.ID, now)
	}
	if outcome.Succeeded {
		typical := svc.latency.Estimate(sinceOrigin(now), statsHalfLife, outcome.Latency.Seconds(), 1)
		svc.latency.Add(sinceOrigin(now), statsHalfLife, outcome.Latency.Seconds())
		if typical > 0 {
			backend.relativeLatency.Add(sinceOrigin(now), statsHalfLife, min(outcome.Latency.Seconds()/typical, 10))
		}
	}
	if svc.canary != nil {
		svc.canary.recordOutcome(request, outcome, now)
	}
	b.DispatchQueue(request.Service, now)
}

const statsHalfLife = 5 * time.Second

var clockOrigin = time.Unix(0, 0)

func sinceOrigin(now time.Time) time.Duration { return now.Sub(clockOrigin) }

// TypicalLatency is how long an answer of a service takes of late; 0 where none is known.
func (b *Balancer) TypicalLatency(name string, now time.Time) time.Duration {
	return time.Duration(b.service(name).latency.Estimate(sinceOrigin(now), statsHalfLife, 0, 0.001) * float64(time.Second))
}
