package replica

import (
	"strings"
	"testing"
	"time"

	"sagelever/internal/control/config"
	"sagelever/internal/control/quorum"
)

// newFaultFreeSimulation creates a group without faults, with two zones per region, and runs it for 4 s. Messages take
// 1.4 ms within a region and betweenRegions between regions; disks sync in the given time.
func newFaultFreeSimulation(memberCount, faultTolerance int, betweenRegions, sync time.Duration) *simulation {
	sim := newSimulation(1, memberCount, faultTolerance, "")
	sim.injectsFaults = false
	sim.latency = func(from, to int) time.Duration {
		if from/2 == to/2 {
			return 1400 * time.Microsecond
		}
		return betweenRegions
	}
	sim.syncTime = sync
	for _, node := range sim.nodes {
		node.clockSkew = 0
	}
	sim.runFor(4 * time.Second)
	return sim
}

// reportFailure fails a test if a check of the simulation has failed.
func (sim *simulation) reportFailure(t *testing.T) {
	t.Helper()
	if sim.failure != "" {
		t.Error(sim.failure)
	}
}

// writeAndMeasure writes one item at a node. It returns how long the write took, and how many messages and syncs it
// caused.
func (sim *simulation) writeAndMeasure(
	node *simNode, key string, version uint64,
) (took time.Duration, messages, syncs int) {
	startedAt, messagesBefore, syncsBefore := sim.now, sim.messagesSent, sim.syncCount
	done := false
	value := quorum.Value{Version: version, Body: strings.Repeat("x", 200)}
	updates := map[string]quorum.UpdateFunc{key: config.KeepHighestVersion(value)}
	node.step(func(now time.Time) {
		id := node.replica.Write(now, now.Add(time.Second), updates)
		node.completions[id] = func(completion Completion) {
			if completion.Err != nil {
				sim.fail("a write failed: %v", completion.Err)
			}
			done = true
			took = sim.now.Sub(startedAt)
		}
	})
	sim.runFor(2 * time.Second)
	if !done {
		sim.fail("a write has not completed")
	}
	return took, sim.messagesSent - messagesBefore, sim.syncCount - syncsBefore
}

// A write takes two phases, each a round trip to the nearest sufficient members and a sync. The minimum would be one
// phase, to the nearest n-f members: the other phase is the cost of having no leader.
func TestWriteCost(t *testing.T) {
	const maxMessages, maxSyncs = 20, 18
	for _, test := range []struct{ betweenRegions, sync, twoPhases time.Duration }{
		{1400 * time.Microsecond, time.Millisecond, 2 * (2*1400*time.Microsecond + time.Millisecond)},
		{35 * time.Millisecond, 5 * time.Millisecond, 2 * (2*35*time.Millisecond + 5*time.Millisecond)},
	} {
		sim := newFaultFreeSimulation(6, 2, test.betweenRegions, test.sync)
		took, messages, syncs := sim.writeAndMeasure(sim.nodes[3], routeKey(0), 7)
		if sim.failure != "" {
			t.Fatal(sim.failure)
		}
		t.Logf("%v between regions, a sync of %v: %v, %d messages, %d syncs; the minimum is half of %v",
			test.betweenRegions, test.sync, took, messages, syncs, test.twoPhases)
		if took > test.twoPhases+2*time.Millisecond || messages > maxMessages || syncs > maxSyncs {
			t.Errorf("%v, %d messages, %d syncs; want two phases with a sync each, %v",
				took, messages, syncs, test.twoPhases)
		}
	}
}

// Proposal numbers don't depend on the time of day: writes succeed among members whose clocks differ by hours and step
// between writes.
func TestSkewedClocks(t *testing.T) {
	sim := newFaultFreeSimulation(6, 2, 1400*time.Microsecond, time.Millisecond)
	version := uint64(0)
	for _, hours := range []int{0, 3, -3, 10, -10, 1} {
		for i, node := range sim.nodes {
			node.clockSkew = time.Duration((i%3-1)*hours) * time.Hour
		}
		sim.runFor(5 * time.Second) // leases and pulls depend on the clocks that have stepped
		for i, node := range sim.nodes {
			version++
			sim.writeAndMeasure(node, routeKey(0), version)
			if sim.failure != "" {
				t.Fatalf("clocks %d hours apart, member %d: %s", hours, i, sim.failure)
			}
		}
	}
}
