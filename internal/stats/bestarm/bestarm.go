// Package bestarm implements the two-armed best-arm-identification test that decides a canary release.
//
// It follows Garivier and Kaufmann, "Optimal Best Arm Identification with Fixed Confidence" (COLT 2016): the optimal
// sampling proportion between two Bernoulli arms, the D-Tracking sampling rule that follows it, and the generalized
// likelihood-ratio statistic of Chernoff's stopping rule. Agents and proxies use it with the parameters given in
// docs/design.md.
package bestarm

import "math"

const (
	// minMeanGap is the difference between two means below which they count as equal.
	minMeanGap = 1e-6
	// bisections is how often the interval of a proportion is halved: an error of at most 2^-31.
	bisections = 30
	// minProbability keeps means away from 0 and 1, where the divergence is infinite.
	minProbability = 1e-9
)

// Arm holds the counts of one arm, which stands for one build. They are floating-point numbers because they are
// sums over several nodes, some of them decayed.
type Arm struct {
	Pulls        float64 // times that the arm was chosen, whether or not an outcome is known yet
	Observations float64 // pulls with a known outcome
	Reward       float64 // sum of the rewards of these outcomes, each between 0 and 1
}

// Mean returns the mean reward, or one half if there are no observations.
func (a Arm) Mean() float64 {
	if a.Observations == 0 {
		return 0.5
	}
	return a.Reward / a.Observations
}

// KLDivergence returns the Kullback-Leibler divergence d(p, q) of two Bernoulli distributions, in nats.
func KLDivergence(p, q float64) float64 {
	p = clampProbability(p)
	q = clampProbability(q)
	return p*math.Log(p/q) + (1-p)*math.Log((1-p)/(1-q))
}

func clampProbability(p float64) float64 { return min(max(p, minProbability), 1-minProbability) }

// OptimalProportion returns the share of the pulls that the first arm should get. It solves
// d(firstMean, m) = d(secondMean, m) for α, where m = α·firstMean + (1-α)·secondMean, by bisection.
func OptimalProportion(firstMean, secondMean float64) float64 {
	if math.Abs(firstMean-secondMean) < minMeanGap {
		return 0.5
	}
	low := 0.0
	high := 1.0
	for range bisections {
		middle := (low + high) / 2
		mixture := middle*firstMean + (1-middle)*secondMean
		if KLDivergence(firstMean, mixture) > KLDivergence(secondMean, mixture) {
			low = middle
		} else {
			high = middle
		}
	}
	return (low + high) / 2
}

// PullSecond is the D-Tracking rule: it reports whether the second of two arms is to be pulled next. After t pulls an
// arm with fewer than √t-1 of them is pulled by force; otherwise the one that is furthest behind its optimal share is.
func PullSecond(firstArm, secondArm Arm) (second bool) {
	firstPulls := firstArm.Pulls
	secondPulls := secondArm.Pulls
	total := firstPulls + secondPulls
	proportion := OptimalProportion(firstArm.Mean(), secondArm.Mean())
	explorationFloor := math.Sqrt(total) - 1
	if min(firstPulls, secondPulls) < explorationFloor {
		return secondPulls < firstPulls
	}
	return total*(1-proportion)-secondPulls > total*proportion-firstPulls
}

// LikelihoodRatio returns the generalized log-likelihood ratio Z of the hypothesis that the two means differ against
// the hypothesis that they are equal. secondBonus is added to the second arm's mean first; the sum is capped at 1.
// Without observations of both arms Z is 0.
func LikelihoodRatio(first, second Arm, secondBonus float64) float64 {
	if first.Observations == 0 || second.Observations == 0 {
		return 0
	}
	firstMean := first.Mean()
	secondMean := min(second.Mean()+secondBonus, 1)
	firstCount := first.Observations
	secondCount := second.Observations
	pooledMean := (firstCount*firstMean + secondCount*secondMean) / (firstCount + secondCount)
	return firstCount*KLDivergence(firstMean, pooledMean) + secondCount*KLDivergence(secondMean, pooledMean)
}

// StoppingThreshold returns log(2t·n/δ): the likelihood ratio from which on one of n balancers may stop the test
// after t decisions, so that the probability that any of them stops with a wrong result is at most δ.
func StoppingThreshold(decisions, balancers, errorProbability float64) float64 {
	return math.Log(2 * max(decisions, 1) * max(balancers, 1) / errorProbability)
}
