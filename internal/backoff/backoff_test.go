package backoff

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The maximum delay grows with the number of failures up to Max, and no delay is below half of the maximum.
func TestDelayGrowsUpToMax(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		policy := Policy{
			Initial: time.Duration(rapid.IntRange(1, 5000).Draw(t, "initial")) * time.Millisecond,
			Max:     time.Duration(rapid.IntRange(5000, 60000).Draw(t, "max")) * time.Millisecond,
		}
		random := rapid.Float64Range(0, 1).Draw(t, "random")
		previousLongest := time.Duration(0)
		for failures := 1; failures < 40; failures++ {
			longest, shortest := policy.Delay(failures, 1), policy.Delay(failures, 0)
			if longest < previousLongest || longest > policy.Max {
				t.Fatalf("after %d failures at most %s, after one less %s, bound %s", failures, longest, previousLongest, policy.Max)
			}
			if delay := policy.Delay(failures, random); delay < shortest || delay > longest || shortest < longest/2-1 {
				t.Fatalf("after %d failures %s, not between %s and %s", failures, delay, shortest, longest)
			}
			previousLongest = longest
		}
		if previousLongest < policy.Max-1 {
			t.Fatalf("after many failures %s at most, want %s", previousLongest, policy.Max)
		}
	})
}
