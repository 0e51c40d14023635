package replica

import (
	"time"

	"sagelever/internal/control/membership"
)

// recoveryTime is the time within which everything must recover after the last fault. If a member must be replaced
// first, PeerTimeout is added.
const recoveryTime = 4 * time.Second

// allowedClockSetback is by how much the checks extend their bounds at least, for clocks that are set back.
const allowedClockSetback = 3 * time.Second

// fault injects a kind of fault. Most kinds concern a given node.
type fault func(sim *simulation, node *simNode)

// faults lists the kinds of faults. A kind that is listed twice is drawn twice as often.
var faults = [...]fault{
	(*simulation).crash,
	(*simulation).crash,
	(*simulation).crashAndWipe,
	(*simulation).crashAll,
	(*simulation).disconnectPartly,
	(*simulation).disconnectPartly,
	(*simulation).partitionByZone,
	(*simulation).freeze,
	(*simulation).slowDownDisk,
	(*simulation).failDisk,
	(*simulation).stepClock,
	(*simulation).restartProxy,
	(*simulation).restartProxy,
	(*simulation).crashMost,
	(*simulation).replacePlanned,
	(*simulation).replaceUnplanned,
	(*simulation).replaceWithSecondFault,
	(*simulation).reviveNode,
	staleDiskFault: (*simulation).restoreStaleDisk,
	(*simulation).disconnectOneWay,
	(*simulation).partitionForLong,
	(*simulation).crashAllAndChangePeers,
	(*simulation).writeConcurrently,
	(*simulation).writeConcurrently,
	(*simulation).stepClockFar,
	(*simulation).stallDisk,
	(*simulation).fillDisk,
	(*simulation).replaceTwice,
	(*simulation).moveToAnotherAddress,
}

// staleDiskFault is the index of a fault that has an effect only in long runs, which draw it more often.
const staleDiskFault = 18

// injectFault injects a random fault, for a random node.
func (sim *simulation) injectFault() {
	node := sim.randomNode()
	kind := sim.rng.IntN(len(faults))
	if sim.longRun && sim.oneIn(6) {
		kind = staleDiskFault
	}
	sim.log("fault", kind, node.index)
	faults[kind](sim, node)
	sim.checkDurability()
}

// restartLater starts a node after a random number of milliseconds.
func (sim *simulation) restartLater(node *simNode, from, to int) {
	sim.schedule(sim.randomDuration(from, to), node.start)
}

// healLater heals all partitions after a random number of milliseconds.
func (sim *simulation) healLater(from, to int) {
	sim.schedule(sim.randomDuration(from, to), sim.healPartitions)
}

func (sim *simulation) crash(node *simNode) {
	node.kill()
	sim.restartLater(node, 50, 1500)
}

func (sim *simulation) crashAndWipe(node *simNode) {
	node.wipeDisk()
	sim.restartLater(node, 200, 1500)
}

// crashAll simulates a power failure of the complete group, possibly with the loss of some disks.
func (sim *simulation) crashAll(*simNode) {
	for _, node := range sim.nodes {
		node.kill()
		sim.restartLater(node, 300, 900)
	}
	for range sim.rng.IntN(sim.faultTolerance + 1) {
		sim.randomNode().wipeDisk()
	}
}

// crashMost kills about two thirds of the processes.
func (sim *simulation) crashMost(*simNode) {
	for _, node := range sim.nodes {
		if sim.rng.IntN(3) > 0 {
			node.kill()
			sim.restartLater(node, 50, 900)
		}
	}
}

// disconnectPartly cuts one direction of each of a node's links.
func (sim *simulation) disconnectPartly(node *simNode) {
	for i, other := range sim.nodes {
		if sim.oneIn(2) {
			node.unreachable[i] = true
		} else {
			other.unreachable[node.index] = true
		}
	}
	sim.healLater(200, 6000)
}

// partitionByZone cuts all links between the first half of the zones and the others.
func (sim *simulation) partitionByZone(*simNode) {
	isFirstHalf := func(node *simNode) bool { return node.zone < sim.memberCount/2 }
	for _, node := range sim.nodes {
		for i, other := range sim.nodes {
			if isFirstHalf(node) != isFirstHalf(other) {
				node.unreachable[i] = true
			}
		}
	}
	sim.healLater(500, 6000)
}

func (sim *simulation) freeze(node *simNode) {
	node.frozen = true
	sim.schedule(sim.randomDuration(100, 4000), node.thaw)
}

func (sim *simulation) slowDownDisk(node *simNode) {
	node.slowDisk = true
	sim.schedule(sim.randomDuration(500, 4000), func() { node.slowDisk = false })
}

func (sim *simulation) failDisk(node *simNode) { sim.failDiskFor(node, 500, 3000) }

// stallDisk makes the syncs of a disk wait, without an error, for up to 8 s.
func (sim *simulation) stallDisk(node *simNode) {
	node.diskStalled = true
	sim.schedule(sim.randomDuration(1000, 8000), func() { node.diskStalled = false })
}

// fillDisk makes all writes to a disk fail for up to 12 s.
func (sim *simulation) fillDisk(node *simNode) { sim.failDiskFor(node, 3000, 12000) }

// failDiskFor makes all writes to a disk fail for a random number of milliseconds.
func (sim *simulation) failDiskFor(node *simNode, from, to int) {
	node.diskFails = true
	sim.schedule(sim.randomDuration(from, to), func() { node.diskFails = false })
}

// stepClock steps a clock to a skew of up to 3 s, until the next step or the end of the faults.
func (sim *simulation) stepClock(node *simNode) {
	node.setClock(sim.randomDuration(0, 6000) - 3*time.Second)
}

