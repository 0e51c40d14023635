// Package arms is the two-arm statistic of the design (docs/design.md), after "Optimal Best Arm Identification with Fixed
// Confidence": the optimal proportion between two Bernoulli arms, D-Tracking to it, and Chernoff's likelihood-ratio
// statistic. Both programs decide their trials by it. It knows no tuned value.
package bestarm

import "math"

// Arm is what is counted of one build: how often it was picked, its outcomes, and the sum of their payoffs.
type Arm struct{ Pulls, Observations, Reward float64 }

// Mean is the mean payoff; a half where nothing was seen.
func (a Arm) Mean() float64 {
	if a.Observations == 0 {
		return 0.5
	}
	return a.Reward / a.Observations
}

// KLDivergence is d(p, q), the Kullback-Leibler divergence of two Bernoulli means, in nats.
func KLDivergence(p, q float64) float64 {
	const epsilon = 1e-9
	p, q = min(max(p, epsilon), 1-epsilon), min(max(q, epsilon), 1-epsilon)
	return p*math.Log(p/q) + (1-p)*math.Log((1-p)/(1-q))
}

// OptimalProportion solves d(m1,m)=d(m2,m) for α*, m being α*m1+(1-α*)m2, by halving: the first arm's share of the attempts.
func OptimalProportion(firstMean, secondMean float64) float64 {
	if math.Abs(firstMean-secondMean) < 1e-6 {
		return 0.5
	}
	lo, hi := 0.0, 1.0
	for i := 0; i < 30; i++ {
		mid := (lo + hi) / 2
		if mixture := mid*firstMean + (1-mid)*secondMean; KLDivergence(firstMean, mixture) > KLDivergence(secondMean, mixture) {
			lo = mid
		} else {
			hi = mid
		}
	}
	return (lo + hi) / 2
}

// PullSecond is D-Tracking: an arm picked below √t-1 times is forced, else the one furthest behind t·w* goes. It tells
// whether the second one does.
func PullSecond(firstArm, secondArm Arm) (second bool) {
	firstPulls, secondPulls := firstArm.Pulls, secondArm.Pulls
	total, proportion := firstPulls+secondPulls, OptimalProportion(firstArm.Mean(), secondArm.Mean())
	if explorationFloor := math.Sqrt(total) - 1; min(firstPulls, secondPulls) < explorationFloor {
		return secondPulls < firstPulls
	}
	return total*(1-proportion)-secondPulls > total*proportion-firstPulls
}

// LikelihoodRatio is Z for two arms, with extra added to the second one's mean.
func LikelihoodRatio(first, second Arm, secondBonus float64) float64 {
	if first.Observations == 0 || second.Observations == 0 {
		return 0
	}
	firstMean, secondMean := first.Mean(), min(second.Mean()+secondBonus, 1)
	pooledMean := (first.Observations*firstMean + second.Observations*secondMean) / (first.Observations + second.Observations)
	return first.Observations*KLDivergence(firstMean, pooledMean) + second.Observations*KLDivergence(secondMean, pooledMean)
}

// StoppingThreshold is log(2t·n/δ), for t decisions of n balancers and the risk δ of a wrong word.
func StoppingThreshold(decisions, balancers, errorProbability float64) float64 {
	return math.Log(2 * max(decisions, 1) * max(balancers, 1) / errorProbability)
}
