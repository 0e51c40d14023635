package replica

import (
	"fmt"
	"testing"
	"time"
)

// restoreLastCopy puts the last copy of a member's disk back, while the member is down, and starts it.
func (x *simNode) restoreLastCopy() (identity Identity) {
	x.kill()
	x.disk = x.diskCopies[len(x.diskCopies)-1].disk.clone()
	x.diskLost = true
	x.sim.runUntil(x.sim.now.Add(200 * time.Millisecond))
	x.start()
	return x.disk.identity
}

// A disk that is older than generationInterval and the longest time between two pulls is noticed whenever it was copied, and gives
// no word; its replica is a member again, with another disk, within sync_time.
func TestStaleDiskIsDetected(t *testing.T) {
	const bound = generationInterval + PeerPullWait + time.Second + 500*time.Millisecond
	for step := range 10 {
		t.Run(fmt.Sprint(step), func(t *testing.T) {
			t.Parallel()
			sim := newCalmSimulation(35*time.Millisecond, 5*time.Millisecond)
			sim.runUntil(sim.now.Add(time.Duration(step) * generationInterval / 10))
			node := sim.nodes[step%sim.memberCount]
			node.copyDisk()
			sim.runUntil(sim.now.Add(bound))
			node.staleDisk = node.disk.identity.Disk
			old := node.restoreLastCopy()
			back := sim.now
			for !(node.replica.Active() && node.replica.HasQuorum(node.clock())) && sim.now.Sub(back) < 4*time.Second {
				sim.runUntil(sim.now.Add(20 * time.Millisecond))
			}
			if node.replica.local.identity.Disk == old.Disk {
				t.Errorf("a disk from %v ago, of generation %d, is not noticed", bound, old.Generation)
			}
			if !node.replica.Active() || !node.replica.HasQuorum(node.clock()) {
				t.Error("it does not act again within sync_time")
			}
			if sim.failure != "" {
				t.Error(sim.failure)
			}
		})
	}
}

// A younger one may pass for a disk that was never away: what is promised then is that its replica acts again and that the
// others go on, and nothing of what it had promised since.
func TestRecentDiskCopyRecovers(t *testing.T) {
	for _, age := range []time.Duration{0, time.Second, 5 * time.Second, 9 * time.Second, 13 * time.Second} {
		t.Run(fmt.Sprint(age), func(t *testing.T) {
			t.Parallel()
			sim := newCalmSimulation(35*time.Millisecond, 5*time.Millisecond)
			node := sim.nodes[3]
			sim.runUntil(sim.now.Add(generationInterval))
			node.copyDisk()
			for version := uint64(1); sim.now.Sub(node.diskCopies[0].at) < age; version++ {
				sim.writeAndMeasure(sim.nodes[0], "item/routes/r", version)
			}
			if sim.failure != "" {
				t.Fatal(sim.failure)
			}
			sim.lenient = true
			node.restoreLastCopy()
			back := sim.now
			allActive := func() bool {
				for _, other := range sim.nodes {
					if !other.replica.Active() || !other.replica.HasQuorum(other.clock()) {
						return false
					}
				}
				return true
			}
			for !allActive() && sim.now.Sub(back) < 4*time.Second {
				sim.runUntil(sim.now.Add(20 * time.Millisecond))
			}
			if !allActive() {
				t.Error("not all act within sync_time")
			}
		})
	}
}