// stepClockFar steps a clock to a skew of up to 10 s.
func (sim *simulation) stepClockFar(node *simNode) {
	node.setClock(sim.randomDuration(0, 20000) - 10*time.Second)
}

func (sim *simulation) restartProxy(*simNode) {
	proxy := sim.proxies[sim.rng.IntN(len(sim.proxies))]
	proxy.up = false
	sim.schedule(sim.randomDuration(100, 12000), proxy.start)
}

// disconnectOneWay cuts all links from a node, or all links to it.
func (sim *simulation) disconnectOneWay(node *simNode) {
	outgoing := sim.oneIn(2)
	for i, other := range sim.nodes {
		if outgoing {
			node.unreachable[i] = true
		} else {
			other.unreachable[node.index] = true
		}
	}
	sim.healLater(500, 20000)
}

// partitionForLong partitions the nodes into two random sides. No other heal ends the partition earlier.
func (sim *simulation) partitionForLong(*simNode) {
	sim.partitionRandomly()
	length := sim.randomDuration(6000, 20000)
	sim.partitionedUntil = sim.now.Add(length)
	sim.schedule(length, sim.healPartitions)
}

// partitionRandomly puts each node on one of two sides and cuts the links between the sides.
func (sim *simulation) partitionRandomly() {
	var isLeft []bool
	for range sim.nodes {
		isLeft = append(isLeft, sim.oneIn(2))
	}
	for i, node := range sim.nodes {
		for j := range sim.nodes {
			if isLeft[i] != isLeft[j] {
				node.unreachable[j] = true
			}
		}
	}
}

// isolate cuts the links between a node and the given others.
func (sim *simulation) isolate(node int, from ...int) {
	for _, other := range from {
		sim.nodes[node].unreachable[other] = true
		sim.nodes[other].unreachable[node] = true
	}
}

// healPartitions restores all links, unless a long partition is in progress.
func (sim *simulation) healPartitions() {
	if sim.now.Before(sim.partitionedUntil) {
		return
	}
	for _, node := range sim.nodes {
		if len(node.unreachable) > 0 {
			sim.linksHealedAt = sim.now
		}
		node.unreachable = map[int]bool{}
	}
}

// maxClockSetback returns by how much a timeout that began at the given time may be exceeded: the largest sum of a
// clock's setbacks since then, and at least allowedClockSetback.
func (sim *simulation) maxClockSetback(since time.Time) time.Duration {
	largest := allowedClockSetback
	for _, node := range sim.nodes {
		sum := time.Duration(0)
		for _, setback := range node.clockSetbacks {
			if setback.at.After(since) {
				sum += setback.by
			}
		}
		largest = max(largest, sum)
	}
	return largest
}

// runScenario runs random operations and faults for the given time, ends the faults and checks that everything
// recovers.
func (sim *simulation) runScenario(length time.Duration) {
	end := sim.now.Add(length)
	sim.longRun = length > 25*time.Second
	sim.runFor(2 * time.Second)
	for sim.now.Before(end) && sim.failure == "" {
		switch choice := sim.rng.IntN(20); {
		case choice < 6 && sim.racing != nil:
			sim.racing.race()
		case choice < 12:
			sim.randomOperation()
		case choice < 14:
			sim.checkListenerAddrs()
		case choice == 14:
			sim.injectFault()
		}
		sim.runFor(sim.randomDuration(5, 120))
	}
	sim.endFaults()
	sim.awaitRecovery()
	if sim.failure == "" {
		sim.checkLinearizable()
	}
}

// endFaults ends all faults and starts everything that is not removed.
func (sim *simulation) endFaults() {
	sim.injectsFaults = false
	sim.partitionedUntil = time.Time{}
	sim.healPartitions()
	for _, node := range sim.nodes {
		node.startAfter = time.Time{}
		node.diskFails = false
		node.diskStalled = false
		node.slowDisk = false
		node.setClock(sim.randomDuration(0, 600) - 300*time.Millisecond)
		node.thaw()
		node.start()
	}
	for _, proxy := range sim.proxies {
		proxy.start()
	}
}

// awaitRecovery runs the simulation until everything has recovered, and fails if that takes too long.
func (sim *simulation) awaitRecovery() {
	endedAt, limit := sim.now, recoveryTime
	if sim.replacementPending() {
		limit += PeerTimeout
	}
	for sim.failure == "" {
		sim.runFor(50 * time.Millisecond)
		reason := sim.unrecoveredReason()
		if reason == "" {
			sim.timeToRecover = sim.now.Sub(endedAt)
			return
		}
		if sim.lastRemoval.After(endedAt) { // the removal of a node that had begun to leave
			endedAt = sim.lastRemoval
			limit = recoveryTime + PeerTimeout
		}
		if sim.now.Sub(endedAt) > limit {
			sim.ignoresViolations = false
			sim.fail("%v after the last fault %s", limit, reason)
		}
	}
}

// replacementPending reports whether a member must be replaced for the group to be complete, in the current
// configuration or in a newer one that was accepted on some disk.
func (sim *simulation) replacementPending() bool {
	configurations := []membership.Configuration{sim.configuration}
	for _, configuration := range append(configurations, sim.acceptedConfigurations()...) {
		if configuration.Epoch > 0 && len(configuration.Members) < sim.memberCount {
			return true
		}
		for _, member := range configuration.Members {
			if node := sim.nodeByAddr(member.Addr); node.removed || node.leaving {
				return true
			}
		}
	}
	return false
}
