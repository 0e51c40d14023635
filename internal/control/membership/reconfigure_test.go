package membership

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var timeouts = Timeouts{ReplaceAfter: 3 * time.Second, RemoveAfter: 5 * time.Minute}

// statusOf is what is known of the members of a set, all heard, but for those that a test alters.
func statusOf(set Configuration, overrides map[string]MemberStatus) (out []MemberStatus) {
	for _, m := range set.Members {
		seen := overrides[m.Node]
		seen.Member = m
		out = append(out, seen)
	}
	return out
}

func readyCandidate(node, zone, disk string) Candidate {
	return Candidate{Member: Member{Node: node, Zone: zone, Addr: node + ":7", DiskID: disk}, CaughtUp: true}
}

func notReady(c Candidate) Candidate {
	c.CaughtUp = false
	return c
}

// One member is exchanged, added or removed where there is a reason to, and otherwise none.
func TestNext(t *testing.T) {
	six := NewConfiguration(7, members(6), 2)
	five := NewConfiguration(7, members(5), 2)
	silent := map[string]MemberStatus{"m2": {SinceLastHeartbeat: timeouts.ReplaceAfter}}
	for name, x := range map[string]struct {
		set        Configuration
		alter      map[string]MemberStatus
		candidates []Candidate
		reason     Reason // empty where nothing follows
		in, out    string
	}{
		"all is well":                                {set: six},
		"a restart is no reason":                     {set: six, alter: silent},
		"a newcomer has no place":                    {set: six, candidates: []Candidate{readyCandidate("m9", "z2", "d9")}},
		"a successor is not ready":                   {set: six, alter: silent, candidates: []Candidate{notReady(readyCandidate("m9", "z2", "d9"))}},
		"a successor is ready":                       {set: six, alter: silent, candidates: []Candidate{readyCandidate("m9", "z2", "d9")}, reason: ReasonMemberReplaced, in: "m9", out: "m2"},
		"silent for a little less":                   {set: six, alter: map[string]MemberStatus{"m2": {SinceLastHeartbeat: timeouts.ReplaceAfter - 1}}, candidates: []Candidate{readyCandidate("m9", "z2", "d9")}},
		"of another zone":                            {set: six, alter: silent, candidates: []Candidate{readyCandidate("m9", "z3", "d9")}},
		"a member leaves":                            {set: six, alter: map[string]MemberStatus{"m2": {Leaving: true}}, candidates: []Candidate{readyCandidate("m9", "z2", "d9")}, reason: ReasonMemberReplaced, in: "m9", out: "m2"},
		"leaving without a successor":                {set: six, alter: map[string]MemberStatus{"m2": {Leaving: true}}},
		"another disk":                               {set: six, candidates: []Candidate{readyCandidate("m2", "z2", "new")}, reason: ReasonDiskReplaced, in: "m2", out: "m2"},
		"another disk, not ready":                    {set: six, candidates: []Candidate{notReady(readyCandidate("m2", "z2", "new"))}},
		"a place is free":                            {set: five, candidates: []Candidate{readyCandidate("m9", "z5", "d9")}, reason: ReasonVacancyFilled, in: "m9"},
		"a place is free elsewhere":                  {set: five, candidates: []Candidate{readyCandidate("m9", "z1", "d9")}},
		"a member as a candidate":                    {set: six, alter: silent, candidates: []Candidate{readyCandidate("m2", "z2", "d2")}},
		"silent for long":                            {set: six, alter: map[string]MemberStatus{"m2": {SinceLastHeartbeat: timeouts.RemoveAfter}}, reason: ReasonMemberRemoved, out: "m2"},
		"silent for long, and too few would be left": {set: five, alter: map[string]MemberStatus{"m2": {SinceLastHeartbeat: timeouts.RemoveAfter}}},
		"two candidates, the first by name":          {set: six, alter: silent, candidates: []Candidate{readyCandidate("m9", "z2", "d9"), readyCandidate("m8", "z2", "d8")}, reason: ReasonMemberReplaced, in: "m8", out: "m2"},
	} {
		target := Target{MembersPerZone: 1, Zones: 6, MaxFailures: 2}
		next, reason, ok := Next(x.set, target, timeouts, statusOf(x.set, x.alter), x.candidates)
		if ok != (x.reason != "") || reason != x.reason {
			t.Errorf("%s: %v, %q", name, ok, reason)
			continue
		}
		if !ok {
			continue
		}
		in, out := difference(x.set, next)
		if fmt.Sprint(in) != fmt.Sprint(nodeList(x.in)) || fmt.Sprint(out) != fmt.Sprint(nodeList(x.out)) {
			t.Errorf("%s: %v came and %v went", name, in, out)
		}
	}
}

func nodeList(node string) []string {
	if node == "" {
		return nil
	}
	return []string{node}
}

