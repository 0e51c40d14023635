package membership

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var timeouts = Timeouts{ReplaceAfter: 3 * time.Second, RemoveAfter: 5 * time.Minute}

// statusOf returns the status of the members of a configuration. Members without an override are reachable.
func statusOf(configuration Configuration, overrides map[string]MemberStatus) (statuses []MemberStatus) {
	for _, m := range configuration.Members {
		status := overrides[m.Node]
		status.Member = m
		statuses = append(statuses, status)
	}
	return statuses
}

func readyCandidate(node, zone, disk string) Candidate {
	return Candidate{Member: Member{Node: node, Zone: zone, Addr: node + ":7", DiskID: disk}, CaughtUp: true}
}

func notReady(c Candidate) Candidate {
	c.CaughtUp = false
	return c
}

// nextTest is a test case of TestNext.
type nextTest struct {
	name       string
	current    Configuration
	overrides  map[string]MemberStatus
	candidates []Candidate
	want       Reason // empty if no change is expected
	added      string
	removed    string
}

func nextTests() []nextTest {
	six := NewConfiguration(7, members(6), 2)
	five := NewConfiguration(7, members(5), 2)
	replaceable := map[string]MemberStatus{"m2": {SinceLastResponse: timeouts.ReplaceAfter}}
	almostReplaceable := map[string]MemberStatus{"m2": {SinceLastResponse: timeouts.ReplaceAfter - 1}}
	removable := map[string]MemberStatus{"m2": {SinceLastResponse: timeouts.RemoveAfter}}
	leaving := map[string]MemberStatus{"m2": {Leaving: true}}
	sameZone := readyCandidate("m9", "z2", "d9")
	sameZoneFirstByName := readyCandidate("m8", "z2", "d8")
	newDisk := readyCandidate("m2", "z2", "new")
	otherZone := readyCandidate("m9", "z3", "d9")
	vacantZone := readyCandidate("m9", "z5", "d9")
	fullZone := readyCandidate("m9", "z1", "d9")
	member := readyCandidate("m2", "z2", "d2")
	only := func(c Candidate) []Candidate { return []Candidate{c} }
	return []nextTest{
		{name: "all reachable", current: six},
		{name: "restart", current: six, overrides: replaceable},
		{name: "no vacancy", current: six, candidates: only(sameZone)},
		{name: "replacement not caught up", current: six, overrides: replaceable, candidates: only(notReady(sameZone))},
		{name: "replacement caught up", current: six, overrides: replaceable, candidates: only(sameZone),
			want: ReasonMemberReplaced, added: "m9", removed: "m2"},
		{name: "almost replaceable", current: six, overrides: almostReplaceable, candidates: only(sameZone)},
		{name: "candidate in another zone", current: six, overrides: replaceable, candidates: only(otherZone)},
		{name: "leaving member", current: six, overrides: leaving, candidates: only(sameZone),
			want: ReasonMemberReplaced, added: "m9", removed: "m2"},
		{name: "leaving member without replacement", current: six, overrides: leaving},
		{name: "new disk", current: six, candidates: only(newDisk), want: ReasonDiskReplaced, added: "m2", removed: "m2"},
		{name: "new disk, not caught up", current: six, candidates: only(notReady(newDisk))},
		{name: "vacancy", current: five, candidates: only(vacantZone), want: ReasonVacancyFilled, added: "m9"},
		{name: "vacancy in another zone", current: five, candidates: only(fullZone)},
		{name: "member as candidate", current: six, overrides: replaceable, candidates: only(member)},
		{name: "unreachable for RemoveAfter", current: six, overrides: removable, want: ReasonMemberRemoved, removed: "m2"},
		{name: "unreachable for RemoveAfter, too few would remain", current: five, overrides: removable},
		{name: "first of two candidates by name", current: six, overrides: replaceable,
			candidates: []Candidate{sameZone, sameZoneFirstByName}, want: ReasonMemberReplaced, added: "m8", removed: "m2"},
	}
}

