package replica

import (
	"testing"
	"time"

	"sagelever/internal/control/message"
	"sagelever/internal/control/quorum"
)

// Guards against late recovery: a member holds a value that lost to another of the version that it has published, so
// that no pull tells it, and waits for its turn to repair the value.
func TestReplacedValueIsKnownWithinASecond(t *testing.T) {
	const key = "zone/z1"
	sim := newFaultFreeSimulation(6, 2, 35*time.Millisecond, 5*time.Millisecond)
	sim.nodes[0].write(key, func(current quorum.Value) quorum.Value {
		return quorum.Value{Version: current.Version + 1, Body: "on"}
	})
	sim.runFor(time.Second)
	last, other := sim.nodes[5], sim.nodes[1]
	chosen := last.replica.Register(key)
	lost := quorum.Entry{Key: key, Value: quorum.Value{Version: chosen.Value.Version + 1, Body: "off"}}
	proposal := quorum.ProposalNumber{Epoch: chosen.Accepted.Epoch, Number: chosen.Accepted.Number + 1, Proposer: "m0/1"}
	sim.setIsolated(last, true)
	last.step(func(now time.Time) {
		request := &message.PeerRequest{Epoch: proposal.Epoch, Proposal: proposal, Entries: []quorum.Entry{lost}}
		last.replica.HandleRequest(now, 0, message.AcceptPath, request)
	})
	other.step(func(now time.Time) { // a round that writes the chosen value again
		other.replica.acceptor.Observe(proposal)
		other.replica.startOperation(now, newProposal(repairValues, []string{key}, quorum.Keep))
	})
	sim.runFor(200 * time.Millisecond)
	sim.setIsolated(last, false)
	if last.replica.UndecidedCount() != 1 || other.replica.UndecidedCount() != 0 {
		t.Fatalf("the members hold %d and %d undecided registers, want 1 and 0",
			last.replica.UndecidedCount(), other.replica.UndecidedCount())
	}
	known := func() bool { return last.replica.UndecidedCount() == 0 }
	if !sim.waitFor(time.Second, 10*time.Millisecond, known) {
		t.Error("after 1 s the value is still undecided")
	}
	if got := last.replica.Register(key); !got.Chosen || got.Value != chosen.Value {
		t.Errorf("the register holds %+v, want the value of %+v", got, chosen)
	}
	sim.reportFailure(t)
}
