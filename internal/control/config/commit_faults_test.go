package config

import (
	"strings"
	"testing"

	"github.com/go-faster/errors"

	"sagelever/internal/control/quorum"
)

// perItem commits a change item by item, by a rule for one item.
func perItem(rule func(incoming quorum.Value) quorum.UpdateFunc) func(registerValues) quorum.DecideFunc {
	return func(changes registerValues) quorum.DecideFunc {
		return func(current registerValues) registerValues {
			next := registerValues{}
			for key, incoming := range changes {
				next[key] = rule(incoming)(current[key])
			}
			return next
		}
	}
}

// The planted faults, one rule each.

func plantSilentHighestVersion(r *rules) {
	r.commit = perItem(KeepHighestVersion)
	r.outcome = func(_, _ registerValues) error { return nil }
}

func plantConflictStopsOnlyItsItem(r *rules) {
	r.commit = perItem(func(incoming quorum.Value) quorum.UpdateFunc {
		return func(current quorum.Value) quorum.Value {
			if statusOf(current, incoming) == statusNewer {
				return supersede(current, incoming, 0)
			}
			return current
		}
	})
}

func plantNoHistory(r *rules) {
	r.commit = perItem(KeepHighestVersion)
	r.outcome = func(chosen, changes registerValues) error {
		for key, value := range changes {
			current := chosen[key]
			if current.Version == value.Version && statusOf(current, value) == statusConflict {
				return &ConflictError{}
			}
		}
		return nil
	}
}

func plantSupersededNotRecorded(r *rules) {
	r.commit = func(changes registerValues) quorum.DecideFunc {
		decide := Commit(changes)
		return func(current registerValues) registerValues {
			next := decide(current)
			for key, value := range next {
				if value.Version == current[key].Version {
					next[key] = current[key]
				}
			}
			return next
		}
	}
	r.outcome = func(chosen, changes registerValues) error {
		for key, value := range changes {
			if status := statusOf(chosen[key], value); status != statusConfirmed && status != statusSuperseded {
				return Outcome(chosen, changes)
			}
		}
		return nil
	}
}

func plantConfirmedCheckedAgain(r *rules) {
	r.selfContained = func(_, _ registerValues) bool { return false }
	r.check = func(index *Index, changes registerValues) error {
		for key, value := range changes {
			kind, name, _ := SplitKey(key)
			if !setsRoute(kind, value) {
				continue
			}
			route, _ := decodeRoute(name, value)
			for _, service := range route.serviceNames() {
				if !index.serviceAvailable(changes, service, statusNewer) {
					return &InvalidError{Err: errors.New("unknown service")}
				}
			}
		}
		return index.Check(changes)
	}
}

func plantMatchKeysIgnored(r *rules) {
	r.check = func(index *Index, changes registerValues) error {
		index.routesByMatchKey = nameSets{}
		return index.Check(changes)
	}
}

func plantServiceUsersIgnored(r *rules) {
	r.check = func(index *Index, changes registerValues) error {
		index.routesByService = nameSets{}
		return index.Check(changes)
	}
}

func plantMovedRouteSelfContained(r *rules) {
	r.selfContained = func(current, changes registerValues) bool {
		for key, value := range changes {
			kind, name, _ := SplitKey(key)
			if !setsRoute(kind, value) || statusOf(current[key], value) != statusNewer || !exists(current[key]) {
				return false
			}
			currentRoute, _ := decodeRoute(name, current[key])
			if route, _ := decodeRoute(name, value); route.Service != currentRoute.Service {
				return false
			}
		}
		return true
	}
}

func plantSupersededNotChecked(r *rules) {
	r.check = func(index *Index, changes registerValues) error {
		for key, value := range changes {
			if statusOf(index.current[key], value) == statusSuperseded {
				return nil
			}
		}
		return index.Check(changes)
	}
}

func plantInterruptedAttemptIgnored(r *rules) {
	r.outcome = func(chosen, changes registerValues) error {
		err := Outcome(chosen, changes)
		if err != nil && partlyCommitted(chosen, changes) {
			return &ConflictError{}
		}
		return err
	}
}

// The checks of TestCommitSequences find each planted fault, and by the check that is meant to.
func TestCommitSequencesFindFaults(t *testing.T) {
	for name, x := range map[string]struct {
		foundBy string
		plant   func(r *rules)
	}{
		"the highest version prevails silently": {"two contents", plantSilentHighestVersion},
		"a conflict stops only its own item":    {"changed something", plantConflictStopsOnlyItsItem},
		"histories are not kept":                {"two contents", plantNoHistory},
		"superseded items are not recorded":     {"two contents", plantSupersededNotRecorded},
		"confirmed items are checked again":     {"a confirmed change is rejected", plantConfirmedCheckedAgain},
		"match keys are ignored":                {"share host", plantMatchKeysIgnored},
		"users of a service are ignored":        {"has no service", plantServiceUsersIgnored},
		"a moved route is self-contained":       {"share host", plantMovedRouteSelfContained},
		"superseded items are not checked":      {"never was", plantSupersededNotChecked},
		"an interrupted attempt is ignored":     {"partly in force", plantInterruptedAttemptIgnored},
	} {
		t.Run(name, func(t *testing.T) {
			r := currentRules()
			x.plant(&r)
			for seed := range uint64(3000) {
				wrong := playOperators(seed, r)
				if wrong == "" {
					continue
				}
				t.Logf("found by seed %d: %s", seed, wrong)
				if !strings.Contains(wrong, x.foundBy) {
					t.Error("found by another check than the one that should")
				}
				return
			}
			t.Error("not found in 3000 runs")
		})
	}
}
