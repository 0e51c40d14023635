package replica

import (
	"time"

	"sagelever/internal/control/membership"
)

// recoveryTime is how long after the last fault everything has to be well again. Where a member has to be given up
// first, PeerTimeout comes on top.
const recoveryTime = 4 * time.Second

// allowedClockSetback is how far a clock may be set back without the checks noting it.
const allowedClockSetback = 3 * time.Second

// fault is one of the kinds of faults, with the node that it concerns.
type fault func(sim *simulation, node *simNode)

// faults are the kinds of faults, as often as they are drawn.
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
	(*simulation).crashAllAndForgetPeers,
	(*simulation).writeConcurrently,
	(*simulation).writeConcurrently,
	(*simulation).stepClockFar,
}

// staleDiskFault is the index of a fault that long runs, which alone can have it, draw more often.
const staleDiskFault = 18

// injectFault brings about a random fault of a random node.
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

// crashAll is a loss of all power, and perhaps of some disks.
func (sim *simulation) crashAll(*simNode) {
	for _, node := range sim.nodes {
		node.kill()
		sim.restartLater(node, 300, 900)
	}
	for range sim.rng.IntN(sim.faultTolerance + 1) {
		sim.randomNode().wipeDisk()
	}
}

// crashMost ends about two thirds of the processes.
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

// partitionByZone separates the first half of the zones from the others.
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

func (sim *simulation) failDisk(node *simNode) {
	node.diskFails = true
	sim.schedule(sim.randomDuration(500, 3000), func() { node.diskFails = false })
}

// stepClock steps a clock until the faults end.
func (sim *simulation) stepClock(node *simNode) {
	node.setClock(sim.randomDuration(0, 6000) - 3*time.Second)
}

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

// partitionForLong separates two random halves; nothing heals the partition earlier.
func (sim *simulation) partitionForLong(*simNode) {
	sim.partitionRandomly()
	length := sim.randomDuration(6000, 20000)
	sim.partitionedUntil = sim.now.Add(length)
	sim.schedule(length, sim.healPartitions)
}

// partitionRandomly puts each node on one of two sides.
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

// isolate cuts the links between a node and some others.
func (sim *simulation) isolate(node int, from ...int) {
	for _, other := range from {
		sim.nodes[node].unreachable[other] = true
		sim.nodes[other].unreachable[node] = true
	}
}

// healPartitions repairs all links.
func (sim *simulation) healPartitions() {
	if sim.now.Before(sim.partitionedUntil) {
		return
	}
	for _, node := range sim.nodes {
		node.unreachable = map[int]bool{}
	}
}

// maxClockSetback returns how much longer than it should something may last, by a clock that was set back meanwhile.
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

// runScenario runs operations and faults for some time, ends the faults and checks that everything recovers.
func (sim *simulation) runScenario(length time.Duration) {
	end := sim.now.Add(length)
	sim.longRun = length > 25*time.Second
	sim.runFor(2 * time.Second)
	for sim.now.Before(end) && sim.failure == "" {
		switch choice := sim.rng.IntN(20); {
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
		node.slowDisk = false
		node.setClock(sim.randomDuration(0, 600) - 300*time.Millisecond)
		node.thaw()
		node.start()
	}
	for _, proxy := range sim.proxies {
		proxy.start()
	}
}

// awaitRecovery runs until everything has recovered, and fails where that takes too long.
func (sim *simulation) awaitRecovery() {
	endedAt, limit := sim.now, recoveryTime
	if sim.replacementPending() {
		limit += PeerTimeout
	}
	for sim.failure == "" {
		sim.runFor(50 * time.Millisecond)
		reason := sim.unhealedReason()
		if reason == "" {
			sim.healTime = sim.now.Sub(endedAt)
			return
		}
		if sim.lastRemoval.After(endedAt) { // a node that was told to leave before
			endedAt = sim.lastRemoval
			limit = recoveryTime + PeerTimeout
		}
		if sim.now.Sub(endedAt) > limit {
			sim.lenient = false
			sim.fail("%v after the last fault %s", limit, reason)
		}
	}
}

// replacementPending reports whether a member has to be given up for the group to be complete, by the current
// configuration or by one that some disk has accepted.
func (sim *simulation) replacementPending() bool {
	configurations := []membership.Configuration{sim.configuration}
	for _, node := range sim.nodes {
		if node.removed {
			continue
		}
		accepted, err := membership.ParseConfiguration(node.disk.entries[membership.RegisterKey].Value)
		if err == nil && accepted.Epoch > sim.configuration.Epoch {
			configurations = append(configurations, accepted)
		}
	}
	for _, configuration := range configurations {
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
