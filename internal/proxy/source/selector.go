// Package source decides which controller a proxy pulls from: the one to ask next in a search, the pace of the search,
// and whether a nearer controller than the present one is worth asking. It is pure: its callers do the calls, keep the
// time and hand in the randomness.
package source

import (
	"cmp"
	"slices"
	"time"

	"sagelever/internal/backoff"
	"sagelever/internal/control/membership"
)

// Distance says how far a controller is from the proxy.
type Distance int

// Distances, nearest first.
const (
	SameZone Distance = iota
	SameRegion
	OtherRegion
	Unknown // nothing but its address is known
)

// noQuorumDelay is how long a controller without quorum is avoided. It is short because a controller that has just
// started is without quorum for a moment.
const noQuorumDelay = 500 * time.Millisecond

var (
	// failureBackoff is how long a controller is avoided that did not answer.
	failureBackoff = backoff.Policy{Initial: 2 * time.Second, Max: 30 * time.Second}

	// searchBackoff is the pause between two controllers that are asked in a search. It grows with each round through
	// all of them.
	searchBackoff = backoff.Policy{Initial: 100 * time.Millisecond, Max: 400 * time.Millisecond}
)

// Locality says where a proxy is.
type Locality struct {
	Zone         string
	Region       string
	RegionByZone map[string]string
}

// controller is what is known of one controller.
type controller struct {
	address    string
	distance   Distance
	seed       bool // named by the settings; kept even if it is not a member
	member     bool
	asking     int       // calls to it in progress
	askedAt    time.Time // when the last call to it began
	failures   int       // in a row
	failedAt   time.Time
	noQuorum   bool      // by its last answer
	avoidUntil time.Time // until when it is no reason to leave a controller that is farther away
}

// usable reports whether nothing speaks against a controller.
func (c *controller) usable() bool { return c.failures == 0 && !c.noQuorum }

// Selector keeps what a proxy knows of the controllers. It is not safe for concurrent use.
//
// Invariant: a search asks no controller twice before it has asked all others once, however many there are and however
// long that takes. It therefore reaches a living controller after one round at the latest.
type Selector struct {
	locality    Locality
	random      func() float64
	controllers map[string]*controller // by address
}

// NewSelector returns a selector that knows no controller. random returns a number from 0 to 1.
func NewSelector(locality Locality, random func() float64) *Selector {
	return &Selector{locality: locality, random: random, controllers: map[string]*controller{}}
}

// AddSeeds adds controllers that are asked even if they are not members: the settings name them.
func (s *Selector) AddSeeds(addresses []string) {
	for _, address := range addresses {
		s.controller(address).seed = true
	}
}

// AddMembers adds members of the control group.
func (s *Selector) AddMembers(members []membership.Member) {
	for _, member := range members {
		known := s.controller(member.Addr)
		known.member = true
		known.distance = s.distance(member)
	}
}

// SetMembers replaces the members of the control group. A former member is forgotten; if it is a seed it is kept, but
// counts as far away.
func (s *Selector) SetMembers(members []membership.Member) {
	for address, known := range s.controllers {
		known.member = false
		known.distance = Unknown
		isMember := slices.ContainsFunc(members, func(m membership.Member) bool { return m.Addr == address })
		if !known.seed && !isMember {
			delete(s.controllers, address)
		}
	}
	s.AddMembers(members)
}

// controller returns the state of the controller at an address, which it adds if it is not known.
func (s *Selector) controller(address string) *controller {
	known := s.controllers[address]
	if known == nil {
		known = &controller{address: address, distance: Unknown}
		s.controllers[address] = known
	}
	return known
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

// Next returns the controller to ask next in a search, of those that are not being asked: the nearest of those that
// have answered with quorum when they were asked last or were never asked, then of the others the one asked longest
// ago. ok is false if there is none.
func (s *Selector) Next() (address string, ok bool) {
	var best *controller
	for _, candidate := range s.controllers {
		if candidate.asking > 0 {
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

// compare orders controllers for a search.
func compare(a, b *controller) int {
	switch {
	case a.usable() && b.usable():
		return cmp.Or(cmp.Compare(a.distance, b.distance), cmp.Compare(a.address, b.address))
	case a.usable():
		return -1
	case b.usable():
		return 1
	}
	return cmp.Or(a.askedAt.Compare(b.askedAt), cmp.Compare(a.distance, b.distance), cmp.Compare(a.address, b.address))
}

// Nearer returns the nearest controller that is nearer than the one at an address, and is neither avoided nor being
// asked. ok is false if there is none.
func (s *Selector) Nearer(address string, now time.Time) (nearer string, ok bool) {
	limit := Unknown
	if current := s.controllers[address]; current != nil {
		limit = current.distance
	}
	var best *controller
	for _, candidate := range s.controllers {
		if candidate.asking > 0 || now.Before(candidate.avoidUntil) || candidate.distance >= limit {
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

// SearchDelay returns the pause after a number of controllers was asked in a search, until the next is asked.
func (s *Selector) SearchDelay(asked int) time.Duration {
	rounds := asked / max(1, len(s.controllers))
	return searchBackoff.Delay(rounds+1, s.random())
}

// CallStarted records that a call to a controller begins. CallAnswered or CallFailed has to follow.
func (s *Selector) CallStarted(address string, now time.Time) {
	known := s.controller(address)
	known.asking++
	known.askedAt = now
}

// CallAnswered records the answer to a call that began at askedAt, and whether the controller has a quorum. An answer to
// a call from before the last failure does not undo that. CallAnswered reports whether the controller had a quorum by its
// answer before, or has one now.
func (s *Selector) CallAnswered(address string, askedAt, now time.Time, hasQuorum bool) (hadQuorum bool) {
	known := s.controllers[address]
	if known == nil {
		return false // forgotten meanwhile
	}
	known.asking = max(0, known.asking-1)
	hadQuorum = hasQuorum || !known.noQuorum
	known.noQuorum = !hasQuorum
	if !askedAt.After(known.failedAt) {
		return hadQuorum
	}
	known.failures = 0
	known.avoidUntil = time.Time{}
	if !hasQuorum {
		known.avoidUntil = now.Add(noQuorumDelay)
	}
	return hadQuorum
}

// CallFailed records that a call to a controller ended without an answer. It reports whether that is its first failure
// in a row.
func (s *Selector) CallFailed(address string, now time.Time) (first bool) {
	known := s.controllers[address]
	if known == nil {
		return false // forgotten meanwhile
	}
	known.asking = max(0, known.asking-1)
	return s.avoid(known, now)
}

// CallOverdue records that a controller's answer to a call that is still in progress should have come by now. It reports
// whether that is its first failure in a row.
func (s *Selector) CallOverdue(address string, now time.Time) (first bool) {
	known := s.controllers[address]
	if known == nil {
		return false // forgotten meanwhile
	}
	return s.avoid(known, now)
}

// avoid avoids a controller after a failure, longer with each in a row.
func (s *Selector) avoid(failed *controller, now time.Time) (first bool) {
	failed.failures++
	failed.failedAt = now
	failed.avoidUntil = now.Add(failureBackoff.Delay(failed.failures, s.random()))
	return failed.failures == 1
}
