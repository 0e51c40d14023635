package balancer

import (
	"strings"
	"time"

	"sagelever/internal/control/release"
	"sagelever/internal/control/replication"
	"sagelever/internal/stats/bestarm"
)

const (
	// errorProbability (δ) bounds the probability of a wrong vote. At this value the expected cost of a wrong vote is
	// about that of ten unnecessary seconds of a release.
	errorProbability = 0.1
	// meanMargin is the difference of mean rewards by which the canary must be worse than the stable build to be voted down
	// (docs/design.md).
	meanMargin = 0.03
	// doubtFraction is the fraction of the threshold from which on the evidence that the canary fails more often prevents a
	// vote to finish.
	doubtFraction = 1.0 / 8
	// toleratedRegression is the difference of means by which a canary that is voted to finish may be worse than the
	// stable build. toleratedFailures is that of the shares of failures; less evidence than for the vote itself is required
	// for it, as only few requests of a release go to the canary.
	toleratedRegression     = 0.15
	toleratedFailures       = 0.03
	failureEvidenceFraction = 1.0 / 4
	// finishCutoff is the fraction of the release's duration after which no vote to finish is cast, since finishing
	// takes time too.
	finishCutoff = 0.94
	// minCanaryOutcomes is the number of outcomes of the canary, over all proxies, that a vote to finish requires.
	// minLoadedOutcomes is how many of these must be from the load phase.
	minCanaryOutcomes = 50
	minLoadedOutcomes = 20
	// maxTallies limits the number of tallies of other proxies that are kept.
	maxTallies = 4096
)

// UpdateTally stores another proxy's tally of a release under the key of its item.
func (b *Balancer) UpdateTally(key string, tally *replication.ReleaseTally) {
	if len(b.tallies) < maxTallies {
		b.tallies[key] = tally
	}
}

// Tallies returns this proxy's tallies of the current releases, by service, each with this proxy's current vote. It
// drops other proxies' tallies of releases that have ended.
func (b *Balancer) Tallies(incarnation string, now time.Time) map[string]*replication.ReleaseTally {
	tallies := map[string]*replication.ReleaseTally{}
	for name, svc := range b.services {
		if svc.canary == nil {
			continue
		}
		if !svc.canary.inService() {
			b.dropTallies(name, svc.canary.release.Number)
			continue
		}
		tally := svc.canary.tally
		tally.Reporter = incarnation
		tally.Vote = b.vote(name, svc.canary, incarnation, now)
		tallies[name] = &tally
	}
	return tallies
}

// dropTallies drops other proxies' tallies of a service's releases with numbers up to lastNumber.
func (b *Balancer) dropTallies(serviceName string, lastNumber uint64) {
	for key, tally := range b.tallies {
		if tally.ReleaseNumber <= lastNumber && isTallyOf(key, serviceName) {
			delete(b.tallies, key)
		}
	}
}

// isTallyOf reports whether the key of a tally's item, "SERVICE/REPORTER", belongs to a service.
func isTallyOf(key, serviceName string) bool { return strings.HasPrefix(key, serviceName+"/") }

// releaseCounts holds the counts of a release, summed over all proxies.
type releaseCounts struct {
	rewards   [2]bestarm.Arm // by arm; a successful response within the latency target has reward 1
	successes [2]bestarm.Arm // by arm; a response that is not a failure has reward 1
	loaded    bestarm.Arm    // the canary's rewards in its load phase
}

// collectCounts sums this proxy's counts and those of the other proxies.
func (b *Balancer) collectCounts(serviceName string, canary *canaryRelease, incarnation string) releaseCounts {
	var counts releaseCounts
	var failures [2]float64
	add := func(tally *replication.ReleaseTally) {
		for arm := range counts.rewards {
			armCounts := tallyArm(tally, arm)
			counts.rewards[arm].Pulls += armCounts.Pulls
			counts.rewards[arm].Observations += armCounts.Observations
			counts.rewards[arm].Reward += armCounts.Reward
			failures[arm] += tally.Failures[arm]
		}
		counts.loaded.Observations += tally.SingleBackend[0]
		counts.loaded.Reward += tally.SingleBackend[1]
	}
	add(&canary.tally)
	for key, tally := range b.tallies {
		sameRelease := tally.ReleaseNumber == canary.release.Number && isTallyOf(key, serviceName)
		if sameRelease && tally.Reporter != incarnation {
			add(tally)
		}
	}
	counts.successes = counts.rewards
	for arm := range counts.successes {
		counts.successes[arm].Reward = counts.successes[arm].Observations - failures[arm]
	}
	return counts
}

// vote returns the vote on the canary that follows from the counts of all proxies: release.VoteRevert,
// release.VoteFinish or "" for none.
func (b *Balancer) vote(serviceName string, canary *canaryRelease, incarnation string, now time.Time) string {
	counts := b.collectCounts(serviceName, canary, incarnation)
	decisions := counts.rewards[stableArm].Pulls + counts.rewards[canaryArm].Pulls
	threshold := bestarm.StoppingThreshold(decisions, float64(b.proxies), errorProbability)
	if isInferior(counts.rewards, meanMargin, threshold) || isInferior(counts.successes, 0, threshold) {
		return release.VoteRevert
	}
	if !canary.inFinishWindow(now) || !counts.supportFinish() || isInferior(counts.successes, 0, doubtFraction*threshold) {
		return ""
	}
	if isNonInferior(counts.rewards, toleratedRegression, threshold) &&
		isNonInferior(counts.successes, toleratedRegression, threshold) &&
		isNonInferior(counts.successes, toleratedFailures, failureEvidenceFraction*threshold) {
		return release.VoteFinish
	}
	return ""
}

// isInferior reports whether the canary is worse than the stable build by more than a margin, with a likelihood ratio above
// the threshold. Responses that are late for reasons other than the build, such as cold backends, call for a margin; failures
// hardly occur without a reason.
func isInferior(arms [2]bestarm.Arm, margin, threshold float64) bool {
	stable, canary := arms[stableArm], arms[canaryArm]
	return canary.Mean()+margin < stable.Mean() && bestarm.LikelihoodRatio(stable, canary, margin) > threshold
}

// isNonInferior reports whether the canary is worse than the stable build by at most a tolerated difference, with a
// likelihood ratio of at least the threshold.
func isNonInferior(arms [2]bestarm.Arm, tolerated, threshold float64) bool {
	stable, canary := arms[stableArm], arms[canaryArm]
	return canary.Mean() >= stable.Mean()-tolerated &&
		bestarm.LikelihoodRatio(canary, stable, -tolerated) >= threshold
}

// inFinishWindow reports whether a vote to finish may be cast now: after the load phase and before the cut-off.
func (c *canaryRelease) inFinishWindow(now time.Time) bool {
	duration := time.Duration(c.release.DurationMs) * time.Millisecond
	elapsed := now.Sub(c.startedAt)
	return elapsed >= time.Duration(loadPhaseEnd*float64(duration)) &&
		elapsed <= time.Duration(finishCutoff*float64(duration))
}

// supportFinish reports whether the canary has enough outcomes, overall and in the load phase, and is not worse in the
// load phase than the stable build by more than toleratedRegression.
func (c *releaseCounts) supportFinish() bool {
	return c.rewards[canaryArm].Observations >= minCanaryOutcomes &&
		c.loaded.Observations >= minLoadedOutcomes &&
		c.loaded.Mean() >= c.rewards[stableArm].Mean()-toleratedRegression
}
