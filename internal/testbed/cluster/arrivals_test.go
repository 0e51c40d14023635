package cluster

import (
	"testing"
	"time"
)

// An arrival is again on one connection only if both of its ends are the same: two connections of a proxy to different
// backends may have one local port.
func TestEffectsTellConnectionsApart(t *testing.T) {
	ledger := NewLedger()
	ledger.AttemptStarted("a", "a", "risky", true, time.Now())
	for _, arrival := range []Arrival{
		{Caller: "127.0.0.1:1", Address: "127.0.0.1:80", Effect: "refused"},
		{Caller: "127.0.0.1:1", Address: "127.0.0.1:81", Effect: "refused"},
		{Caller: "127.0.0.1:1", Address: "127.0.0.1:80", Effect: "executed"},
	} {
		ledger.RecordArrival("a", arrival)
	}
	counts, sameConnection := ledger.Effects()
	if counts["refused"] != 2 || counts["executed"] != 1 || sameConnection != 1 {
		t.Errorf("arrivals %v, again on one connection: %d", counts, sameConnection)
	}
}
