package decay

import (
	"math"
	"testing"
	"time"
)

const halfLife = 5 * time.Second

func almostEqual(a, b float64) bool { return math.Abs(a-b) < 1e-9 }

// A sum halves with every half-life, and reading it as of a time before the last update does not change it.
func TestSum(t *testing.T) {
	var sum Sum
	sum.Add(0, halfLife, 8)
	sum.Add(halfLife, halfLife, 4)
	for _, test := range []struct {
		now  time.Duration
		want float64
	}{
		{halfLife, 8}, {0, 8}, {2 * halfLife, 4}, {4 * halfLife, 1},
	} {
		if got := sum.Value(test.now, halfLife); !almostEqual(got, test.want) {
			t.Errorf("at %v: %v, want %v", test.now, got, test.want)
		}
	}
}

// The prior counts with its weight, which gains influence as the observations decay.
func TestMean(t *testing.T) {
	var mean Mean
	if got := mean.Estimate(0, halfLife, 7, 0); got != 7 {
		t.Errorf("nothing observed: %v, want the prior", got)
	}
	mean.Add(0, halfLife, 1)
	mean.Add(0, halfLife, 3)
	for _, test := range []struct {
		now         time.Duration
		priorWeight float64
		want        float64
	}{
		{0, 0, 2}, {0, 2, 4}, {halfLife, 0, 2}, {halfLife, 1, 4},
	} {
		if got := mean.Estimate(test.now, halfLife, 6, test.priorWeight); !almostEqual(got, test.want) {
			t.Errorf("at %v with weight %v: %v, want %v", test.now, test.priorWeight, got, test.want)
		}
	}
	if got := mean.Weight(2*halfLife, halfLife); !almostEqual(got, 0.5) {
		t.Errorf("weight %v, want 0.5", got)
	}
}

// A window counts the events since its start, and stores at most twice the events within the retention.
func TestSlidingWindow(t *testing.T) {
	var window SlidingWindow
	const retention = 10 * time.Second
	for second := range 100 {
		window.Add(time.Duration(second)*time.Second, retention)
	}
	now := 99 * time.Second
	for _, test := range []struct {
		window time.Duration
		want   int
	}{
		{0, 1}, {time.Second, 2}, {4500 * time.Millisecond, 5}, {retention, 11},
	} {
		if got := window.Count(now, test.window); got != test.want {
			t.Errorf("%v: %d events, want %d", test.window, got, test.want)
		}
	}
	if len(window.moments) > 22 {
		t.Errorf("%d events are kept", len(window.moments))
	}
}
