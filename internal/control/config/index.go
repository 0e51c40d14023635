package config

import (
	"github.com/go-faster/errors"

	"sagelever/internal/control/quorum"
)

// Index indexes the configuration in force, so that the cost of checking a change depends on the size of the change and
// not on that of the configuration. It is not safe for concurrent use.
type Index struct {
	current          map[string]quorum.Value // by register key
	routes           map[string]indexedRoute // by name
	routesByMatchKey nameSets                // names of routes by match key; one each if every change passed Check
	routesByService  nameSets                // names of routes by the services that they refer to
}

// indexedRoute is a route as of the last Update that read it.
type indexedRoute struct {
	value        quorum.Value
	matchKey     string
	serviceNames []string
}

// NewIndex returns the index of an empty configuration.
func NewIndex() *Index {
	return &Index{routes: map[string]indexedRoute{}, routesByMatchKey: nameSets{}, routesByService: nameSets{}}
}

// Update updates the index to the configuration in force, given by register key. It decodes only the routes that have
// changed. The index retains the map, which must not be modified before the next Update.
func (x *Index) Update(current map[string]quorum.Value) {
	x.current = current
	for name := range x.routes {
		if !exists(current[Key(KindRoutes, name)]) {
			x.remove(name)
		}
	}
	for key, value := range current {
		kind, name, ok := SplitKey(key)
		if !ok || !setsRoute(kind, value) {
			continue
		}
		indexed, known := x.routes[name]
		if known && indexed.value.Version == value.Version && indexed.value.Body == value.Body {
			continue
		}
		x.remove(name)
		if route, err := decodeRoute(name, value); err == nil { // committed routes are valid
			x.add(name, indexedRoute{value: value, matchKey: route.matchKey(), serviceNames: route.serviceNames()})
		}
	}
}

func (x *Index) add(name string, route indexedRoute) {
	x.routes[name] = route
	x.routesByMatchKey.add(route.matchKey, name)
	for _, service := range route.serviceNames {
		x.routesByService.add(service, name)
	}
}

func (x *Index) remove(name string) {
	route, known := x.routes[name]
	if !known {
		return
	}
	delete(x.routes, name)
	x.routesByMatchKey.remove(route.matchKey, name)
	for _, service := range route.serviceNames {
		x.routesByService.remove(service, name)
	}
}

// nameSets are sets of names by key. No set is empty.
type nameSets map[string]map[string]bool

func (sets nameSets) add(key, name string) {
	if sets[key] == nil {
		sets[key] = map[string]bool{}
	}
	sets[key][name] = true
}

func (sets nameSets) remove(key, name string) {
	delete(sets[key], name)
	if len(sets[key]) == 0 {
		delete(sets, key)
	}
}

// Check checks a change against the configuration in force. With the change applied, every route of the change must
// refer to existing services, no route in force may refer to a deleted service, and no two routes may have the same
// host and path prefix.
//
// Items that were already confirmed are not checked, as they are confirmed again even if the configuration has changed
// since. The error is an *InvalidError, or an *IndeterminateError if an earlier attempt at the change has taken effect
// in part.
func (x *Index) Check(changes map[string]quorum.Value) error {
	claimed := map[string]string{}
	for key, value := range changes {
		err := x.checkItem(changes, claimed, key, value)
		if err != nil && partlyCommitted(x.current, changes) {
			return &IndeterminateError{Reason: partlyCommittedReason + err.Error()}
		}
		if err != nil {
			return &InvalidError{Err: err}
		}
	}
	return nil
}

// checkItem checks one item of a change. claimed holds the names of the change's routes that were checked so far, by
// match key.
func (x *Index) checkItem(
	changes map[string]quorum.Value, claimed map[string]string, key string, value quorum.Value,
) error {
	kind, name, _ := SplitKey(key)
	switch {
	case setsRoute(kind, value):
		return x.checkRoute(changes, claimed, name, value)
	case removesService(kind, x.current[key], value):
		return x.checkRemovedService(changes, name)
	}
	return nil
}

// checkRoute checks a route of a change. A route that would have no effect is still invalid if it refers to a service
// that never existed, because it was not valid at any time. For a version that the history no longer covers, this is
// the only check.
func (x *Index) checkRoute(
	changes map[string]quorum.Value, claimed map[string]string, name string, value quorum.Value,
) error {
	status := statusOf(x.current[Key(KindRoutes, name)], value)
	if status == statusConfirmed {
		return nil
	}
	route, err := decodeRoute(name, value)
	if err != nil {
		return err
	}
	for _, service := range route.serviceNames() {
		if !x.serviceAvailable(changes, service, status) {
			return errors.Errorf("routes %s: names the unknown service %q", name, service)
		}
	}
	if status != statusNewer {
		return nil
	}
	return x.checkMatchKey(changes, claimed, name, route.matchKey())
}

// checkMatchKey checks that no other route has the match key of a route that takes effect, and adds the key to claimed.
func (x *Index) checkMatchKey(
	changes map[string]quorum.Value, claimed map[string]string, name, matchKey string,
) error {
	const format = "routes %s and %s share host and prefix"
	if other, shared := claimed[matchKey]; shared {
		return errors.Errorf(format, other, name)
	}
	claimed[matchKey] = name
	for other := range x.routesByMatchKey[matchKey] {
		if other != name && !x.isReplaced(changes, other) {
			return errors.Errorf(format, other, name)
		}
	}
	return nil
}

// serviceAvailable reports whether a route of a change may refer to a service, given the status of the route.
func (x *Index) serviceAvailable(changes map[string]quorum.Value, service string, status itemStatus) bool {
	key := Key(KindServices, service)
	current := x.current[key]
	incoming, changed := changes[key]
	setByChange := changed && !incoming.Deleted
	switch status {
	case statusNewer:
		if changed && incoming.Version > current.Version {
			return exists(incoming)
		}
		return exists(current)
	case statusSuperseded:
		return exists(current) || setByChange
	}
	return current.Version > 0 || setByChange
}

// isReplaced reports whether a change replaces or deletes a route that is in force.
func (x *Index) isReplaced(changes map[string]quorum.Value, route string) bool {
	key := Key(KindRoutes, route)
	incoming, changed := changes[key]
	return changed && statusOf(x.current[key], incoming) == statusNewer
}

// checkRemovedService checks that no route in force still refers to a service that the change deletes. The routes of
// the change itself are checked by checkRoute.
func (x *Index) checkRemovedService(changes map[string]quorum.Value, service string) error {
	for route := range x.routesByService[service] {
		if !x.isReplaced(changes, route) {
			return errors.Errorf("routes %s: is left without its service %q", route, service)
		}
	}
	return nil
}
