package proxy

import (
	"context"
	"time"
)

const (
	// queueCheckInterval is the tick interval while requests are queued.
	queueCheckInterval = 20 * time.Millisecond

	// idleCheckInterval is the tick interval while no request is queued. It is longer because each tick wakes the
	// process.
	idleCheckInterval = 12 * queueCheckInterval

	tallyReportInterval = time.Second
	countersLogInterval = 10 * time.Second
)

// tickerState is the state that the ticker keeps between ticks.
type tickerState struct {
	lastTallyReport time.Time
	lastCountersLog time.Time
	leaseValid      bool
}

// runTicker runs the periodic tasks of the proxy until ctx ends: it closes expired connections, dispatches queued
// requests, starts health checks, reports release tallies and logs the counters.
func (p *Proxy) runTicker(ctx context.Context) {
	ticker := time.NewTicker(idleCheckInterval)
	defer ticker.Stop()
	state := tickerState{lastTallyReport: time.Now(), lastCountersLog: time.Now(), leaseValid: true}
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.requestQueued:
			ticker.Reset(queueCheckInterval)
		case now := <-ticker.C:
			ticker.Reset(p.tick(ctx, &state, now))
		}
	}
}

// tick runs the tasks that are due at now and returns the interval until the next tick.
func (p *Proxy) tick(ctx context.Context, state *tickerState, now time.Time) time.Duration {
	p.mu.Lock()
	p.connPool.closeExpired(now)
	p.balancer.DispatchAll(now)
	hasQueued := p.balancer.HasQueued()
	checks := p.balancer.TakeHealthChecks()
	leaseValid := p.balancer.LeaseValid(now)
	p.mu.Unlock()

	p.logLeaseChange(state, leaseValid)
	p.startHealthChecks(checks)
	interval := idleCheckInterval
	if hasQueued {
		interval = queueCheckInterval
	}
	if now.Sub(state.lastTallyReport) > tallyReportInterval {
		state.lastTallyReport = now
		go p.subscription.reportTallies(ctx)
	}
	if now.Sub(state.lastCountersLog) > countersLogInterval {
		state.lastCountersLog = now
		p.counters.logTo(p.log)
		p.subscription.logCounters(now)
	}
	return interval
}

// logLeaseChange logs a change in the validity of the send lease.
func (p *Proxy) logLeaseChange(state *tickerState, leaseValid bool) {
	if leaseValid == state.leaseValid {
		return
	}
	state.leaseValid = leaseValid
	if leaseValid {
		p.log.Info("send lease valid again")
	} else {
		p.log.Warn("send lease expired, checking backends directly")
	}
}
