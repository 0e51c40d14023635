// Package source selects the controller that a proxy pulls from. It determines the next controller to call in a search,
// the delay between the calls of a search, and whether to switch to a nearer controller than the current one. A call is
// one pull by the proxy. The package does no I/O: callers make the calls and pass in the time and random numbers.
package source

import (
	"cmp"
	"slices"
	"time"

	"sagelever/internal/backoff"
	"sagelever/internal/control/membership"
)

// Distance is the network distance between the proxy and a controller.
type Distance int

// The distances, nearest first.
const (
	SameZone Distance = iota
	SameRegion
	OtherRegion
	Unknown // the controller's zone is not known
)

// noQuorumDelay is how long a controller without quorum is avoided. It is short because a controller that has just
// started has no quorum for a short time.
const noQuorumDelay = 500 * time.Millisecond

var (
	// failureBackoff determines how long a controller is avoided after a failed or overdue call.
	failureBackoff = backoff.Policy{Initial: 2 * time.Second, Max: 30 * time.Second}

	// searchBackoff determines the delay between two calls of a search. It grows with each round through all
	// controllers.
	searchBackoff = backoff.Policy{Initial: 100 * time.Millisecond, Max: 400 * time.Millisecond}
)

// Locality is the location of a proxy.
type Locality struct {
	Zone         string
	Region       string
	RegionByZone map[string]string
}

// controller is the state of one controller.
type controller struct {
	address         string
	distance        Distance
	seed            bool // listed in the settings; kept even if it is not a member
	member          bool
	callsInProgress int
	lastCallAt      time.Time // when the last call started
	failures        int       // consecutive failures
	failedAt        time.Time
	noQuorum        bool      // whether the last answer reported no quorum
	avoidUntil      time.Time // until then, Nearer does not return the controller
}

// usable reports whether the last call to a controller did not fail and its last answer reported a quorum.
func (c *controller) usable() bool { return c.failures == 0 && !c.noQuorum }

// Selector tracks the controllers for a proxy. It is not safe for concurrent use.
//
// Invariant: a search calls no controller twice before it has called all others once, regardless of their number and of
// the duration of the calls. It therefore reaches any controller that is alive within one round.
type Selector struct {
	locality    Locality
	random      func() float64
	controllers map[string]*controller // by address
}

// NewSelector returns a selector without controllers. random returns a number between 0 and 1.
func NewSelector(locality Locality, random func() float64) *Selector {
	return &Selector{locality: locality, random: random, controllers: map[string]*controller{}}
}

// AddSeeds adds controllers that are listed in the settings. They are called even if they are not members.
func (s *Selector) AddSeeds(addresses []string) {
	for _, address := range addresses {
		s.controller(address).seed = true
	}
}

// AddMembers adds members of the control group.
func (s *Selector) AddMembers(members []membership.Member) {
	for _, member := range members {
		entry := s.controller(member.Addr)
		entry.member = true
		entry.distance = s.distance(member)
	}
}

// SetMembers replaces the members of the control group. It removes former members, except for seeds, whose distance
// becomes Unknown.
func (s *Selector) SetMembers(members []membership.Member) {
	for address, entry := range s.controllers {
		entry.member = false
		entry.distance = Unknown
		isMember := slices.ContainsFunc(members, func(m membership.Member) bool { return m.Addr == address })
		if !entry.seed && !isMember {
			delete(s.controllers, address)
		}
	}
	s.AddMembers(members)
}

// controller returns the state of the controller at an address and adds the controller if there is none.
func (s *Selector) controller(address string) *controller {
	entry := s.controllers[address]
	if entry == nil {
		entry = &controller{address: address, distance: Unknown}
		s.controllers[address] = entry
	}
	return entry
}

func (s *Selector) distance(member membership.Member) Distance {
	switch {
	case member.Zone == "":
		return Unknown
	case member.Zone == s.locality.Zone:
		return SameZone
	case s.locality.RegionByZone[member.Zone] == s.locality.Region:
		return SameRegion
	}
	return OtherRegion
}

