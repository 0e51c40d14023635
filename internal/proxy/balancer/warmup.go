package balancer

import (
	"time"

	"sagelever/internal/control/replication"
)

const (
	// warmUpReportHeartbeats is the number of heartbeat intervals within which a backend has reported its warm-up.
	warmUpReportHeartbeats = 2
	// defaultWarmUpInterval is the time between two requests to a backend that warms up if its service has no rate.
	defaultWarmUpInterval = time.Second
)

// A backend that warms up gets requests only from the proxies of its own zone. These share the service's warm-up rate.

// updateWarmUp applies the end of the warm-up from a backend's update. It ignores a report that the backend is warm
// unless the report is newer than the last refused connection, because the backend may have restarted after that.
func (b *Backend) updateWarmUp(update *replication.Backend, now time.Time) {
	warmAt := time.UnixMilli(update.WarmUpEndMs).Add(maxClockSkew)
	if update.WarmUpEndMs != 0 && warmAt.After(now) {
		b.extendWarmUp(warmAt, now)
		return
	}
	heartbeatAt := time.UnixMilli(update.HeartbeatMs).Add(-maxClockSkew)
	if update.WarmUpEndMs == 0 && update.Phase == replication.PhaseReady && b.health.refusedAt.Before(heartbeatAt) {
		b.warmingUntil = time.Time{}
	}
}

// extendWarmUp extends the backend's warm-up to the given time, unless it already lasts longer.
func (b *Backend) extendWarmUp(until, now time.Time) {
	if !until.After(b.warmingUntil) {
		return
	}
	if !b.warmingUp(now) {
		b.nextWarmUpSend = now
	}
	b.warmingUntil = until
}

func (b *Backend) warmingUp(now time.Time) bool { return b.warmingUntil.After(now) }

// assumeWarmUp starts a warm-up of a backend whose drain was withdrawn. The backend may have gone cold while it got no
// requests because its zone was evacuated or an operator drained it. The warm-up lasts long enough for its heartbeats
// to report otherwise.
func (b *Balancer) assumeWarmUp(backend *Backend, now time.Time) {
	warmUp := time.Duration(0)
	if config := b.serviceConfig(backend.Service); config != nil {
		warmUp = config.WarmUp
	}
	backend.extendWarmUp(now.Add(warmUp+warmUpReportHeartbeats*b.bounds.HeartbeatInterval), now)
}

// warmUpInterval returns the time between two requests of this proxy to a backend that warms up. Each proxy of the zone
// sends its share of the rate. In any second the proxies together send at most the rate plus one request each, which is
// within the allowance for backends that warm up.
func (b *Balancer) warmUpInterval(backend *Backend) time.Duration {
	rate := 0.0
	if config := b.serviceConfig(backend.Service); config != nil {
		rate = config.WarmUpRate
	}
	if rate <= 0 {
		return defaultWarmUpInterval
	}
	return time.Duration(float64(max(b.zoneProxies, 1)) / rate * float64(time.Second))
}
