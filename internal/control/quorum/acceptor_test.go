package quorum

import "testing"

// Chosen stays set when the same value is accepted again under a later proposal. Otherwise, members that complete the
// same round would repeatedly clear the flag that the others have set, and the registers would never settle.
func TestChosenMarkSurvivesSameValue(t *testing.T) {
	const key = "k"
	value := Value{Version: 3, Body: "x"}
	newer := Value{Version: 4}
	a := NewAcceptor(nil, ProposalNumber{})
	a.Learn([]Entry{{Key: key, Accepted: ProposalNumber{Number: 1, Proposer: "m"}, Value: value, Chosen: true}})
	a.Accept(ProposalNumber{Number: 5, Proposer: "n"}, []Entry{{Key: key, Value: value}})
	if !a.Get(key).Chosen {
		t.Error("accepting the same value again cleared Chosen")
	}
	a.Accept(ProposalNumber{Number: 6, Proposer: "n"}, []Entry{{Key: key, Value: newer}})
	if a.Get(key).Chosen {
		t.Error("a new value is marked as chosen")
	}
	a.Learn([]Entry{{Key: key, Accepted: ProposalNumber{Number: 4, Proposer: "o"}, Value: newer, Chosen: true}})
	if !a.Get(key).Chosen {
		t.Error("Learn did not set Chosen for the same value under another proposal number")
	}
}
