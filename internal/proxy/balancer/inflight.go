package balancer

import (
	"math"
	"sort"
	"time"

	"sagelever/internal/control/drain"
	"sagelever/internal/control/replication"
	"sagelever/internal/proxy/draining"
)

// negligibleRate is the rate below which traffic counts as ended, in requests per second: one request per minute.
const negligibleRate = 1.0 / 60

// InFlightReport is a proxy's contribution to the in-flight survey of a drain.
type InFlightReport struct {
	// Backends lists the requests in flight at draining and removed backends, sorted by backend.
	Backends []replication.BackendInFlight
	// Loads is the proxy's load, sorted by service and home regions.
	Loads []drain.ServiceLoad
	// DrainVersions holds the version of the list of drains that the proxy applies, by zone. It is nil before the first
	// routing table and must not be changed.
	DrainVersions map[string]uint64
}

// InFlightReport returns this proxy's contribution to the in-flight survey of a drain.
func (b *Balancer) InFlightReport(now time.Time) InFlightReport {
	report := InFlightReport{
		Backends: b.drainingInFlight(),
		Loads:    b.serviceLoads(now),
	}
	if b.table != nil {
		report.DrainVersions = b.table.DrainVersions
	}
	return report
}

// drainingInFlight returns the requests in flight at draining and removed backends, sorted by backend.
func (b *Balancer) drainingInFlight() (rows []replication.BackendInFlight) {
	for _, backend := range b.backends {
		if backend.Drain.State() != draining.Serving && backend.Drain.InFlight() > 0 {
			rows = append(rows, backend.inFlightRow())
		}
	}
	for _, backend := range b.removedInFlight {
		rows = append(rows, backend.inFlightRow())
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].BackendID < rows[j].BackendID })
	return rows
}

func (b *Backend) inFlightRow() replication.BackendInFlight {
	nonIdempotent := b.Drain.NonIdempotentInFlight()
	return replication.BackendInFlight{
		BackendID:     b.ID,
		Idempotent:    b.Drain.InFlight() - nonIdempotent,
		NonIdempotent: nonIdempotent,
	}
}

// serviceLoads returns the load of each service by the home regions of its requests, sorted by both. It drops the
// counts of traffic that has ended.
func (b *Balancer) serviceLoads(now time.Time) (loads []drain.ServiceLoad) {
	for name, svc := range b.services {
		serviceSeconds := svc.latency.Estimate(sinceOrigin(now), statsHalfLife, 0, 0)
		for homeRegions, recent := range svc.requestRates {
			// A constant rate r has the decayed sum r·halfLife/ln 2.
			rate := recent.Value(sinceOrigin(now), statsHalfLife) * math.Ln2 / statsHalfLife.Seconds()
			if rate < negligibleRate {
				delete(svc.requestRates, homeRegions)
				continue
			}
			loads = append(loads, drain.ServiceLoad{
				Service:           name,
				HomeRegions:       homeRegions,
				RequestsPerSecond: rate,
				ServiceSeconds:    serviceSeconds,
			})
		}
	}
	sort.Slice(loads, func(i, j int) bool {
		if loads[i].Service != loads[j].Service {
			return loads[i].Service < loads[j].Service
		}
		return loads[i].HomeRegions < loads[j].HomeRegions
	})
	return loads
}
