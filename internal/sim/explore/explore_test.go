package explore

import (
	"testing"
	"time"
)

func swap() []Set { return []Set{{1, []int{0, 1, 2}}, {2, []int{0, 1, 3}}} }

func sameVersion() []Order { return []Order{{1, "X"}, {1, "Y"}} }

func explored(t *testing.T, b Bounds, fault Fault) Result {
	t.Helper()
	begun := time.Now()
	r, err := Explore(b, fault, Reference(fault))
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("fault: %s; %.1f s; %s", fault, time.Since(begun).Seconds(), r)
	return r
}

func TestNothingBreaks(t *testing.T) {
	b := Bounds{Orders: sameVersion(), OrderRounds: 1, Sets: swap(), SetRounds: 1, Losses: 1, Restarts: 1, MaxStates: 3e6}
	if r := explored(t, b, None); r.Broken != "" || !r.Complete {
		t.Error(r)
	}
}

func TestFindsPlantedFaults(t *testing.T) {
	for fault := NoSealing; fault < faultCount; fault++ {
		b := Bounds{Orders: sameVersion(), OrderRounds: 1, Sets: swap(), SetRounds: 1, Losses: 2, Restarts: 1, MaxStates: 1e6}
		if r := explored(t, b, fault); r.Broken == "" {
			t.Error("not found: ", fault)
		}
	}
}
