package balancer

import (
	"testing"
	"time"

	"sagelever/internal/control/drain"
)

// The report lists the load by home regions and omits traffic that has ended.
func TestInFlightReportHasLoads(t *testing.T) {
	b := newTestBalancer("a1", nil)
	b.addBackends(6, "a1")
	now := start
	for i := range 4000 { // 40 s with 75 requests per second for any region and 25 for region a
		now = start.Add(time.Duration(i) * 10 * time.Millisecond)
		path := idempotentPath
		if i%4 == 0 {
			path = nonIdempotentPath
		}
		request := b.startRequest(path, now)
		if backend := b.Pick(request, now); backend != nil {
			b.ReportOutcome(request, backend, succeeded, now)
		}
	}
	loads := b.InFlightReport(now).Loads
	want := []drain.ServiceLoad{
		{Service: "s", RequestsPerSecond: 75, ServiceSeconds: 0.1},
		{Service: "s", HomeRegions: "a", RequestsPerSecond: 25, ServiceSeconds: 0.1},
	}
	if len(loads) != len(want) {
		t.Fatalf("%+v, want %+v", loads, want)
	}
	for i, load := range loads {
		if load.HomeRegions != want[i].HomeRegions ||
			!near(load.RequestsPerSecond, want[i].RequestsPerSecond, 0.03) ||
			!near(load.ServiceSeconds, want[i].ServiceSeconds, 0.01) {
			t.Errorf("%+v, want %+v", load, want[i])
		}
	}
	if loads := b.InFlightReport(now.Add(10 * time.Minute)).Loads; len(loads) != 0 {
		t.Errorf("traffic that ended 10 minutes ago is reported: %v", loads)
	}
}

// near reports whether a value differs from the wanted one by at most a relative tolerance.
func near(value, want, tolerance float64) bool {
	return value >= (1-tolerance)*want && value <= (1+tolerance)*want
}
