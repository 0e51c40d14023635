package balancer

import (
	"testing"
	"time"

	"sagelever/internal/control/replication"
)

// An older update, such as one from a controller that was partitioned when the backend left, must not add a backend
// whose incarnation has ended. After tombstoneTTL an update is applied again.
func TestTombstoneBlocksOlderUpdates(t *testing.T) {
	b := newTestBalancerWithoutLease("a1")
	b.addBackend("i1", "a1", "v1", 0, start)
	ready := b.Backend("i1").Backend
	version := b.Backend("i1").updateVersion
	left := ready
	left.Phase = replication.PhaseLeft
	b.UpdateBackend("i1", replication.LeftVersion, &left, start.Add(time.Second))
	b.UpdateBackend("i1", version, &ready, start.Add(2*time.Second))
	if b.Backend("i1") != nil {
		t.Error("an older update added the backend again")
	}
	b.UpdateBackend("i1", version+1, &ready, start.Add(time.Second+tombstoneTTL))
	if b.Backend("i1") == nil {
		t.Error("the tombstone does not expire")
	}
	if len(b.tombstones) > 1 {
		t.Errorf("%d tombstones are kept", len(b.tombstones))
	}
}
