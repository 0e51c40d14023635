// Package balancer decides what a proxy does with each request: which backend gets it and when, whether it may be sent
// again, how fast a backend that warms up is fed, and which build serves while a release is under way.
//
// The package does no input or output. The time and random numbers are passed in, connections and health checks that
// are due are handed out, and the caller reports the results. A Balancer is not safe for concurrent use: the
// caller guards it with a lock.
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
	// proxyCountRetention is for how long a larger number of proxies is kept while smaller ones are reported. It is
	// several times as long as proxies take to renew their leases at a controller that has just started.
	proxyCountRetention = 10 * time.Second
)

// clockOrigin is the origin of the durations that package decay works with.
var clockOrigin = time.Unix(0, 0)

func sinceOrigin(now time.Time) time.Duration { return now.Sub(clockOrigin) }

// Balancer is one proxy's view of services, backends and other proxies.
type Balancer struct {
	zone         string
	region       string
	regionByZone map[string]string
	bounds       settings.RuleLimits
	random       func() float64 // uniform in [0, 1)

	table    *routing.Table // nil until the first Configure
	backends map[string]*Backend
	services map[string]*serviceState

	proxies       int // all that may be sending, never fewer than there are
	zoneProxies   int // those of this zone
	proxiesAt     time.Time
	zoneProxiesAt time.Time

	tallies    map[string]*replication.ReleaseTally // of other proxies, by the key of their item
	lease      lease.SendLease
	departed   map[string]*Backend // whose incarnation is over, while requests are in flight there
	tombstones tombstones

	healthChecks []HealthCheck      // due, and not yet taken
	preconnects  []PreconnectTarget // due, and not yet taken
}

// New returns a balancer that knows no service and no backend yet. random returns uniform numbers in [0, 1).
func New(nodeSettings *settings.Settings, random func() float64) *Balancer {
	return &Balancer{
		zone:         nodeSettings.Zone,
		region:       nodeSettings.Region,
		regionByZone: nodeSettings.Zones,
		bounds:       nodeSettings.RuleLimits,
		random:       random,
		backends:     map[string]*Backend{},
		services:     map[string]*serviceState{},
		tallies:      map[string]*replication.ReleaseTally{},
		lease:        lease.New(nodeSettings.RuleLimits.DrainTime),
		departed:     map[string]*Backend{},
	}
}

// SetProxyCounts sets the number of proxies that may be sending, and how many of them are in this zone. Budgets that
// hold over all proxies together are divided by these numbers. A controller that has just started knows few proxies,
// so a smaller number is believed only when no larger one has been reported for proxyCountRetention.
func (b *Balancer) SetProxyCounts(proxies, zoneProxies int, now time.Time) {
	if proxies >= b.proxies || now.Sub(b.proxiesAt) > proxyCountRetention {
		b.proxies = max(proxies, 1)
		b.proxiesAt = now
	}
	if zoneProxies >= b.zoneProxies || now.Sub(b.zoneProxiesAt) > proxyCountRetention {
		b.zoneProxies = max(zoneProxies, 1)
		b.zoneProxiesAt = now
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

// drainWithdrawn reports whether the backend was drained by one table and is not by the next: by an evacuation of its
// zone or by an operator's drain.
func drainWithdrawn(previous, table *routing.Table, backend *Backend) bool {
	if previous.Evacuated[backend.Zone] && !table.Evacuated[backend.Zone] {
		return true
	}
	return previous.IsDrained(backend.Service, backend.ID, backend.Zone) &&
		!table.IsDrained(backend.Service, backend.ID, backend.Zone)
}

// service returns the state of a service, which it creates if need be.
func (b *Balancer) service(name string) *serviceState {
	svc := b.services[name]
	if svc == nil {
		svc = &serviceState{}
		b.services[name] = svc
	}
	return svc
}

// serviceConfig returns a service's configuration, and nil where none is known.
func (b *Balancer) serviceConfig(name string) *routing.Service {
	if b.table == nil {
		return nil
	}
	return b.table.Services[name]
}
