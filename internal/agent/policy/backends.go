package policy

import (
	"slices"
	"sort"
	"time"

	"sagelever/internal/agent/api"
	"sagelever/internal/stats/decay"
)

// backend is one backend with the agent's observations of it.
type backend struct {
	api.Backend
	listed         bool      // up by the last list
	stage          api.Stage // of the rollout when the backend was first listed
	inFlight       int
	awaitingSince  time.Duration // start of the oldest wait for a response, if attempts are in flight
	lastResponseAt time.Duration
	slowness       decay.Mean // ratio of its latency to the workload's mean latency
	backlog        float64    // work in progress by the last load report
	loadReportedAt time.Duration
	paceTokens     float64 // attempts allowed during slow start
	paceRefilledAt time.Duration

	health           healthState
	ejectedUntil     time.Duration
	ejections        int // since the backend was last healthy
	failureStreak    int // consecutive attempts without a response
	faultRate        float64
	unhealthyReports []unhealthyReport // of peers and this agent within healthReportWindow
	broadcastAt      time.Duration     // last broadcast of its ejection, 0 if none since it was healthy

	counts     arm // part of its arm's counts
	unreported arm // part of counts that was not sent to peers yet
}

// unhealthyReport records that an agent found a backend unhealthy.
type unhealthyReport struct {
	from api.PeerNumber
	at   time.Duration
}

// addUnhealthyReport adds an agent's report and returns the number of agents with a report within the window.
func (backend *backend) addUnhealthyReport(from api.PeerNumber, now time.Duration) int {
	replaced := func(r unhealthyReport) bool { return r.from == from || now-r.at > healthReportWindow }
	recent := slices.DeleteFunc(backend.unhealthyReports, replaced)
	backend.unhealthyReports = append(recent, unhealthyReport{from, now})
	return len(backend.unhealthyReports)
}

// reportRecovery resets a recovered backend's ejection state and reports the recovery if the ejection was broadcast.
func (b *Balancer) reportRecovery(backend *backend) {
	backend.ejections, backend.faultRate = 0, 0
	if backend.broadcastAt > 0 {
		backend.broadcastAt = 0
		b.healthReports[reportRecovered] = append(b.healthReports[reportRecovered], backend.ID)
	}
}

// recentlyBroadcast reports whether a backend's ejection was broadcast within the window.
func (b *Balancer) recentlyBroadcast(backend *backend) bool {
	return backend.broadcastAt > 0 && b.now-backend.broadcastAt <= healthReportWindow
}

// available reports whether the backend may be chosen before the fallback candidates.
func (backend *backend) available() bool {
	return backend.health == healthy || backend.health == probing && backend.inFlight == 0
}

// ejectedCount returns the number of listed backends that are not healthy.
func (b *Balancer) ejectedCount() int {
	count := 0
	for _, backend := range b.ordered {
		if backend.listed && backend.health != healthy {
			count++
		}
	}
	return count
}

// applyList updates the backends from a list.
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

// replaceBackend adds a new backend. A backend that restarted, or runs another build under an old ID, is new: it starts
// without health state, and attempts in flight end at the old one.
func (b *Balancer) replaceBackend(old *backend, id api.BackendID) *backend {
	if old != nil {
		b.ordered = slices.DeleteFunc(b.ordered, func(candidate *backend) bool { return candidate == old })
	}
	added := &backend{paceTokens: b.randomFloat(), paceRefilledAt: b.now, stage: b.rollout.Stage}
	b.backends[id] = added
	b.ordered = append(b.ordered, added)
	return added
}

// dropUnlisted removes unlisted backends without attempts in flight, except for draining ones.
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

// attemptInterval returns the mean time between the agent's attempts at one backend.
func (b *Balancer) attemptInterval() time.Duration {
	const minRate = 1e-3 // transactions a second
	return time.Duration(float64(b.listedCount) / max(b.rate(&b.demand), minRate) * float64(time.Second))
}

// meanLoad returns the mean load of the healthy baseline backends, 0 if there are none.
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

// capacityShare returns the minimum share of its full capacity that a backend has at its age.
func (b *Balancer) capacityShare(backend *backend) float64 {
	age, total, initial := b.now-backend.Started, b.settings.slowStart, b.settings.slowStartFrom
	if age < total {
		return initial + (1-initial)*max(0, float64(age)/float64(total))
	}
	return 1
}

// trialCapacityShare returns the share of the trial's backends in the capacity of all listed backends.
func (b *Balancer) trialCapacityShare() float64 {
	var capacity [2]float64
	for _, backend := range b.ordered {
		if backend.listed {
			capacity[b.armOf(backend)] += b.capacityShare(backend)
		}
	}
	return capacity[trialArm] / max(capacity[baselineArm]+capacity[trialArm], 1)
}
