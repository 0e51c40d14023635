package replica

import (
	"time"

	"sagelever/internal/control/membership"
)

// injectFault brings about one.
func (sim *simulation) injectFault() {
	node := sim.randomNode()
	again := func(from, to int) { sim.schedule(sim.randomDuration(from, to), node.start) }
	kind := sim.rng.IntN(25)
	if sim.longRun && sim.rng.IntN(6) == 0 {
		kind = 18
	}
	sim.log("fault", kind, node.index)
	switch kind {
	case 0, 1:
		node.kill()
		again(50, 1500)
	case 2:
		node.wipeDisk()
		again(200, 1500)
	case 3: // everyone's power, and perhaps some disks
		for _, other := range sim.nodes {
			other.kill()
			sim.schedule(sim.randomDuration(300, 900), other.start)
		}
		for range sim.rng.IntN(sim.faultTolerance + 1) {
			sim.randomNode().wipeDisk()
		}
	case 4, 5:
		for i := range sim.nodes {
			if sim.rng.IntN(2) == 0 {
				node.unreachable[i] = true
			} else {
				sim.nodes[i].unreachable[node.index] = true
			}
		}
		sim.schedule(sim.randomDuration(200, 6000), sim.healPartitions)
	case 6: // in two
		for _, other := range sim.nodes {
			for i := range sim.nodes {
				if (other.place < sim.memberCount/2) != (sim.nodes[i].place < sim.memberCount/2) {
					other.unreachable[i] = true
				}
			}
		}
		sim.schedule(sim.randomDuration(500, 6000), sim.healPartitions)
	case 7:
		node.frozen = true
		sim.schedule(sim.randomDuration(100, 4000), node.thaw)
	case 8:
		node.slowDisk = true
		sim.schedule(sim.randomDuration(500, 4000), func() { node.slowDisk = false })
	case 9:
		node.diskFails = true
		sim.schedule(sim.randomDuration(500, 3000), func() { node.diskFails = false })
	case 10:
		node.setClock(sim.randomDuration(0, 6000) - 3*time.Second) // until the faults end
	case 24:
		node.setClock(sim.randomDuration(0, 20000) - 10*time.Second)
	case 11, 12:
		proxy := sim.proxies[sim.rng.IntN(len(sim.proxies))]
		proxy.up = false
		sim.schedule(sim.randomDuration(100, 12000), proxy.start)
	case 13:
		for _, other := range sim.nodes { // a herd
			if sim.rng.IntN(3) > 0 {
				other.kill()
				sim.schedule(sim.randomDuration(50, 900), other.start)
			}
		}
	default:
		sim.injectMembershipFault(kind, node)
	}
	sim.checkDurability()
}

// setClock steps a clock to be so far from the world's.
func (x *simNode) setClock(skew time.Duration) {
	if skew < x.clockSkew {
		x.clockSetbacks = append(x.clockSetbacks, clockSetback{x.sim.now, x.clockSkew - skew})
	}
	x.clockSkew = skew
}

// clockSetback is a step of a clock back.
type clockSetback struct {
	at time.Time
	by time.Duration
}

// allowedClockSetback is by how much clocks may be set back without a word on it.
const allowedClockSetback = 3 * time.Second

// maxClockSetback is by how much longer something may last by the clock of some member that was set back meanwhile.
func (sim *simulation) maxClockSetback(since time.Time) time.Duration {
	limit := allowedClockSetback
	for _, node := range sim.nodes {
		sum := time.Duration(0)
		for _, setback := range node.clockSetbacks {
			if setback.at.After(since) {
				sum += setback.by
			}
		}
		limit = max(limit, sum)
	}
	return limit
}

func (x *simNode) thaw() {
	x.frozen = false
	asleep := x.deferred
	x.deferred = nil
	for _, do := range asleep {
		do()
	}
	if x.up {
		x.servePendingPulls()
	}
}

func (sim *simulation) healPartitions() {
	if sim.now.Before(sim.partitionedUntil) {
		return
	}
	for _, node := range sim.nodes {
		node.unreachable = map[int]bool{}
	}
}

// runScenario plays some seconds of orders and faults, then the end of all faults, and what must hold afterwards.
func (sim *simulation) runScenario(length time.Duration) {
	startedAt := sim.now
	sim.longRun = length > 25*time.Second
	sim.runUntil(startedAt.Add(2 * time.Second))
	for sim.now.Before(startedAt.Add(length)) && sim.failure == "" {
		switch choice := sim.rng.IntN(20); {
		case choice < 12:
			sim.randomOperation()
		case choice < 14:
			sim.checkListenerAddrs()
		case choice == 14:
			sim.injectFault()
		}
		sim.runUntil(sim.now.Add(sim.randomDuration(5, 120)))
	}
	sim.endFaults()
	sim.awaitRecovery()
	if sim.failure == "" {
		sim.checkLinearizable()
	}
}

// endFaults has all faults end, and everything start that is not gone for good.
func (sim *simulation) endFaults() {
	sim.injectsFaults, sim.partitionedUntil = false, time.Time{}
	sim.healPartitions()
	for _, node := range sim.nodes {
		node.startAfter = time.Time{}
		node.diskFails, node.slowDisk = false, false
		node.setClock(sim.randomDuration(0, 600) - 300*time.Millisecond)
		node.thaw()
		node.start()
	}
	for _, proxy := range sim.proxies {
		proxy.start()
	}
}

// awaitRecovery waits until all is whole: within sync_time, and what passes until a member that is gone is given up.
func (sim *simulation) awaitRecovery() {
	ended, within := sim.now, 4*time.Second
	if sim.replacementPending() {
		within += PeerTimeout
	}
	for sim.failure == "" {
		sim.runUntil(sim.now.Add(50 * time.Millisecond))
		what := sim.unhealedReason()
		if what == "" {
			sim.healTime = sim.now.Sub(ended)
			return
		}
		if sim.lastRemoval.After(ended) { // one that was told to leave before has ended
			ended, within = sim.lastRemoval, 4*time.Second+PeerTimeout
		}
		if sim.now.Sub(ended) > within {
			sim.lenient = false
			sim.fail("%v after the last fault %s", within, what)
		}
	}
}

// replacementPending tells whether a member has to be given up for the core to have its full size: of the set in force, or of one
// that some disk has accepted.
func (sim *simulation) replacementPending() bool {
	sets := []membership.Configuration{sim.configuration}
	for _, node := range sim.nodes {
		if set, err := membership.ParseConfiguration(node.disk.entries[membership.RegisterKey].Value); !node.removed && err == nil && set.Epoch > sim.configuration.Epoch {
			sets = append(sets, set)
		}
	}
	for _, set := range sets {
		if set.Epoch > 0 && len(set.Members) < sim.memberCount {
			return true
		}
		for _, member := range set.Members {
			if node := sim.nodeByAddr(member.Addr); node.removed || node.leaving {
				return true
			}
		}
	}
	return false
}
