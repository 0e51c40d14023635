package balancer

import (
	"time"

	"sagelever/internal/control/replication"
)

// A backend that warms up (slow start) gets requests from the proxies of its own zone alone, at the service's warm-up
// rate, which these share.

// updateWarmUp takes up when the backend says that it is warm. A heartbeat that says that it is warm already counts
// only if it is newer than what made this proxy doubt it.
func (b *Backend) updateWarmUp(update *replication.Backend, now time.Time) {
	warmAt := time.UnixMilli(update.WarmAtMs).Add(maxClockSkew)
	if update.WarmAtMs != 0 && warmAt.After(now) {
		b.extendWarmUp(warmAt, now)
		return
	}
	heartbeatAt := time.UnixMilli(update.HeartbeatMs).Add(-maxClockSkew)
	if update.WarmAtMs == 0 && update.Phase == replication.PhaseReady && b.health.refusedAt.Before(heartbeatAt) {
		b.warmingUntil = time.Time{}
	}
}

// extendWarmUp has the backend warm up until then at least.
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

// assumeWarmUp guards against a backend that went cold while nothing was sent to it, as its zone was evacuated or an
// operator drained it: until its heartbeats have had time to say otherwise it counts as warming up.
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
