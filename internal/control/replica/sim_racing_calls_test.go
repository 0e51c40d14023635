package replica

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"sagelever/internal/control/config"
	"sagelever/internal/control/quorum"
)

const (
	// contendedRoutes is the number of routes on which calls race.
	contendedRoutes = 2

	// maxCallAttempts is the number of members to which an operator sends a call that gets no clear answer.
	maxCallAttempts = 3

	// addedRoutePrefix begins the register keys of the routes that only one call adds.
	addedRoutePrefix = "item/routes/added"
)

// racingCalls contains the calls of operators that race on common routes, and the state of their checks. Each call
// changes a common route and adds one of its own.
type racingCalls struct {
	sim      *simulation
	calls    []*racingCall
	version  uint64          // the last version of a common route
	inForce  map[string]bool // by register: the added routes that were reported as chosen
	refused  map[string]bool // by register: the added routes of refused calls
	outcomes map[string]int  // by outcome: the number of calls
}

// racingCall is a call of an operator, which sends it to one member after the other.
type racingCall struct {
	race     *racingCalls
	values   map[string]quorum.Value
	addedKey string
	attempts int
	invalid  bool // members refuse it from its second attempt on, as if the configuration had changed
	answered bool
}

func newRacingCalls(sim *simulation) *racingCalls {
	return &racingCalls{
		sim:      sim,
		inForce:  map[string]bool{},
		refused:  map[string]bool{},
		outcomes: map[string]int{},
	}
}

// race makes two operators send a call at about the same time, usually under the same version of a common route.
func (race *racingCalls) race() {
	sim := race.sim
	common := fmt.Sprint("item/routes/common", sim.rng.IntN(contendedRoutes))
	race.version++
	for range 2 {
		if sim.oneIn(4) {
			race.version++
		}
		call := race.newCall(common)
		sim.schedule(sim.randomDuration(0, 20), call.attempt)
	}
	if previous := race.calls[sim.rng.IntN(len(race.calls))]; sim.oneIn(4) { // a copy that was held up on its way
		sim.schedule(sim.randomDuration(0, 300), func() { previous.propose(sim.randomNode(), false) })
	}
}

func (race *racingCalls) newCall(common string) *racingCall {
	sim := race.sim
	call := &racingCall{race: race, invalid: sim.oneIn(4), addedKey: fmt.Sprint(addedRoutePrefix, len(race.calls))}
	call.values = map[string]quorum.Value{
		common:        {Version: race.version, Body: fmt.Sprint(len(race.calls))},
		call.addedKey: {Version: race.version, Body: "added"},
	}
	race.calls = append(race.calls, call)
	return call
}

// attempt sends the call to a random member, and to another one if there is no answer after a while.
func (call *racingCall) attempt() {
	sim := call.race.sim
	if call.answered || call.attempts == maxCallAttempts {
		return
	}
	call.attempts++
	call.propose(sim.randomNode(), call.invalid && call.attempts > 1)
	sim.schedule(sim.randomDuration(50, 1000), call.attempt)
}

// propose makes a member decide the call.
func (call *racingCall) propose(node *simNode, refuse bool) {
	if !node.up || node.frozen {
		return
	}
	decide := config.Commit(call.values)
	if refuse {
		decide = config.Refuse(call.values)
	}
	if call.race.sim.mutation == mutationForgottenRefusals {
		decide = withoutAnnotations(decide)
	}
	node.step(func(now time.Time) {
		keys := slices.Sorted(maps.Keys(call.values))
		id := node.replica.WriteAtomic(now, now.Add(operationTimeout), keys, decide)
		node.completions[id] = func(completion Completion) {
			if completion.Err == nil {
				call.end(completion, refuse)
			}
		}
	})
}

// withoutAnnotations returns a decision that doesn't see the annotations of the current values.
func withoutAnnotations(decide quorum.DecideFunc) quorum.DecideFunc {
	return func(current map[string]quorum.Value) map[string]quorum.Value {
		bare := map[string]quorum.Value{}
		for key, value := range current {
			value.Annotation = ""
			bare[key] = value
		}
		return decide(bare)
	}
}

