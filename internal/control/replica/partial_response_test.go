package replica

import (
	"fmt"
	"testing"
	"time"

	"sagelever/internal/control/replication"
)

// backendCount returns the number of backends that a node holds.
func (node *simNode) backendCount() (count int) {
	node.replica.items.ForEach(replication.BackendKeyPrefix, func(replication.Item) { count++ })
	return count
}

// A member that was absent for longer than incrementalPullWindow pulls all items, which takes several responses. It
// must not report a quorum before it holds all of them, because proxies drop the backends that a complete response
// lacks.
func TestMemberWithAPartOfTheItemsClaimsNoQuorum(t *testing.T) {
	const backends = 1500 // their size is several times defaultMaxResponseBytes
	for name, interrupt := range map[string]func(sim *simulation, node *simNode){
		"restarted": func(sim *simulation, node *simNode) {
			node.kill()
			sim.runFor(incrementalPullWindow + 2*time.Second)
			node.start()
		},
		"isolated": func(sim *simulation, node *simNode) {
			sim.setIsolated(node, true)
			sim.runFor(incrementalPullWindow + 2*time.Second)
			sim.setIsolated(node, false)
		},
	} {
		t.Run(name, func(t *testing.T) {
			sim := newFaultFreeSimulation(6, 2, 35*time.Millisecond, 5*time.Millisecond)
			for i := range backends {
				sim.nodes[0].sendHeartbeat(fmt.Sprint("many", i), "z1", replication.PhaseReady, 1)
			}
			sim.runFor(3 * time.Second)
			node := sim.nodes[3]
			interrupt(sim, node)
			sim.bandwidth = 2_000_000 / 8 // 2 Mbit/s
			for range 10_000 {
				sim.runFor(time.Millisecond)
				if held := node.backendCount(); node.replica.HasQuorum(node.clock()) && held < backends {
					t.Errorf("the node reports a quorum with %d of %d backends", held, backends)
					break
				}
			}
			sim.runFor(2 * time.Second)
			if !node.replica.HasQuorum(node.clock()) || node.backendCount() < backends {
				t.Errorf("after 12 s the node has a quorum: %v, and holds %d backends",
					node.replica.HasQuorum(node.clock()), node.backendCount())
			}
			sim.reportFailure(t)
		})
	}
}

// setIsolated cuts all links of a node, or restores them.
func (sim *simulation) setIsolated(node *simNode, isolated bool) {
	for i, other := range sim.nodes {
		node.unreachable[i], other.unreachable[node.index] = isolated, isolated
	}
}
