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

// bulkKey returns the register key of a route that writeMany or putRoutes writes.
func bulkKey(i int) string { return config.Key(config.KindRoutes, fmt.Sprint("many", i)) }

// writeMany writes the given version of a number of items at a node, in batches.
func (sim *simulation) writeMany(t *testing.T, node *simNode, items, batchSize int, version uint64) {
	t.Helper()
	body := strings.Repeat("x", 300)
	for from := 0; from < items; from += batchSize {
		change := map[string]quorum.Value{}
		var keys []string
		for i := from; i < min(from+batchSize, items); i++ {
			key := bulkKey(i)
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

// missingItems returns how many of the items of writeMany a node doesn't hold as chosen in at least the given version.
func (node *simNode) missingItems(items int, version uint64) (missing int) {
	for i := range items {
		if entry := node.replica.Register(bulkKey(i)); !entry.Chosen || entry.Value.Version < version {
			missing++
		}
	}
	return missing
}

// After thousands of changes, a node that was stopped or isolated, one that lost its disk and a new one catch up within
// recoveryTime. No message exceeds the size limit of a page by more than a quarter.
func TestCatchUpAfterManyChanges(t *testing.T) {
	const items, batchSize, versions = 800, 100, 5
	for name, bringBack := range map[string]func(sim *simulation, node *simNode) *simNode{
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
		"isolated": nil,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			sim := newFaultFreeSimulation(6, 2, 35*time.Millisecond, 5*time.Millisecond)
			node := sim.nodes[5]
			sim.writeMany(t, sim.nodes[0], 20, 20, 1)
			if bringBack == nil {
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
			if bringBack == nil {
				sim.healPartitions()
			} else {
				node = bringBack(sim, node)
			}
			caughtUp := func() bool {
				return node.up && node.isAvailable() && node.missingItems(items, versions+1) == 0
			}
			sim.waitFor(20*time.Second, 20*time.Millisecond, caughtUp)
			took := sim.now.Sub(returnedAt)
			t.Logf("caught up after %v, the largest message has %d bytes", took, sim.largestMessage)
			if took > recoveryTime || !caughtUp() {
				t.Errorf("after %v the node lacks %d items", took, node.missingItems(items, versions+1))
			}
			if limit := rangesync.DefaultLimits.MaxMessageBytes * 5 / 4; sim.largestMessage > limit {
				t.Errorf("a message has %d bytes, want at most %d", sim.largestMessage, limit)
			}
			sim.reportFailure(t)
		})
	}
}

// A node that returns receives only the items that it lacks; after an absence of more than incrementalPullWindow it
// receives all items. In both cases it ends with the same items as the others, without those that they have deleted.
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
	sim := newFaultFreeSimulation(6, 2, 35*time.Millisecond, 5*time.Millisecond)
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

	// In the meantime four backends leave, items change for up to 10 s, and the other backends continue.
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
	// Three members that receive pulls at the same time may send the same items.
	const maxResponders, maxBytesEach = 3, 8500
	if limit := maxResponders * maxBytesEach; away < incrementalPullWindow && sim.measuredBytes > limit {
		t.Errorf("the node received %d bytes, want only the items that it lacks: at most %d", sim.measuredBytes, limit)
	}
}

// hasCaughtUpWith reports whether a node has a quorum, agrees with another node on the phases of the first backends,
// which have left, and of one more, and holds the second version of the first items.
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
