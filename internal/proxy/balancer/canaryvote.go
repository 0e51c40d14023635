package balancer

import (
	"strings"
	"time"

	"sagelever/internal/control/release"
	"sagelever/internal/control/replication"
	"sagelever/internal/stats/bestarm"
)

const (
	// errorProbability (δ) bounds the probability of a wrong vote. At this value a wrong vote costs about as much as
	// ten needless seconds of a release.
	errorProbability = 0.1
	// meanMargin is added to the canary's mean before the canary counts as behind: docs/design.md.
	meanMargin = 0.03
	// toleratedRegression is by how much a canary that is voted to finish may be worse than the stable build.
	toleratedRegression = 0.15
	// promotionCutoff is the fraction of the release's duration after which no vote to finish is cast, since finishing
	// takes time too.
	promotionCutoff = 0.94
	// minCanaryOutcomes is the number of outcomes of the canary, over all proxies, that a vote to finish needs, and
	// minLoadedOutcomes how many of them must be of the load phase.
	minCanaryOutcomes = 50
	minLoadedOutcomes = 20
	// maxTallies bounds the tallies of other proxies that are kept.
	maxTallies = 4096
)

// UpdateTally stores another proxy's counts of a release, by the key of their item.
func (b *Balancer) UpdateTally(key string, tally *replication.ReleaseTally) {
	if len(b.tallies) < maxTallies {
		b.tallies[key] = tally
	}
}

// Tallies returns this proxy's own counts of the releases under way, by service, with its current vote. It drops the
// counts of other proxies on releases that have ended.
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

// dropTallies drops the counts of other proxies on a service's releases up to a number.
func (b *Balancer) dropTallies(serviceName string, lastNumber uint64) {
	for key, tally := range b.tallies {
		if tally.ReleaseNumber <= lastNumber && isTallyOf(key, serviceName) {
			delete(b.tallies, key)
		}
	}
}

// isTallyOf reports whether the key of a tally's item, "SERVICE/REPORTER", belongs to a service.
func isTallyOf(key, serviceName string) bool { return strings.HasPrefix(key, serviceName+"/") }

// releaseCounts are the counts of all proxies on a release.
type releaseCounts struct {
	payoffs   [2]bestarm.Arm // by arm; the reward is a response within the latency target
	successes [2]bestarm.Arm // by arm; the reward is a response that is not a failure
	loaded    bestarm.Arm    // the canary's payoffs in its load phase
}

// collectCounts adds up this proxy's counts and those of the others.
func (b *Balancer) collectCounts(serviceName string, canary *canaryRelease, incarnation string) releaseCounts {
	var counts releaseCounts
	var failures [2]float64
	add := func(tally *replication.ReleaseTally) {
		for arm := range counts.payoffs {
			one := tallyArm(tally, arm)
			counts.payoffs[arm].Pulls += one.Pulls
			counts.payoffs[arm].Observations += one.Observations
			counts.payoffs[arm].Reward += one.Reward
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
	counts.successes = counts.payoffs
	for arm := range counts.successes {
		counts.successes[arm].Reward = counts.successes[arm].Observations - failures[arm]
	}
	return counts
}

// vote returns what the counts of all proxies say of the canary: release.VoteRevert, release.VoteFinish or "".
func (b *Balancer) vote(serviceName string, canary *canaryRelease, incarnation string, now time.Time) string {
	counts := b.collectCounts(serviceName, canary, incarnation)
	decisions := counts.payoffs[stableArm].Pulls + counts.payoffs[canaryArm].Pulls
	threshold := bestarm.StoppingThreshold(decisions, float64(b.proxies), errorProbability)
	if isBehind(counts.payoffs, threshold) || isBehind(counts.successes, threshold) {
		return release.VoteRevert
	}
	if !canary.mayFinish(now) || !counts.enoughToFinish() {
		return ""
	}
	if isNoWorse(counts.payoffs, threshold) && isNoWorse(counts.successes, threshold) {
		return release.VoteFinish
	}
	return ""
}

// isBehind reports whether the canary is worse than the stable build by more than the margin, with a likelihood ratio
// above the threshold.
func isBehind(arms [2]bestarm.Arm, threshold float64) bool {
	stable, canary := arms[stableArm], arms[canaryArm]
	return canary.Mean()+meanMargin < stable.Mean() &&
		bestarm.LikelihoodRatio(stable, canary, meanMargin) > threshold
}

// isNoWorse reports whether the canary is better than the stable build less the tolerated regression, with a likelihood
// ratio of at least the threshold.
func isNoWorse(arms [2]bestarm.Arm, threshold float64) bool {
	stable, canary := arms[stableArm], arms[canaryArm]
	return canary.Mean() >= stable.Mean()-toleratedRegression &&
		bestarm.LikelihoodRatio(canary, stable, -toleratedRegression) >= threshold
}

// mayFinish reports whether a vote to finish may be cast now: after the load phase, and before the cut-off.
func (c *canaryRelease) mayFinish(now time.Time) bool {
	duration := time.Duration(c.release.DurationMs) * time.Millisecond
	elapsed := now.Sub(c.startedAt)
	return elapsed >= time.Duration(loadPhaseEnd*float64(duration)) &&
		elapsed <= time.Duration(promotionCutoff*float64(duration))
}

// enoughToFinish reports whether the canary has enough outcomes, overall and in the load phase, and did well in that.
func (c *releaseCounts) enoughToFinish() bool {
	return c.payoffs[canaryArm].Observations >= minCanaryOutcomes &&
		c.loaded.Observations >= minLoadedOutcomes &&
		c.loaded.Mean() >= c.payoffs[stableArm].Mean()-toleratedRegression
}
