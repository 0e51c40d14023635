package config

import (
	"maps"
	"slices"

	"sagelever/internal/control/quorum"
)

// isSelfContained reports whether the validity of a change follows from the current values of its own registers and
// from the known services, so that no other part of the configuration has to be read to check it. The conditions are
// that the change deletes no service, that every route keeps its host and path prefix, and that every service of a
// route is known or is one that the route in force already refers to. Changes of weights and timeouts, and new settings
// of a service, are typically self-contained.
func isSelfContained(current, known, changes map[string]quorum.Value) bool {
	unknown := func(service string) bool { return !exists(known[Key(KindServices, service)]) }
	for key, value := range changes {
		kind, name, _ := SplitKey(key)
		if removesService(kind, current[key], value) {
			return false
		}
		if !setsRoute(kind, value) {
			continue
		}
		added, inPlace := addedServices(name, current[key], value)
		if !inPlace || slices.ContainsFunc(added, unknown) {
			return false
		}
	}
	return true
}

// RequiredServices returns the register keys of the services that must be known for a change to be self-contained. ok
// is false if the change is not self-contained even if all services exist.
func RequiredServices(current, changes map[string]quorum.Value) (keys []string, ok bool) {
	required := map[string]bool{}
	for key, value := range changes {
		kind, name, _ := SplitKey(key)
		if removesService(kind, current[key], value) {
			return nil, false
		}
		if !setsRoute(kind, value) {
			continue
		}
		added, inPlace := addedServices(name, current[key], value)
		if !inPlace {
			return nil, false
		}
		for _, service := range added {
			required[Key(KindServices, service)] = true
		}
	}
	return slices.Sorted(maps.Keys(required)), true
}

// addedServices returns the services that an incoming route refers to and the current one does not. inPlace is false if
// the route is new, if its host or path prefix changes, or if it has an older version that may have to be checked.
func addedServices(name string, current, incoming quorum.Value) (added []string, inPlace bool) {
	switch statusOf(current, incoming) {
	case statusConfirmed, statusConflict:
		return nil, true // needs no check: the item is confirmed again, or the change is rejected as a conflict
	case statusSuperseded, statusUnknown:
		return nil, false
	}
	if !exists(current) {
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
			added = append(added, service)
		}
	}
	return added, true
}

// CommitSelfContained is Commit for a change that was found to be self-contained. If the change is no longer
// self-contained, given the current values of its registers, it has no effect and must be checked by an Index.
func CommitSelfContained(known, changes map[string]quorum.Value) quorum.DecideFunc {
	commit := Commit(changes)
	return func(current map[string]quorum.Value) map[string]quorum.Value {
		if !isSelfContained(current, known, changes) {
			return nil
		}
		return commit(current)
	}
}
