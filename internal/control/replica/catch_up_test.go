package replica

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"sagelever/internal/control/config"
	"sagelever/internal/control/quorum"
	"sagelever/internal/control/rangesync"
	"sagelever/internal/control/replication"
)

func manyKey(i int) string { return config.Key(config.KindRoutes, fmt.Sprint("many", i)) }

// writeMany writes a version of some items at a node, in batches.
func (sim *simulation) writeMany(t *testing.T, node *simNode, items, batchSize int, version uint64) {
	t.Helper()
	body := strings.Repeat("x", 300)
	for from := 0; from < items; from += batchSize {
		change := map[string]quorum.Value{}
		var keys []string
		for i := from; i < min(from+batchSize, items); i++ {
			key := manyKey(i)
			change[key] = quorum.Value{Version: version, Body: fmt.Sprint(version, " ", i, " ", body)}
			keys = append(keys, key)
		}
		var done *Completion
		node.step(func(now time.Time) {
			id := node.replica.WriteAtomic(now, now.Add(time.Second), keys, config.Commit(change))
			node.completions[id] = func(completion Completion) { done = &completion }
		})
		sim.waitFor(2*time.Second, 5*time.Millisecond, func() bool { return done != nil })
		if done == nil || done.Err != nil || config.Outcome(done.Values, change) != nil {
			t.Fatalf("items %d to %d of version %d: %+v", from, from+batchSize, version, done)
		}
	}
}

// missingItems returns how many of the items a node doesn't hold as chosen.
func (node *simNode) missingItems(items int, version uint64) (missing int) {
	for i := range items {
		if entry := node.replica.Register(manyKey(i)); !entry.Chosen || entry.Value.Version < version {
			missing++
		}
	}
	return missing
}

// After thousands of changes a node that was away, one that lost its disk and a new one catch up within recoveryTime,
// and no message is much longer than the limit of a page.
func TestCatchUpAfterManyChanges(t *testing.T) {
	const items, batchSize, versions = 800, 100, 5
	for name, comeBack := range map[string]func(sim *simulation, node *simNode) *simNode{
		"restarted": func(_ *simulation, node *simNode) *simNode {
			node.start()
			return node
		},
		"with an empty disk": func(_ *simulation, node *simNode) *simNode {
			node.wipeDisk()
			node.start()
			return node
		},
		"replaced": func(sim *simulation, node *simNode) *simNode {
			node.remove()
			return sim.addNode(node.zone, 0)
		},
		"cut off": nil,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			sim := newCalmSimulation(6, 2, 35*time.Millisecond, 5*time.Millisecond)
			node := sim.nodes[5]
			sim.writeMany(t, sim.nodes[0], 20, 20, 1)
			if comeBack == nil {
				sim.isolate(5, 0, 1, 2, 3, 4)
			} else {
				node.kill()
			}
			sim.runFor(PeerTimeout)
			for version := range uint64(versions) {
				sim.writeMany(t, sim.nodes[0], items, batchSize, version+2)
			}
			sim.measuresMessages = true
			returnedAt := sim.now
			if comeBack == nil {
				sim.healPartitions()
			} else {
				node = comeBack(sim, node)
			}
			caughtUp := func() bool {
				return node.up && node.isAvailable() && node.missingItems(items, versions+1) == 0
			}
			sim.waitFor(20*time.Second, 20*time.Millisecond, caughtUp)
			took := sim.now.Sub(returnedAt)
			t.Logf("caught up after %v, the longest message has %d bytes", took, sim.largestMessage)
			if took > recoveryTime || !caughtUp() {
				t.Errorf("after %v it lacks %d items", took, node.missingItems(items, versions+1))
			}
			if limit := rangesync.DefaultLimits.MaxMessageBytes * 5 / 4; sim.largestMessage > limit {
				t.Errorf("a message of %d bytes, want %d at most", sim.largestMessage, limit)
			}
			sim.reportFailure(t)
		})
	}
}

