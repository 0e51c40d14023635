package config

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"

	"github.com/go-faster/errors"

	"sagelever/internal/control/quorum"
)

// registerValues are values by register key: those of a change, or those that the registers store.
type registerValues = map[string]quorum.Value

// rules are the functions that check and commit a change. Tests replace some of them to inject a fault.
type rules struct {
	commit        func(changes registerValues) quorum.DecideFunc
	check         func(index *Index, changes registerValues) error
	outcome       func(chosen, changes registerValues) error
	selfContained func(current, changes registerValues) bool
}

func defaultRules() rules {
	return rules{
		commit:  Commit,
		check:   (*Index).Check,
		outcome: Outcome,
		selfContained: func(current, changes registerValues) bool {
			return isSelfContained(current, current, changes)
		},
	}
}

// operatorModel is a configuration together with the responses that operators got to their changes.
type operatorModel struct {
	rules
	registers        registerValues
	confirmed        map[string]string // confirmed contents by itemVersion
	confirmedChanges []registerValues
	interrupted      map[string]bool // changes with an interrupted attempt, by ChangeText
	services         map[string]bool // services that were in force or confirmed at any time
}

func newOperatorModel(r rules) *operatorModel {
	return &operatorModel{
		rules:       r,
		registers:   registerValues{},
		confirmed:   map[string]string{},
		interrupted: map[string]bool{},
		services:    map[string]bool{},
	}
}

func contentText(value quorum.Value) string { return fmt.Sprint(value.Deleted, " ", value.Body) }

func itemVersion(key string, value quorum.Value) string { return fmt.Sprint(key, " ", value.Version) }

// send sends a change and checks the response against all earlier ones. If committed is not nil, the attempt is
// interrupted, and only the items for which committed is true take effect. send returns a description of the violated
// invariant, or "".
func (m *operatorModel) send(changes registerValues, committed func(key string) bool) (violation string) {
	index := NewIndex()
	index.Update(m.registers)
	before := maps.Clone(m.registers)
	var err error
	if !m.selfContained(m.registers, changes) {
		err = m.check(index, changes)
	}
	if err == nil {
		decided := m.commit(changes)(m.registers)
		if committed != nil {
			maps.DeleteFunc(decided, func(key string, _ quorum.Value) bool { return !committed(key) })
			maps.Copy(m.registers, decided)
			m.interrupted[ChangeText(changes)] = true
			m.recordServices(changes) // the change was valid, but its routes may take effect before its services
			return ""
		}
		maps.Copy(m.registers, decided)
		err = m.outcome(m.registers, changes)
	}
	m.recordServices(m.registers)
	if err == nil {
		m.recordServices(changes)
		return m.checkConfirmed(changes)
	}
	return m.checkNotConfirmed(before, changes, err)
}

func (m *operatorModel) recordServices(values registerValues) {
	for key, value := range values {
		if kind, name, _ := SplitKey(key); kind == KindServices && !value.Deleted {
			m.services[name] = true
		}
	}
}

func (m *operatorModel) checkConfirmed(changes registerValues) (violation string) {
	for key, value := range changes {
		item := itemVersion(key, value)
		if earlier, known := m.confirmed[item]; known && earlier != contentText(value) {
			return fmt.Sprintf("two contents of %s are confirmed: %s and %s", item, earlier, contentText(value))
		}
		m.confirmed[item] = contentText(value)
		current := m.registers[key]
		differs := current.Version == value.Version && contentText(current) != contentText(value)
		if current.Version < value.Version || differs {
			return fmt.Sprintf("%s is confirmed but not in force: %+v", item, current)
		}
		if violation := m.checkServicesExisted(key, value); violation != "" {
			return violation
		}
	}
	m.confirmedChanges = append(m.confirmedChanges, changes)
	if len(m.interrupted) > 0 {
		return "" // an interrupted change may stay in force in part until it is sent again
	}
	return m.checkConsistent()
}

// checkServicesExisted checks that each service of a confirmed route has existed at some time.
func (m *operatorModel) checkServicesExisted(key string, value quorum.Value) (violation string) {
	kind, name, _ := SplitKey(key)
	if !setsRoute(kind, value) {
		return ""
	}
	route, _ := decodeRoute(name, value)
	for _, service := range route.serviceNames() {
		if !m.services[service] {
			return fmt.Sprintf("%s is confirmed with service %s, which never existed", itemVersion(key, value), service)
		}
	}
	return ""
}