// Next replaces, adds or removes one member if there is a reason to, and otherwise changes nothing.
func TestNext(t *testing.T) {
	target := Target{MembersPerZone: 1, Zones: 6, MaxFailures: 2}
	for _, test := range nextTests() {
		t.Run(test.name, func(t *testing.T) {
			next, reason, ok := Next(test.current, target, timeouts, statusOf(test.current, test.overrides), test.candidates)
			if ok != (test.want != "") || reason != test.want {
				t.Fatalf("got %v, %q, want %q", ok, reason, test.want)
			}
			if !ok {
				return
			}
			added, removed := difference(test.current, next)
			if !slices.Equal(added, nodeList(test.added)) || !slices.Equal(removed, nodeList(test.removed)) {
				t.Errorf("added %v and removed %v, want %q and %q", added, removed, test.added, test.removed)
			}
		})
	}
}

func nodeList(node string) []string {
	if node == "" {
		return nil
	}
	return []string{node}
}

// difference returns the names of the members that were added and removed. A node whose disk changed is in both.
func difference(before, after Configuration) (added, removed []string) {
	for _, m := range after.Members {
		if !before.Contains(m) {
			added = append(added, m.Node)
		}
	}
	for _, m := range before.Members {
		if !after.Contains(m) {
			removed = append(removed, m.Node)
		}
	}
	return added, removed
}

// nextInput is a random input to Next.
type nextInput struct {
	current    Configuration
	target     Target
	overrides  map[string]MemberStatus
	candidates []Candidate
}

func drawNextInput(t *rapid.T) nextInput {
	zones := rapid.IntRange(1, 12).Draw(t, "zones")
	maxFailures := rapid.IntRange(0, 5).Draw(t, "max failures")
	target := Target{MembersPerZone: rapid.IntRange(1, 2).Draw(t, "per zone"), Zones: zones, MaxFailures: maxFailures}
	var all []Member
	for i := range rapid.IntRange(1, min(12, target.Size())).Draw(t, "members") {
		all = append(all, Member{Node: fmt.Sprint("m", i), Zone: fmt.Sprint("z", i%zones), DiskID: "d"})
	}
	responseAges := []time.Duration{0, 0, time.Second, timeouts.ReplaceAfter, timeouts.RemoveAfter}
	overrides := map[string]MemberStatus{}
	for _, m := range all {
		overrides[m.Node] = MemberStatus{
			Leaving:           rapid.Bool().Draw(t, "leaving"),
			SinceLastResponse: rapid.SampledFrom(responseAges).Draw(t, "since last response"),
		}
	}
	candidate := rapid.Custom(func(t *rapid.T) Candidate {
		return Candidate{CaughtUp: rapid.Bool().Draw(t, "caught up"), Member: Member{
			Node:   fmt.Sprint("m", rapid.IntRange(0, 16).Draw(t, "node")),
			Zone:   fmt.Sprint("z", rapid.IntRange(0, zones).Draw(t, "zone")),
			DiskID: rapid.SampledFrom([]string{"d", "e"}).Draw(t, "disk"),
		}}
	})
	return nextInput{
		current:    NewConfiguration(3, all, maxFailures),
		target:     target,
		overrides:  overrides,
		candidates: rapid.SliceOfN(candidate, 0, 4).Draw(t, "candidates"),
	}
}

// For any members and candidates, the next configuration differs by one member, tolerates no fewer failures than its
// size allows, and only adds a candidate that has caught up.
func TestNextIsOneStep(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := drawNextInput(t)
		next, reason, ok := Next(in.current, in.target, timeouts, statusOf(in.current, in.overrides), in.candidates)
		if !ok {
			return
		}
		added, removed := difference(in.current, next)
		if len(added) > 1 || len(removed) > 1 || len(added)+len(removed) == 0 {
			t.Fatalf("%s: added %v, removed %v", reason, added, removed)
		}
		checkSuccessor(t, in, next, reason)
		isNewMember := func(c Candidate) bool {
			return c.CaughtUp && next.Contains(c.Member) && !in.current.Contains(c.Member)
		}
		if len(added) == 1 && !slices.ContainsFunc(in.candidates, isNewMember) {
			t.Fatalf("%s: added %v, which had not caught up", reason, added)
		}
	})
}

