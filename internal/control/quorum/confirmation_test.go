package quorum

import (
	"reflect"
	"testing"
)

// acceptorWith returns an acceptor that has accepted a value in each of the given registers under one proposal.
func acceptorWith(t *testing.T, proposal ProposalNumber, keys ...string) *Acceptor {
	t.Helper()
	a := NewAcceptor(nil, ProposalNumber{})
	var entries []Entry
	for _, key := range keys {
		entries = append(entries, Entry{Key: key, Value: Value{Version: 1}})
	}
	if _, rejectedBy := a.Accept(proposal, entries); rejectedBy != (ProposalNumber{}) {
		t.Fatal("the acceptor rejected the proposal")
	}
	return a
}

// A member confirms the values that it has accepted under the proposal. It does not confirm registers that are promised
// to a higher proposal or whose value was accepted under another one.
func TestConfirm(t *testing.T) {
	first := ProposalNumber{Number: 5, Proposer: "m1"}
	second := ProposalNumber{Number: 9, Proposer: "m2"}
	a := acceptorWith(t, first, "a", "b", "c")
	a.Prepare(second, []string{"b"})
	a.Accept(second, []Entry{{Key: "c", Value: Value{Version: 2}}})
	changed, unconfirmed := a.Confirm(first, []string{"a", "b", "c", "d"})
	if len(changed) > 0 || !reflect.DeepEqual(unconfirmed, []int{1, 2, 3}) {
		t.Errorf("changed %v, unconfirmed %v", changed, unconfirmed)
	}
	a.RaiseMinProposal(ProposalNumber{Epoch: 1})
	if _, unconfirmed := a.Confirm(first, []string{"a"}); len(unconfirmed) != 1 {
		t.Error("a proposal of an earlier epoch was confirmed")
	}
}

// Once a member has confirmed a value that it learned from another member, no lower proposal can replace the value.
func TestConfirmedCopyIsPromised(t *testing.T) {
	proposal := ProposalNumber{Number: 5, Proposer: "m1"}
	a := NewAcceptor(nil, ProposalNumber{})
	a.Learn([]Entry{{Key: "a", Accepted: proposal, Value: Value{Version: 1}}})
	changed, unconfirmed := a.Confirm(proposal, []string{"a"})
	if len(changed) != 1 || changed[0].Promised != proposal || len(unconfirmed) > 0 {
		t.Fatalf("changed %v, unconfirmed %v", changed, unconfirmed)
	}
	lower := ProposalNumber{Number: 4, Proposer: "m9"}
	if _, rejectedBy := a.Accept(lower, []Entry{{Key: "a"}}); rejectedBy != proposal {
		t.Errorf("a lower proposal is rejected by %v", rejectedBy)
	}
}

// A value is chosen once an accept quorum of different members has confirmed it.
func TestConfirmationCountsMembers(t *testing.T) {
	proposal := ProposalNumber{Number: 5, Proposer: "m1"}
	c := NewConfirmation(proposal, []string{"a", "b"}, 6, 2)
	for _, reply := range []struct {
		member      string
		unconfirmed []int
		chosen      []string
	}{
		{member: "m1"},
		{member: "m2", unconfirmed: []int{1}},
		{member: "m2"}, // repeated
		{member: "m3"},
		{member: "m4", chosen: []string{"a"}},
		{member: "m5", chosen: []string{"b"}},
	} {
		if chosen := c.HandleReply(reply.member, reply.unconfirmed); !reflect.DeepEqual(chosen, reply.chosen) {
			t.Errorf("%s: chosen %v, want %v", reply.member, chosen, reply.chosen)
		}
	}
	if !c.Done() {
		t.Error("not done")
	}
}