// checkConsistent checks that match keys in force are unique and that all services of routes exist.
func (m *operatorModel) checkConsistent() (violation string) {
	matchKeys := map[string]bool{}
	for key, value := range m.registers {
		kind, name, _ := SplitKey(key)
		if !setsRoute(kind, value) {
			continue
		}
		route, _ := decodeRoute(name, value)
		if matchKeys[route.matchKey()] {
			return "two routes share host and prefix"
		}
		matchKeys[route.matchKey()] = true
		for _, service := range route.serviceNames() {
			if stored := m.registers[Key(KindServices, service)]; stored.Version == 0 || stored.Deleted {
				return name + " has no service"
			}
		}
	}
	return ""
}

func (m *operatorModel) checkNotConfirmed(before, changes registerValues, err error) (violation string) {
	if _, indeterminate := errors.Into[*IndeterminateError](err); indeterminate {
		return ""
	}
	for _, earlier := range m.confirmedChanges {
		if ChangeText(earlier) == ChangeText(changes) {
			return "a confirmed change is rejected: " + err.Error()
		}
	}
	for key, value := range changes {
		current := m.registers[key]
		if contentText(before[key]) != contentText(current) || before[key].Version != current.Version {
			return "a rejected change had an effect"
		}
		item := itemVersion(key, value)
		inForce := statusOf(current, value) == statusConfirmed
		if inForce && m.interrupted[ChangeText(changes)] && m.confirmed[item] == "" {
			past := decodeHistory(current)
			if current.Version == value.Version && past.changeDigest == changeDigest(changes) {
				return "a rejected change is partly in force: " + item
			}
		}
	}
	return ""
}

// randomChange draws a change of one to three items from a small set of names, versions and contents.
func randomChange(rng *rand.Rand) registerValues {
	changes := registerValues{}
	version := 1 + rng.Uint64N(14)
	for range 1 + rng.IntN(3) {
		value := quorum.Value{Version: version, Deleted: rng.IntN(6) == 0}
		if rng.IntN(2) == 0 {
			if !value.Deleted {
				value.Body = fmt.Sprintf(`{"checkPath":"/%d"}`, rng.IntN(2))
			}
			changes[Key(KindServices, fmt.Sprint("s", rng.IntN(2)))] = value
			continue
		}
		if !value.Deleted {
			service := []string{"s0", "s1", "s0", "s1", "never"}[rng.IntN(5)]
			const format = `{"host":"h","pathStart":"/%d/","kind":"harmless","giveUp":"5s","service":"%s"}`
			value.Body = fmt.Sprintf(format, rng.IntN(4), service)
		}
		changes[Key(KindRoutes, fmt.Sprint("r", rng.IntN(2)))] = value
	}
	return changes
}

// simulateOperators sends random changes, resends some of them and interrupts some attempts, as determined by a seed.
// It returns a description of the first violated invariant, or "".
func simulateOperators(seed uint64, r rules) (violation string) {
	rng := rand.New(rand.NewPCG(seed, 7))
	model := newOperatorModel(r)
	var sent []registerValues
	for range 60 {
		changes := randomChange(rng)
		switch {
		case len(model.confirmedChanges) > 0 && rng.IntN(4) == 0:
			changes = model.confirmedChanges[rng.IntN(len(model.confirmedChanges))]
		case len(sent) > 0 && rng.IntN(4) == 0:
			changes = sent[rng.IntN(len(sent))]
		}
		sent = append(sent, changes)
		var committed func(string) bool
		if rng.IntN(6) == 0 {
			first := slices.Min(slices.Collect(maps.Keys(changes)))
			onlyFirst := rng.IntN(2) == 0
			committed = func(key string) bool { return (key == first) == onlyFirst }
		}
		if violation := model.send(changes, committed); violation != "" {
			return violation
		}
	}
	return ""
}

// For random changes that operators send and resend in any order, with interrupted attempts: at most one content is
// confirmed under a version, a confirmed change is never rejected later, a confirmed item is in force or superseded, a
// rejected change has no effect, and no route is confirmed whose service never existed.
func TestCommitSequences(t *testing.T) {
	const minRuns = 500
	runs, _ := strconv.ParseUint(os.Getenv("ORDERS_RUNS"), 10, 64) // raised for long runs
	for seed := range max(runs, minRuns) {
		if violation := simulateOperators(seed, defaultRules()); violation != "" {
			t.Fatalf("seed %d: %s", seed, violation)
		}
	}
}