// Next returns the controller to call next in a search. It considers only controllers without a call in progress. It
// prefers usable ones, that is those that were never called or whose last call was answered with quorum, and returns
// the nearest of them. If there is none, it returns the controller whose last call started longest ago. ok is false if
// all controllers have calls in progress.
func (s *Selector) Next() (address string, ok bool) {
	var best *controller
	for _, candidate := range s.controllers {
		if candidate.callsInProgress > 0 {
			continue
		}
		if best == nil || compare(candidate, best) < 0 {
			best = candidate
		}
	}
	if best == nil {
		return "", false
	}
	return best.address, true
}

// compare orders controllers for a search: usable ones first by distance, then the others by the time of the last call.
func compare(a, b *controller) int {
	switch {
	case a.usable() && b.usable():
		return cmp.Or(cmp.Compare(a.distance, b.distance), cmp.Compare(a.address, b.address))
	case a.usable():
		return -1
	case b.usable():
		return 1
	}
	return cmp.Or(a.lastCallAt.Compare(b.lastCallAt),
		cmp.Compare(a.distance, b.distance), cmp.Compare(a.address, b.address))
}

// Nearer returns the nearest of the controllers that are nearer than the one at an address, are not avoided, and have
// no call in progress. ok is false if there is none.
func (s *Selector) Nearer(address string, now time.Time) (nearer string, ok bool) {
	limit := Unknown
	if current := s.controllers[address]; current != nil {
		limit = current.distance
	}
	var best *controller
	for _, candidate := range s.controllers {
		if candidate.callsInProgress > 0 || now.Before(candidate.avoidUntil) || candidate.distance >= limit {
			continue
		}
		if best == nil || cmp.Or(cmp.Compare(candidate.distance, best.distance),
			cmp.Compare(candidate.address, best.address)) < 0 {
			best = candidate
		}
	}
	if best == nil {
		return "", false
	}
	return best.address, true
}

// SearchDelay returns the delay before the next call of a search that has made the given number of calls.
func (s *Selector) SearchDelay(calls int) time.Duration {
	rounds := calls / max(1, len(s.controllers))
	return searchBackoff.Delay(rounds+1, s.random())
}

// CallStarted records the start of a call to a controller. CallAnswered or CallFailed must follow.
func (s *Selector) CallStarted(address string, now time.Time) {
	entry := s.controller(address)
	entry.callsInProgress++
	entry.lastCallAt = now
}

// CallAnswered records the answer to a call that started at startedAt, and whether the controller has a quorum. If the
// call started before the last failure, the controller is still avoided because of that failure. CallAnswered reports
// whether the controller has a quorum now or had one by its previous answer.
func (s *Selector) CallAnswered(address string, startedAt, now time.Time, hasQuorum bool) (hadQuorum bool) {
	entry := s.controllers[address]
	if entry == nil {
		return false // removed in the meantime
	}
	entry.callsInProgress = max(0, entry.callsInProgress-1)
	hadQuorum = hasQuorum || !entry.noQuorum
	entry.noQuorum = !hasQuorum
	if !startedAt.After(entry.failedAt) {
		return hadQuorum
	}
	entry.failures = 0
	entry.avoidUntil = time.Time{}
	if !hasQuorum {
		entry.avoidUntil = now.Add(noQuorumDelay)
	}
	return hadQuorum
}

// CallFailed records that a call to a controller ended without an answer. It reports whether this is the controller's
// first failure since its last successful call.
func (s *Selector) CallFailed(address string, now time.Time) (first bool) {
	entry := s.controllers[address]
	if entry == nil {
		return false // removed in the meantime
	}
	entry.callsInProgress = max(0, entry.callsInProgress-1)
	return s.avoid(entry, now)
}

// CallOverdue records that the answer to a call in progress is overdue, which counts as a failure. It reports whether
// this is the controller's first failure since its last successful call.
func (s *Selector) CallOverdue(address string, now time.Time) (first bool) {
	entry := s.controllers[address]
	if entry == nil {
		return false // removed in the meantime
	}
	return s.avoid(entry, now)
}

// avoid records a failure of a controller, which is then avoided for longer with each consecutive failure. It reports
// whether the failure is the first.
func (s *Selector) avoid(failed *controller, now time.Time) (first bool) {
	failed.failures++
	failed.failedAt = now
	failed.avoidUntil = now.Add(failureBackoff.Delay(failed.failures, s.random()))
	return failed.failures == 1
}
