package replica

import (
	"errors"
	"testing"
	"time"

	"sagelever/internal/control/message"
	"sagelever/internal/control/quorum"
	"sagelever/internal/control/rangesync"
)

// Guards against a request that is answered with an error and takes effect nevertheless.
func TestInvalidRequestChangesNothing(t *testing.T) {
	sim := newFaultFreeSimulation(6, 2, 35*time.Millisecond, 5*time.Millisecond)
	replica, now := sim.nodes[0].replica, sim.nodes[0].clock()
	proposal := func(number uint64, proposer string) quorum.ProposalNumber {
		return quorum.ProposalNumber{Epoch: 1, Number: number, Proposer: proposer}
	}
	entries := []quorum.Entry{{Key: "zone/z1", Value: quorum.Value{Version: 9, Body: "on"}}}
	before, promised := replica.acceptor.Index().Summary(rangesync.Range{}), replica.acceptor.NextProposal(1, "m0/1")
	for name, test := range map[string]struct {
		path    string
		request message.PeerRequest
	}{
		"no proposer":               {message.AcceptPath, message.PeerRequest{Epoch: 1, Proposal: proposal(99, ""), Entries: entries}},
		"foreign proposer":          {message.AcceptPath, message.PeerRequest{Epoch: 1, Proposal: proposal(99, "m9/1"), Entries: entries}},
		"number out of range":       {message.PreparePath, message.PeerRequest{Epoch: 1, Proposal: proposal(1<<63, "m1/1"), Keys: []string{"a"}}},
		"an empty key among others": {message.PreparePath, message.PeerRequest{Epoch: 1, Proposal: proposal(99, "m1/1"), Keys: []string{"a", ""}}},
	} {
		replica.HandleRequest(now, 1, test.path, &test.request)
		output := replica.TakeOutput()
		if len(output.Saves) > 0 || len(output.Responses) != 1 {
			t.Errorf("%s: output %+v", name, output)
			continue
		}
		err := output.Responses[0].Err
		if _, invalid := message.AsInvalid(err); !invalid && !errors.Is(err, ErrForeignProposer) {
			t.Errorf("%s: error %v", name, err)
		}
	}
	if after := replica.acceptor.Index().Summary(rangesync.Range{}); after != before {
		t.Errorf("the registers have changed: %+v, before %+v", after, before)
	}
	if next := replica.acceptor.NextProposal(1, "m0/1"); next != promised {
		t.Errorf("the next proposal is %v, before it was %v", next, promised)
	}
}

// Guards against a confirmation that is taken for invalid: it concerns a value that a member of an earlier epoch, which
// is no member any more, has proposed.
func TestConfirmationOfAnEarlierEpochIsServed(t *testing.T) {
	sim := newFaultFreeSimulation(6, 2, 35*time.Millisecond, 5*time.Millisecond)
	node := sim.nodes[0]
	request := &message.PeerRequest{
		Epoch:    node.replica.Epoch(),
		Proposal: quorum.ProposalNumber{Epoch: 0, Number: 99, Proposer: "m9/1"},
		Keys:     []string{"zone/z1"},
	}
	node.replica.HandleRequest(node.clock(), 1, message.ConfirmPath, request)
	output := node.replica.TakeOutput()
	if len(output.Responses) != 1 || output.Responses[0].Err != nil || !output.Responses[0].Response.OK {
		t.Errorf("the responses are %+v", output.Responses)
	}
}
