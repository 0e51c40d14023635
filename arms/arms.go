// Package arms is the two-arm statistic of the design (docs/design.md), after "Optimal Best Arm Identification with Fixed
// Confidence": the optimal proportion between two Bernoulli arms, D-Tracking to it, and Chernoff's likelihood-ratio
// statistic. Both programs decide their trials by it. It knows no tuned value.
package arms

import "math"

// Arm is what is counted of one build: how often it was picked, its outcomes, and the sum of their payoffs.
type Arm struct{ Picked, N, Sum float64 }

// Mean is the mean payoff; a half where nothing was seen.
func (a Arm) Mean() float64 {
	if a.N == 0 {
		return 0.5
	}
	return a.Sum / a.N
}

// Divergence is d(p, q), the Kullback-Leibler divergence of two Bernoulli means, in nats.
func Divergence(p, q float64) float64 {
	const tiny = 1e-9
	p, q = min(max(p, tiny), 1-tiny), min(max(q, tiny), 1-tiny)
	return p*math.Log(p/q) + (1-p)*math.Log((1-p)/(1-q))
}

// Optimal solves d(m1,m)=d(m2,m) for α*, m being α*m1+(1-α*)m2, by halving: the first arm's share of the attempts.
func Optimal(m1, m2 float64) float64 {
	if math.Abs(m1-m2) < 1e-6 {
		return 0.5
	}
	lo, hi := 0.0, 1.0
	for i := 0; i < 30; i++ {
		mid := (lo + hi) / 2
		if m := mid*m1 + (1-mid)*m2; Divergence(m1, m) > Divergence(m2, m) {
			lo = mid
		} else {
			hi = mid
		}
	}
	return (lo + hi) / 2
}

// Track is D-Tracking: an arm picked below √t-1 times is forced, else the one furthest behind t·w* goes. It tells
// whether the second one does.
func Track(x, y Arm) (second bool) {
	n0, n1 := x.Picked, y.Picked
	t, w := n0+n1, Optimal(x.Mean(), y.Mean())
	if floor := math.Sqrt(t) - 1; min(n0, n1) < floor {
		return n1 < n0
	}
	return t*(1-w)-n1 > t*w-n0
}

// Statistic is Z for two arms, with extra added to the second one's mean.
func Statistic(x, y Arm, extra float64) float64 {
	if x.N == 0 || y.N == 0 {
		return 0
	}
	m1, m2 := x.Mean(), min(y.Mean()+extra, 1)
	m := (x.N*m1 + y.N*m2) / (x.N + y.N)
	return x.N*Divergence(m1, m) + y.N*Divergence(m2, m)
}

// Threshold is log(2t·n/δ), for t decisions of n balancers and the risk δ of a wrong word.
func Threshold(t, n, risk float64) float64 { return math.Log(2 * max(t, 1) * max(n, 1) / risk) }
