package drain

import (
	"testing"
	"time"
)

// A drain is done when every proxy has applied it and has no requests in flight to its backends. Each proxy that blocks
// the drain is listed with its requests in flight; proxies that do not report are listed as unresponsive.
func TestMeasureProgress(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	backends := []BackendCapacity{{ID: "i1", Service: "s", Zone: "a1"}, {ID: "i2", Service: "s", Zone: "b1"}}
	drain := ActiveDrain{Target: "a1", Zone: "a1", Version: 4, StartedAt: start, Covers: inZone("a1")}
	idle := ProxyReport{
		Proxy: "n1", Zone: "a1",
		DrainVersions: map[string]uint64{"a1": 4},
		InFlight:      map[string]InFlightCounts{"i2": {Idempotent: 7, NonIdempotent: 7}}, // not drained
	}
	busy := ProxyReport{
		Proxy: "n2", Zone: "b1",
		DrainVersions: map[string]uint64{"a1": 5},
		InFlight:      map[string]InFlightCounts{"i1": {Idempotent: 2, NonIdempotent: 1}},
	}
	behind := ProxyReport{Proxy: "n3", Zone: "b1", DrainVersions: map[string]uint64{"a1": 3}}
	for name, test := range map[string]struct {
		reports       []ProxyReport
		unresponsive  []string
		done          bool
		blocking      int
		idempotent    int
		nonIdempotent int
	}{
		"all are idle":               {[]ProxyReport{idle}, nil, true, 0, 0, 0},
		"one has requests in flight": {[]ProxyReport{idle, busy}, nil, false, 1, 2, 1},
		"one has not applied it":     {[]ProxyReport{idle, behind}, nil, false, 1, 0, 0},
		"one does not report":        {[]ProxyReport{idle}, []string{"n9"}, false, 0, 0, 0},
		"two are blocking":           {[]ProxyReport{behind, idle, busy}, nil, false, 2, 2, 1},
	} {
		t.Run(name, func(t *testing.T) {
			now := start.Add(3 * time.Second)
			list := MeasureProgress([]ActiveDrain{drain}, backends, test.reports, test.unresponsive, now)
			if len(list) != 1 {
				t.Fatal(list)
			}
			progress := list[0]
			if progress.Done != test.done || len(progress.BlockingProxies) != test.blocking {
				t.Errorf("wrong done flag or blocking proxies: %+v", progress)
			}
			if progress.Idempotent != test.idempotent || progress.NonIdempotent != test.nonIdempotent {
				t.Errorf("wrong requests in flight: %+v", progress)
			}
			if len(progress.Backends) != 1 || progress.ElapsedMs != 3000 {
				t.Errorf("wrong backends or time: %+v", progress)
			}
			if len(progress.Unresponsive) != len(test.unresponsive) {
				t.Errorf("unresponsive: %v, want %v", progress.Unresponsive, test.unresponsive)
			}
		})
	}
}
