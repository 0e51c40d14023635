package balancer

import "time"

// healthCheckInterval is the minimum time between two health checks of a backend.
const healthCheckInterval = 500 * time.Millisecond

// HealthCheck asks a backend whether it serves, because no controller has confirmed that lately.
type HealthCheck struct{ BackendID, Address, Path string }

// HealthCheckResult is the outcome of a health check.
type HealthCheckResult struct {
	SentAt       time.Time
	Reachable    bool // there was a response
	Serving      bool
	WrongBackend bool          // another backend has its address
	WarmUpLeft   time.Duration // for how long it still warms up
}

// requestHealthCheck schedules a health check of a backend, unless there has just been one.
func (b *Balancer) requestHealthCheck(backend *Backend, now time.Time) {
	config := b.serviceConfig(backend.Service)
	if config == nil || now.Sub(backend.healthCheckedAt) < healthCheckInterval {
		return
	}
	backend.healthCheckedAt = now
	check := HealthCheck{BackendID: backend.ID, Address: backend.Address, Path: config.HealthCheckPath}
	b.healthChecks = append(b.healthChecks, check)
}

// TakeHealthChecks hands over the health checks that are to be sent.
func (b *Balancer) TakeHealthChecks() []HealthCheck {
	checks := b.healthChecks
	b.healthChecks = nil
	return checks
}

// ReportHealthCheck records the result of a health check. It is ignored where the backend is no longer known.
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