// difference is who came and who went, by name; a member with another disk did both.
func difference(before, after Configuration) (in, out []string) {
	for _, m := range after.Members {
		if !before.Contains(m) {
			in = append(in, m.Node)
		}
	}
	for _, m := range before.Members {
		if !after.Contains(m) {
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
		target := Target{MembersPerZone: rapid.IntRange(1, 2).Draw(t, "per zone"), Zones: zones, MaxFailures: lose}
		var all []Member
		for i := range rapid.IntRange(1, min(12, target.Size())).Draw(t, "members") {
			all = append(all, Member{Node: fmt.Sprint("m", i), Zone: fmt.Sprint("z", i%zones), DiskID: "d"})
		}
		set := NewConfiguration(3, all, lose)
		alter := map[string]MemberStatus{}
		for _, m := range all {
			alter[m.Node] = MemberStatus{Leaving: rapid.Bool().Draw(t, "leaving"),
				SinceLastHeartbeat: rapid.SampledFrom([]time.Duration{0, 0, time.Second, timeouts.ReplaceAfter, timeouts.RemoveAfter}).Draw(t, "silent")}
		}
		candidates := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Candidate {
			return Candidate{CaughtUp: rapid.Bool().Draw(t, "ready"), Member: Member{
				Node:   fmt.Sprint("m", rapid.IntRange(0, 16).Draw(t, "node")),
				Zone:   fmt.Sprint("z", rapid.IntRange(0, zones).Draw(t, "zone")),
				DiskID: rapid.SampledFrom([]string{"d", "e"}).Draw(t, "disk")}}
		}), 0, 4).Draw(t, "candidates")
		next, reason, ok := Next(set, target, timeouts, statusOf(set, alter), candidates)
		if !ok {
			return
		}
		in, out := difference(set, next)
		if len(in) > 1 || len(out) > 1 || len(in)+len(out) == 0 {
			t.Fatalf("%s: %v came and %v went", reason, in, out)
		}
		if next.Epoch != set.Epoch+1 || !slices.Equal(next.Previous, set.Members) || next.PreviousMaxFailures != set.MaxFailures {
			t.Fatalf("%s: %+v follows %+v", reason, next, set)
		}
		if len(next.Members) < 2*next.MaxFailures+1 || len(next.Members) < len(set.Members) && len(next.Members) < 2*set.MaxFailures+1 {
			t.Fatalf("%s: %d members of which %d may be lost follow %d of which %d may", reason, len(next.Members), next.MaxFailures, len(set.Members), set.MaxFailures)
		}
		if len(next.Members) > max(target.Size(), len(set.Members)) {
			t.Fatalf("%s: %d members, and %d are asked for", reason, len(next.Members), target.Size())
		}
		if len(in) == 1 && !slices.ContainsFunc(candidates, func(c Candidate) bool { return c.CaughtUp && next.Contains(c.Member) && !set.Contains(c.Member) }) {
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
func TestNoChangeWithoutReadyCandidate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "members")
		set := NewConfiguration(3, members(n), rapid.IntRange(0, 5).Draw(t, "lose"))
		alter := map[string]MemberStatus{}
		for _, m := range set.Members {
			alter[m.Node] = MemberStatus{SinceLastHeartbeat: time.Duration(rapid.Int64Range(0, int64(timeouts.RemoveAfter)-1).Draw(t, "silent")), Leaving: rapid.Bool().Draw(t, "leaving")}
		}
		candidates := []Candidate{notReady(readyCandidate("m99", "z0", "d")), notReady(readyCandidate("m0", "z0", "other"))}
		if next, reason, ok := Next(set, Target{MembersPerZone: 1, Zones: n, MaxFailures: 2}, timeouts, statusOf(set, alter), candidates); ok {
			t.Fatalf("%s: %+v", reason, next)
		}
	})
}

// The first set has a member for each place, all that should be there or, after a wait, all but as many as may be lost.
func TestBootstrap(t *testing.T) {
	target := Target{MembersPerZone: 1, Zones: 6, MaxFailures: 2}
	for present := range 8 {
		for _, waited := range []bool{false, true} {
			var candidates []Candidate
			for _, m := range members(present) {
				candidates = append(candidates, Candidate{Member: m, CaughtUp: true})
			}
			set, ok := Bootstrap(target, candidates, waited)
			if want := present >= 6 || waited && present >= 4; ok != want {
				t.Errorf("%d present, waited %v: %v", present, waited, ok)
			}
			if !ok {
				continue
			}
			if set.Epoch != 1 || len(set.Members) < 2*set.MaxFailures+1 || !slices.Equal(set.Previous, set.Members) || set.PreviousMaxFailures != target.MaxFailures || set.TakeoverQuorum() > present {
				t.Errorf("%d present, waited %v: %+v", present, waited, set)
			}
		}
	}
	two := []Candidate{readyCandidate("m0", "z0", "a"), readyCandidate("m1", "z0", "b"), notReady(readyCandidate("m2", "z1", "c"))}
	if set, ok := Bootstrap(Target{MembersPerZone: 1, Zones: 2, MaxFailures: 0}, two, true); ok {
		t.Errorf("two of one zone, or one that is not ready, make a set: %+v", set)
	}
	reversed := []Candidate{readyCandidate("m1", "z1", "b"), readyCandidate("m0", "z0", "a")}
	set, ok := Bootstrap(Target{MembersPerZone: 1, Zones: 2, MaxFailures: 0}, reversed, false)
	if !ok || set.Members[0].Node != "m0" || reversed[0].Node != "m1" {
		t.Errorf("the order in which they are heard counts, or is changed: %+v", set)
	}
}
