package membership

import (
	"slices"
	"strings"
	"time"
)

// Seen is what the member that decides knows of another.
type Seen struct {
	Member
	Silent  time.Duration // since it was last heard; zero while it is heard
	Leaving bool          // it has said that it ends
}

// Candidate is a replica that is no member and would be one.
type Candidate struct {
	Member
	Ready bool // it holds all that an acting member held when it asked
}

// Target is the core that the operator asks for.
type Target struct {
	PerZone int // members in each zone
	Zones   int
	Lose    int // disks that may be lost at once
}

// Size is how many members the core should have.
func (t Target) Size() int { return t.PerZone * t.Zones }

// Limits are the spans after which a silent member is given up.
type Limits struct {
	Replace time.Duration // for a candidate that stands in its zone
	Remove  time.Duration // without one
}

// Reason says why a set follows another.
type Reason string

// Reasons for a change of members.
const (
	FirstSet     Reason = "first set"
	NewDisk      Reason = "the member came back with another disk"
	Successor    Reason = "the member is gone and its successor has caught up"
	Vacancy      Reason = "a place was free"
	RemovedLong  Reason = "the member has been silent for long"
	nothingToDo  Reason = ""
	smallestCore        = 3
)

// Next is the set that should follow, if any: one member is exchanged, added or removed at a time. A member that is silent
// or leaving stays until its successor has caught up, as a restart is no reason to change the set.
func Next(s Set, target Target, limits Limits, members []Seen, candidates []Candidate) (Set, Reason, bool) {
	candidates = slices.Clone(candidates)
	slices.SortFunc(candidates, func(a, b Candidate) int { return strings.Compare(a.Node, b.Node) })
	for _, c := range candidates {
		if !c.Ready || s.Has(c.Member) {
			continue
		}
		if next, reason := admit(s, target, limits, members, c.Member); reason != nothingToDo {
			return next, reason, true
		}
	}
	return removeSilent(s, target, limits, members)
}

// admit finds the place of a candidate.
func admit(s Set, target Target, limits Limits, members []Seen, c Member) (Set, Reason) {
	if _, same := s.Find(c.Node); same {
		return s.exchange(c.Node, c, target.Lose), NewDisk
	}
	inZone := 0
	for _, m := range members {
		if m.Zone != c.Zone {
			continue
		}
		inZone++
		if m.Leaving || m.Silent >= limits.Replace {
			return s.exchange(m.Node, c, target.Lose), Successor
		}
	}
	if inZone < target.PerZone && len(s.Members) < target.Size() {
		return s.After(append(slices.Clone(s.Members), c), target.Lose), Vacancy
	}
	return Set{}, nothingToDo
}

// exchange puts a member in the place of another, so that the number of members stays: with one member more, of whom one is
// gone, a write would need one more of those that are left.
func (s Set) exchange(node string, by Member, lose int) Set {
	members := slices.DeleteFunc(slices.Clone(s.Members), func(m Member) bool { return m.Node == node })
	return s.After(append(members, by), lose)
}

// removeSilent drops a member that has been silent for long, where those that are left can bear as many losses as before.
func removeSilent(s Set, target Target, limits Limits, members []Seen) (Set, Reason, bool) {
	left := len(s.Members) - 1
	if left < smallestCore || left < 2*s.Lose+1 {
		return Set{}, nothingToDo, false
	}
	for _, m := range members {
		if m.Silent < limits.Remove {
			continue
		}
		rest := slices.DeleteFunc(slices.Clone(s.Members), m.Is)
		return s.After(rest, target.Lose), RemovedLong, true
	}
	return Set{}, nothingToDo, false
}

// First is the first set of a system: one member for each place, all that should be there or, after a wait, as many as are
// left when as many are missing as may be lost. What it takes over from are the members themselves.
func First(target Target, present []Candidate, waited bool) (Set, bool) {
	present = slices.Clone(present)
	slices.SortFunc(present, func(a, b Candidate) int { return strings.Compare(a.Node, b.Node) })
	var members []Member
	inZone := map[string]int{}
	for _, c := range present {
		if !c.Ready || inZone[c.Zone] >= target.PerZone {
			continue
		}
		inZone[c.Zone]++
		members = append(members, c.Member)
	}
	if len(members) < target.Size() && (!waited || len(members) < target.Size()-target.Lose) {
		return Set{}, false
	}
	set := New(1, members, target.Lose)
	set.Previous = set.Members
	set.PrevLose = target.Lose // disks of the version before sets held what n - Lose of all that should be there had confirmed
	return set, true
}