// checkSuccessor checks the invariants of a configuration that follows another one.
func checkSuccessor(t *rapid.T, in nextInput, next Configuration, reason Reason) {
	t.Helper()
	current := in.current
	if next.Epoch != current.Epoch+1 || !slices.Equal(next.Previous, current.Members) ||
		next.PreviousMaxFailures != current.MaxFailures {
		t.Fatalf("%s: %+v follows %+v", reason, next, current)
	}
	shrunk := len(next.Members) < len(current.Members)
	if len(next.Members) < 2*next.MaxFailures+1 || shrunk && len(next.Members) < 2*current.MaxFailures+1 {
		t.Fatalf("%s: %d members that tolerate %d failures follow %d that tolerate %d",
			reason, len(next.Members), next.MaxFailures, len(current.Members), current.MaxFailures)
	}
	if len(next.Members) > max(in.target.Size(), len(current.Members)) {
		t.Fatalf("%s: %d members, the target is %d", reason, len(next.Members), in.target.Size())
	}
	for i := range next.Members {
		if i > 0 && next.Members[i-1].Node >= next.Members[i].Node {
			t.Fatalf("%s: members out of order or duplicate: %v", reason, next.Members)
		}
	}
}

// Without a candidate that has caught up, and with every member reachable within RemoveAfter, nothing changes.
func TestNoChangeWithoutReadyCandidate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "members")
		current := NewConfiguration(3, members(n), rapid.IntRange(0, 5).Draw(t, "max failures"))
		overrides := map[string]MemberStatus{}
		for _, m := range current.Members {
			responseAge := rapid.Int64Range(0, int64(timeouts.RemoveAfter)-1).Draw(t, "since last response")
			overrides[m.Node] = MemberStatus{
				SinceLastResponse: time.Duration(responseAge),
				Leaving:           rapid.Bool().Draw(t, "leaving"),
			}
		}
		target := Target{MembersPerZone: 1, Zones: n, MaxFailures: 2}
		candidates := []Candidate{notReady(readyCandidate("m99", "z0", "d")), notReady(readyCandidate("m0", "z0", "other"))}
		if next, reason, ok := Next(current, target, timeouts, statusOf(current, overrides), candidates); ok {
			t.Fatalf("%s: %+v", reason, next)
		}
	})
}

// The first configuration has a member for each place of the target or, once the wait has expired, for all but
// MaxFailures places.
func TestBootstrap(t *testing.T) {
	target := Target{MembersPerZone: 1, Zones: 6, MaxFailures: 2}
	for present := range 8 {
		for _, waitExpired := range []bool{false, true} {
			var candidates []Candidate
			for _, m := range members(present) {
				candidates = append(candidates, Candidate{Member: m, CaughtUp: true})
			}
			configuration, ok := Bootstrap(target, candidates, waitExpired)
			if want := present >= 6 || waitExpired && present >= 4; ok != want {
				t.Errorf("%d present, wait expired %v: got %v", present, waitExpired, ok)
			}
			if !ok {
				continue
			}
			if configuration.Epoch != 1 || len(configuration.Members) < 2*configuration.MaxFailures+1 {
				t.Errorf("%d present, wait expired %v: %+v", present, waitExpired, configuration)
			}
			if !slices.Equal(configuration.Previous, configuration.Members) ||
				configuration.PreviousMaxFailures != target.MaxFailures || configuration.TakeoverQuorum() > present {
				t.Errorf("%d present, wait expired %v: wrong previous members or takeover quorum: %+v",
					present, waitExpired, configuration)
			}
		}
	}
}

// A candidate in the same zone as another one, or one that has not caught up, does not fill another zone's place.
func TestBootstrapNeedsAllZones(t *testing.T) {
	candidates := []Candidate{
		readyCandidate("m0", "z0", "a"),
		readyCandidate("m1", "z0", "b"),
		notReady(readyCandidate("m2", "z1", "c")),
	}
	if configuration, ok := Bootstrap(Target{MembersPerZone: 1, Zones: 2}, candidates, true); ok {
		t.Errorf("got %+v", configuration)
	}
}

// Bootstrap orders members by node name, and does not reorder the caller's candidates.
func TestBootstrapSortsCandidates(t *testing.T) {
	candidates := []Candidate{readyCandidate("m1", "z1", "b"), readyCandidate("m0", "z0", "a")}
	configuration, ok := Bootstrap(Target{MembersPerZone: 1, Zones: 2}, candidates, false)
	if !ok || configuration.Members[0].Node != "m0" {
		t.Errorf("got %+v, %v", configuration, ok)
	}
	if candidates[0].Node != "m1" {
		t.Error("the candidates of the caller were reordered")
	}
}
