package balancer

import (
	"time"

	"sagelever/internal/control/release"
	"sagelever/internal/control/replication"
	"sagelever/internal/stats/bestarm"
)

// canaryRelease is a release under way as this relay tracks it, by the design: D-Tracking picks the build for each request, under
// a cap that holds over all agents; Z over the counts of all agents against log(2t·n/δ) decides its vote.
type canaryRelease struct {
	release   release.Release
	startedAt time.Time // when this relay heard of the order
	tally     replication.ReleaseTally
	received  float64
}

// followRelease takes up a release as it stands.
func (s *serviceState) followRelease(latest *release.Release, now time.Time) {
	switch {
	case latest.Phase == release.PhaseFinished:
		s.stableBuild, s.canary = latest.Target, nil
	case s.canary == nil || s.canary.release.Number != latest.Number:
		s.canary = &canaryRelease{release: *latest, startedAt: now, tally: replication.ReleaseTally{ReleaseNumber: latest.Number}}
	default:
		s.canary.release = *latest
	}
}

// armOf is 1 for an appliance of the build on trial, 0 for one of the build in force, and -1 for one that may get
// nothing: of a build that was sent back, or that no order has named.
func (s *serviceState) armOf(backend *Backend) int {
	if s.canary != nil && backend.Version == s.canary.release.Target && s.canary.release.Phase == release.PhaseInService {
		return 1
	}
	if s.stableBuild == "" { // asked for a request: by now the appliances have been heard of
		s.stableBuild = s.mostCommonBuild()
	}
	if s.buildRetired(backend) {
		return -1
	}
	return 0
}

// buildRetired tells whether an appliance's build is known to be out of service. It does not settle which build is in force, as
// it is asked while appliances are heard of one by one.
func (s *serviceState) buildRetired(backend *Backend) bool {
	if s.canary != nil && backend.Version == s.canary.release.Target {
		return s.canary.release.Phase != release.PhaseInService
	}
	return s.stableBuild != "" && backend.Version != s.stableBuild && s.hasReadyBackend(s.stableBuild)
}

// mostCommonBuild is the build of most appliances beside the trial's: the one in force, where no release has told.
func (s *serviceState) mostCommonBuild() (build string) {
	counts := map[string]int{}
	for _, backend := range s.backends {
		if s.canary == nil || backend.Version != s.canary.release.Target {
			counts[backend.Version]++
			if n, most := counts[backend.Version], counts[build]; n > most || n == most && backend.Version < build {
				build = backend.Version
			}
		}
	}
	return build
}

// hasReadyBackend tells whether any appliance of a build is ready.
func (s *serviceState) hasReadyBackend(build string) bool {
	for _, backend := range s.backends {
		if backend.Version == build && (backend.Phase == replication.PhaseReady || backend.Phase == replication.PhaseTimedOut) {
			return true
		}
	}
	return false
}

const (
	errorProbability    = 0.1  // δ: a wrong word costs about as much as ten needless seconds of a trial
	meanMargin          = 0.03 // added to the trial's mean before it counts as behind: docs/design.md
	toleratedRegression = 0.15 // by which the trial may be worse without being seen, when it is let finish
	capUtilisation      = 0.9  // of the cap that is used: counts are told with a delay
	loadPhaseStart      = 0.35 // of the release's time from which all of the trial's requests go to one of its appliances
	loadPhaseEnd        = 0.6  // of the release's time that has to pass before a vote on, and until which that is so
	minCanaryOutcomes   = 50   // outcomes of the trial, over all agents, for a vote on
	minLoadedOutcomes   = 20   // of these, the ones under load
	leewayUtilisation   = 0.5  // of the leeway that is used; the rest is for what is out when the cap is met
	promotionCutoff     = 0.94 // of the release's time after which no vote on is cast: finishing takes a while too
)

// underLoad tells whether the trial is being loaded: under a cap of a tenth its appliances are idle, and a build that fails
// under load alone would pass. So for a part of the time its requests all go to the first of its appliances by id.
func (t *canaryRelease) underLoad(now time.Time) bool {
	duration := float64(t.release.DurationMs) * float64(time.Millisecond)
	elapsed := float64(now.Sub(t.startedAt))
	return elapsed > loadPhaseStart*duration && elapsed < loadPhaseEnd*duration
}

// chooseArm is the build that a request goes to, and whether the other must not serve instead.
func (b *Balancer) chooseArm(svc *serviceState, request *Request, now time.Time) (arm int, fixed bool) {
	canary := svc.canary
	if canary == nil || canary.release.Phase != release.PhaseInService {
		return 0, true
	}
	tally := canary.tally
	allowance := leewayUtilisation * b.bounds.TrialErrorAllowance / float64(b.proxies+unseenProxies(b.proxies))
	if tally.NewBuildRequests+1 > allowance+capUtilisation*b.bounds.TrialErrorRatio*canary.received {
		return 0, true
	}
	if request.Delivered > 0 {
		return 0, true // a further try is not for the trial
	}
	if bestarm.PullSecond(tallyArm(tally, 0), tallyArm(tally, 1)) {
		return 1, false
	}
	return 0, true
}

