package membership

import (
	"slices"
	"strings"
	"time"
)

// MemberStatus is what the member that decides knows of another.
type MemberStatus struct {
	Member
	SinceLastHeartbeat time.Duration // since it was last heard; zero while it is heard
	Leaving            bool          // it has said that it ends
}

// Candidate is a replica that is no member and would be one.
type Candidate struct {
	Member
	CaughtUp bool // it holds all that an acting member held when it asked
}

// Target is the core that the operator asks for.
type Target struct {
	MembersPerZone int // members in each zone
	Zones          int
	MaxFailures    int // disks that may be lost at once
}

// Size is how many members the core should have.
func (t Target) Size() int { return t.MembersPerZone * t.Zones }

// Timeouts are the spans after which a silent member is given up.
type Timeouts struct {
	ReplaceAfter time.Duration // for a candidate that stands in its zone
	RemoveAfter  time.Duration // without one
}

// Reason says why a set follows another.
type Reason string

// Reasons for a change of members.
const (
	ReasonBootstrap      Reason = "first set"
	ReasonDiskReplaced   Reason = "the member came back with another disk"
	ReasonMemberReplaced Reason = "the member is gone and its successor has caught up"
	ReasonVacancyFilled  Reason = "a place was free"
	ReasonMemberRemoved  Reason = "the member has been silent for long"
	reasonNone           Reason = ""
	minMembers                  = 3
)

// Next is the set that should follow, if any: one member is exchanged, added or removed at a time. A member that is silent
// or leaving stays until its successor has caught up, as a restart is no reason to change the set.
func Next(current Configuration, target Target, timeouts Timeouts, members []MemberStatus, candidates []Candidate) (Configuration, Reason, bool) {
	candidates = slices.Clone(candidates)
	slices.SortFunc(candidates, func(a, b Candidate) int { return strings.Compare(a.Node, b.Node) })
	for _, c := range candidates {
		if !c.CaughtUp || current.Contains(c.Member) {
			continue
		}
		if next, reason := placeCandidate(current, target, timeouts, members, c.Member); reason != reasonNone {
			return next, reason, true
		}
	}
	return removeUnreachable(current, target, timeouts, members)
}

// placeCandidate finds the place of a candidate.
func placeCandidate(current Configuration, target Target, timeouts Timeouts, members []MemberStatus, candidate Member) (Configuration, Reason) {
	if _, same := current.Find(candidate.Node); same {
		return current.replaceMember(candidate.Node, candidate, target.MaxFailures), ReasonDiskReplaced
	}
	membersInZone := 0
	for _, m := range members {
		if m.Zone != candidate.Zone {
			continue
		}
		membersInZone++
		if m.Leaving || m.SinceLastHeartbeat >= timeouts.ReplaceAfter {
			return current.replaceMember(m.Node, candidate, target.MaxFailures), ReasonMemberReplaced
		}
	}
	if membersInZone < target.MembersPerZone && len(current.Members) < target.Size() {
		return current.Successor(append(slices.Clone(current.Members), candidate), target.MaxFailures), ReasonVacancyFilled
	}
	return Configuration{}, reasonNone
}

// replaceMember puts a member in the place of another, so that the number of members stays: with one member more, of whom one is
// gone, a write would need one more of those that are left.
func (s Configuration) replaceMember(node string, replacement Member, maxFailures int) Configuration {
	members := slices.DeleteFunc(slices.Clone(s.Members), func(m Member) bool { return m.Node == node })
	return s.Successor(append(members, replacement), maxFailures)
}

// removeUnreachable drops a member that has been silent for long, where those that are left can bear as many losses as before.
func removeUnreachable(current Configuration, target Target, timeouts Timeouts, members []MemberStatus) (Configuration, Reason, bool) {
	remaining := len(current.Members) - 1
	if remaining < minMembers || remaining < 2*current.MaxFailures+1 {
		return Configuration{}, reasonNone, false
	}
	for _, m := range members {
		if m.SinceLastHeartbeat < timeouts.RemoveAfter {
			continue
		}
		rest := slices.DeleteFunc(slices.Clone(current.Members), m.SameReplica)
		return current.Successor(rest, target.MaxFailures), ReasonMemberRemoved, true
	}
	return Configuration{}, reasonNone, false
}

// Bootstrap is the first set of a system: one member for each place, all that should be there or, after a wait, as many as are
// left when as many are missing as may be lost. What it takes over from are the members themselves.
func Bootstrap(target Target, candidates []Candidate, waited bool) (Configuration, bool) {
	candidates = slices.Clone(candidates)
	slices.SortFunc(candidates, func(a, b Candidate) int { return strings.Compare(a.Node, b.Node) })
	var members []Member
	membersPerZone := map[string]int{}
	for _, c := range candidates {
		if !c.CaughtUp || membersPerZone[c.Zone] >= target.MembersPerZone {
			continue
		}
		membersPerZone[c.Zone]++
		members = append(members, c.Member)
	}
	if len(members) < target.Size() && (!waited || len(members) < target.Size()-target.MaxFailures) {
		return Configuration{}, false
	}
	configuration := NewConfiguration(1, members, target.MaxFailures)
	configuration.Previous = configuration.Members
	configuration.PreviousMaxFailures = target.MaxFailures // disks of the version before sets held what n - Lose of all that should be there had confirmed
	return configuration, true
}
