package membership

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var limits = Limits{Replace: 3 * time.Second, Remove: 5 * time.Minute}

// as is what is known of the members of a set, all heard, but for those that a test alters.
func as(set Set, alter map[string]Seen) (out []Seen) {
	for _, m := range set.Members {
		seen := alter[m.Node]
		seen.Member = m
		out = append(out, seen)
	}
	return out
}

func ready(node, zone, disk string) Candidate {
	return Candidate{Member: Member{Node: node, Zone: zone, Addr: node + ":7", Disk: disk}, Ready: true}
}

func late(c Candidate) Candidate {
	c.Ready = false
	return c
}

// One member is exchanged, added or removed where there is a reason to, and otherwise none.
func TestNext(t *testing.T) {
	six := New(7, members(6), 2)
	five := New(7, members(5), 2)
	silent := map[string]Seen{"m2": {Silent: limits.Replace}}
	for name, x := range map[string]struct {
		set        Set
		alter      map[string]Seen
		candidates []Candidate
		reason     Reason // empty where nothing follows
		in, out    string
	}{
		"all is well":                                {set: six},
		"a restart is no reason":                     {set: six, alter: silent},
		"a newcomer has no place":                    {set: six, candidates: []Candidate{ready("m9", "z2", "d9")}},
		"a successor is not ready":                   {set: six, alter: silent, candidates: []Candidate{late(ready("m9", "z2", "d9"))}},
		"a successor is ready":                       {set: six, alter: silent, candidates: []Candidate{ready("m9", "z2", "d9")}, reason: Successor, in: "m9", out: "m2"},
		"silent for a little less":                   {set: six, alter: map[string]Seen{"m2": {Silent: limits.Replace - 1}}, candidates: []Candidate{ready("m9", "z2", "d9")}},
		"of another zone":                            {set: six, alter: silent, candidates: []Candidate{ready("m9", "z3", "d9")}},
		"a member leaves":                            {set: six, alter: map[string]Seen{"m2": {Leaving: true}}, candidates: []Candidate{ready("m9", "z2", "d9")}, reason: Successor, in: "m9", out: "m2"},
		"leaving without a successor":                {set: six, alter: map[string]Seen{"m2": {Leaving: true}}},
		"another disk":                               {set: six, candidates: []Candidate{ready("m2", "z2", "new")}, reason: NewDisk, in: "m2", out: "m2"},
		"another disk, not ready":                    {set: six, candidates: []Candidate{late(ready("m2", "z2", "new"))}},
		"a place is free":                            {set: five, candidates: []Candidate{ready("m9", "z5", "d9")}, reason: Vacancy, in: "m9"},
		"a place is free elsewhere":                  {set: five, candidates: []Candidate{ready("m9", "z1", "d9")}},
		"a member as a candidate":                    {set: six, alter: silent, candidates: []Candidate{ready("m2", "z2", "d2")}},
		"silent for long":                            {set: six, alter: map[string]Seen{"m2": {Silent: limits.Remove}}, reason: RemovedLong, out: "m2"},
		"silent for long, and too few would be left": {set: five, alter: map[string]Seen{"m2": {Silent: limits.Remove}}},
		"two candidates, the first by name":          {set: six, alter: silent, candidates: []Candidate{ready("m9", "z2", "d9"), ready("m8", "z2", "d8")}, reason: Successor, in: "m8", out: "m2"},
	} {
		target := Target{PerZone: 1, Zones: 6, Lose: 2}
		next, reason, ok := Next(x.set, target, limits, as(x.set, x.alter), x.candidates)
		if ok != (x.reason != "") || reason != x.reason {
			t.Errorf("%s: %v, %q", name, ok, reason)
			continue
		}
		if !ok {
			continue
		}
		in, out := difference(x.set, next)
		if fmt.Sprint(in) != fmt.Sprint(list(x.in)) || fmt.Sprint(out) != fmt.Sprint(list(x.out)) {
			t.Errorf("%s: %v came and %v went", name, in, out)
		}
	}
}

func list(node string) []string {
	if node == "" {
		return nil
	}
	return []string{node}
}

// difference is who came and who went, by name; a member with another disk did both.
func difference(before, after Set) (in, out []string) {
	for _, m := range after.Members {
		if !before.Has(m) {
			in = append(in, m.Node)
		}
	}
	for _, m := range before.Members {
		if !after.Has(m) {
			out = append(out, m.Node)
		}
	}
	return in, out
}

