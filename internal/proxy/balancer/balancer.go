// Package balancer decides how a proxy handles each request: which backend gets it and when, whether it may be retried,
// at which rate a backend that warms up gets requests, and which build serves during a release.
//
// The package does no I/O. The caller passes in the time and random numbers, takes the connections and health checks
// that are due, and reports the results. A Balancer is not safe for concurrent use: the caller must hold a lock.
package balancer

import (
	"time"

	"sagelever/internal/control/replication"
	"sagelever/internal/control/routing"
	"sagelever/internal/lease"
	"sagelever/internal/settings"
)

const (
	// statsHalfLife is the half-life of latencies and request rates.
	statsHalfLife = 5 * time.Second
	// proxyCountRetention is how long a number of proxies is kept while smaller ones are reported. It is several times
	// as long as proxies take to renew their leases at a controller that has just started.
	proxyCountRetention = 10 * time.Second
)

// clockOrigin is the origin of the durations that are passed to package decay.
var clockOrigin = time.Unix(0, 0)

func sinceOrigin(now time.Time) time.Duration { return now.Sub(clockOrigin) }

// Balancer holds one proxy's state of the services, the backends and the other proxies.
type Balancer struct {
	zone         string
	region       string
	regionByZone map[string]string
	bounds       settings.RuleLimits
	random       func() float64 // uniform in [0, 1)

	table    *routing.Table // nil until the first Configure
	backends map[string]*Backend
	services map[string]*serviceState

	proxies              int // upper bound on the proxies that may be sending
	zoneProxies          int // the same for the proxies of this zone
	proxiesUpdatedAt     time.Time
	zoneProxiesUpdatedAt time.Time

	tallies         map[string]*replication.ReleaseTally // tallies of other proxies, by the key of their item
	lease           lease.SendLease
	removedInFlight map[string]*Backend // removed backends that still have requests in flight, by ID
	tombstones      tombstones

	healthChecks []HealthCheck      // due and not yet taken by the caller
	preconnects  []PreconnectTarget // due and not yet taken by the caller
}

// New returns a balancer without services and backends. random returns uniform numbers in [0, 1).
func New(nodeSettings *settings.Settings, random func() float64) *Balancer {
	return &Balancer{
		zone:            nodeSettings.Zone,
		region:          nodeSettings.Region,
		regionByZone:    nodeSettings.Zones,
		bounds:          nodeSettings.RuleLimits,
		random:          random,
		backends:        map[string]*Backend{},
		services:        map[string]*serviceState{},
		tallies:         map[string]*replication.ReleaseTally{},
		lease:           lease.New(nodeSettings.RuleLimits.DrainTime),
		removedInFlight: map[string]*Backend{},
	}
}

// SetProxyCounts sets the number of proxies that may be sending, and how many of them are in this zone. Budgets shared
// by all proxies are divided by these numbers. A controller that has just started knows few proxies, so a smaller
// number is applied only if no number at least as large as the current one was reported for proxyCountRetention.
func (b *Balancer) SetProxyCounts(proxies, zoneProxies int, now time.Time) {
	if proxies >= b.proxies || now.Sub(b.proxiesUpdatedAt) > proxyCountRetention {
		b.proxies = max(proxies, 1)
		b.proxiesUpdatedAt = now
	}
	if zoneProxies >= b.zoneProxies || now.Sub(b.zoneProxiesUpdatedAt) > proxyCountRetention {
		b.zoneProxies = max(zoneProxies, 1)
		b.zoneProxiesUpdatedAt = now
	}
}

// Configure replaces the routing table.
func (b *Balancer) Configure(table *routing.Table, now time.Time) {
	previous := b.table
	b.table = table
	for name := range table.Services {
		b.service(name)
	}
	for name, svc := range b.services {
		if table.Services[name] == nil && len(svc.queue) == 0 && len(svc.backends) == 0 {
			delete(b.services, name)
		}
	}
	for name, latest := range table.Releases {
		b.service(name).followRelease(latest, now)
	}
	if previous != nil {
		for _, backend := range b.backends {
			if drainWithdrawn(previous, table, backend) {
				b.assumeWarmUp(backend, now)
			}
		}
	}
	for _, svc := range b.services {
		b.reviewDrains(svc, now)
	}
}

// drainWithdrawn reports whether an evacuation of the backend's zone or an operator's drain of the backend is in the
// previous table but not in the current one.
func drainWithdrawn(previous, table *routing.Table, backend *Backend) bool {
	if previous.Evacuated[backend.Zone] && !table.Evacuated[backend.Zone] {
		return true
	}
	return previous.IsDrained(backend.Service, backend.ID, backend.Zone) &&
		!table.IsDrained(backend.Service, backend.ID, backend.Zone)
}

// service returns the state of a service and creates it if there is none.
func (b *Balancer) service(name string) *serviceState {
	svc := b.services[name]
	if svc == nil {
		svc = &serviceState{}
		b.services[name] = svc
	}
	return svc
}

// serviceConfig returns a service's configuration, or nil if there is none.
func (b *Balancer) serviceConfig(name string) *routing.Service {
	if b.table == nil {
		return nil
	}
	return b.table.Services[name]
}
