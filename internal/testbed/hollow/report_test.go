package hollow

import (
	"os"
	"testing"
	"time"
)

// exampleResult returns a result with a different value in each field of the report.
func exampleResult() *Result {
	started := time.Unix(1_000, 0)
	usage := func(cpu time.Duration, megabytes int64) []Usage {
		return []Usage{
			{CPU: cpu, Memory: megabytes << 20, Peak: (megabytes + 1) << 20},
			{CPU: 3 * cpu, Memory: (megabytes + 2) << 20, Peak: (megabytes + 5) << 20},
		}
	}
	traffic := func(scale int64) Traffic { return Traffic{Sent: 100 * scale, Received: 230 * scale, Calls: 7 * scale} }
	sample := func(scale int64) Sample {
		return Sample{
			At:                started.Add(time.Duration(scale) * 1500 * time.Millisecond),
			Controllers:       usage(time.Duration(scale)*210*time.Millisecond, 30+scale),
			RealProxies:       usage(time.Duration(scale)*130*time.Millisecond, 20+scale),
			Hollow:            Usage{CPU: time.Duration(scale) * 90 * time.Millisecond, Memory: (70 + scale) << 20},
			ControllerTraffic: traffic(11 * scale),
			RealProxyTraffic:  traffic(13 * scale),
			ProxyTraffic:      traffic(17 * scale),
			BackendTraffic:    traffic(19 * scale),
			Pulls:             23 * scale,
			FailedPulls:       2 * scale,
			Heartbeats:        29 * scale,
			FailedHeartbeats:  3 * scale,
			Items:             31 * scale,
		}
	}
	propagations := []Propagation{
		{
			Acknowledged: 11 * time.Millisecond,
			Half:         22 * time.Millisecond,
			P99:          33 * time.Millisecond,
			All:          44 * time.Millisecond,
		},
		{Acknowledged: time.Microsecond},
	}
	return &Result{
		Options: Options{Controllers: 3, RealProxies: 2, Proxies: 24, Backends: 9, Routes: 30, Tenants: 12},
		Load: LoadResult{
			Items:       45,
			Calls:       3,
			Duration:    1234567 * time.Microsecond,
			FirstCall:   123456 * time.Microsecond,
			LastCall:    234567 * time.Microsecond,
			SlowestCall: 345678 * time.Microsecond,
		},
		IdleUsage:            usage(100*time.Millisecond, 10),
		LoadedUsage:          usage(300*time.Millisecond, 14),
		StartedUsage:         usage(700*time.Millisecond, 18),
		StartDuration:        2345678 * time.Microsecond,
		InitialTraffic:       traffic(97),
		InitialItems:         1080,
		InitialBytes:         4321,
		Steady:               [2]Sample{sample(1), sample(3)},
		Changing:             [2]Sample{sample(4), sample(9)},
		Propagations:         propagations,
		VersionVectorEntries: 5,
		DiskBytes:            98765,
		HollowBytes:          7654321,
	}
}

// The keys and formats of the report must not change, because measurements of different versions are compared by them.
func TestReportFormat(t *testing.T) {
	t.Parallel()
	want, err := os.ReadFile("testdata/report.txt")
	if err != nil {
		t.Fatal(err)
	}
	if got := exampleResult().String() + "\n"; got != string(want) {
		t.Errorf("got:\n%s\nwant:\n%s", got, want)
	}
}
