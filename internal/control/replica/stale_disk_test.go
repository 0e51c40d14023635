package replica

import (
	"fmt"
	"testing"
	"time"
)

// restoreLastCopy restarts a node with the last copy of its disk. It returns the copy's identity.
func (node *simNode) restoreLastCopy() Identity {
	node.kill()
	node.disk = node.diskCopies[len(node.diskCopies)-1].disk.clone()
	node.diskLost = true
	node.sim.runFor(200 * time.Millisecond)
	node.start()
	return node.disk.identity
}

// An old copy of a disk is detected, whenever it was made, if it is older than generationInterval plus the longest time
// between two pulls. The node casts no vote with it, and is an active member with a new disk ID within recoveryTime.
func TestStaleDiskIsDetected(t *testing.T) {
	const steps = 10
	const age = generationInterval + PeerPullWait + time.Second + 500*time.Millisecond
	for step := range steps {
		t.Run(fmt.Sprint(step), func(t *testing.T) {
			t.Parallel()
			sim := newFaultFreeSimulation(6, 2, 35*time.Millisecond, 5*time.Millisecond)
			sim.runFor(time.Duration(step) * generationInterval / steps)
			node := sim.nodes[step%sim.memberCount]
			node.copyDisk()
			sim.runFor(age)
			node.staleDiskID = node.disk.identity.DiskID
			stale := node.restoreLastCopy()
			sim.waitFor(recoveryTime, 20*time.Millisecond, node.isAvailable)
			if node.replica.local.identity.DiskID == stale.DiskID {
				t.Errorf("a disk copy made %v ago, of generation %d, is not detected as stale", age, stale.Generation)
			}
			if !node.isAvailable() {
				t.Error("the replica is not available again within recoveryTime")
			}
			sim.reportFailure(t)
		})
	}
}

// A more recent disk copy may be indistinguishable from the disk itself. In this case, all replicas must become
// available again, but the votes that the copy lacks may be lost.
func TestRecentDiskCopyRecovers(t *testing.T) {
	for _, age := range []time.Duration{0, time.Second, 5 * time.Second, 9 * time.Second, 13 * time.Second} {
		t.Run(fmt.Sprint(age), func(t *testing.T) {
			t.Parallel()
			sim := newFaultFreeSimulation(6, 2, 35*time.Millisecond, 5*time.Millisecond)
			node := sim.nodes[3]
			sim.runFor(generationInterval)
			node.copyDisk()
			for version := uint64(1); sim.now.Sub(node.diskCopies[0].at) < age; version++ {
				sim.writeAndMeasure(sim.nodes[0], "item/routes/r", version)
			}
			if sim.failure != "" {
				t.Fatal(sim.failure)
			}
			sim.ignoresViolations = true
			node.restoreLastCopy()
			allAvailable := func() bool {
				for _, node := range sim.nodes {
					if !node.isAvailable() {
						return false
					}
				}
				return true
			}
			if !sim.waitFor(recoveryTime, 20*time.Millisecond, allAvailable) {
				t.Error("not all replicas are available within recoveryTime")
			}
		})
	}
}
