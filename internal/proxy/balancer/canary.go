package balancer

import (
	"time"

	"sagelever/internal/control/release"
	"sagelever/internal/control/replication"
	"sagelever/internal/stats/bestarm"
)

// The arms of a canary release, which also index the counts of a replication.ReleaseTally.
const (
	stableArm = 0  // the stable build
	canaryArm = 1  // the build on trial
	noArm     = -1 // a build that gets no requests: it was reverted, or no release names it
)

const (
	// capUtilisation is the part of the cap on the canary's share that is used, since counts of others come late.
	capUtilisation = 0.9
	// leewayUtilisation is the part of the allowance beside the cap that is used. The rest is kept for requests that
	// are in flight when the cap is reached.
	leewayUtilisation = 0.5
	// loadPhaseStart and loadPhaseEnd delimit the load phase, as fractions of the release's duration.
	loadPhaseStart = 0.35
	loadPhaseEnd   = 0.6
)

// canaryRelease is a release under way, as this proxy tracks it (docs/design.md). D-Tracking chooses the build for each
// request, under a cap on the canary's requests that holds over all proxies. The counts of all proxies decide how this
// proxy votes.
type canaryRelease struct {
	release   release.Release
	startedAt time.Time // when this proxy learned of the release
	tally     replication.ReleaseTally
	received  float64 // requests since then
}

// followRelease applies the latest state of the service's release.
func (s *serviceState) followRelease(latest *release.Release, now time.Time) {
	switch {
	case latest.Phase == release.PhaseFinished:
		s.stableBuild = latest.Target
		s.canary = nil
	case s.canary == nil || s.canary.release.Number != latest.Number:
		s.canary = &canaryRelease{
			release:   *latest,
			startedAt: now,
			tally:     replication.ReleaseTally{ReleaseNumber: latest.Number},
		}
	default:
		s.canary.release = *latest
	}
}

// inService reports whether the build on trial gets requests.
func (c *canaryRelease) inService() bool { return c.release.Phase == release.PhaseInService }

// armOf returns the arm of a backend's build, or noArm.
func (s *serviceState) armOf(backend *Backend) int {
	if s.canary != nil && backend.Version == s.canary.release.Target && s.canary.inService() {
		return canaryArm
	}
	if s.stableBuild == "" { // there is a request to send, so by now the backends have been reported
		s.stableBuild = s.mostCommonBuild()
	}
	if s.buildRetired(backend) {
		return noArm
	}
	return stableArm
}

// buildRetired reports whether a backend's build is known to be out of service. It does not determine the stable build,
// since it is called while backends are still being reported one by one.
func (s *serviceState) buildRetired(backend *Backend) bool {
	if s.canary != nil && backend.Version == s.canary.release.Target {
		return !s.canary.inService()
	}
	return s.stableBuild != "" && backend.Version != s.stableBuild && s.hasReadyBackend(s.stableBuild)
}

// mostCommonBuild returns the build of most backends other than the canary, and of several the first by name. It is the
// stable build where no release says which one is.
func (s *serviceState) mostCommonBuild() (build string) {
	counts := map[string]int{}
	for _, backend := range s.backends {
		if s.canary != nil && backend.Version == s.canary.release.Target {
			continue
		}
		counts[backend.Version]++
		count := counts[backend.Version]
		most := counts[build]
		if count > most || count == most && backend.Version < build {
			build = backend.Version
		}
	}
	return build
}

// hasReadyBackend reports whether any backend of a build is ready.
func (s *serviceState) hasReadyBackend(build string) bool {
	for _, backend := range s.backends {
		if backend.Version == build && backend.isReady() {
			return true
		}
	}
	return false
}

// underLoad reports whether the canary is in its load phase. The cap leaves the canary's backends nearly idle, so
// that a build that fails only under load would pass. In the load phase all its requests therefore go to a single
// backend, the first by ID.
func (c *canaryRelease) underLoad(now time.Time) bool {
	duration := float64(c.release.DurationMs) * float64(time.Millisecond)
	elapsed := float64(now.Sub(c.startedAt))
	return elapsed > loadPhaseStart*duration && elapsed < loadPhaseEnd*duration
}

// chooseArm returns the build that a request goes to. fixed means that the other build must not serve it instead.
func (b *Balancer) chooseArm(svc *serviceState, request *Request) (arm int, fixed bool) {
	canary := svc.canary
	if canary == nil || !canary.inService() {
		return stableArm, true
	}
	allowance := leewayUtilisation * b.bounds.TrialRequestAllowance / float64(b.proxies+unseenProxies(b.proxies))
	if canary.tally.NewBuildRequests+1 > allowance+capUtilisation*b.bounds.TrialRequestRatio*canary.received {
		return stableArm, true
	}
	if request.Delivered > 0 {
		return stableArm, true // the canary gets no retries
	}
	if bestarm.PullSecond(tallyArm(&canary.tally, stableArm), tallyArm(&canary.tally, canaryArm)) {
		return canaryArm, false
	}
	return stableArm, true
}

// countSend counts an attempt, and reports whether it goes to the canary.
func (s *serviceState) countSend(backend *Backend) (toCanary bool) {
	canary := s.canary
	if canary == nil || !canary.inService() {
		return false
	}
	canary.tally.ServiceRequests++
	if backend.Version != canary.release.Target {
		return false
	}
	canary.tally.NewBuildRequests++
	return true
}

// recordOutcome counts the outcome of an attempt. Its payoff is 1 if it succeeded within the route's latency target,
// and 0 otherwise.
func (c *canaryRelease) recordOutcome(request *Request, outcome Outcome, now time.Time) {
	if !outcome.reflectsBuild() {
		return
	}
	arm := stableArm
	if request.toCanary {
		arm = canaryArm
	}
	reward := 0.0
	latencyTarget := request.Route.LatencyTarget
	if outcome.Succeeded && (latencyTarget == 0 || outcome.Latency <= latencyTarget) {
		reward = 1
	}
	c.tally.Attempts[arm]++
	c.tally.Rewards[arm] += reward
	if arm == canaryArm && c.underLoad(now) {
		c.tally.SingleBackend[0]++
		c.tally.SingleBackend[1] += reward
	}
	if !outcome.Succeeded {
		c.tally.Failures[arm]++
	}
}

// reflectsBuild reports whether the outcome says anything about the backend's build. An attempt that the proxy
// cancelled for its client, that never reached the backend, that the backend rejected, or that was the client's own
// error does not.
func (o *Outcome) reflectsBuild() bool {
	if o.Cancelled && !o.TimedOut || !o.Connected {
		return false
	}
	return !o.clientError() && (o.Status != statusServiceUnavailable || o.Succeeded)
}

// tallyArm returns the counts of one arm of a tally.
func tallyArm(tally *replication.ReleaseTally, arm int) bestarm.Arm {
	pulls := tally.NewBuildRequests
	if arm == stableArm {
		pulls = tally.ServiceRequests - tally.NewBuildRequests
	}
	return bestarm.Arm{Pulls: max(0, pulls), Observations: tally.Attempts[arm], Reward: tally.Rewards[arm]}
}