// end checks and records the outcome that the operator receives.
func (call *racingCall) end(completion Completion, refuse bool) {
	race := call.race
	outcome := config.Outcome(completion.Values, call.values)
	if refuse {
		outcome = config.RefusalOutcome(completion.Values, call.values, &config.InvalidError{Err: errors.New("invalid")})
	}
	var conflict *config.ConflictError
	var invalid *config.InvalidError
	switch {
	case outcome == nil:
		race.outcomes["confirmed"]++
		call.answered = true
		for _, key := range slices.Sorted(maps.Keys(call.values)) {
			race.sim.recordAcknowledged(key, completion.Values[key])
		}
	case errors.As(outcome, &conflict), errors.As(outcome, &invalid):
		race.outcomes["refused"]++
		call.answered = true
		race.refused[call.addedKey] = true
		race.check(call.addedKey)
	default:
		race.outcomes["partly in force"]++
	}
}

// recordChosen records a value that is reported as chosen.
func (race *racingCalls) recordChosen(key string, value quorum.Value) {
	if strings.HasPrefix(key, addedRoutePrefix) && value.Version > 0 {
		race.inForce[key] = true
		race.check(key)
	}
}

// check checks that an added route is not both refused and in force.
func (race *racingCalls) check(key string) {
	if race.refused[key] && race.inForce[key] {
		race.sim.fail("%s is in force, but its call was refused", key)
	}
}

// checkRegisters checks that no member holds a part of a refused call, after everything has recovered.
func (race *racingCalls) checkRegisters() {
	for _, node := range race.sim.nodes {
		if node.removed || !node.replica.Active() {
			continue
		}
		for key := range race.refused {
			if entry := node.replica.Register(key); entry.Value.Version > 0 {
				race.sim.fail("%s holds %+v of a refused call", node.self.Node, entry)
			}
		}
	}
}

// runRacingCalls runs the simulation of a seed with racing calls, and returns its failure; empty for none.
func runRacingCalls(seed uint64, mutation string, trace io.Writer) (race *racingCalls, failure string) {
	size := groupSizes[(seed>>2)%uint64(len(groupSizes))]
	sim := newSimulation(seed, size.members, size.failures, mutation)
	sim.traceTo = trace
	sim.racing = newRacingCalls(sim)
	sim.randomizeStartup()
	sim.runScenario(sim.randomLength())
	if sim.failure == "" {
		sim.racing.checkRegisters()
	}
	return sim.racing, sim.failure
}

// Calls of several items race on common routes, under all faults of the simulation. Whatever is left of a refused call
// with some of the members, by a defeated or an abandoned attempt, is never in force, and an acknowledged call is never
// lost. RACING_RUNS sets the number of runs, and RACING_FROM the first seed. A single run prints all its messages.
func TestSimulatedRacingCalls(t *testing.T) {
	const defaultRuns = 16
	runs := numberFromEnvironment(t, "RACING_RUNS", defaultRuns)
	from := numberFromEnvironment(t, "RACING_FROM", firstFixedSeed)
	outcomes := map[string]int{}
	var trace io.Writer
	if runs == 1 {
		trace = os.Stdout
	}
	for seed := from; seed < from+runs; seed++ {
		race, failure := runRacingCalls(seed, "", trace)
		if failure != "" {
			t.Errorf("seed %d: %s", seed, failure)
		}
		for outcome, count := range race.outcomes {
			outcomes[outcome] += count
		}
	}
	t.Logf("%d runs, outcomes %v", runs, outcomes)
	if outcomes["confirmed"] == 0 || outcomes["refused"] == 0 {
		t.Error("no call was confirmed, or none was refused")
	}
}

// TestSimulatedRacingCalls detects each mutation.
func TestRacingCallsDetectMutations(t *testing.T) {
	const firstSeed, maxRuns = 32, 100
	for _, mutation := range []string{mutationNoAbsentValues, mutationForgottenRefusals} {
		t.Run(mutation, func(t *testing.T) {
			t.Parallel()
			for run := range uint64(maxRuns) {
				_, failure := runRacingCalls(firstSeed+run, mutation, nil)
				if strings.Contains(failure, "its call was refused") {
					t.Logf("detected by run %d: %s", run+1, failure)
					return
				}
			}
			t.Errorf("not detected in %d runs", maxRuns)
		})
	}
}
