package balancer

import (
	"math"
	"sort"
	"time"

	"sagelever/internal/control/drain"
	"sagelever/internal/control/replication"
	"sagelever/internal/proxy/draining"
	"sagelever/internal/stats/decay"
)

// reviewDrains takes up for what reasons each appliance of a service gets nothing new, as they stand.
func (b *Balancer) reviewDrains(svc *serviceState, now time.Time) {
	displaced := 0 // requests that will go elsewhere from now on, at one moment
	for _, backend := range svc.backends {
		if backend.Drain.SetReasons(b.drainReasons(svc, backend), now) && backend.Drain.State() == draining.Draining {
			displaced += backend.Drain.InFlight()
		}
	}
	b.planPreconnects(svc, displaced, now)
}

// PreconnectTarget is an appliance to which connections are best opened before they are needed.
type PreconnectTarget struct {
	Address string
	InUse   int // requests that are out there: as many connections are in use
}

// planPreconnects makes up for what is leaving: where its requests will go next, connections are to be opened, one for each that was
// out there. Cold ones are left out, as they are fed at their own pace.
func (b *Balancer) planPreconnects(svc *serviceState, displaced int, now time.Time) {
	if displaced == 0 || b.table == nil {
		return
	}
	type candidate struct {
		a    *Backend
		cost float64
	}
	var candidates []candidate
	for _, a := range svc.backends {
		if a.Drain.State() == draining.Serving && svc.armOf(a) == 0 && !a.warmingUntil.After(now) && !a.health.pausedUntil.After(now) && a.Drain.InFlight() < b.inFlightLimit(a) {
			candidates = append(candidates, candidate{a, b.cost(a, now)})
		}
	}
	sort.Slice(candidates, func(i, j int) bool { return candidates[i].cost < candidates[j].cost })
	for _, chosen := range candidates[:min(displaced, len(candidates))] {
		b.preconnects = append(b.preconnects, PreconnectTarget{chosen.a.Address, chosen.a.Drain.InFlight()})
	}
}

// TakePreconnects hands over where connections are to be opened.
func (b *Balancer) TakePreconnects() []PreconnectTarget {
	targets := b.preconnects
	b.preconnects = nil
	return targets
}

