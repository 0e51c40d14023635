package replica

import (
	"fmt"
	"slices"
	"time"

	"sagelever/internal/control/membership"
	"sagelever/internal/control/message"
)

// detectableDiskAge is the age from which an old copy of a disk must be detected: the disk's generation advances every
// generationInterval, reaches the other members by a pull within PeerTimeout, and is on their disks within another 5 s.
const detectableDiskAge = generationInterval + PeerTimeout + 6*time.Second

// leaveTimeout is how long a leaving node waits to be replaced.
const leaveTimeout = 2 * time.Second

// randomizeStartup varies the first start of the system: normally all nodes start within a fraction of a second, but
// one of the initial peers may start late or never, or all nodes may start in any order over some seconds.
func (sim *simulation) randomizeStartup() {
	if sim.oneIn(3) { // a response holds only a few items
		sim.maxResponseBytes = sim.randomResponseLimit()
	}
	node := sim.nodes[sim.rng.IntN(min(3, sim.memberCount))]
	switch sim.rng.IntN(8) {
	case 0:
		node.startAfter = sim.now.Add(sim.randomDuration(500, 6000))
		node.diskLost = true
	case 1:
		node.removed = true
		sim.schedule(sim.randomDuration(500, 6000), func() { sim.addNode(node.zone, 0) })
	case 2:
		for _, other := range sim.nodes {
			other.startAfter = sim.now.Add(sim.randomDuration(0, 3000))
		}
	}
}

// randomResponseLimit draws a Config.MaxResponseBytes.
func (sim *simulation) randomResponseLimit() int { return 300 + sim.rng.IntN(3000) }

// addNode adds a node for a zone and starts it after a delay.
func (sim *simulation) addNode(zone int, delay time.Duration) *simNode {
	sim.coverage["node added"]++
	node := sim.newNode(zone)
	sim.nodes = append(sim.nodes, node)
	sim.schedule(delay, func() {
		node.initialPeers = sim.randomPeers()
		node.start()
	})
	return node
}

// randomPeers returns up to three nodes as the initial peers of a node. The first is a member, if there is one; the
// others may be removed or new.
func (sim *simulation) randomPeers() []*simNode {
	var members []*simNode
	for _, member := range sim.configuration.Members {
		if node := sim.nodeByAddr(member.Addr); !node.removed && !node.leaving {
			members = append(members, node)
		}
	}
	if len(members) == 0 {
		return sim.nodes[:min(3, len(sim.nodes))]
	}
	peers := []*simNode{members[sim.rng.IntN(len(members))]}
	for range 2 {
		if node := sim.nodes[sim.rng.IntN(len(sim.nodes))]; !slices.Contains(peers, node) {
			peers = append(peers, node)
		}
	}
	return peers
}

// mayReplace reports whether a node may be replaced now. The number of replacements is limited because they make a run
// long.
func (sim *simulation) mayReplace(node *simNode) bool {
	return !node.removed && !node.leaving && sim.configuration.Contains(node.lastMember()) &&
		len(sim.nodes) < sim.memberCount+4
}

// replacePlanned adds the replacement of a node, and later requests the node to leave.
func (sim *simulation) replacePlanned(node *simNode) {
	if !sim.mayReplace(node) {
		return
	}
	replacement := sim.addNode(node.zone, sim.randomDuration(0, 500))
	replacement.replacementOf = node
	sim.schedule(sim.randomDuration(500, 4000), func() { node.leave(0) })
}

// replaceUnplanned removes a node and adds another one for its zone.
func (sim *simulation) replaceUnplanned(node *simNode) {
	if !sim.mayReplace(node) || !node.diskLost && !sim.toleratesLoss() {
		return
	}
	node.remove()
	sim.addNode(node.zone, sim.randomDuration(500, 3000))
}

// replaceTwice replaces a node, and the newest node of its zone once more within 6 s.
func (sim *simulation) replaceTwice(node *simNode) {
	sim.replaceUnplanned(node)
	sim.schedule(sim.randomDuration(500, 6000), func() {
		for _, newest := range slices.Backward(sim.nodes) {
			if newest.zone == node.zone && !newest.removed {
				if sim.injectsFaults {
					sim.replaceUnplanned(newest)
				}
				return
			}
		}
	})
}

// moveToAnotherAddress restarts a node on its disk at another address, and once more within 6 s. Only one node of a run
// moves: two members that moved while neither could reach the other don't find each other's address.
func (sim *simulation) moveToAnotherAddress(node *simNode) {
	if sim.configuration.Epoch == 0 || node.disk.entries[membership.RegisterKey].Value.Version == 0 {
		return // the first configuration identifies its members by their addresses
	}
	if sim.movedNode != nil && sim.movedNode != node {
		return
	}
	sim.movedNode = node
	sim.coverage["node moved"]++
	node.move()
	sim.schedule(sim.randomDuration(500, 6000), func() {
		if sim.injectsFaults && !node.removed {
			node.move()
		}
	})
}

// move ends the process of a node, and starts it later at another address.
func (node *simNode) move() {
	node.kill()
	node.formerAddrs = append(node.formerAddrs, node.self.Addr)
	node.self.Addr = fmt.Sprint("10.0.", len(node.formerAddrs), ".", node.index, ":7")
	node.sim.restartLater(node, 100, 1500)
}

