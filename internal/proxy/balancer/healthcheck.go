package balancer

import "time"

// healthCheckInterval is the minimum time between two health checks of a backend.
const healthCheckInterval = 500 * time.Millisecond

// HealthCheck is a request that asks a backend whether it serves. It is needed if no controller has confirmed that
// lately.
type HealthCheck struct{ BackendID, Address, Path string }

// HealthCheckResult is the result of a health check.
type HealthCheckResult struct {
	SentAt       time.Time
	Reachable    bool // the health check got a response
	Serving      bool
	WrongBackend bool          // the address belongs to another backend
	WarmUpLeft   time.Duration // remaining warm-up time
}

// requestHealthCheck schedules a health check of a backend unless one was scheduled within healthCheckInterval.
func (b *Balancer) requestHealthCheck(backend *Backend, now time.Time) {
	config := b.serviceConfig(backend.Service)
	if config == nil || now.Sub(backend.healthCheckedAt) < healthCheckInterval {
		return
	}
	backend.healthCheckedAt = now
	check := HealthCheck{BackendID: backend.ID, Address: backend.Address, Path: config.HealthCheckPath}
	b.healthChecks = append(b.healthChecks, check)
}

// TakeHealthChecks returns the health checks that are due, and removes them from the balancer.
func (b *Balancer) TakeHealthChecks() []HealthCheck {
	checks := b.healthChecks
	b.healthChecks = nil
	return checks
}

// ReportHealthCheck records the result of a health check. It ignores a backend that has been removed.
func (b *Balancer) ReportHealthCheck(id string, result HealthCheckResult, now time.Time) {
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
