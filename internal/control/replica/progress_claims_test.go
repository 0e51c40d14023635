package replica

import (
	"testing"
	"time"

	"sagelever/internal/control/message"
	"sagelever/internal/control/quorum"
	"sagelever/internal/control/replication"
)

const foreignOrigin = "elsewhere.1"

// proxyAnswer returns a node's answer to a pull of a proxy that knows only the node.
func (node *simNode) proxyAnswer() *message.PullResponse {
	now := node.clock()
	request := &message.PullRequest{
		From:            message.Member{Node: "e9", Zone: node.self.Zone},
		Role:            message.RoleProxy,
		ProtocolVersion: message.ProtocolVersion,
		Progress:        replication.Vector{node.replica.items.Origin: 0},
		Incarnation:     1,
	}
	response, _ := node.replica.AnswerPull(now, node.replica.HandlePull(now, request))
	return response
}

// Guards against progress without its items: a part of an answer may cover an item that only the next part contains.
func TestPartOfAnAnswerIsNotClaimed(t *testing.T) {
	for name, ending := range map[string]struct {
		lastPart bool
		claimed  uint64
	}{
		"the last part arrives": {true, 5},
		"the source fails":      {false, 0},
	} {
		t.Run(name, func(t *testing.T) {
			sim := newFaultFreeSimulation(6, 2, 35*time.Millisecond, 5*time.Millisecond)
			node, source := sim.nodes[0], sim.nodes[1].self
			request := node.replica.NewPullRequest(node.clock(), source)
			origins := []string{sim.nodes[1].replica.items.Origin, foreignOrigin}
			register := replication.Item{Key: replication.RegisterKeyPrefix + "zone/z1", Version: 1, OriginIndex: 1, Sequence: 5}
			register.Body = entryBody(quorum.Entry{
				Key:      "zone/z1",
				Accepted: quorum.ProposalNumber{Epoch: 1, Number: 9, Proposer: "m1/1"},
				Value:    quorum.Value{Version: 1, Body: "on"},
			})
			first := &message.PullResponse{
				ProtocolVersion: message.ProtocolVersion,
				Origins:         origins,
				Items:           []replication.Item{register},
				Progress:        replication.Vector{foreignOrigin: 5},
				Truncated:       true,
				DiskID:          source.DiskID,
			}
			node.replica.HandlePullResponse(node.clock(), source, request, first)
			if claimed := node.proxyAnswer().Progress[foreignOrigin]; claimed != 0 {
				t.Errorf("after the first part the progress is %d", claimed)
			}
			if ending.lastPart {
				next := node.replica.NewPullRequest(node.clock(), source)
				last := &message.PullResponse{ProtocolVersion: message.ProtocolVersion, Origins: origins, DiskID: source.DiskID}
				node.replica.HandlePullResponse(node.clock(), source, next, last)
			} else {
				node.replica.partialPulls[source.Node].lastPartAt = node.clock().Add(-PeerTimeout - time.Millisecond)
				node.replica.Maintain(node.clock())
			}
			if claimed := node.proxyAnswer().Progress[foreignOrigin]; claimed != ending.claimed {
				t.Errorf("at the end the progress is %d, want %d", claimed, ending.claimed)
			}
			if _, held := node.replica.items.Get(register.Key); !held {
				t.Error("the item of the first part is lost")
			}
		})
	}
}

// Guards against progress without its items: a restart loses a published register whose next value is undecided.
func TestRestartedReplicaClaimsNoProgressBeforeItsRegisters(t *testing.T) {
	const key = "zone/z1"
	sim := newFaultFreeSimulation(6, 2, 35*time.Millisecond, 5*time.Millisecond)
	node := sim.nodes[0]
	node.write(key, func(current quorum.Value) quorum.Value { return quorum.Value{Version: current.Version + 1, Body: "on"} })
	sim.runFor(7 * time.Second) // the item and the progress are on disk
	node.kill()
	entry := node.disk.entries[key]
	entry.Value = quorum.Value{Version: entry.Value.Version + 1, Body: "off"}
	entry.Accepted.Number++
	entry.Promised = entry.Accepted
	entry.Chosen = false
	node.disk.entries[key] = entry
	node.start()
	answer := node.proxyAnswer()
	if len(answer.Progress) > 0 || answer.Complete || answer.HasQuorum || !answer.Truncated {
		t.Errorf("before it knows the register the node answers %+v", answer)
	}
	sim.runFor(2 * time.Second)
	answer = node.proxyAnswer()
	if len(answer.Progress) < 2 || !answer.HasQuorum || answer.Truncated {
		t.Errorf("2 s after its start the node answers %+v", answer)
	}
	sim.reportFailure(t)
}
