package config

import (
	"maps"
	"slices"

	"sagelever/internal/control/quorum"
)

// IsSelfContained tells whether a call is valid by what its own registers hold and by services that are known, so that nothing
// else has to be read: a route that stays in its place shares no place that it did not share, and the services that it names
// are known, or were named by what stands. Weights, times and services change so.
func IsSelfContained(current, known, changes map[string]quorum.Value) bool {
	for key, value := range changes {
		switch kind, name, _ := SplitKey(key); {
		case kind == KindServices && value.Deleted && statusOf(current[key], value) == statusNewer:
			return false
		case kind != KindRoutes || value.Deleted:
		default:
			missing, inPlace := newlyNamedServices(name, current[key], value)
			if !inPlace || slices.ContainsFunc(missing, func(service string) bool { return !serviceExists(known, service) }) {
				return false
			}
		}
	}
	return true
}

// RequiredServices are the registers of services that have to be known for a call to stand alone; alone is false where it can't.
func RequiredServices(current, changes map[string]quorum.Value) (keys []string, ok bool) {
	required := map[string]bool{}
	for key, value := range changes {
		switch kind, name, _ := SplitKey(key); {
		case kind == KindServices && value.Deleted && statusOf(current[key], value) == statusNewer:
			return nil, false
		case kind == KindRoutes && !value.Deleted:
			missing, inPlace := newlyNamedServices(name, current[key], value)
			if !inPlace {
				return nil, false
			}
			for _, service := range missing {
				required[Key(KindServices, service)] = true
			}
		}
	}
	return slices.Sorted(maps.Keys(required)), true
}

func serviceExists(known map[string]quorum.Value, service string) bool {
	value := known[Key(KindServices, service)]
	return value.Version > 0 && !value.Deleted
}

// newlyNamedServices are the services that a route names anew; stays is false where it does not stay in its place, or has an older
// version that may have to be judged.
func newlyNamedServices(name string, current, incoming quorum.Value) (missing []string, inPlace bool) {
	switch statusOf(current, incoming) {
	case statusConfirmed, statusConflict:
		return nil, true // nothing of it is judged: it is confirmed again, or the call is a conflict
	case statusSuperseded, statusForgotten:
		return nil, false
	}
	if current.Version == 0 || current.Deleted {
		return nil, false
	}
	currentRoute, err := decodeRoute(name, current)
	if err != nil {
		return nil, false
	}
	incomingRoute, err := decodeRoute(name, incoming)
	if err != nil || incomingRoute.matchKey() != currentRoute.matchKey() {
		return nil, false
	}
	currentServices := currentRoute.serviceNames()
	for _, service := range incomingRoute.serviceNames() {
		if !slices.Contains(currentServices, service) {
			missing = append(missing, service)
		}
	}
	return missing, true
}

// CommitSelfContained is Settle for a call that stands alone by what its registers hold; over others it changes nothing, and the call
// has to be checked by all that is in force.
func CommitSelfContained(known, changes map[string]quorum.Value) quorum.DecideFunc {
	commit := Commit(changes)
	return func(current map[string]quorum.Value) map[string]quorum.Value {
		if !IsSelfContained(current, known, changes) {
			return nil
		}
		return commit(current)
	}
}
