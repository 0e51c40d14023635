package drain

import (
	"testing"
	"time"
)

// testStart is when the drain of these tests began.
var testStart = time.Unix(1_800_000_000, 0)

// A drain is done when every node goes by it and has nothing left there; each that stands in the way is named, with what it
// has there, and so is one that does not answer.
func TestMeasureProgress(t *testing.T) {
	spots := []BackendCapacity{{ID: "i1", Service: "s", Zone: "a1"}, {ID: "i2", Service: "s", Zone: "b1"}}
	order := ActiveDrain{Target: "a1", Zone: "a1", Version: 4, StartedAt: testStart, Covers: func(s BackendCapacity) bool { return s.Zone == "a1" }}
	knows := map[string]uint64{"a1": 4}
	idle := ProxyReport{Proxy: "n1", Zone: "a1", DrainVersions: knows, InFlight: map[string][2]int{"i2": {7, 7}}} // at one that is not drained
	busy := ProxyReport{Proxy: "n2", Zone: "b1", DrainVersions: map[string]uint64{"a1": 5}, InFlight: map[string][2]int{"i1": {2, 1}}}
	behind := ProxyReport{Proxy: "n3", Zone: "b1", DrainVersions: map[string]uint64{"a1": 3}}
	for name, x := range map[string]struct {
		reports         []ProxyReport
		unheard         []string
		done            bool
		nodes           int
		harmless, risky int
	}{
		"all are through":      {[]ProxyReport{idle}, nil, true, 0, 0, 0},
		"one has work there":   {[]ProxyReport{idle, busy}, nil, false, 1, 2, 1},
		"one has not heard":    {[]ProxyReport{idle, behind}, nil, false, 1, 0, 0},
		"one does not answer":  {[]ProxyReport{idle}, []string{"n9"}, false, 0, 0, 0},
		"two stand in the way": {[]ProxyReport{behind, idle, busy}, nil, false, 2, 2, 1},
	} {
		got := MeasureProgress([]ActiveDrain{order}, spots, x.reports, x.unheard, testStart.Add(3*time.Second))
		if len(got) != 1 {
			t.Fatal(got)
		}
		p := got[0]
		if p.Done != x.done || len(p.BlockingProxies) != x.nodes || p.Idempotent != x.harmless || p.NonIdempotent != x.risky || len(p.Backends) != 1 || p.ElapsedMs != 3000 || len(p.Unresponsive) != len(x.unheard) {
			t.Errorf("%s: %+v", name, p)
		}
	}
}