func (b *Balancer) drainReasons(svc *serviceState, backend *Backend) (reasons draining.Reasons) {
	if backend.Phase != replication.PhaseReady && backend.Phase != replication.PhaseTimedOut {
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

// RenewLease notes that a sound member of the core has answered what was asked at a moment.
func (b *Balancer) RenewLease(requestedAt time.Time) { b.lease.Renew(requestedAt) }

// LeaseValid tells whether the core's word covers what is sent now; else appliances are asked themselves.
func (b *Balancer) LeaseValid(now time.Time) bool { return b.lease.Valid(now) }

// MayWrite tells whether a request that was given to an appliance may still be written to it: it may have begun to leave while
// the connection came up, or the leave to send has run out meanwhile.
func (b *Balancer) MayWrite(backend *Backend, now time.Time) bool {
	return backend.Drain.State() == draining.Serving && backend.Drain.MaySend(&b.lease, now)
}

// undoSend undoes what was noted of a send that never was.
func (b *Balancer) undoSend(svc *serviceState, request *Request) {
	request.Sends--
	if canary := svc.canary; canary != nil && canary.tally.ServiceRequests > 0 {
		canary.tally.ServiceRequests--
		if request.toCanary {
			canary.tally.NewBuildRequests--
		}
	}
}

// HealthCheck asks an appliance itself whether it serves, as nobody else can say.
type HealthCheck struct{ BackendID, Address, Path string }

// healthCheckInterval is the pause before an appliance that has not said that it serves is asked again.
const healthCheckInterval = 500 * time.Millisecond

// requestHealthCheck has an appliance asked, unless it has just been. Each request that lacks a place asks one at most.
func (b *Balancer) requestHealthCheck(backend *Backend, now time.Time) {
	serviceConfig := b.table.Services[backend.Service]
	if serviceConfig == nil || now.Sub(backend.healthCheckedAt) < healthCheckInterval {
		return
	}
	backend.healthCheckedAt = now
	b.healthChecks = append(b.healthChecks, HealthCheck{backend.ID, backend.Address, serviceConfig.HealthCheckPath})
}

// TakeHealthChecks hands over the questions that are to be put.
func (b *Balancer) TakeHealthChecks() []HealthCheck {
	checks := b.healthChecks
	b.healthChecks = nil
	return checks
}

// HealthCheckResult is what came of a question.
type HealthCheckResult struct {
	SentAt       time.Time
	Reachable    bool // there was an answer
	Serving      bool
	WrongBackend bool          // another appliance has its address
	WarmUpLeft   time.Duration // for how long it is cold still
}

// HealthCheckDone takes an appliance's word of itself.
func (b *Balancer) HealthCheckDone(id string, result HealthCheckResult, now time.Time) {
	backend := b.backends[id]
	switch {
	case backend == nil:
		return
	case result.WrongBackend:
		b.removeBackend(id, now)
		return
	case !result.Reachable:
		backend.health.observe(backend, Outcome{Connected: false}, now)
		return
	}
	if result.WarmUpLeft > 0 {
		backend.extendWarmUp(now.Add(result.WarmUpLeft), now)
	}
	backend.Drain.ObserveHealthCheck(result.SentAt, result.Serving)
	b.DispatchQueue(backend.Service, now)
}

// countRequest counts a request of a kind of traffic.
func (s *serviceState) countRequest(homeRegions string, now time.Time) {
	if s.requestRates == nil {
		s.requestRates = map[string]*decay.Sum{}
	}
	rate := s.requestRates[homeRegions]
	if rate == nil {
		rate = &decay.Sum{}
		s.requestRates[homeRegions] = rate
	}
	rate.Add(sinceOrigin(now), statsHalfLife, 1)
}

// InFlightReport is what this relay has out at appliances that leave, what traffic it carries, and by which versions of the zones'
// drains it goes: for operators.
func (b *Balancer) InFlightReport(now time.Time) (rows []replication.BackendInFlight, loads []drain.ServiceLoad, drainVersions map[string]uint64) {
	if b.table != nil {
		drainVersions = b.table.DrainVersions
	}
	addRow := func(a *Backend) {
		rows = append(rows, replication.BackendInFlight{BackendID: a.ID, Idempotent: a.Drain.InFlight() - a.Drain.NonIdempotentInFlight(), NonIdempotent: a.Drain.NonIdempotentInFlight()})
	}
	for _, a := range b.backends {
		if a.Drain.State() != draining.Serving && a.Drain.InFlight() > 0 {
			addRow(a)
		}
	}
	for _, a := range b.departed {
		addRow(a)
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].BackendID < rows[j].BackendID })
	for name, svc := range b.services {
		serviceTime := svc.latency.Estimate(sinceOrigin(now), statsHalfLife, 0, 0)
		for homeRegions, d := range svc.requestRates {
			rate := d.Value(sinceOrigin(now), statsHalfLife) * math.Ln2 / statsHalfLife.Seconds()
			if rate < negligibleRate {
				delete(svc.requestRates, homeRegions)
				continue
			}
			loads = append(loads, drain.ServiceLoad{Service: name, HomeRegions: homeRegions, RequestsPerSecond: rate, ServiceSeconds: serviceTime})
		}
	}
	sort.Slice(loads, func(i, j int) bool {
		return loads[i].Service < loads[j].Service || loads[i].Service == loads[j].Service && loads[i].HomeRegions < loads[j].HomeRegions
	})
	return rows, loads, drainVersions
}

// negligibleRate is a rate below which traffic counts as ended: a request a minute.
const negligibleRate = 1.0 / 60
