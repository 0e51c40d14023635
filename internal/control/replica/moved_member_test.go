package replica

import (
	"testing"
	"time"

	"sagelever/internal/control/message"
)

// Guards against a member that no candidate finds: it has moved, and the configuration has its former address.
func TestAddressesOfUnreachableMembersAreLearned(t *testing.T) {
	sim := newFaultFreeSimulation(6, 2, 35*time.Millisecond, 5*time.Millisecond)
	node, moved, reachable := sim.nodes[0].replica, sim.nodes[1].lastMember(), sim.nodes[2].lastMember()
	former := reachable.Addr
	sim.setIsolated(sim.nodes[1], true)
	sim.runFor(PeerTimeout + time.Second)
	moved.Addr, reachable.Addr = "10.0.9.1:7", "10.0.9.2:7"
	otherDisk := sim.nodes[3].lastMember()
	otherDisk.DiskID, otherDisk.Addr = "another", "10.0.9.3:7"
	node.HandlePullResponse(sim.nodes[0].clock(), message.Member{}, &message.PullRequest{MembersOnly: true},
		&message.PullResponse{
			ProtocolVersion: message.ProtocolVersion,
			Members:         []message.Member{moved, reachable, otherDisk},
		})
	for _, test := range []struct{ node, want string }{
		{"m1", "10.0.9.1:7"},
		{"m2", former},
		{"m3", sim.nodes[3].self.Addr},
	} {
		if got := node.peers[test.node].Addr; got != test.want {
			t.Errorf("%s is reached at %s, want %s", test.node, got, test.want)
		}
	}
}
