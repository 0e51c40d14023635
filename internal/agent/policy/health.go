package policy

import (
	"math"
	"time"

	"sagelever/internal/agent/api"
)

const paceBurstDivisor = 4 // tokens accumulate for at most 1/4 s

// withinPace reports whether the backend's token bucket has a token. It refills at a multiple of the even
// share and starts at a random level, so that the fractional shares of many agents add up to the full rate.
func (b *Balancer) withinPace(backend *backend, multiple float64) bool {
	share := multiple * b.rate(&b.demand) / float64(max(b.listedCount, 1)) // a second
	backend.paceTokens = min(backend.paceTokens+share*(b.now-backend.paceRefilledAt).Seconds(),
		max(1, share/paceBurstDivisor))
	backend.paceRefilledAt = b.now
	return backend.paceTokens >= 1
}

// The first is a multiple of the even share, as fleets run below 0.7 of their capacity. The second is a share
// of the load at which a backend fails.
const slowStartMultiple, overloadShare = 1.4, 0.7

// slowStartAllows paces attempts at a warming backend, which agents without coordination could overload. A
// warm one sustains slowStartMultiple of the even share; a warming one sustains its capacity share of that.
func (b *Balancer) slowStartAllows(backend *backend) bool {
	capacity := b.capacityShare(backend)
	return capacity >= 1 || b.withinPace(backend,
		min(slowStartMultiple, overloadShare*b.settings.overloadFactor)*capacity)
}

const maxLatencyRatio = 2.0                       // of latency to the goal, as one observation
const faultRateDecay, faultRateGain = 0.8, 0.2    // for each response
const maxFailureStreak, failingFaultRate = 3, 0.6 // attempts; share of errors, reached by five in a row

// observe records the latency, health, load and build evidence of one outcome.
func (b *Balancer) observe(tx *transaction, attempt *attempt, event api.AttemptEnded) {
	backend := attempt.backend
	if event.Load != nil {
		backend.backlog, backend.loadReportedAt = event.Load["queue"]+event.Load["inflight"], b.now
	}
	if backendResponded(event.Outcome) {
		backend.lastResponseAt, backend.failureStreak = b.now, 0
	}
	ratio := min(event.Elapsed.Seconds()/tx.workload.goal.Seconds(), maxLatencyRatio)
	switch event.Outcome {
	case api.Succeeded:
		tx.flow.latencyRatio.Add(b.now, latencyRatioHalfLife, ratio)
		backend.faultRate *= faultRateDecay
		b.recordLatency(tx.workload, backend, event.Elapsed)
		b.advanceHealth(backend, foundHealthy)
	case api.ErrorResponse, api.Rejected, api.MalformedResponse:
		if event.Outcome == api.Rejected { // counts as latency at the goal
			tx.flow.latencyRatio.Add(b.now, latencyRatioHalfLife, 1)
		}
		backend.faultRate = faultRateDecay*backend.faultRate + faultRateGain
	case api.TimedOut, api.Unreachable, api.ConnectionLost:
		if event.Outcome == api.Unreachable {
			b.scheduleWatch()
		}
		backend.failureStreak++
		if event.Outcome == api.TimedOut && backend.health == healthy {
			tx.flow.latencyRatio.Add(b.now, latencyRatioHalfLife, ratio)
		}
	}
	if backend.failing() {
		b.discardCounts(backend)
	}
	streak := backend.failureStreak
	if backend.failing() || streak >= maxFailureStreak || backend.health == probing && streak > 0 {
		b.advanceHealth(backend, foundUnhealthy)
	}
	b.addEvidence(tx, attempt, event)
}

// applyPeerCounts adds outcomes reported by another agent; the agent's own may be too few to detect a fault.
func (b *Balancer) applyPeerCounts(backend *backend, counts arm) {
	decayed := math.Pow(faultRateDecay, counts.outcomes) // as after the same number of own outcomes
	backend.faultRate = decayed*backend.faultRate + (1-decayed)*counts.faults/counts.outcomes
	if backend.failing() {
		b.discardCounts(backend)
		b.advanceHealth(backend, foundUnhealthy)
		return
	}
	b.addOutcomes(backend, counts)
}

const minEjection, maxEjection, maxEjectionDoublings = 500 * time.Millisecond, 5 * time.Second, 3

// eject ejects the backend for half the interval between attempts, within bounds and doubled on repetition.
func (b *Balancer) eject(backend *backend) {
	period := min(max(minEjection, b.attemptInterval()/2), maxEjection)
	backend.ejectedUntil = b.now + period<<min(backend.ejections, maxEjectionDoublings)
	backend.ejections, backend.failureStreak = backend.ejections+1, 0
	if !b.recentlyBroadcast(backend) {
		b.healthReports[reportUnhealthy] = append(b.healthReports[reportUnhealthy], backend.ID)
	}
	b.handleUnhealthyReport(backend, b.peerNumber())
}

const healthReportWindow = 500 * time.Millisecond // agents using an unhealthy backend detect it in that time

const healthReportReceivers = 6 // agents

// reportHealth reports unhealthy backends to the first agents, and recovered or confirmed unhealthy ones to
// all: otherwise each agent would lose an attempt of its own to detect the state.
func (b *Balancer) reportHealth() {
	for kind, ids := range b.healthReports {
		b.healthReports[kind] = nil
		switch {
		case len(ids) == 0 || !b.settings.mayMessage:
		case healthReportKind(kind) != reportUnhealthy:
			b.emit(api.SendMessage{All: true, Data: healthMessage(healthReportKind(kind), ids)})
		default:
			b.sendToFirst(min(healthReportReceivers, int(b.settings.agents)), healthMessage(reportUnhealthy, ids))
		}
	}
}

const minUnhealthyReports = 3 // agents

// handleUnhealthyReport counts an agent's report. Slow responses are often mistaken for silence, so half as
// many agents as attempts in the window must report. The first agent to count enough reports notifies all.
func (b *Balancer) handleUnhealthyReport(backend *backend, from api.PeerNumber) {
	reports := backend.addUnhealthyReport(from, b.now)
	rate := b.rate(&b.demand) * b.settings.agents / float64(max(b.listedCount, 1))
	if float64(reports) < max(minUnhealthyReports, rate*healthReportWindow.Seconds()/2) {
		return
	}
	b.schedule(time.Duration(b.peerNumber())*heartbeatInterval, func() {
		if !b.recentlyBroadcast(backend) {
			b.healthReports[reportConfirmed] = append(b.healthReports[reportConfirmed], backend.ID)
			b.ejectOnReports(backend)
		}
	})
}

// Ejections on reports last longer than the reporting agents' own, so that those probe the backend first.
const peerEjection, peerEjectionJitterMS, recentResponse = time.Second, 1000, 150 * time.Millisecond

// ejectOnReports ejects a backend reported by peers unless it responded recently or half of all are ejected.
func (b *Balancer) ejectOnReports(backend *backend) {
	backend.broadcastAt = b.now
	if b.now-backend.lastResponseAt > recentResponse && 2*b.ejectedCount() < b.listedCount {
		b.advanceHealth(backend, peersFoundUnhealthy)
		jitter := time.Duration(b.randomBelow(peerEjectionJitterMS)) * time.Millisecond
		backend.ejectedUntil = b.now + peerEjection + jitter
	}
}

// failing reports whether most of the recent responses were errors. A bad build fails about a third of its
// requests or one workload, so a backend above that rate is itself faulty and no evidence on its build.
func (backend *backend) failing() bool { return backend.faultRate >= failingFaultRate }