// Whatever is known of members and candidates, the next set is one step away, does not fall below what it bears, and takes
// in nobody that is not ready.
func TestNextIsOneStep(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := rapid.IntRange(1, 12).Draw(t, "zones")
		lose := rapid.IntRange(0, 5).Draw(t, "lose")
		target := Target{PerZone: rapid.IntRange(1, 2).Draw(t, "per zone"), Zones: zones, Lose: lose}
		var all []Member
		for i := range rapid.IntRange(1, min(12, target.Size())).Draw(t, "members") {
			all = append(all, Member{Node: fmt.Sprint("m", i), Zone: fmt.Sprint("z", i%zones), Disk: "d"})
		}
		set := New(3, all, lose)
		alter := map[string]Seen{}
		for _, m := range all {
			alter[m.Node] = Seen{Leaving: rapid.Bool().Draw(t, "leaving"),
				Silent: rapid.SampledFrom([]time.Duration{0, 0, time.Second, limits.Replace, limits.Remove}).Draw(t, "silent")}
		}
		candidates := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Candidate {
			return Candidate{Ready: rapid.Bool().Draw(t, "ready"), Member: Member{
				Node: fmt.Sprint("m", rapid.IntRange(0, 16).Draw(t, "node")),
				Zone: fmt.Sprint("z", rapid.IntRange(0, zones).Draw(t, "zone")),
				Disk: rapid.SampledFrom([]string{"d", "e"}).Draw(t, "disk")}}
		}), 0, 4).Draw(t, "candidates")
		next, reason, ok := Next(set, target, limits, as(set, alter), candidates)
		if !ok {
			return
		}
		in, out := difference(set, next)
		if len(in) > 1 || len(out) > 1 || len(in)+len(out) == 0 {
			t.Fatalf("%s: %v came and %v went", reason, in, out)
		}
		if next.Epoch != set.Epoch+1 || !slices.Equal(next.Previous, set.Members) || next.PrevLose != set.Lose {
			t.Fatalf("%s: %+v follows %+v", reason, next, set)
		}
		if len(next.Members) < 2*next.Lose+1 || len(next.Members) < len(set.Members) && len(next.Members) < 2*set.Lose+1 {
			t.Fatalf("%s: %d members of which %d may be lost follow %d of which %d may", reason, len(next.Members), next.Lose, len(set.Members), set.Lose)
		}
		if len(next.Members) > max(target.Size(), len(set.Members)) {
			t.Fatalf("%s: %d members, and %d are asked for", reason, len(next.Members), target.Size())
		}
		if len(in) == 1 && !slices.ContainsFunc(candidates, func(c Candidate) bool { return c.Ready && next.Has(c.Member) && !set.Has(c.Member) }) {
			t.Fatalf("%s: %v came, and was not ready", reason, in)
		}
		for i := range next.Members {
			if i > 0 && next.Members[i-1].Node >= next.Members[i].Node {
				t.Fatalf("%s: not in the order of their names, or one twice: %v", reason, next.Members)
			}
		}
	})
}

// Without a candidate that is ready nothing changes, however silent members are, but that one is dropped that has been for
// long where the others bear it.
func TestRestartChangesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "members")
		set := New(3, members(n), rapid.IntRange(0, 5).Draw(t, "lose"))
		alter := map[string]Seen{}
		for _, m := range set.Members {
			alter[m.Node] = Seen{Silent: time.Duration(rapid.Int64Range(0, int64(limits.Remove)-1).Draw(t, "silent")), Leaving: rapid.Bool().Draw(t, "leaving")}
		}
		candidates := []Candidate{late(ready("m99", "z0", "d")), late(ready("m0", "z0", "other"))}
		if next, reason, ok := Next(set, Target{PerZone: 1, Zones: n, Lose: 2}, limits, as(set, alter), candidates); ok {
			t.Fatalf("%s: %+v", reason, next)
		}
	})
}

// The first set has a member for each place, all that should be there or, after a wait, all but as many as may be lost.
func TestFirst(t *testing.T) {
	target := Target{PerZone: 1, Zones: 6, Lose: 2}
	for present := range 8 {
		for _, waited := range []bool{false, true} {
			var candidates []Candidate
			for _, m := range members(present) {
				candidates = append(candidates, Candidate{Member: m, Ready: true})
			}
			set, ok := First(target, candidates, waited)
			if want := present >= 6 || waited && present >= 4; ok != want {
				t.Errorf("%d present, waited %v: %v", present, waited, ok)
			}
			if !ok {
				continue
			}
			if set.Epoch != 1 || len(set.Members) < 2*set.Lose+1 || !slices.Equal(set.Previous, set.Members) || set.PrevLose != target.Lose || set.Takeover() > present {
				t.Errorf("%d present, waited %v: %+v", present, waited, set)
			}
		}
	}
	two := []Candidate{ready("m0", "z0", "a"), ready("m1", "z0", "b"), late(ready("m2", "z1", "c"))}
	if set, ok := First(Target{PerZone: 1, Zones: 2, Lose: 0}, two, true); ok {
		t.Errorf("two of one zone, or one that is not ready, make a set: %+v", set)
	}
	reversed := []Candidate{ready("m1", "z1", "b"), ready("m0", "z0", "a")}
	set, ok := First(Target{PerZone: 1, Zones: 2, Lose: 0}, reversed, false)
	if !ok || set.Members[0].Node != "m0" || reversed[0].Node != "m1" {
		t.Errorf("the order in which they are heard counts, or is changed: %+v", set)
	}
}
