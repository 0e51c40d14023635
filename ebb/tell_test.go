package ebb

import (
	"testing"
	"time"
)

// A drain is done when every node goes by it and has nothing left there; each that stands in the way is named, with what it
// has there, and so is one that does not answer.
func TestTell(t *testing.T) {
	spots := []Spot{{ID: "i1", Service: "s", Zone: "a1"}, {ID: "i2", Service: "s", Zone: "b1"}}
	order := Order{Target: "a1", Zone: "a1", Version: 4, Began: start, Covers: func(s Spot) bool { return s.Zone == "a1" }}
	knows := map[string]uint64{"a1": 4}
	idle := Report{Node: "n1", Zone: "a1", Knows: knows, Out: map[string][2]int{"i2": {7, 7}}} // at one that is not drained
	busy := Report{Node: "n2", Zone: "b1", Knows: map[string]uint64{"a1": 5}, Out: map[string][2]int{"i1": {2, 1}}}
	behind := Report{Node: "n3", Zone: "b1", Knows: map[string]uint64{"a1": 3}}
	for name, x := range map[string]struct {
		reports         []Report
		unheard         []string
		done            bool
		nodes           int
		harmless, risky int
	}{
		"all are through":      {[]Report{idle}, nil, true, 0, 0, 0},
		"one has work there":   {[]Report{idle, busy}, nil, false, 1, 2, 1},
		"one has not heard":    {[]Report{idle, behind}, nil, false, 1, 0, 0},
		"one does not answer":  {[]Report{idle}, []string{"n9"}, false, 0, 0, 0},
		"two stand in the way": {[]Report{behind, idle, busy}, nil, false, 2, 2, 1},
	} {
		got := Tell([]Order{order}, spots, x.reports, x.unheard, start.Add(3*time.Second))
		if len(got) != 1 {
			t.Fatal(got)
		}
		p := got[0]
		if p.Done != x.done || len(p.Nodes) != x.nodes || p.Harmless != x.harmless || p.Risky != x.risky || len(p.Backends) != 1 || p.ForMs != 3000 || len(p.Unheard) != len(x.unheard) {
			t.Errorf("%s: %+v", name, p)
		}
	}
}
