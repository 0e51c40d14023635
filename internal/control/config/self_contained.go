package config

import (
	"maps"
	"slices"

	"sagelever/internal/control/quorum"
)

// isSelfContained reports whether a change is valid by the current values of its own registers and by the known
// services alone, so that no other part of the configuration has to be read to check it. That is so if every route
// keeps its host and path prefix, and each service it names is known or was already named by the route in force.
// Changes of weights, timeouts and services are of this kind.
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
// is false if the change cannot be self-contained, whatever services exist.
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

// addedServices returns the services that an incoming route names and the current one does not. inPlace is false if the
// route is new or changes its host or path prefix, or if it has an older version that may have to be checked.
func addedServices(name string, current, incoming quorum.Value) (added []string, inPlace bool) {
	switch statusOf(current, incoming) {
	case statusConfirmed, statusConflict:
		return nil, true // nothing to check: it is confirmed again, or the change is a conflict
	case statusSuperseded, statusForgotten:
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

// CommitSelfContained returns the rule of Commit for a change that was found to be self-contained. If by now, given the
// current values of its registers, the change is not, it has no effect and must be checked by an Index.
func CommitSelfContained(known, changes map[string]quorum.Value) quorum.DecideFunc {
	commit := Commit(changes)
	return func(current map[string]quorum.Value) map[string]quorum.Value {
		if !isSelfContained(current, known, changes) {
			return nil
		}
		return commit(current)
	}
}