// A node that was away is sent what it lacks and no more; after more than incrementalPullWindow it is sent everything.
// Both leave it with what the others hold, and without what they have forgotten.
func TestCatchUpVolume(t *testing.T) {
	for _, away := range []time.Duration{time.Second, 10 * time.Second, 60 * time.Second} {
		for _, restart := range []bool{false, true} {
			t.Run(fmt.Sprintf("away %v, restarted %v", away, restart), func(t *testing.T) {
				testCatchUpVolume(t, away, restart)
			})
		}
	}
}

func testCatchUpVolume(t *testing.T, away time.Duration, restart bool) {
	const backends, items, leaving = 45, 20, 4
	sim := newCalmSimulation(6, 2, 35*time.Millisecond, 5*time.Millisecond)
	heartbeats := func(from, to int, phase replication.Phase, callCount int64) {
		for i := from; i < to; i++ {
			node := sim.nodes[0]
			node.sendHeartbeat(fmt.Sprint("i", i), node.self.Zone, phase, callCount)
		}
	}
	writeItems := func(count int, version uint64) {
		for i := range count {
			sim.writeAndMeasure(sim.nodes[1], routeKey(i), version)
		}
	}
	heartbeats(0, backends, replication.PhaseReady, 1)
	writeItems(items, 1)
	sim.runFor(time.Second)
	node := sim.nodes[5]
	if restart {
		node.kill()
	}
	sim.isolate(5, 0, 1, 2, 3, 4, 5)

	// In the meantime four backends leave, items change for up to ten seconds, and the other backends go on.
	for i := range leaving {
		heartbeats(i, i+1, replication.PhaseDraining, 2)
		sim.nodes[0].step(func(now time.Time) { sim.nodes[0].replica.DeregisterBackend(now, fmt.Sprint("i", i)) })
	}
	changes := int(min(away, 10*time.Second) / (2 * time.Second))
	writeItems(changes, 2)
	returnedAt := sim.now.Add(away - time.Duration(changes)*2*time.Second)
	for sim.now.Before(returnedAt) {
		heartbeats(leaving, backends, replication.PhaseReady, int64(2+sim.elapsed()/time.Second))
		sim.runFor(min(time.Second, returnedAt.Sub(sim.now)))
	}

	sim.healPartitions()
	sim.measuredBytes = 0
	sim.measuredNode = 5
	returnedAt = sim.now
	if restart {
		node.start()
	}
	caughtUp := func() bool { return node.hasCaughtUpWith(sim.nodes[0], leaving, changes) }
	sim.waitFor(8*time.Second, 10*time.Millisecond, caughtUp)
	took := sim.now.Sub(returnedAt)
	sim.runFor(time.Second)
	t.Logf("caught up after %v, with %d bytes of responses", took, sim.measuredBytes)
	if !caughtUp() || took > recoveryTime {
		t.Errorf("not caught up after %v", took)
	}
	// Three members that are pulled at the same time may send the same.
	if limit := 3 * 8500; away < incrementalPullWindow && sim.measuredBytes > limit {
		t.Errorf("sent %d bytes, want only what it lacks: %d at most", sim.measuredBytes, limit)
	}
}

// hasCaughtUpWith reports whether a node agrees with another on some backends, of which the first have left, and holds
// the second version of some items.
func (node *simNode) hasCaughtUpWith(other *simNode, left, items int) bool {
	if !node.replica.HasQuorum(node.clock()) {
		return false
	}
	ids := []string{"i9"}
	for i := range left {
		ids = append(ids, fmt.Sprint("i", i))
	}
	for _, id := range ids {
		if node.replica.BackendPhase(id) != other.replica.BackendPhase(id) {
			return false
		}
	}
	for i := range items {
		if node.replica.Register(routeKey(i)).Value.Version != 2 {
			return false
		}
	}
	return true
}
