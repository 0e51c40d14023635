package cluster

import (
	"context"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
)

func smallOptions(t *testing.T, seed uint64) Options {
	return Options{
		Proxies:           6,
		Backends:          8,
		Seed:              seed,
		Load:              0.6,
		MeanWork:          50 * time.Millisecond,
		DrainTime:         time.Second,
		WarmUp:            300 * time.Millisecond,
		ShutdownGrace:     1500 * time.Millisecond,
		HeartbeatInterval: 400 * time.Millisecond,
		// The design target is 300 ms. The test allows more because other builds and tests may run at the same time.
		ArrivalBound: 700 * time.Millisecond,
		Dir:          t.TempDir(),
		Logger:       zap.NewNop(),
	}
}

// Each backend is removed and returns once, by one of the four methods in turn. Then all backends of a service are
// replaced while a zone is evacuated and the proxies and a controller are restarted. No guarantee may be violated.
func TestEveryBackendDrains(t *testing.T) {
	t.Parallel()
	result, err := RunDrain(context.Background(), smallOptions(t, 1), time.Second, true)
	if err != nil {
		t.Fatal(err)
	}
	if err := result.Check(); err != nil {
		t.Errorf("%v\n%v", err, result)
	}
	if result.Drained.Removals != 8 || result.Stress.Removals < 4 {
		t.Errorf("too few removals\n%v", result)
	}
	if result.Drained.Served < result.Drained.Requests*9/10 {
		t.Errorf("too few requests were served\n%v", result)
	}
}

// The ledger detects each fault that is injected into a running cluster.
func TestInjectedFaultsAreDetected(t *testing.T) {
	t.Parallel()
	for fault, violation := range map[Fault]string{
		FaultSkipRun:      "lost",
		FaultRunTwice:     "doubled",
		FaultAbortRun:     "cut",
		FaultStrayRequest: "late_after_notice",
	} {
		t.Run(string(fault), func(t *testing.T) {
			t.Parallel()
			options := smallOptions(t, 2)
			options.Backends = 4
			options.Fault = fault
			options.ArrivalBound = 200 * time.Millisecond
			result, err := RunDrain(context.Background(), options, 500*time.Millisecond, false)
			if err != nil {
				t.Fatal(err)
			}
			if err := result.Check(); err == nil || strings.Contains(err.Error(), violation+"=0") {
				t.Errorf("%v\n%v", err, result)
			}
		})
	}
}
