package replica

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"sagelever/internal/control/membership"
	"sagelever/internal/control/quorum"
)

// isHealthy reports whether the configuration is complete, its epoch is at least the given one, and all its members are
// available.
func (sim *simulation) isHealthy(epoch uint64) bool {
	if sim.configuration.Epoch < epoch || len(sim.configuration.Members) != sim.memberCount {
		return false
	}
	for _, member := range sim.configuration.Members {
		node := sim.nodeByAddr(member.Addr)
		if node.removed || !node.up || !node.isAvailable() {
			return false
		}
	}
	return true
}

// waitForEpoch runs the simulation until the configuration of an epoch is chosen. It reports whether that is the case
// within the limit.
func (sim *simulation) waitForEpoch(limit time.Duration, epoch uint64) bool {
	return sim.waitFor(limit, time.Millisecond, func() bool { return sim.configuration.Epoch == epoch })
}

// beginLeave makes a node leave in a simulation without injected faults.
func (node *simNode) beginLeave() {
	node.leaving = true
	node.leaveRequestedAt = node.sim.now
	node.leave(0)
}

// A planned replacement takes the place of a leaving member, which stops once it isn't needed any more; an unplanned
// one takes the place of a removed member. Both complete within PeerTimeout plus recoveryTime. Writes succeed before
// and after, and no acknowledged write is lost.
func TestMemberReplacement(t *testing.T) {
	for _, size := range groupSizes {
		for _, planned := range []bool{true, false} {
			t.Run(fmt.Sprintf("%d members, planned %v", size.members, planned), func(t *testing.T) {
				testMemberReplacement(t, size, planned)
			})
		}
	}
}

func testMemberReplacement(t *testing.T, size groupSize, planned bool) {
	sim := newFaultFreeSimulation(size.members, size.failures, 35*time.Millisecond, 5*time.Millisecond)
	writer, replaced := sim.nodes[0], sim.nodes[1]
	sim.writeAndMeasure(writer, "item/routes/r", 1)
	var startedAt time.Time
	if planned {
		sim.addNode(replaced.zone, 0).replacementOf = replaced
		sim.runFor(2 * time.Second)
		startedAt = sim.now
		replaced.beginLeave()
	} else {
		startedAt = sim.now
		replaced.remove()
		sim.addNode(replaced.zone, 500*time.Millisecond)
	}
	isReplaced := func() bool { return replaced.removed && sim.isHealthy(2) }
	if !sim.waitFor(PeerTimeout+recoveryTime, time.Millisecond, isReplaced) {
		t.Errorf("not replaced: %s", sim.unrecoveredReason())
	}
	t.Logf("replaced after %v", sim.now.Sub(startedAt))
	sim.writeAndMeasure(writer, "item/routes/r", 2)
	sim.checkDurability()
	sim.reportFailure(t)
}

// As many members as may fail are removed permanently. Another member leaves, and its process restarts after the next
// configuration was chosen but before any member has taken over. The takeover needs the registers of the leaving
// member, which must therefore still serve them.
func TestRemovedMemberRestartsBeforeTakeover(t *testing.T) {
	for _, size := range groupSizes {
		t.Run(fmt.Sprintf("%d members", size.members), func(t *testing.T) {
			sim := newFaultFreeSimulation(size.members, size.failures, 35*time.Millisecond, 5*time.Millisecond)
			sim.writeAndMeasure(sim.nodes[0], "item/routes/r", 1)
			for i := range sim.faultTolerance {
				sim.nodes[sim.memberCount-1-i].remove()
			}
			node := sim.nodes[1]
			sim.addNode(node.zone, 0)
			sim.runFor(2 * time.Second)
			node.step(node.replica.Leave)
			if !sim.waitForEpoch(recoveryTime, 2) {
				t.Fatal("the next configuration is not chosen")
			}
			node.kill()
			sim.runFor(100 * time.Millisecond)
			node.start()
			enoughActive := func() bool { return sim.activeInEpoch(2) >= sim.memberCount-sim.faultTolerance }
			if !sim.waitFor(recoveryTime, time.Millisecond, enoughActive) {
				t.Error("too few members are active in the next epoch")
			}
			sim.reportFailure(t)
		})
	}
}

// activeInEpoch returns the number of replicas that are active in an epoch.
func (sim *simulation) activeInEpoch(epoch uint64) (active int) {
	for _, node := range sim.nodes {
		if node.isVoting() && node.replica.Epoch() == epoch {
			active++
		}
	}
	return active
}

// A replaced member that returns, with its disk or an empty one, receives the current configuration and does not become
// active.
func TestRemovedMemberReturns(t *testing.T) {
	for _, empty := range []bool{false, true} {
		t.Run(fmt.Sprintf("empty disk %v", empty), func(t *testing.T) {
			sim := newFaultFreeSimulation(6, 2, 35*time.Millisecond, 5*time.Millisecond)
			node := sim.nodes[1]
			node.remove()
			sim.addNode(node.zone, 0)
			isReplaced := func() bool { return sim.isHealthy(2) }
			if !sim.waitFor(PeerTimeout+recoveryTime, time.Millisecond, isReplaced) {
				t.Fatal("not replaced")
			}
			node.removed = false
			if empty {
				node.disk = newSimDisk()
			}
			node.start()
			sim.writeAndMeasure(sim.nodes[0], "item/routes/r", 3)
			sim.runFor(PeerTimeout + recoveryTime)
			if sim.configuration.Epoch != 2 || node.replica.Active() || node.replica.HasQuorum(node.clock()) {
				t.Errorf("epoch %d, active: %v", sim.configuration.Epoch, node.replica.Active())
			}
			if epoch := node.replica.Epoch(); epoch != 2 {
				t.Errorf("the replica has adopted epoch %d", epoch)
			}
			sim.reportFailure(t)
		})
	}
}