func tallyArm(tally replication.ReleaseTally, arm int) bestarm.Arm {
	pulls := tally.NewBuildRequests
	if arm == 0 {
		pulls = tally.ServiceRequests - tally.NewBuildRequests
	}
	return bestarm.Arm{Pulls: max(0, pulls), Observations: tally.Attempts[arm], Reward: tally.Payoffs[arm]}
}

// countSend counts a send; it tells whether it goes to the trial.
func (s *serviceState) countSend(backend *Backend) bool {
	canary := s.canary
	if canary == nil || canary.release.Phase != release.PhaseInService {
		return false
	}
	canary.tally.ServiceRequests++
	if backend.Version == canary.release.Target {
		canary.tally.NewBuildRequests++
		return true
	}
	return false
}

// recordOutcome counts what came of a send. A payoff is an answer within the route's target; what was broken off by us, or
// turned away, or is its client's own fault says nothing of the build.
func (t *canaryRelease) recordOutcome(request *Request, outcome Outcome, now time.Time) {
	if outcome.Cancelled && !outcome.TimedOut || !outcome.Connected || outcome.Status >= 400 && outcome.Status < 500 || outcome.Status == 503 && !outcome.Succeeded {
		return
	}
	arm := 0
	if request.toCanary {
		arm = 1
	}
	reward := 0.0
	if outcome.Succeeded && (request.Route.LatencyTarget == 0 || outcome.Latency <= request.Route.LatencyTarget) {
		reward = 1
	}
	t.tally.Attempts[arm]++
	t.tally.Payoffs[arm] += reward
	if arm == 1 && t.underLoad(now) {
		t.tally.SingleBackend[0]++
		t.tally.SingleBackend[1] += reward
	}
	if !outcome.Succeeded {
		t.tally.Failures[arm]++
	}
}

// UpdateTally takes what another agent has seen of a release, by the key of its item.
func (b *Balancer) UpdateTally(key string, tally *replication.ReleaseTally) {
	if len(b.tallies) < 4096 {
		b.tallies[key] = tally
	}
}

// Tallies are this relay's own counts of the releases under way, by service, with its vote as it stands.
func (b *Balancer) Tallies(incarnation string, now time.Time) map[string]*replication.ReleaseTally {
	tallies := map[string]*replication.ReleaseTally{}
	for name, svc := range b.services {
		if svc.canary == nil {
			continue
		}
		if svc.canary.release.Phase != release.PhaseInService {
			for key, tally := range b.tallies {
				if tally.ReleaseNumber <= svc.canary.release.Number && len(key) > len(name) && key[:len(name)+1] == name+"/" {
					delete(b.tallies, key)
				}
			}
			continue
		}
		tally := svc.canary.tally
		tally.Reporter = incarnation
		tally.Vote = b.vote(name, svc, incarnation, now)
		tallies[name] = &tally
	}
	return tallies
}

// vote is what the counts of all agents say of the trial.
func (b *Balancer) vote(name string, svc *serviceState, incarnation string, now time.Time) string {
	canary := svc.canary
	payoffs := [2]bestarm.Arm{tallyArm(canary.tally, 0), tallyArm(canary.tally, 1)}
	faults, loaded := canary.tally.Failures, bestarm.Arm{Observations: canary.tally.SingleBackend[0], Reward: canary.tally.SingleBackend[1]}
	for key, other := range b.tallies {
		if other.ReleaseNumber != canary.release.Number || other.Reporter == incarnation || len(key) <= len(name) || key[:len(name)+1] != name+"/" {
			continue
		}
		for arm := range payoffs {
			counts := tallyArm(*other, arm)
			payoffs[arm].Pulls += counts.Pulls
			payoffs[arm].Observations += counts.Observations
			payoffs[arm].Reward += counts.Reward
			faults[arm] += other.Failures[arm]
		}
		loaded.Observations += other.SingleBackend[0]
		loaded.Reward += other.SingleBackend[1]
	}
	threshold := bestarm.StoppingThreshold(payoffs[0].Pulls+payoffs[1].Pulls, float64(b.proxies), errorProbability)
	successes := [2]bestarm.Arm{payoffs[0], payoffs[1]}
	for arm := range successes {
		successes[arm].Reward = successes[arm].Observations - faults[arm]
	}
	for _, pair := range [][2]bestarm.Arm{payoffs, successes} {
		if pair[1].Mean()+meanMargin < pair[0].Mean() && bestarm.LikelihoodRatio(pair[0], pair[1], meanMargin) > threshold {
			return release.VoteRevert
		}
	}
	duration := time.Duration(canary.release.DurationMs) * time.Millisecond
	elapsed := now.Sub(canary.startedAt)
	if elapsed < time.Duration(loadPhaseEnd*float64(duration)) || elapsed > time.Duration(promotionCutoff*float64(duration)) || payoffs[1].Observations < minCanaryOutcomes ||
		loaded.Observations < minLoadedOutcomes || loaded.Mean() < payoffs[0].Mean()-toleratedRegression {
		return ""
	}
	// No worse: the trial is ahead of an earlier build that did worse by the slack, and Z says so.
	for _, pair := range [][2]bestarm.Arm{payoffs, successes} {
		if pair[1].Mean() < pair[0].Mean()-toleratedRegression || bestarm.LikelihoodRatio(pair[1], pair[0], -toleratedRegression) < threshold {
			return ""
		}
	}
	return release.VoteFinish
}
