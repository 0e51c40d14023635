package config

import (
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
	"strconv"
	"strings"

	"sagelever/internal/control/quorum"
)

// GuardKeyPrefix is the prefix of the keys of guard registers. They are no items of the configuration.
const GuardKeyPrefix = "guard/"

const (
	// guardCount is the number of guard registers.
	guardCount = 256

	// maxGuardClaims bounds the claims that a guard lists.
	maxGuardClaims = 32
)

// anyPlace is the claim of a change that removes a service: any route may refer to the service by now.
const anyPlace = "*"

// Guards make changes serializable whose validity depends on items that they don't set: two routes may not have the same host
// and path prefix, and a route may not refer to a service that is removed (optimistic concurrency control). A change is
// validated against a configuration that was read after its guards, and its round has an effect only if no change that it may
// be invalid with has changed one of them since.
//
// A guard is a register for the places, which are pairs of a host and a path prefix, with one hash. It lists the places
// that the last changes have claimed. A change claims the places of the routes that it sets, and all places if it removes a
// service.
type Guards struct {
	changes map[string]quorum.Value
	claims  map[string][]string     // by key of the guard: the hashes of places, or anyPlace
	read    map[string]quorum.Value // the values of the guards before the change was validated
}

// NewGuards returns the guards of a change, whose values are still to be read.
func NewGuards(changes map[string]quorum.Value) *Guards {
	guards := &Guards{changes: changes, claims: map[string][]string{}}
	for key, value := range changes {
		kind, name, _ := SplitKey(key)
		switch {
		case kind == KindServices && value.Deleted:
			guards.claimAll()
			return guards
		case setsRoute(kind, value):
			if route, err := decodeRoute(name, value); err == nil { // an invalid route is refused
				guards.claim(route.matchKey())
			}
		}
	}
	return guards
}

func (g *Guards) claim(matchKey string) {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(matchKey)) // cannot fail
	key := guardKey(hash.Sum32() % guardCount)
	g.claims[key] = append(g.claims[key], strconv.FormatUint(uint64(hash.Sum32()), 36))
}

func (g *Guards) claimAll() {
	for number := range uint32(guardCount) {
		g.claims[guardKey(number)] = []string{anyPlace}
	}
}

func guardKey(number uint32) string { return fmt.Sprintf("%s%02x", GuardKeyPrefix, number) }

// Keys returns the keys of the guards, sorted.
func (g *Guards) Keys() []string { return slices.Sorted(maps.Keys(g.claims)) }

// SetRead sets the values of the guards. They may be old, but must not be newer than the configuration against which the
// change is validated.
func (g *Guards) SetRead(values map[string]quorum.Value) { g.read = values }

// Wrap returns a decision of the change that has no effect if the change has to be validated again, and otherwise claims its
// places.
func (g *Guards) Wrap(decide quorum.DecideFunc) quorum.DecideFunc {
	return func(current map[string]quorum.Value) map[string]quorum.Value {
		if g.Overtaken(current) {
			return nil
		}
		next := decide(current)
		if next == nil || allConfirmed(current, g.changes) {
			return next
		}
		for key, claims := range g.claims {
			next[key] = addClaims(current[key], claims)
		}
		return next
	}
}

// Overtaken reports whether the change has to be validated again, given the current values of the guards: another change has
// claimed one of its places since they were read.
func (g *Guards) Overtaken(current map[string]quorum.Value) bool {
	for key, claims := range g.claims {
		if claimedSince(current[key], g.read[key].Version, claims) {
			return true
		}
	}
	return false
}

// guardClaims is the body of a guard: a version, and the claims with higher versions, each with its version.
type guardClaims struct {
	since  uint64
	claims []guardClaim
}

type guardClaim struct {
	place   string
	version uint64
}

// readGuardClaims decodes the body of a guard: "SINCE PLACE@VERSION ...". An invalid body lists no claims.
func readGuardClaims(value quorum.Value) guardClaims {
	if value.Version == 0 {
		return guardClaims{}
	}
	unknown := guardClaims{since: value.Version}
	words := strings.Fields(value.Body)
	if len(words) == 0 {
		return unknown
	}
	since, err := strconv.ParseUint(words[0], 10, 64)
	if err != nil {
		return unknown
	}
	listed := guardClaims{since: since}
	for _, word := range words[1:] {
		place, text, _ := strings.Cut(word, "@")
		version, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return unknown
		}
		listed.claims = append(listed.claims, guardClaim{place, version})
	}
	return listed
}

// claimedSince reports whether one of the given places, or all, may have been claimed above a version of a guard.
func claimedSince(current quorum.Value, version uint64, places []string) bool {
	if current.Version == version {
		return false
	}
	listed := readGuardClaims(current)
	if version < listed.since || slices.Contains(places, anyPlace) {
		return true
	}
	return slices.ContainsFunc(listed.claims, func(claim guardClaim) bool {
		return claim.version > version && (claim.place == anyPlace || slices.Contains(places, claim.place))
	})
}

// addClaims returns the next value of a guard, with more claims. The oldest claims beyond maxGuardClaims are left out.
func addClaims(current quorum.Value, places []string) quorum.Value {
	listed := readGuardClaims(current)
	next := current.Version + 1
	for _, place := range places {
		listed.claims = append(listed.claims, guardClaim{place, next})
	}
	if excess := len(listed.claims) - maxGuardClaims; excess > 0 {
		listed.since = listed.claims[excess-1].version
		listed.claims = slices.DeleteFunc(listed.claims, func(c guardClaim) bool { return c.version <= listed.since })
	}
	words := []string{strconv.FormatUint(listed.since, 10)}
	for _, claim := range listed.claims {
		words = append(words, claim.place+"@"+strconv.FormatUint(claim.version, 10))
	}
	return quorum.Value{Version: next, Body: strings.Join(words, " ")}
}
