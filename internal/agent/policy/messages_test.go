package policy

import (
	"testing"

	"sagelever/internal/agent/api"
)

// Counts that one agent reports are credited by the receiver to the same backend; malformed reports are dropped, whole
// or in part.
func TestReportMessages(t *testing.T) {
	x, y := newTestBalancer(1, map[string]any{"may.tell": true, "agents": 2.0}), newTestBalancer(1, nil)
	for _, b := range []*Balancer{x, y} {
		b.addBackend(1, 1)
		b.addBackend(2, 2)
	}
	x.arms[1].ownOutcomes = 1
	x.demand.Add(x.now, demandHalfLife, 100)
	x.backends[1].unreported, x.backends[2].unreported = arm{outcomes: 9, payoff: 8.5}, arm{outcomes: 4, payoff: 1,
		faults: 2}
	x.reportCounts()
	sent := actionsOf[api.SendMessage](x)
	if len(sent) != 1 || sent[0].To != 1 || x.reportSize() != 0 {
		t.Fatalf("sent %v", sent)
	}
	y.arms[1].outcomes = 1
	for _, data := range [][]byte{sent[0].Data, sent[0].Data[:9], nil} {
		y.receiveMessage(api.MessageReceived{Data: data})
	}
	if y.arms[0].outcomes != 9 || y.arms[1].outcomes != 5 || y.backends[1].counts.payoff != 8.5 ||
		y.backends[2].counts.payoff != 1 ||
		y.arms[1].faults != 2 || y.arms[0].faults != 0 {
		t.Errorf("received %v, counts %v and %v", y.arms, y.backends[1].counts, y.backends[2].counts)
	}
}
