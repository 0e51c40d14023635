package config

import (
	"strings"

	"github.com/go-faster/errors"

	"sagelever/internal/control/quorum"
)

// Index is what is in force, laid out for the check of calls: a check costs by the size of the call. It follows the
// configuration and reads only the routes that have changed.
type Index struct {
	current          map[string]quorum.Value
	routes           map[string]indexedRoute    // by name
	routesByMatchKey map[string]map[string]bool // by host and prefix: the routes there
	routesByService  map[string]map[string]bool // by service: the routes that name it
}

type indexedRoute struct {
	value        quorum.Value
	matchKey     string
	serviceNames []string
}

// NewIndex is an index of nothing.
func NewIndex() *Index {
	return &Index{routes: map[string]indexedRoute{}, routesByMatchKey: map[string]map[string]bool{}, routesByService: map[string]map[string]bool{}}
}

// Update takes up what is in force, by register.
func (x *Index) Update(current map[string]quorum.Value) {
	x.current = current
	for name := range x.routes {
		if value := current[Key(KindRoutes, name)]; value.Version == 0 || value.Deleted {
			x.remove(name)
		}
	}
	for key, value := range current {
		kind, name, ok := SplitKey(key)
		if !ok || kind != KindRoutes || value.Deleted {
			continue
		}
		if indexed, known := x.routes[name]; known && indexed.value.Version == value.Version && indexed.value.Body == value.Body {
			continue
		}
		x.remove(name)
		if route, err := decodeRoute(name, value); err == nil { // it was checked when it was taken
			x.add(name, indexedRoute{value, route.matchKey(), route.serviceNames()})
		}
	}
}

func (x *Index) add(name string, route indexedRoute) {
	x.routes[name] = route
	addToSet(x.routesByMatchKey, route.matchKey, name)
	for _, service := range route.serviceNames {
		addToSet(x.routesByService, service, name)
	}
}

func (x *Index) remove(name string) {
	route, known := x.routes[name]
	if !known {
		return
	}
	delete(x.routes, name)
	removeFromSet(x.routesByMatchKey, route.matchKey, name)
	for _, service := range route.serviceNames {
		removeFromSet(x.routesByService, service, name)
	}
}

func addToSet(sets map[string]map[string]bool, key, name string) {
	if sets[key] == nil {
		sets[key] = map[string]bool{}
	}
	sets[key][name] = true
}

func removeFromSet(sets map[string]map[string]bool, key, name string) {
	if delete(sets[key], name); len(sets[key]) == 0 {
		delete(sets, key)
	}
}

func decodeRoute(name string, value quorum.Value) (*RouteBody, error) {
	body, err := ReadBody(KindRoutes, name, value.Body)
	if err != nil {
		return nil, errors.Wrapf(err, "%s %s", KindRoutes, name)
	}
	return body.(*RouteBody), nil
}

// matchKey is what no two routes may share.
func (r *RouteBody) matchKey() string { return strings.ToLower(r.Host) + " " + r.PathPrefix }

// DependsOnOtherItems tells whether a call's validity depends on items that it doesn't set: routes name services, and a service
// that is dropped may be named. Any other call is valid by itself.
func DependsOnOtherItems(changes map[string]quorum.Value) bool {
	for key, value := range changes {
		kind, _, _ := SplitKey(key)
		if kind == KindRoutes && !value.Deleted || kind == KindServices && value.Deleted {
			return true
		}
	}
	return false
}

// Check says whether a call may come into force over what is: every route of it names services that there are afterwards,
// no route is left without its service, and no two share host and prefix. What was confirmed before is not judged again by
// what is in force now: it is confirmed again, whatever came after it.
func (x *Index) Check(changes map[string]quorum.Value) error {
	matchKeys := map[string]string{}
	for key, value := range changes {
		kind, name, _ := SplitKey(key)
		var err error
		switch {
		case kind == KindRoutes && !value.Deleted:
			err = x.checkRoute(changes, matchKeys, key, name, value)
		case kind == KindServices && value.Deleted && statusOf(x.current[key], value) == statusNewer:
			err = x.checkRemovedService(changes, name)
		}
		if err != nil && partlyCommitted(x.current, changes) {
			return &IndeterminateError{partlyCommittedReason + err.Error()}
		}
		if err != nil {
			return &InvalidError{err}
		}
	}
	return nil
}

// checkRoute checks a route that is sent. One that has no effect is still invalid where it names a service that never was:
// it can't have been taken at any time. Where nothing is known of its version any more, that is all that can be said.
func (x *Index) checkRoute(changes map[string]quorum.Value, matchKeys map[string]string, key, name string, value quorum.Value) error {
	status := statusOf(x.current[key], value)
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
	matchKey := route.matchKey()
	if other, shared := matchKeys[matchKey]; shared {
		return errors.Errorf("routes %s and %s share host and prefix", other, name)
	}
	matchKeys[matchKey] = name
	for other := range x.routesByMatchKey[matchKey] {
		if other != name && !x.isReplaced(changes, other) {
			return errors.Errorf("routes %s and %s share host and prefix", other, name)
		}
	}
	return nil
}

// serviceAvailable tells whether a route that stands so may name a service.
func (x *Index) serviceAvailable(changes map[string]quorum.Value, service string, status itemStatus) bool {
	key := Key(KindServices, service)
	incoming, changed := changes[key]
	current := x.current[key]
	switch status {
	case statusNewer:
		if changed && incoming.Version > current.Version {
			current = incoming
		}
		return current.Version > 0 && !current.Deleted
	case statusSuperseded:
		return current.Version > 0 && !current.Deleted || changed && !incoming.Deleted
	}
	return current.Version > 0 || changed && !incoming.Deleted
}

// isReplaced tells whether the call sets a route anew that is in force.
func (x *Index) isReplaced(changes map[string]quorum.Value, route string) bool {
	key := Key(KindRoutes, route)
	incoming, changed := changes[key]
	return changed && statusOf(x.current[key], incoming) == statusNewer
}

// checkRemovedService checks that no route stays without a service that is dropped; those of the call are checked by themselves.
func (x *Index) checkRemovedService(changes map[string]quorum.Value, service string) error {
	for route := range x.routesByService[service] {
		if !x.isReplaced(changes, route) {
			return errors.Errorf("routes %s: is left without its service %q", route, service)
		}
	}
	return nil
}
