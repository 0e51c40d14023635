package replica

import (
	"errors"
	"maps"
	"slices"
	"testing"
	"time"

	"sagelever/internal/control/config"
	"sagelever/internal/control/message"
	"sagelever/internal/control/quorum"
)

// Registers of the changes in these tests: the first one exists and is contended, the second one is new.
const (
	contendedKey = "item/routes/shared"
	addedKey     = "item/routes/added"
)

// commitChange makes a node commit a change and returns the outcome once there is one.
func (sim *simulation) commitChange(t *testing.T, node *simNode, changes map[string]quorum.Value) (outcome error) {
	t.Helper()
	done := false
	node.step(func(now time.Time) {
		keys := slices.Sorted(maps.Keys(changes))
		id := node.replica.WriteAtomic(now, now.Add(operationTimeout), keys, config.Commit(changes))
		node.completions[id] = func(completion Completion) {
			done, outcome = true, completion.Err
			if completion.Err == nil {
				outcome = config.Outcome(completion.Values, changes)
			}
		}
	})
	if !sim.waitFor(2*time.Second, time.Millisecond, func() bool { return done }) {
		t.Fatal("the change has no outcome")
	}
	return outcome
}

// acceptAlone makes a node accept values of a round that reaches no other member.
func (node *simNode) acceptAlone(values map[string]quorum.Value) {
	shared := node.replica.Register(contendedKey).Accepted
	proposal := quorum.ProposalNumber{Epoch: shared.Epoch, Number: shared.Number + 1, Proposer: "m0/1"}
	var entries []quorum.Entry
	for _, key := range slices.Sorted(maps.Keys(values)) {
		entries = append(entries, quorum.Entry{Key: key, Value: values[key]})
	}
	node.step(func(now time.Time) {
		request := &message.PeerRequest{Epoch: proposal.Epoch, Proposal: proposal, Entries: entries}
		node.replica.HandleRequest(now, 0, message.AcceptPath, request)
	})
}

// Guards against a part of a refused change in force: one member has accepted a new item of the change in a round that
// was defeated, and the change was refused by a round in which that member took no part. Whatever this member does
// later, and whoever takes over from it, the item must not be chosen.
func TestDefeatedAttemptOfRefusedChange(t *testing.T) {
	for name, afterwards := range map[string]func(sim *simulation, holder *simNode){
		"repair": func(*simulation, *simNode) {},
		"restart": func(sim *simulation, holder *simNode) {
			holder.kill()
			sim.runFor(300 * time.Millisecond)
			holder.start()
		},
		"read": func(sim *simulation, _ *simNode) {
			reader := sim.nodes[1]
			reader.step(func(now time.Time) { reader.replica.Read(now, now.Add(operationTimeout), config.KeyPrefix) })
		},
		"takeover": func(sim *simulation, _ *simNode) {
			leaving := sim.nodes[0]
			sim.addNode(leaving.zone, 0).replacementOf = leaving
			sim.runFor(2 * time.Second)
			leaving.beginLeave()
		},
		"replaced members": func(sim *simulation, _ *simNode) {
			for _, removed := range sim.nodes[:sim.faultTolerance] {
				removed.remove()
				sim.addNode(removed.zone, 500*time.Millisecond)
			}
		},
	} {
		t.Run(name, func(t *testing.T) { testDefeatedAttempt(t, afterwards) })
	}
}

func testDefeatedAttempt(t *testing.T, afterwards func(sim *simulation, holder *simNode)) {
	sim := newFaultFreeSimulation(6, 2, 35*time.Millisecond, 5*time.Millisecond)
	holder, winner, loser := sim.nodes[5], sim.nodes[1], sim.nodes[2]
	first := map[string]quorum.Value{contendedKey: {Version: 1, Body: "first"}}
	if err := sim.commitChange(t, winner, first); err != nil {
		t.Fatal(err)
	}
	sim.runFor(time.Second)
	refused := map[string]quorum.Value{
		contendedKey: {Version: 2, Body: "refused"},
		addedKey:     {Version: 2, Body: "refused"},
	}
	sim.setIsolated(holder, true)
	holder.acceptAlone(refused)
	sim.runFor(20 * time.Millisecond)
	if err := sim.commitChange(t, winner, map[string]quorum.Value{contendedKey: {Version: 2, Body: "won"}}); err != nil {
		t.Fatal(err)
	}
	var conflict *config.ConflictError
	if err := sim.commitChange(t, loser, refused); !errors.As(err, &conflict) {
		t.Fatalf("the outcome is %v, want a conflict", err)
	}
	sim.setIsolated(holder, false)
	afterwards(sim, holder)
	sim.runFor(PeerTimeout + 2*recoveryTime)
	for _, node := range sim.nodes {
		if node.removed {
			continue
		}
		if entry := node.replica.Register(addedKey); entry.Value.Version != 0 {
			t.Errorf("%s holds %+v of a refused change", node.self.Node, entry)
		}
		if node.replica.UndecidedCount() != 0 {
			t.Errorf("%s holds undecided registers", node.self.Node)
		}
	}
	for _, proxy := range sim.proxies {
		if value := proxy.values[addedKey]; value.Version != 0 {
			t.Errorf("%s has %+v of a refused change", proxy.name(), value)
		}
	}
	sim.reportFailure(t)
}
