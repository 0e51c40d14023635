package policy

import (
	"testing"

	"sagelever/internal/agent/api"
)

// The receiver of a report adds the counts to the same backends. Malformed reports are dropped entirely.
func TestReportMessages(t *testing.T) {
	sender, receiver := newTestBalancer(1, map[string]any{"may.tell": true, "agents": 2.0}), newTestBalancer(1, nil)
	for _, b := range []*Balancer{sender, receiver} {
		b.addBackend(1, 1)
		b.addBackend(2, 2)
	}
	sender.arms[1].ownOutcomes = 1
	sender.demand.Add(sender.now, demandHalfLife, 100)
	sender.backends[1].unreported, sender.backends[2].unreported = arm{outcomes: 9, payoff: 8.5}, arm{outcomes: 4, payoff: 1,
		faults: 2}
	sender.reportCounts()
	sent := actionsOf[api.SendMessage](sender)
	if len(sent) != 1 || sent[0].To != 1 || sender.reportSize() != 0 {
		t.Fatalf("sent %v", sent)
	}
	receiver.arms[1].outcomes = 1
	for _, data := range [][]byte{sent[0].Data, sent[0].Data[:9], nil} {
		receiver.receiveMessage(api.MessageReceived{Data: data})
	}
	if receiver.arms[0].outcomes != 9 || receiver.arms[1].outcomes != 5 || receiver.backends[1].counts.payoff != 8.5 ||
		receiver.backends[2].counts.payoff != 1 ||
		receiver.arms[1].faults != 2 || receiver.arms[0].faults != 0 {
		t.Errorf("received %v, counts %v and %v", receiver.arms, receiver.backends[1].counts, receiver.backends[2].counts)
	}
}