// After the next configuration is accepted, the leaving member and one that stays are isolated from the others, before
// they learn that it was chosen. No read at these two may miss a write that the others acknowledge afterwards, which
// would happen if a replica answered reads in a closed epoch.
func TestClosedEpochAnswersNoReads(t *testing.T) {
	for mutation, runs := range map[string]uint64{"": 100, mutationOpenEpoch: 400} {
		t.Run(fmt.Sprintf("mutation %q", mutation), func(t *testing.T) {
			failure := ""
			acknowledged := 0
			for seed := uint64(0); seed < runs && failure == ""; seed++ {
				sim := readFromClosedEpoch(seed, mutation)
				if sim.ackedVersions["item/routes/r0"] == 7 {
					acknowledged++
				}
				if failure = sim.failure; failure != "" {
					t.Logf("detected by run %d: %s", seed+1, failure)
				}
			}
			if acknowledged == 0 && failure == "" {
				t.Error("no write was acknowledged")
			}
			if mutation == "" && failure != "" || mutation != "" && !strings.Contains(failure, "a read at") {
				t.Errorf("the checks detect %q", failure)
			}
		})
	}
}

// readFromClosedEpoch runs the scenario of TestClosedEpochAnswersNoReads.
func readFromClosedEpoch(seed uint64, mutation string) *simulation {
	sim := newSimulation(seed, 6, 1, mutation)
	sim.injectsFaults = false
	sim.runFor(3 * time.Second)
	leaving, staying := sim.nodes[5], sim.nodes[sim.rng.IntN(5)]
	sim.addNode(leaving.zone, 0)
	sim.runFor(2 * time.Second)
	leaving.step(leaving.replica.Leave)
	sim.waitFor(4*time.Second, time.Millisecond, sim.nextConfigurationAccepted)
	sim.runFor(sim.randomDuration(0, 80))
	for _, node := range sim.nodes {
		if node != leaving && node != staying {
			sim.isolate(node.index, leaving.index, staying.index)
		}
	}
	sim.runFor(200 * time.Millisecond)
	writer := sim.nodes[(staying.index+1)%5]
	for range 3 {
		writer.writeItem("item/routes/r0", 7)
		sim.runFor(time.Second)
	}
	for range 3 {
		staying.readAllRegisters()
		leaving.readAllRegisters()
		sim.runFor(300 * time.Millisecond)
	}
	return sim
}

// nextConfigurationAccepted reports whether some disk holds the second configuration.
func (sim *simulation) nextConfigurationAccepted() bool {
	for _, node := range sim.nodes {
		if node.disk.entries[membership.RegisterKey].Value.Version == 2 {
			return true
		}
	}
	return false
}

// Two of six members and a new one lack an acknowledged write. They receive the next configuration and nothing else. If
// a takeover read only as many members as may fail, the three would become active without the write; as it reads one
// more, they wait.
func TestTakeoverNeedsEnoughMembers(t *testing.T) {
	for mutation, want := range map[string]string{"": "", mutationSmallTakeover: "acknowledged"} {
		t.Run(fmt.Sprintf("mutation %q", mutation), func(t *testing.T) {
			sim := newSimulation(1, 6, 2, mutation)
			sim.injectsFaults = false
			sim.runFor(3 * time.Second)
			leaving := sim.nodes[3]
			sim.addNode(leaving.zone, 0)
			sim.runFor(2 * time.Second)
			for _, node := range []int{4, 5, 6} {
				sim.isolate(node, 0, 1, 2, 3)
			}
			isAcknowledged := func() bool { return sim.ackedVersions["item/routes/r0"] == 7 }
			sim.nodes[0].writeItem("item/routes/r0", 7)
			sim.waitFor(time.Second, time.Millisecond, isAcknowledged)
			leaving.step(leaving.replica.Leave)
			if !sim.waitForEpoch(3*time.Second, 2) || !isAcknowledged() {
				t.Fatal("the write was not acknowledged, or the next configuration was not chosen")
			}
			sim.runFor(200 * time.Millisecond)
			next := sim.nodes[0].replica.local.configurationEntry
			for _, node := range sim.nodes[4:7] {
				node.step(func(now time.Time) {
					changed := node.replica.learnEntries(now, []quorum.Entry{next})
					node.replica.save(now, Save{Entries: changed}, nil)
				})
			}
			sim.runFor(2 * time.Second)
			sim.checkDurability()
			if (want == "") != (sim.failure == "") || !strings.Contains(sim.failure, want) {
				t.Errorf("the checks detect %q, want %q", sim.failure, want)
			}
		})
	}
}
