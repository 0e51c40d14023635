package quorum

import "testing"

// A value that is known to be chosen stays marked as chosen when it is accepted again. Otherwise members that complete
// the same round would clear one another's mark without end (found by the hunted simulation hunt-82a9-19).
func TestChosenMarkSurvivesSameValue(t *testing.T) {
	const key = "k"
	value := Value{Version: 3, Body: "x"}
	newer := Value{Version: 4}
	a := NewAcceptor(nil, ProposalNumber{})
	a.Learn([]Entry{{Key: key, Accepted: ProposalNumber{Number: 1, Proposer: "m"}, Value: value, Chosen: true}})
	a.Accept(ProposalNumber{Number: 5, Proposer: "n"}, []Entry{{Key: key, Value: value}})
	if !a.Get(key).Chosen {
		t.Error("accepting the same value again cleared the chosen mark")
	}
	a.Accept(ProposalNumber{Number: 6, Proposer: "n"}, []Entry{{Key: key, Value: newer}})
	if a.Get(key).Chosen {
		t.Error("a new value is marked as chosen")
	}
	a.Learn([]Entry{{Key: key, Accepted: ProposalNumber{Number: 4, Proposer: "o"}, Value: newer, Chosen: true}})
	if !a.Get(key).Chosen {
		t.Error("a chosen value was not learned because its proposal number is another")
	}
}
