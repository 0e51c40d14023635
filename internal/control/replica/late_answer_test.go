package replica

import (
	"testing"
	"time"

	"sagelever/internal/control/message"
)

// Guards against proxies that use an old configuration: a member that can send nothing any more claims a quorum for longer,
// because the others still answer the pulls that they held when its messages began to be lost.
func TestLateAnswersDoNotExtendQuorum(t *testing.T) {
	sim := newFaultFreeSimulation(6, 2, 35*time.Millisecond, 5*time.Millisecond)
	node := sim.nodes[0]
	if !node.replica.HasQuorum(node.clock()) {
		t.Fatal("a member of a group without faults has no quorum")
	}
	requests := map[*simNode]*message.PullRequest{}
	for _, other := range sim.nodes[1:] {
		requests[other] = node.replica.NewPullRequest(node.clock(), other.self)
		node.unreachable[other.index], other.unreachable[node.index] = true, true
	}
	const wait = PeerTimeout / 3
	sim.runFor(wait)
	for other, request := range requests {
		node.replica.HandlePullResponse(node.clock(), other.self, request, &message.PullResponse{
			ProtocolVersion: message.ProtocolVersion,
			Origins:         []string{other.replica.items.Origin},
			DiskID:          node.replica.peers[other.self.Node].DiskID,
		})
	}
	if !node.replica.HasQuorum(node.clock()) {
		t.Fatal("a member that has just got answers has no quorum")
	}
	sim.runFor(PeerTimeout - wait)
	if node.replica.HasQuorum(node.clock()) {
		t.Errorf("a member claims a quorum %v after the start of the last pulls that were answered", PeerTimeout)
	}
}