// replaceWithSecondFault replaces a node and injects a second fault, either while the next configuration is being
// accepted or within 5 s.
func (sim *simulation) replaceWithSecondFault(node *simNode) {
	if sim.oneIn(2) {
		sim.replacePlanned(node)
	} else {
		sim.replaceUnplanned(node)
	}
	if sim.oneIn(2) {
		sim.faultOnReconfiguration = true
	} else {
		sim.schedule(sim.randomDuration(0, 5000), sim.injectSecondFault)
	}
}

// injectSecondFault injects a random fault that follows soon after another.
func (sim *simulation) injectSecondFault() {
	if !sim.injectsFaults {
		return
	}
	sim.coverage["second fault"]++
	node := sim.randomNode()
	switch sim.rng.IntN(4) {
	case 0:
		sim.crash(node)
	case 1:
		sim.crashAndWipe(node)
	case 2:
		for i := range sim.nodes {
			sim.isolate(node.index, i)
		}
		sim.healLater(500, 6000)
	case 3:
		sim.crashThird()
	}
}

// crashThird kills about a third of the processes.
func (sim *simulation) crashThird() {
	for _, node := range sim.nodes {
		if sim.oneIn(3) {
			node.kill()
			sim.restartLater(node, 300, 900)
		}
	}
}

// faultDuringReconfiguration schedules a second fault or a partition within 80 ms if one was requested and the request
// asks to accept the next configuration.
func (sim *simulation) faultDuringReconfiguration(request OutgoingRequest) {
	if !sim.faultOnReconfiguration || !sim.injectsFaults {
		return
	}
	if request.Path != message.AcceptPath || !concernsOnlyConfiguration(request.Request) {
		return
	}
	sim.faultOnReconfiguration = false
	if sim.oneIn(2) {
		sim.schedule(sim.randomDuration(0, 80), sim.injectSecondFault)
		return
	}
	sim.schedule(sim.randomDuration(0, 80), func() {
		if sim.injectsFaults {
			sim.partitionRandomly()
		}
	})
	sim.healLater(500, 6000)
}

// crashAllAndChangePeers simulates a power failure of the complete group, after which the nodes start with other
// initial peers.
func (sim *simulation) crashAllAndChangePeers(*simNode) {
	for _, node := range sim.nodes {
		node.kill()
		node.initialPeers = sim.randomPeers()
		sim.restartLater(node, 300, 3000)
	}
}

// leave requests a node to leave, and removes it once it isn't needed any more, or after leaveTimeout, in which case
// its disk counts as lost. notifiedIncarnation is the incarnation that received the request; 0 for none.
func (node *simNode) leave(notifiedIncarnation int) {
	sim := node.sim
	if node.removed || !node.leaving && !sim.injectsFaults {
		return
	}
	if node.up && !node.frozen && notifiedIncarnation != node.incarnation {
		notifiedIncarnation = node.incarnation
		node.step(node.replica.Leave)
	}
	if !node.leaving {
		node.leaving = true
		node.leaveRequestedAt = sim.now
	}
	if node.hasHandedOver() {
		sim.coverage["planned leave"]++
		node.remove()
		return
	}
	if sim.now.Sub(node.leaveRequestedAt) >= leaveTimeout && (node.diskLost || sim.toleratesLoss()) {
		node.remove()
		node.markDiskLost()
		return
	}
	sim.schedule(20*time.Millisecond, func() { node.leave(notifiedIncarnation) })
}

// hasHandedOver reports whether a leaving node was replaced and isn't needed any more.
func (node *simNode) hasHandedOver() bool {
	if !node.up || node.frozen {
		return false
	}
	local := &node.replica.local
	return !local.isMember() && local.diskConfirmed && !node.replica.AwaitingReplacement(node.clock())
}

// reviveNode starts a removed node again, with its last disk or an empty one.
func (sim *simulation) reviveNode(*simNode) {
	var removed []*simNode
	for _, node := range sim.nodes {
		if node.removed {
			removed = append(removed, node)
		}
	}
	if len(removed) == 0 {
		return
	}
	sim.coverage["node revived"]++
	node := removed[sim.rng.IntN(len(removed))]
	node.removed = false
	node.leaving = false
	if sim.oneIn(2) {
		node.replaceDisk()
	}
	node.initialPeers = sim.randomPeers()
	sim.log("revived", node.index, node.disk.identity)
	node.start()
}

// restoreStaleDisk restarts a node on an old copy of its disk.
func (sim *simulation) restoreStaleDisk(node *simNode) {
	if node.diskLost || node.removed || node.leaving || !sim.toleratesLoss() ||
		!sim.configuration.Contains(node.lastMember()) {
		return
	}
	node.kill()
	if node.restoreCopy(detectableDiskAge) {
		sim.coverage["stale disk restored"]++
		sim.log("stale disk restored", node.index, node.disk.identity)
		node.markDiskLost()
		node.diskLost = true
		node.staleDiskID = node.disk.identity.DiskID
	}
	sim.restartLater(node, 100, 1500)
}
