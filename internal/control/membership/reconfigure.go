package membership

import (
	"slices"
	"strings"
	"time"
)

// minMembers is the smallest size to which removeUnreachable reduces a configuration.
const minMembers = 3

// MemberStatus is the state of a member of the configuration as observed by the member that decides.
type MemberStatus struct {
	Member
	// SinceLastResponse is the time since the member last responded to a pull, or zero while the member is reachable.
	SinceLastResponse time.Duration
	// Leaving is set once the member has announced its shutdown.
	Leaving bool
}

// Candidate is a replica that is not a member and requests to become one.
type Candidate struct {
	Member
	// CaughtUp is set if the replica has all values that an active member had at the time of the request.
	CaughtUp bool
}

// Target is the size of the control group as set by the operator.
type Target struct {
	MembersPerZone int
	Zones          int
	// MaxFailures is how many members may lose their disks at the same time.
	MaxFailures int
}

// Size returns the number of members that the group should have.
func (t Target) Size() int { return t.MembersPerZone * t.Zones }

// Timeouts are the durations without a response after which a member is replaced or removed.
type Timeouts struct {
	// ReplaceAfter applies if there is a candidate in the same zone that has caught up.
	ReplaceAfter time.Duration
	// RemoveAfter applies if there is no such candidate.
	RemoveAfter time.Duration
}

// Reason is the reason for a change of configuration, for logs.
type Reason string

// The reasons for a change of configuration.
const (
	ReasonBootstrap      Reason = "bootstrap"
	ReasonDiskReplaced   Reason = "member has a new disk"
	ReasonMemberReplaced Reason = "member unreachable or leaving, and its replacement has caught up"
	ReasonVacancyFilled  Reason = "vacancy filled"
	ReasonMemberRemoved  Reason = "member unreachable for too long"

	reasonNone Reason = ""
)

// Next returns the configuration that should follow the current one, if any. It replaces, adds or removes one member at
// a time. An unreachable or leaving member is not replaced until a candidate for its place has caught up, so that a
// restart alone never changes the configuration.
func Next(
	current Configuration, target Target, timeouts Timeouts, members []MemberStatus, candidates []Candidate,
) (Configuration, Reason, bool) {
	r := reconfiguration{current: current, target: target, timeouts: timeouts, members: members}
	for _, c := range sortedByNode(candidates) {
		if !c.CaughtUp || current.Contains(c.Member) {
			continue
		}
		if next, reason := r.place(c.Member); reason != reasonNone {
			return next, reason, true
		}
	}
	return r.removeUnreachable()
}

// reconfiguration is the input to one decision about the next configuration, apart from the candidates.
type reconfiguration struct {
	current  Configuration
	target   Target
	timeouts Timeouts
	members  []MemberStatus
}

// place returns a configuration that has the candidate as a member, or reasonNone if there is no place for it.
func (r *reconfiguration) place(candidate Member) (Configuration, Reason) {
	if _, sameNode := r.current.Find(candidate.Node); sameNode {
		return r.replace(candidate.Node, candidate), ReasonDiskReplaced
	}
	membersInZone := 0
	for _, m := range r.members {
		if m.Zone != candidate.Zone {
			continue
		}
		membersInZone++
		if m.Leaving || m.SinceLastResponse >= r.timeouts.ReplaceAfter {
			return r.replace(m.Node, candidate), ReasonMemberReplaced
		}
	}
	if membersInZone < r.target.MembersPerZone && len(r.current.Members) < r.target.Size() {
		members := append(slices.Clone(r.current.Members), candidate)
		return r.current.Successor(members, r.target.MaxFailures), ReasonVacancyFilled
	}
	return Configuration{}, reasonNone
}

// replace returns the configuration in which the candidate takes the place of a member. It does so in one step because
// adding the candidate first would raise the accept quorum by one while the replaced member cannot contribute to it.
func (r *reconfiguration) replace(node string, candidate Member) Configuration {
	members := slices.DeleteFunc(slices.Clone(r.current.Members), func(m Member) bool { return m.Node == node })
	return r.current.Successor(append(members, candidate), r.target.MaxFailures)
}

// removeUnreachable returns the configuration without a member that has been unreachable for RemoveAfter, if the
// remaining members tolerate as many failures as before.
func (r *reconfiguration) removeUnreachable() (Configuration, Reason, bool) {
	remaining := len(r.current.Members) - 1
	if remaining < minMembers || remaining < 2*r.current.MaxFailures+1 {
		return Configuration{}, reasonNone, false
	}
	for _, m := range r.members {
		if m.SinceLastResponse < r.timeouts.RemoveAfter {
			continue
		}
		members := slices.DeleteFunc(slices.Clone(r.current.Members), m.SameReplica)
		return r.current.Successor(members, r.target.MaxFailures), ReasonMemberRemoved, true
	}
	return Configuration{}, reasonNone, false
}

// Bootstrap returns the first configuration of a system if enough candidates are present: one for each place of the
// target or, once the time to wait for all of them has expired, at least all but MaxFailures. The configuration takes
// over the registers from its own members.
func Bootstrap(target Target, candidates []Candidate, waitExpired bool) (Configuration, bool) {
	var members []Member
	membersPerZone := map[string]int{}
	for _, c := range sortedByNode(candidates) {
		if !c.CaughtUp || membersPerZone[c.Zone] >= target.MembersPerZone {
			continue
		}
		membersPerZone[c.Zone]++
		members = append(members, c.Member)
	}
	required := target.Size()
	if waitExpired {
		required -= target.MaxFailures
	}
	if len(members) < required {
		return Configuration{}, false
	}
	configuration := NewConfiguration(1, members, target.MaxFailures)
	configuration.Previous = configuration.Members
	// Releases without configurations stored each value on all but MaxFailures of the target's members.
	configuration.PreviousMaxFailures = target.MaxFailures
	return configuration, true
}

// sortedByNode returns a copy of the candidates ordered by node name, so that all members make the same decision.
func sortedByNode(candidates []Candidate) []Candidate {
	byNode := func(a, b Candidate) int { return strings.Compare(a.Node, b.Node) }
	return slices.SortedFunc(slices.Values(candidates), byNode)
}
