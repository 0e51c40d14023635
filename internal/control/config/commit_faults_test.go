package config

import (
	"strings"
	"testing"

	"github.com/go-faster/errors"

	"sagelever/internal/control/quorum"
)

// perItem returns a commit function that updates each item of a change on its own.
func perItem(update func(incoming quorum.Value) quorum.UpdateFunc) func(registerValues) quorum.DecideFunc {
	return func(changes registerValues) quorum.DecideFunc {
		return func(current registerValues) registerValues {
			next := registerValues{}
			for key, incoming := range changes {
				next[key] = update(incoming)(current[key])
			}
			return next
		}
	}
}

// Each of the following functions injects one fault.

func injectEveryChangeConfirmed(r *rules) {
	r.commit = perItem(KeepHighestVersion)
	r.outcome = func(_, _ registerValues) error { return nil }
}

func injectConflictRejectsOnlyItsItem(r *rules) {
	r.commit = perItem(func(incoming quorum.Value) quorum.UpdateFunc {
		return func(current quorum.Value) quorum.Value {
			if statusOf(current, incoming) == statusNewer {
				return supersede(current, incoming, noChangeDigest)
			}
			return current
		}
	})
}

func injectNoHistory(r *rules) {
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

func injectSupersededNotRecorded(r *rules) {
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

func injectConfirmedCheckedAgain(r *rules) {
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

func injectMatchKeysIgnored(r *rules) {
	r.check = func(index *Index, changes registerValues) error {
		index.routesByMatchKey = nameSets{}
		return index.Check(changes)
	}
}

func injectRoutesOfServiceIgnored(r *rules) {
	r.check = func(index *Index, changes registerValues) error {
		index.routesByService = nameSets{}
		return index.Check(changes)
	}
}

func injectMovedRouteSelfContained(r *rules) {
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

func injectSupersededNotChecked(r *rules) {
	r.check = func(index *Index, changes registerValues) error {
		for key, value := range changes {
			if statusOf(index.current[key], value) == statusSuperseded {
				return nil
			}
		}
		return index.Check(changes)
	}
}

func injectInterruptedAttemptIgnored(r *rules) {
	r.outcome = func(chosen, changes registerValues) error {
		err := Outcome(chosen, changes)
		if err != nil && partlyCommitted(chosen, changes) {
			return &ConflictError{}
		}
		return err
	}
}

// The checks of TestCommitSequences detect each injected fault, and the expected check is the one that fails.
func TestCommitSequencesFindFaults(t *testing.T) {
	const maxFaultSeeds = 3000
	for name, test := range map[string]struct {
		detectedBy string
		inject     func(r *rules)
	}{
		"every change is confirmed":                   {"two contents", injectEveryChangeConfirmed},
		"a conflict rejects only its own item":        {"had an effect", injectConflictRejectsOnlyItsItem},
		"histories are not kept":                      {"two contents", injectNoHistory},
		"superseded items are not recorded":           {"two contents", injectSupersededNotRecorded},
		"confirmed items are checked again":           {"a confirmed change is rejected", injectConfirmedCheckedAgain},
		"match keys are not compared":                 {"share host", injectMatchKeysIgnored},
		"routes of a deleted service are not checked": {"has no service", injectRoutesOfServiceIgnored},
		"a moved route is self-contained":             {"share host", injectMovedRouteSelfContained},
		"superseded items are not checked":            {"never existed", injectSupersededNotChecked},
		"an interrupted attempt is ignored":           {"partly in force", injectInterruptedAttemptIgnored},
	} {
		t.Run(name, func(t *testing.T) {
			r := defaultRules()
			test.inject(&r)
			for seed := range uint64(maxFaultSeeds) {
				violation := simulateOperators(seed, r)
				if violation == "" {
					continue
				}
				t.Logf("detected with seed %d: %s", seed, violation)
				if !strings.Contains(violation, test.detectedBy) {
					t.Errorf("detected by another check, want %q", test.detectedBy)
				}
				return
			}
			t.Errorf("not detected with %d seeds", maxFaultSeeds)
		})
	}
}
