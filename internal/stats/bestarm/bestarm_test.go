package bestarm

import (
	"math"
	"testing"
)

// d(p, q) is zero for equal means, positive for others, and finite at the ends.
func TestKLDivergence(t *testing.T) {
	for _, test := range []struct{ p, q, want float64 }{
		{0.5, 0.5, 0},
		{0.5, 0.25, 0.5*math.Log(2) + 0.5*math.Log(2.0/3)},
		{1, 0.5, math.Log(2)},
		{0, 0.5, math.Log(2)},
	} {
		if got := KLDivergence(test.p, test.q); math.Abs(got-test.want) > 1e-6 {
			t.Errorf("d(%v, %v) = %v, want %v", test.p, test.q, got, test.want)
		}
	}
	if got := KLDivergence(0, 1); math.IsInf(got, 0) || math.IsNaN(got) {
		t.Errorf("d(0, 1) = %v", got)
	}
}

// The optimal proportion makes both divergences from the mixture equal.
func TestOptimalProportion(t *testing.T) {
	for _, means := range [][2]float64{{0.9, 0.1}, {0.99, 0.5}, {0.3, 0.31}, {0.7, 0.7}} {
		proportion := OptimalProportion(means[0], means[1])
		mixture := proportion*means[0] + (1-proportion)*means[1]
		gap := KLDivergence(means[0], mixture) - KLDivergence(means[1], mixture)
		if proportion <= 0 || proportion >= 1 || math.Abs(gap) > 1e-6 {
			t.Errorf("%v: proportion %v, divergences differ by %v", means, proportion, gap)
		}
	}
}

// An arm that was hardly pulled is pulled by force; otherwise the one that is behind its share is.
func TestPullSecond(t *testing.T) {
	for name, test := range map[string]struct {
		first, second Arm
		want          bool
	}{
		"second was hardly pulled": {Arm{Pulls: 100}, Arm{Pulls: 2}, true},
		"first was hardly pulled":  {Arm{Pulls: 2}, Arm{Pulls: 100}, false},
		"second is behind":         {Arm{Pulls: 60}, Arm{Pulls: 40}, true},
		"first is behind":          {Arm{Pulls: 40}, Arm{Pulls: 60}, false},
	} {
		if got := PullSecond(test.first, test.second); got != test.want {
			t.Errorf("%s: %v", name, got)
		}
	}
}

// The ratio is zero without observations of both arms or for equal means, and grows with the evidence.
func TestLikelihoodRatio(t *testing.T) {
	good := Arm{Observations: 100, Reward: 90}
	bad := Arm{Observations: 100, Reward: 60}
	if got := LikelihoodRatio(good, Arm{}, 0); got != 0 {
		t.Errorf("one arm unseen: %v", got)
	}
	if got := LikelihoodRatio(good, good, 0); math.Abs(got) > 1e-9 {
		t.Errorf("equal means: %v", got)
	}
	some := LikelihoodRatio(good, bad, 0)
	more := LikelihoodRatio(Arm{Observations: 200, Reward: 180}, Arm{Observations: 200, Reward: 120}, 0)
	if some <= 0 || math.Abs(more-2*some) > 1e-9 {
		t.Errorf("%v, and %v for twice the observations", some, more)
	}
	if withBonus := LikelihoodRatio(good, bad, 0.3); math.Abs(withBonus) > 1e-9 {
		t.Errorf("a bonus that makes the means equal: %v", withBonus)
	}
}

// The threshold is log(2tn/δ), and counts no fewer than one decision and one balancer.
func TestStoppingThreshold(t *testing.T) {
	if got, want := StoppingThreshold(50, 4, 0.1), math.Log(4000); math.Abs(got-want) > 1e-9 {
		t.Errorf("%v, want %v", got, want)
	}
	if got, want := StoppingThreshold(0, 0, 0.1), math.Log(20); math.Abs(got-want) > 1e-9 {
		t.Errorf("%v, want %v", got, want)
	}
}

// Without observations the mean is one half.
func TestMean(t *testing.T) {
	for _, test := range []struct {
		arm  Arm
		want float64
	}{
		{Arm{}, 0.5}, {Arm{Observations: 4, Reward: 3}, 0.75},
	} {
		if got := test.arm.Mean(); got != test.want {
			t.Errorf("%+v: mean %v, want %v", test.arm, got, test.want)
		}
	}
}
