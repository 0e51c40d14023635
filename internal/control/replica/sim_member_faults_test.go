package replica

import (
	"slices"
	"time"

	"sagelever/internal/control/message"
)

// detectableDiskAge is the age from which an old copy of a disk has to be detected: its generation advances every
// generationInterval, is told in a pull within PeerTimeout, and is on the others' disks within another five seconds.
const detectableDiskAge = generationInterval + PeerTimeout + 6*time.Second

// leaveTimeout is how long a node that leaves waits to be replaced.
const leaveTimeout = 2 * time.Second

// randomizeStartup varies the first start of the system: normally all nodes start within a fraction of a second, but
// one of the initial peers may come late or never, or all come in any order over some seconds.
func (sim *simulation) randomizeStartup() {
	if sim.oneIn(3) { // a few items in a response
		sim.maxResponseBytes = sim.randomBytes()
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

// randomBytes draws a limit of responses.
func (sim *simulation) randomBytes() int { return 300 + sim.rng.IntN(3000) }

// addNode adds a node for a zone, which starts after a delay.
func (sim *simulation) addNode(zone int, delay time.Duration) *simNode {
	sim.coverage["newcomer"]++
	node := sim.newNode(zone)
	sim.nodes = append(sim.nodes, node)
	sim.schedule(delay, func() {
		node.initialPeers = sim.randomPeers()
		node.start()
	})
	return node
}

// randomPeers returns up to three nodes at which a node may ask for the members. One is a member; others may be gone
// or new.
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

// mayReplace reports whether a node may be replaced now. Replacements are few, as they make a run long.
func (sim *simulation) mayReplace(node *simNode) bool {
	return !node.removed && !node.leaving && sim.configuration.Contains(node.lastMember()) &&
		len(sim.nodes) < sim.memberCount+4
}

// replacePlanned adds a successor of a node, which is told to leave a while later.
func (sim *simulation) replacePlanned(node *simNode) {
	if !sim.mayReplace(node) {
		return
	}
	successor := sim.addNode(node.zone, sim.randomDuration(0, 500))
	successor.successorOf = node
	sim.schedule(sim.randomDuration(500, 4000), func() { node.leave(0) })
}

// replaceUnplanned removes a node and adds another for its zone.
func (sim *simulation) replaceUnplanned(node *simNode) {
	if !sim.mayReplace(node) || !node.diskLost && sim.lostDisks() >= sim.faultTolerance {
		return
	}
	node.remove()
	sim.addNode(node.zone, sim.randomDuration(500, 3000))
}

// replaceWithSecondFault replaces a node, and brings about another fault when the next configuration is being
// accepted, or some time later.
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

// injectSecondFault brings about a fault that comes soon after another.
func (sim *simulation) injectSecondFault() {
	if !sim.injectsFaults {
		return
	}
	sim.coverage["second loss"]++
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

// crashThird ends about a third of the processes.
func (sim *simulation) crashThird() {
	for _, node := range sim.nodes {
		if sim.oneIn(3) {
			node.kill()
			sim.restartLater(node, 300, 900)
		}
	}
}

// faultDuringReconfiguration brings about a second fault or a partition when the next configuration is about to be
// accepted.
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

// crashAllAndForgetPeers is a loss of all power after which the nodes are told other peers.
func (sim *simulation) crashAllAndForgetPeers(*simNode) {
	for _, node := range sim.nodes {
		node.kill()
		node.initialPeers = sim.randomPeers()
		sim.restartLater(node, 300, 3000)
	}
}

// leave tells a node to leave, and removes it once it isn't needed any more, or after leaveTimeout: then its disk
// counts as lost. toldIncarnation is the incarnation that was told.
func (node *simNode) leave(toldIncarnation int) {
	sim := node.sim
	if node.removed || !node.leaving && !sim.injectsFaults {
		return
	}
	if node.up && !node.frozen && toldIncarnation != node.incarnation {
		toldIncarnation = node.incarnation
		node.step(node.replica.Leave)
	}
	if !node.leaving {
		node.leaving = true
		node.leaveRequestedAt = sim.now
	}
	if node.hasHandedOver() {
		sim.coverage["left in order"]++
		node.remove()
		return
	}
	if sim.now.Sub(node.leaveRequestedAt) >= leaveTimeout && (node.diskLost || sim.lostDisks() < sim.faultTolerance) {
		node.remove()
		node.markDiskLost()
		return
	}
	sim.schedule(20*time.Millisecond, func() { node.leave(toldIncarnation) })
}

// hasHandedOver reports whether a node that leaves was replaced and isn't needed any more.
func (node *simNode) hasHandedOver() bool {
	if !node.up || node.frozen {
		return false
	}
	local := &node.replica.local
	return !local.isMember() && local.diskConfirmed && !node.replica.AwaitingReplacement(node.clock())
}

// reviveNode has a removed node return, with the disk that it had or with an empty one.
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
	sim.coverage["come back"]++
	node := removed[sim.rng.IntN(len(removed))]
	node.removed = false
	node.leaving = false
	if sim.oneIn(2) {
		node.replaceDisk()
	}
	node.initialPeers = sim.randomPeers()
	sim.log("comes back", node.index, node.disk.identity)
	node.start()
}

// restoreStaleDisk restarts a node on an old copy of its disk.
func (sim *simulation) restoreStaleDisk(node *simNode) {
	if node.diskLost || node.removed || node.leaving || sim.lostDisks() >= sim.faultTolerance ||
		!sim.configuration.Contains(node.lastMember()) {
		return
	}
	node.kill()
	if node.restoreCopy(detectableDiskAge) {
		sim.coverage["old disk"]++
		sim.log("old disk", node.index, node.disk.identity)
		node.markDiskLost()
		node.diskLost = true
		node.staleDisk = node.disk.identity.DiskID
	}
	sim.restartLater(node, 100, 1500)
}
