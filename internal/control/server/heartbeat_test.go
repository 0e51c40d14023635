package server

import (
	"testing"

	"sagelever/internal/control/replication"
)

// That a backend drains is acknowledged only once another member holds it. A late heartbeat changes nothing, a backend
// that has signed off stays so, and one whose heartbeats cease times out.
func TestBackendLifecycle(t *testing.T) {
	t.Parallel()
	cluster := newStartedCluster(t)
	cluster.mustCall(0, "servers.pulse&of=i1", heartbeatBody(1, "ready"))
	cluster.mustCall(0, "servers.pulse&of=i1", heartbeatBody(5, "emptying"))
	holders := 0
	for i := 1; i < memberCount; i++ {
		if cluster.running[i].backendPhase("i1") == replication.PhaseDraining {
			holders++
		}
	}
	if holders == 0 {
		t.Error("acknowledged, and no other member holds it")
	}
	cluster.mustCall(1, "servers.pulse&of=i1", heartbeatBody(4, "ready"))
	if phase := cluster.running[1].backendPhase("i1"); phase != replication.PhaseDraining {
		t.Errorf("a late heartbeat has made it %s", phase)
	}
	cluster.mustCall(2, "servers.sign_off&of=i1", "")
	cluster.mustCall(2, "servers.pulse&of=i1", heartbeatBody(6, "ready"))
	waitUntil(t, "all members know that it has left", func() bool {
		for i := range memberCount {
			if cluster.running[i].backendPhase("i1") != replication.PhaseLeft {
				return false
			}
		}
		return true
	})
	cluster.mustCall(0, "servers.pulse&of=i2", heartbeatBody(1, "ready"))
	waitUntil(t, "it has timed out", func() bool {
		return cluster.running[2].backendPhase("i2") == replication.PhaseTimedOut
	})
}
