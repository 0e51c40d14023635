package config

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"sagelever/internal/control/quorum"
)

// guardedStore is a store of registers in which changes are validated, and decided later.
type guardedStore struct{ registers map[string]quorum.Value }

// pendingChange is a change that was validated against the store as it was then.
type pendingChange struct {
	values map[string]quorum.Value
	guards *Guards
	err    error // of the check
}

func routeValue(version uint64, path, service string) quorum.Value {
	const format = `{"host":"a.example","pathStart":"/%s/","kind":"harmless","giveUp":"5s","service":"%s"}`
	return quorum.Value{Version: version, Body: fmt.Sprintf(format, path, service)}
}

func newGuardedStore() *guardedStore {
	return &guardedStore{registers: map[string]quorum.Value{
		Key(KindServices, "s"): {Version: 1, Body: `{"checkPath":"/h"}`},
		Key(KindServices, "z"): {Version: 1, Body: `{"checkPath":"/h"}`},
	}}
}

// check reads the guards and validates a change.
func (g *guardedStore) check(values map[string]quorum.Value) *pendingChange {
	pending := &pendingChange{values: values, guards: NewGuards(values)}
	read := map[string]quorum.Value{}
	for _, key := range pending.guards.Keys() {
		read[key] = g.registers[key]
	}
	pending.guards.SetRead(read)
	index := NewIndex()
	index.Update(maps.Clone(g.registers))
	pending.err = index.Check(values)
	return pending
}

// commit decides a change that was found valid, and reports whether it is confirmed.
func (g *guardedStore) commit(pending *pendingChange) (confirmed, overtaken bool) {
	maps.Copy(g.registers, pending.guards.Wrap(Commit(pending.values))(g.registers))
	if Outcome(g.registers, pending.values) == nil {
		return true, false
	}
	return false, pending.guards.Overtaken(g.registers)
}

// invalidity describes what is invalid in the configuration; empty if nothing is.
func (g *guardedStore) invalidity() string {
	places := map[string]string{}
	for _, key := range slices.Sorted(maps.Keys(g.registers)) {
		kind, name, ok := SplitKey(key)
		if !ok || kind != KindRoutes || g.registers[key].Deleted {
			continue
		}
		route, err := decodeRoute(name, g.registers[key])
		if err != nil {
			return err.Error()
		}
		if other, taken := places[route.matchKey()]; taken {
			return fmt.Sprintf("%s and %s are in one place", other, name)
		}
		places[route.matchKey()] = name
		if !exists(g.registers[Key(KindServices, route.Service)]) {
			return fmt.Sprintf("%s is without its service", name)
		}
	}
	return ""
}

// Guards against two changes that are valid each but not together (review/7): both are validated before either is decided.
// Changes that have nothing to do with each other don't have to be validated again.
func TestGuardedChanges(t *testing.T) {
	route := func(name, path, service string) map[string]quorum.Value {
		return map[string]quorum.Value{Key(KindRoutes, name): routeValue(5, path, service)}
	}
	removal := map[string]quorum.Value{Key(KindServices, "s"): {Version: 5, Deleted: true}}
	for _, tt := range []struct {
		name          string
		first, second map[string]quorum.Value
		wantOvertaken bool
	}{
		{"two routes in one place", route("a", "x", "s"), route("b", "x", "s"), true},
		{"a route whose service is removed", removal, route("b", "x", "s"), true},
		{"the removal of a service that a route has come to refer to", route("a", "x", "s"), removal, true},
		{"a route that moves to a place that is taken", route("a", "x", "s"), route("moving", "x", "z"), true},
		{"routes in different places", route("a", "x", "s"), route("b", "y", "s"), false},
	} {
		store := newGuardedStore()
		store.registers[Key(KindRoutes, "moving")] = routeValue(1, "before", "z")
		first, second := store.check(tt.first), store.check(tt.second)
		if first.err != nil || second.err != nil {
			t.Fatalf("%s: %v, %v", tt.name, first.err, second.err)
		}
		if confirmed, _ := store.commit(first); !confirmed {
			t.Errorf("%s: the first one is not confirmed", tt.name)
		}
		confirmed, overtaken := store.commit(second)
		if confirmed == tt.wantOvertaken || overtaken != tt.wantOvertaken {
			t.Errorf("%s: the second one is confirmed: %v, overtaken: %v", tt.name, confirmed, overtaken)
		}
		if repeated, _ := store.commit(first); !repeated {
			t.Errorf("%s: the first one is not confirmed again", tt.name)
		}
		if invalid := store.invalidity(); invalid != "" {
			t.Errorf("%s: %s", tt.name, invalid)
		}
	}
}

