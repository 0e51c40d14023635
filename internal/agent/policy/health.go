package policy

import (
	"math"
	"time"

	"sagelever/internal/agent/api"
)

// capacityShare is the least share of its full capacity that a backend has at its age.
func (b *Balancer) capacityShare(backend *backend) float64 {
	age, total, from := b.now-backend.Started, b.settings.slowStart, b.settings.slowStartFrom
	if age < total {
		return from + (1-from)*max(0, float64(age)/float64(total))
	}
	return 1
}

// withinPace reports whether one more attempt keeps a backend below a multiple of this agent's even share.
// The first credit is random, so that the small shares of hundreds of agents add up to the whole.
func (b *Balancer) withinPace(backend *backend, multiple float64) bool {
	share := multiple * b.rate(&b.demand) / float64(max(b.listedCount, 1)) // a second
	backend.paceCredit = min(backend.paceCredit+share*(b.now-backend.paceCreditAt).Seconds(), max(1, share/4))
	backend.paceCreditAt = b.now
	return backend.paceCredit >= 1
}

// slowStartAllows keeps agents, which do not ask each other, from overloading a backend together. A warm one
// bears the even share, so even shares times its capacity are less than it can do: 1.4, as fleets run below
// 0.7 of theirs, and at most 0.7 of the multiple at which a backend fails.
func (b *Balancer) slowStartAllows(backend *backend) bool {
	capacity := b.capacityShare(backend)
	return capacity >= 1 || b.withinPace(backend, min(1.4, 0.7*b.settings.overloadFactor)*capacity)
}

// available reports whether a backend should be used while others are there too.
func (backend *backend) available() bool {
	return backend.health == healthy || backend.health == probing && backend.inFlight == 0
}

// observe learns from one outcome: latency, health, load, and the evidence on the backend's build.
func (b *Balancer) observe(tx *transaction, attempt *attempt, event api.AttemptEnded) {
	backend := attempt.backend
	if event.Load != nil {
		backend.backlog, backend.loadReportedAt = event.Load["queue"]+event.Load["inflight"], b.now
	}
	if backendResponded(event.Outcome) {
		backend.lastAnswer, backend.failureStreak = b.now, 0
	}
	ratio := min(event.Elapsed.Seconds()/tx.workload.goal.Seconds(), 2)
	switch event.Outcome {
	case api.Succeeded:
		tx.flow.latencyRatio.Add(b.now, latencyRatioHalfLife, ratio)
		backend.faultRate *= 0.8
		b.recordLatency(tx.workload, backend, event.Elapsed)
		b.advanceHealth(backend, foundHealthy)
	case api.ErrorResponse, api.Rejected, api.MalformedResponse:
		if event.Outcome == api.Rejected { // a full backend is as bad as a response at the goal time
			tx.flow.latencyRatio.Add(b.now, latencyRatioHalfLife, 1)
		}
		backend.faultRate = 0.8*backend.faultRate + 0.2
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
	if backend.failing() || streak >= 3 || backend.health == probing && streak > 0 {
		b.advanceHealth(backend, foundUnhealthy)
	}
	b.weighOutcome(tx, attempt, event)
}

// learnFromPeer takes outcomes that another agent reports: its own may be too few to show a bad backend.
func (b *Balancer) learnFromPeer(backend *backend, counts arm) {
	old := math.Pow(0.8, counts.outcomes) // as much as the same outcomes would leave, had they been its own
	backend.faultRate = old*backend.faultRate + (1-old)*counts.faults/counts.outcomes
	if backend.failing() {
		b.discardCounts(backend)
		b.advanceHealth(backend, foundUnhealthy)
		return
	}
	b.creditOutcome(backend, counts)
}

// eject lasts half a second, or half the time between attempts up to five, doubled thrice at most.
func (b *Balancer) eject(backend *backend) {
	period := min(max(500*time.Millisecond, b.attemptInterval()/2), 5*time.Second)
	backend.ejectedUntil = b.now + period<<min(backend.ejections, 3)
	backend.ejections, backend.failureStreak = backend.ejections+1, 0
	if !b.recentlyBroadcast(backend) { // else all agents know
		b.healthReports[reportUnhealthy] = append(b.healthReports[reportUnhealthy], backend.ID)
	}
	b.noteUnhealthyReport(backend, b.peerNumber())
}

const healthReportWindow = 500 * time.Millisecond // within it all who use an unhealthy backend find out

// reportHealth reports backends found unhealthy to the first six agents, and those found healthy or confirmed
// unhealthy to all, else each agent would find out by a lost attempt of its own.
func (b *Balancer) reportHealth() {
	for kind, ids := range b.healthReports {
		b.healthReports[kind] = nil
		switch {
		case len(ids) == 0 || !b.settings.mayMessage:
		case healthReportKind(kind) != reportUnhealthy:
			b.emit(api.SendMessage{All: true, Data: healthMessage(healthReportKind(kind), ids)})
		default:
			b.sendToFirst(min(6, int(b.settings.agents)), healthMessage(reportUnhealthy, ids))
		}
	}
}

// noteUnhealthyReport takes one agent's report. Slow responses often pass for silence in a fleet, so it takes
// half as many agents as attempts there in the window, and three at least. The first to see them tells all.
func (b *Balancer) noteUnhealthyReport(backend *backend, from api.PeerNumber) {
	reports := backend.addUnhealthyReport(from, b.now)
	rate := b.rate(&b.demand) * b.settings.agents / float64(max(b.listedCount, 1))
	if float64(reports) < max(3, rate*healthReportWindow.Seconds()/2) {
		return
	}
	b.schedule(time.Duration(b.peerNumber())*heartbeatInterval, func() {
		if !b.recentlyBroadcast(backend) {
			b.healthReports[reportConfirmed] = append(b.healthReports[reportConfirmed], backend.ID)
			b.ejectOnReports(backend)
		}
	})
}

// ejectOnReports ejects a backend on others' reports, if it has not just answered and few others are ejected.
func (b *Balancer) ejectOnReports(backend *backend) {
	backend.broadcastAt = b.now
	if b.now-backend.lastAnswer > 150*time.Millisecond && 2*b.ejectedCount() < b.listedCount {
		b.advanceHealth(backend, peersFoundUnhealthy)
		jitter := time.Duration(b.randomBelow(1000)) * time.Millisecond
		backend.ejectedUntil = b.now + time.Second + jitter // those who found it try it first
	}
}

// failing reports whether most of the last responses were errors; five in a row will do. A bad build fails a
// third or one workload: a backend that fails most is itself unhealthy, and does not count for its build.
func (backend *backend) failing() bool { return backend.faultRate >= 0.6 }
