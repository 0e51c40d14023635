package plan

import (
	"strings"

	"github.com/go-faster/errors"

	"sagelever/internal/control/quorum"
)

// Index is what is in force, laid out for the check of calls: a check costs by the size of the call. It follows the
// configuration and reads only the routes that have changed.
type Index struct {
	held   map[string]quorum.Value
	routes map[string]indexedRoute    // by name
	places map[string]map[string]bool // by host and prefix: the routes there
	users  map[string]map[string]bool // by service: the routes that name it
}

type indexedRoute struct {
	value    quorum.Value
	place    string
	services []string
}

// NewIndex is an index of nothing.
func NewIndex() *Index {
	return &Index{routes: map[string]indexedRoute{}, places: map[string]map[string]bool{}, users: map[string]map[string]bool{}}
}

// Follow takes up what is in force, by register.
func (x *Index) Follow(held map[string]quorum.Value) {
	x.held = held
	for name := range x.routes {
		if v := held[Key(Routes, name)]; v.Version == 0 || v.Gone {
			x.drop(name)
		}
	}
	for key, v := range held {
		kind, name, ok := SplitKey(key)
		if !ok || kind != Routes || v.Gone {
			continue
		}
		if was, known := x.routes[name]; known && was.value.Version == v.Version && was.value.Body == v.Body {
			continue
		}
		x.drop(name)
		if r, err := readRoute(name, v); err == nil { // it was checked when it was taken
			x.add(name, indexedRoute{v, r.place(), r.services()})
		}
	}
}

func (x *Index) add(name string, r indexedRoute) {
	x.routes[name] = r
	note(x.places, r.place, name)
	for _, s := range r.services {
		note(x.users, s, name)
	}
}

func (x *Index) drop(name string) {
	r, known := x.routes[name]
	if !known {
		return
	}
	delete(x.routes, name)
	strike(x.places, r.place, name)
	for _, s := range r.services {
		strike(x.users, s, name)
	}
}

func note(of map[string]map[string]bool, at, name string) {
	if of[at] == nil {
		of[at] = map[string]bool{}
	}
	of[at][name] = true
}

func strike(of map[string]map[string]bool, at, name string) {
	if delete(of[at], name); len(of[at]) == 0 {
		delete(of, at)
	}
}

func readRoute(name string, v quorum.Value) (*Route, error) {
	got, err := readItem(Routes, name, v.Body)
	if err != nil {
		return nil, errors.Wrapf(err, "%s %s", Routes, name)
	}
	return got.(*Route), nil
}

// place is what no two routes may share.
func (r *Route) place() string { return strings.ToLower(r.Host) + " " + r.PathStart }

// DependsOnOthers tells whether a call's validity depends on items that it doesn't set: routes name services, and a service
// that is dropped may be named. Any other call is valid by itself.
func DependsOnOthers(sent map[string]quorum.Value) bool {
	for key, v := range sent {
		kind, _, _ := SplitKey(key)
		if kind == Routes && !v.Gone || kind == Services && v.Gone {
			return true
		}
	}
	return false
}

// Check says whether a call may come into force over what is: every route of it names services that there are afterwards,
// no route is left without its service, and no two share host and prefix. What was confirmed before is not judged again by
// what is in force now: it is confirmed again, whatever came after it.
func (x *Index) Check(sent map[string]quorum.Value) error {
	places := map[string]string{}
	for key, v := range sent {
		kind, name, _ := SplitKey(key)
		var err error
		switch {
		case kind == Routes && !v.Gone:
			err = x.checkRoute(sent, places, key, name, v)
		case kind == Services && v.Gone && standingOf(x.held[key], v) == fresh:
			err = x.checkDropped(sent, name)
		}
		if err != nil && partlyInForce(x.held, sent) {
			return &Unclear{partOfCall + err.Error()}
		}
		if err != nil {
			return &Invalid{err}
		}
	}
	return nil
}

// checkRoute checks a route that is sent. One that has no effect is still invalid where it names a service that never was:
// it can't have been taken at any time. Where nothing is known of its version any more, that is all that can be said.
func (x *Index) checkRoute(sent map[string]quorum.Value, places map[string]string, key, name string, v quorum.Value) error {
	stands := standingOf(x.held[key], v)
	if stands == taken {
		return nil
	}
	r, err := readRoute(name, v)
	if err != nil {
		return err
	}
	for _, s := range r.services() {
		if !x.hasService(sent, s, stands) {
			return errors.Errorf("routes %s: names the unknown service %q", name, s)
		}
	}
	if stands != fresh {
		return nil
	}
	place := r.place()
	if other, shared := places[place]; shared {
		return errors.Errorf("routes %s and %s share host and prefix", other, name)
	}
	places[place] = name
	for other := range x.places[place] {
		if other != name && !x.replaced(sent, other) {
			return errors.Errorf("routes %s and %s share host and prefix", other, name)
		}
	}
	return nil
}

// hasService tells whether a route that stands so may name a service.
func (x *Index) hasService(sent map[string]quorum.Value, service string, stands standing) bool {
	key := Key(Services, service)
	v, inCall := sent[key]
	held := x.held[key]
	switch stands {
	case fresh:
		if inCall && v.Version > held.Version {
			held = v
		}
		return held.Version > 0 && !held.Gone
	case late:
		return held.Version > 0 && !held.Gone || inCall && !v.Gone
	}
	return held.Version > 0 || inCall && !v.Gone
}

// replaced tells whether the call sets a route anew that is in force.
func (x *Index) replaced(sent map[string]quorum.Value, route string) bool {
	key := Key(Routes, route)
	v, inCall := sent[key]
	return inCall && standingOf(x.held[key], v) == fresh
}

// checkDropped checks that no route stays without a service that is dropped; those of the call are checked by themselves.
func (x *Index) checkDropped(sent map[string]quorum.Value, service string) error {
	for route := range x.users[service] {
		if !x.replaced(sent, route) {
			return errors.Errorf("routes %s: is left without its service %q", route, service)
		}
	}
	return nil
}
