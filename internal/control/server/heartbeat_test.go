package server

import (
	"testing"

	"sagelever/internal/control/replication"
)

// A heartbeat of a draining backend is acknowledged only once another member holds that state. A late heartbeat has no
// effect, a backend that has signed off stays removed, and a backend without further heartbeats times out.
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
		t.Error("acknowledged although no other member holds the state")
	}
	cluster.mustCall(1, "servers.pulse&of=i1", heartbeatBody(4, "ready"))
	if phase := cluster.running[1].backendPhase("i1"); phase != replication.PhaseDraining {
		t.Errorf("phase after a late heartbeat: %s", phase)
	}
	cluster.mustCall(2, "servers.sign_off&of=i1", "")
	cluster.mustCall(2, "servers.pulse&of=i1", heartbeatBody(6, "ready"))
	waitUntil(t, "backend i1 has left at all members", func() bool {
		for i := range memberCount {
			if cluster.running[i].backendPhase("i1") != replication.PhaseLeft {
				return false
			}
		}
		return true
	})
	cluster.mustCall(0, "servers.pulse&of=i2", heartbeatBody(1, "ready"))
	waitUntil(t, "backend i2 has timed out", func() bool {
		return cluster.running[2].backendPhase("i2") == replication.PhaseTimedOut
	})
}
