package balancer

import (
	"time"

	"sagelever/internal/control/replication"
)

// Slow start: a backend that warms up gets requests only from the proxies of its own zone, which share the service's
// warm-up rate.

// updateWarmUp applies the end of the warm-up that the backend reports. A report that it is already warm counts only if
// it is newer than the last refused connection, after which the backend may have restarted.
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

// extendWarmUp has the backend warm up at least until the given time.
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

// assumeWarmUp guards against a backend that went cold while nothing was sent to it, because its zone was evacuated
// or an operator drained it. It counts as warming up until its heartbeats have had time to say otherwise.
func (b *Balancer) assumeWarmUp(backend *Backend, now time.Time) {
	warmUp := time.Duration(0)
	if config := b.serviceConfig(backend.Service); config != nil {
		warmUp = config.WarmUp
	}
	backend.extendWarmUp(now.Add(warmUp+2*b.bounds.HeartbeatInterval), now)
}

// warmUpInterval returns the time between two requests of this proxy to a backend that warms up: each proxy of the zone
// sends its share of the rate. In any second that is the rate and one request more from each, which is within the
// allowance for backends that warm up.
func (b *Balancer) warmUpInterval(backend *Backend) time.Duration {
	rate := 0.0
	if config := b.serviceConfig(backend.Service); config != nil {
		rate = config.WarmUpRate
	}
	if rate <= 0 {
		return time.Second
	}
	return time.Duration(float64(max(b.zoneProxies, 1)) / rate * float64(time.Second))
}
