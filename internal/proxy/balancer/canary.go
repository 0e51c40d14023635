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
	canaryArm = 1  // the target build of the release
	noArm     = -1 // a build that gets no requests: it was reverted, or is neither stable nor a release's target
)

const (
	// capUtilisation is the part of the cap on the canary's share that is used. The margin is needed because the counts
	// of other proxies arrive late.
	capUtilisation = 0.9
	// allowanceUtilisation is the part that is used of the request allowance on top of the cap. The remainder covers
	// requests that are in flight when the cap is reached.
	allowanceUtilisation = 0.5
	// loadPhaseStart and loadPhaseEnd delimit the load phase, as fractions of the release's duration.
	loadPhaseStart = 0.35
	loadPhaseEnd   = 0.6
)

// canaryRelease is this proxy's state of a release (docs/design.md). D-Tracking chooses the build for each request,
// subject to a cap on the canary's requests over all proxies. This proxy's vote follows from the counts of all proxies.
type canaryRelease struct {
	release   release.Release
	startedAt time.Time // when this proxy first received the release
	tally     replication.ReleaseTally
	received  float64 // client requests since startedAt
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

// inService reports whether the release's target build gets requests.
func (c *canaryRelease) inService() bool { return c.release.Phase == release.PhaseInService }

// armOf returns the arm of a backend's build, or noArm.
func (s *serviceState) armOf(backend *Backend) int {
	if s.canary != nil && backend.Version == s.canary.release.Target && s.canary.inService() {
		return canaryArm
	}
	if s.stableBuild == "" { // a request is being sent, so the backends have been reported
		s.stableBuild = s.mostCommonBuild()
	}
	if s.buildRetired(backend) {
		return noArm
	}
	return stableArm
}

// buildRetired reports whether a backend's build is out of service. It does not set the stable build, because it is
// also called while backends are still being reported one by one.
func (s *serviceState) buildRetired(backend *Backend) bool {
	if s.canary != nil && backend.Version == s.canary.release.Target {
		return !s.canary.inService()
	}
	return s.stableBuild != "" && backend.Version != s.stableBuild && s.hasReadyBackend(s.stableBuild)
}

// mostCommonBuild returns the build that most backends have, not counting the canary; ties go to the first build by
// name. It is taken as the stable build if no release has determined one.
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

// underLoad reports whether the canary is in its load phase. The cap leaves the canary's backends nearly idle, which
// would hide a build that fails only under load. In the load phase all requests of the canary therefore go to a single
// backend, the first by ID.
func (c *canaryRelease) underLoad(now time.Time) bool {
	duration := float64(c.release.DurationMs) * float64(time.Millisecond)
	elapsed := float64(now.Sub(c.startedAt))
	return elapsed > loadPhaseStart*duration && elapsed < loadPhaseEnd*duration
}

// chooseArm returns the arm whose build a request goes to. fixed reports that the other build must not serve the
// request instead.
func (b *Balancer) chooseArm(svc *serviceState, request *Request) (arm int, fixed bool) {
	canary := svc.canary
	if canary == nil || !canary.inService() {
		return stableArm, true
	}
	allowance := allowanceUtilisation * b.bounds.TrialRequestAllowance / float64(b.proxies+unreportedProxies(b.proxies))
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

// countAttempt counts an attempt and reports whether it goes to the canary.
func (s *serviceState) countAttempt(backend *Backend) (toCanary bool) {
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

// recordOutcome counts the outcome of an attempt. The reward is 1 if the attempt succeeded within the route's latency
// target, and 0 otherwise.
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

// reflectsBuild reports whether the outcome is evidence about the backend's build. It is not if the proxy cancelled the
// attempt because the client disconnected, if the attempt never reached the backend, if the backend rejected it, or if
// the response was a client error.
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
