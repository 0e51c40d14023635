package policy

import (
	"slices"
	"sort"
	"time"

	"sagelever/internal/agent/api"
	"sagelever/internal/stats/decay"
)

// backend is one backend, with what the agent has seen of it.
type backend struct {
	api.Backend
	listed         bool      // the last list has it as up
	stage          api.Stage // of the rollout when it was first listed
	inFlight       int
	owesSince      time.Duration // since when it owes a response, if attempts are in flight
	lastAnswer     time.Duration
	slowness       decay.Mean // ratio of its latency to the workload's mean
	backlog        float64    // work in progress, by its last load report
	loadReportedAt time.Duration
	paceCredit     float64 // attempts that its slow start allows
	paceCreditAt   time.Duration

	health           healthState
	ejectedUntil     time.Duration
	ejections        int // since it was last healthy
	failureStreak    int // attempts in a row without any response
	faultRate        float64
	unhealthyReports []unhealthyReport // of other agents, and this one, lately
	broadcastAt      time.Duration     // when all were last told that it is unhealthy, 0 if not since it was healthy

	counts     arm // its part of its arm's counts
	unreported arm // the part of it that other agents have not been told
}

// unhealthyReport says that an agent has found a backend unhealthy.
type unhealthyReport struct {
	from api.PeerNumber
	at   time.Duration
}

// addUnhealthyReport adds an agent's report and gives the number of agents with a report within the window.
func (backend *backend) addUnhealthyReport(from api.PeerNumber, now time.Duration) int {
	replaced := func(r unhealthyReport) bool { return r.from == from || now-r.at > healthReportWindow }
	recent := slices.DeleteFunc(backend.unhealthyReports, replaced)
	backend.unhealthyReports = append(recent, unhealthyReport{from, now})
	return len(backend.unhealthyReports)
}

// recovered notes that a backend is healthy again, and reports it if it was reported as unhealthy.
func (b *Balancer) recovered(backend *backend) {
	backend.ejections, backend.faultRate = 0, 0
	if backend.broadcastAt > 0 {
		backend.broadcastAt = 0
		b.healthReports[reportRecovered] = append(b.healthReports[reportRecovered], backend.ID)
	}
}

// recentlyBroadcast reports whether all agents were told within the window that a backend is unhealthy.
func (b *Balancer) recentlyBroadcast(backend *backend) bool {
	return backend.broadcastAt > 0 && b.now-backend.broadcastAt <= healthReportWindow
}

// ejectedCount is how many listed backends are not healthy.
func (b *Balancer) ejectedCount() int {
	count := 0
	for _, backend := range b.ordered {
		if backend.listed && backend.health != healthy {
			count++
		}
	}
	return count
}

// applyList brings the backends up to date with a list.
func (b *Balancer) applyList(update api.BackendUpdate) {
	if update.Kind != api.UpdateIncremental {
		for _, known := range b.ordered {
			known.listed, known.State = false, api.StateGone // unless named below
		}
	}
	for _, entry := range update.Backends {
		known := b.backends[entry.ID]
		if known == nil || known.Started != entry.Started || known.Build != entry.Build {
			known = b.replaceBackend(known, entry.ID)
		}
		known.Backend, known.listed = entry, entry.State == api.StateUp
	}
	b.dropUnlisted()
	sort.Slice(b.ordered, func(i, j int) bool { return b.ordered[i].ID < b.ordered[j].ID })
}

// replaceBackend takes up a new backend. One that has restarted, or has another build under an old id, is new: what
// was known of its health is void, and what the old one still owes ends there.
func (b *Balancer) replaceBackend(old *backend, id api.BackendID) *backend {
	if old != nil {
		b.ordered = slices.DeleteFunc(b.ordered, func(x *backend) bool { return x == old })
	}
	fresh := &backend{paceCredit: b.randomFloat(), paceCreditAt: b.now, stage: b.rollout.Stage}
	b.backends[id] = fresh
	b.ordered = append(b.ordered, fresh)
	return fresh
}

// dropUnlisted forgets the backends that are gone and owe nothing.
func (b *Balancer) dropUnlisted() {
	kept := b.ordered[:0]
	b.listedCount = 0
	for _, backend := range b.ordered {
		if backend.listed {
			b.listedCount++
		}
		if backend.listed || backend.inFlight > 0 || backend.State == api.StateDraining {
			kept = append(kept, backend)
		} else {
			delete(b.backends, backend.ID)
		}
	}
	b.ordered = kept
}

// attemptInterval is the mean time between this agent's attempts at one backend.
func (b *Balancer) attemptInterval() time.Duration {
	const minRate = 1e-3 // a second
	return time.Duration(float64(b.listedCount) / max(b.rate(&b.demand), minRate) * float64(time.Second))
}

// meanLoad is the mean load of the healthy backends that run earlier builds, 0 if there are none.
func (b *Balancer) meanLoad() float64 {
	sum, count := 0.0, 0.0
	for _, backend := range b.ordered {
		if backend.listed && backend.health == healthy && b.armOf(backend) == baselineArm {
			sum += b.load(backend)
			count++
		}
	}
	return sum / max(count, 1)
}

// trialCapacityShare is the share of the trial's backends in the capacity of all listed ones.
func (b *Balancer) trialCapacityShare() float64 {
	var capacity [2]float64
	for _, backend := range b.ordered {
		if backend.listed {
			capacity[b.armOf(backend)] += b.capacityShare(backend)
		}
	}
	return capacity[trialArm] / max(capacity[baselineArm]+capacity[trialArm], 1)
}