// For any changes that are validated and decided at any times, the configuration stays valid, and a change that competes with
// no other is confirmed at once.
func TestGuardedChangesInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := newGuardedStore()
		var pending []*pendingChange
		version := uint64(1)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			if len(pending) > 0 && rapid.Bool().Draw(t, "commit") {
				i := rapid.IntRange(0, len(pending)-1).Draw(t, "which")
				confirmed, overtaken := store.commit(pending[i])
				if !confirmed && !overtaken && len(pending) == 1 {
					t.Fatalf("a valid change is neither confirmed nor overtaken: %v", pending[i].values)
				}
				pending = slices.Delete(pending, i, i+1)
				if invalid := store.invalidity(); invalid != "" {
					t.Fatal(invalid)
				}
				continue
			}
			version++
			if change := store.check(drawChange(t, version)); change.err == nil {
				pending = append(pending, change)
			}
		}
	})
}

// drawChange draws a change of one to three items.
func drawChange(t *rapid.T, version uint64) map[string]quorum.Value {
	values := map[string]quorum.Value{}
	for range rapid.IntRange(1, 3).Draw(t, "items") {
		service := rapid.SampledFrom([]string{"s", "z"}).Draw(t, "service")
		switch rapid.IntRange(0, 3).Draw(t, "kind") {
		case 0:
			deleted := rapid.Bool().Draw(t, "deleted")
			values[Key(KindServices, service)] = quorum.Value{Version: version, Deleted: deleted, Body: `{"checkPath":"/h"}`}
		default:
			name := fmt.Sprint("r", rapid.IntRange(0, 3).Draw(t, "route"))
			path := fmt.Sprint("p", rapid.IntRange(0, 2).Draw(t, "path"))
			values[Key(KindRoutes, name)] = routeValue(version, path, service)
		}
	}
	return values
}

// A guard lists the last claims only. A change that was validated before all of them is validated again.
func TestGuardClaimsAreBounded(t *testing.T) {
	guard := quorum.Value{}
	for i := range 3 * maxGuardClaims {
		guard = addClaims(guard, []string{fmt.Sprint("p", i)})
	}
	listed := readGuardClaims(guard)
	if len(listed.claims) != maxGuardClaims || listed.since != guard.Version-maxGuardClaims {
		t.Errorf("%d claims since version %d of %d", len(listed.claims), listed.since, guard.Version)
	}
	other := []string{"other"}
	if claimedSince(guard, listed.since, other) || !claimedSince(guard, listed.since-1, other) {
		t.Error("the edge of what is listed")
	}
	if last := []string{fmt.Sprint("p", 3*maxGuardClaims-1)}; !claimedSince(guard, guard.Version-1, last) {
		t.Error("the last claim is not found")
	}
	many := make([]string, 2*maxGuardClaims)
	if next := addClaims(guard, many); !claimedSince(next, guard.Version, other) {
		t.Error("claims that are too many to be listed are passed over")
	}
	for _, body := range []string{"", "x", "1 p@", "1 p@x"} {
		if !claimedSince(quorum.Value{Version: 3, Body: body}, 2, other) {
			t.Errorf("the body %q counts as one without claims", body)
		}
	}
}
