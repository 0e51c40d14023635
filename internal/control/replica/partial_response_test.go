package replica

import (
	"fmt"
	"testing"
	"time"

	"sagelever/internal/control/replication"
)

// backendCount returns how many backends a node knows.
func (node *simNode) backendCount() (count int) {
	node.replica.items.ForEach(replication.BackendKeyPrefix, func(replication.Item) { count++ })
	return count
}

// A member that was away for so long that it pulls everything, which takes several responses, claims no quorum and
// forgets nothing before it has all of it: proxies drop the backends that a complete response lacks.
func TestMemberWithAPartOfTheItemsClaimsNoQuorum(t *testing.T) {
	const backends = 1500 // beyond defaultMaxResponseBytes several times
	for name, away := range map[string]func(sim *simulation, node *simNode){
		"restarted": func(sim *simulation, node *simNode) {
			node.kill()
			sim.runFor(incrementalPullWindow + 2*time.Second)
			node.start()
		},
		"cut off": func(sim *simulation, node *simNode) {
			sim.cutOff(node, true)
			sim.runFor(incrementalPullWindow + 2*time.Second)
			sim.cutOff(node, false)
		},
	} {
		t.Run(name, func(t *testing.T) {
			sim := newCalmSimulation(6, 2, 35*time.Millisecond, 5*time.Millisecond)
			for i := range backends {
				sim.nodes[0].sendHeartbeat(fmt.Sprint("many", i), "z1", replication.PhaseReady, 1)
			}
			sim.runFor(3 * time.Second)
			node := sim.nodes[3]
			away(sim, node)
			sim.bandwidth = 2_000_000 / 8 // 2 Mbit/s
			for range 10_000 {
				sim.runFor(time.Millisecond)
				if known := node.backendCount(); node.replica.HasQuorum(node.clock()) && known < backends {
					t.Errorf("with quorum it knows %d of %d backends", known, backends)
					break
				}
			}
			sim.runFor(2 * time.Second)
			if !node.replica.HasQuorum(node.clock()) || node.backendCount() < backends {
				t.Errorf("after 12 s it has a quorum: %v, and knows %d backends",
					node.replica.HasQuorum(node.clock()), node.backendCount())
			}
			sim.reportFailure(t)
		})
	}
}

// cutOff cuts a node off from all others, or joins it to them again.
func (sim *simulation) cutOff(node *simNode, cut bool) {
	for i, other := range sim.nodes {
		node.unreachable[i], other.unreachable[node.index] = cut, cut
	}
}
