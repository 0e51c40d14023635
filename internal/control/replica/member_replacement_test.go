package replica

import (
	"strings"
	"testing"
	"time"

	"sagelever/internal/control/membership"
	"sagelever/internal/control/quorum"
)

// waitFor steps until something holds, for so long at most.
func (sim *simulation) waitFor(limit time.Duration, holds func() bool) bool {
	for end := sim.now.Add(limit); sim.now.Before(end); sim.runUntil(sim.now.Add(time.Millisecond)) {
		if holds() {
			return true
		}
	}
	return holds()
}

// healthy tells whether all members of the newest set act and hear the core.
func (sim *simulation) healthy(epoch uint64) bool {
	if sim.configuration.Epoch < epoch || len(sim.configuration.Members) != sim.memberCount {
		return false
	}
	for _, member := range sim.configuration.Members {
		node := sim.nodeByAddr(member.Addr)
		if node.removed || !node.up || !node.replica.Active() || !node.replica.HasQuorum(node.clock()) {
			return false
		}
	}
	return true
}

// A planned replacement takes the place of a member that leaves, which ends once it is not wanted any more; it takes one of
// which nobody is left within Heard and sync_time. Orders go on before and after, and what was acknowledged stands.
func TestMemberReplacement(t *testing.T) {
	for _, size := range groupSizes {
		for _, planned := range []bool{true, false} {
			sim := newCalmSimulationOf(size[0], size[1], 35*time.Millisecond, 5*time.Millisecond)
			replaced, writer := sim.nodes[1], sim.nodes[0]
			sim.writeAndMeasure(writer, "item/routes/r", 1)
			var startedAt time.Time
			if planned {
				sim.addNode(replaced.place, 0).successorOf = replaced
				sim.runUntil(sim.now.Add(2 * time.Second))
				startedAt = sim.now
				replaced.leaveWithoutFaults(func() { replaced.leave(0) })
			} else {
				startedAt = sim.now
				replaced.remove()
				sim.addNode(replaced.place, 500*time.Millisecond)
			}
			if !sim.waitFor(PeerTimeout+4*time.Second, func() bool { return replaced.removed && sim.healthy(2) }) {
				t.Errorf("%d members, planned %v: not whole: %s", sim.memberCount, planned, sim.unhealedReason())
			}
			t.Logf("%d members, planned %v: whole after %v", sim.memberCount, planned, sim.now.Sub(startedAt))
			sim.writeAndMeasure(writer, "item/routes/r", 2)
			sim.checkDurability()
			if sim.failure != "" {
				t.Errorf("%d members, planned %v: %s", sim.memberCount, planned, sim.failure)
			}
		}
	}
}

// leaveWithoutFaults has something begin that is otherwise begun while faults go on.
func (x *simNode) leaveWithoutFaults(do func()) {
	x.leaving, x.leaveRequestedAt = true, x.sim.now
	do()
}

// One member is gone for good. Another leaves, and its process is started again when the next set was decided and nobody has
// taken over: what it holds is wanted by those that take over, so it has to tell it.
func TestRemovedMemberRestartsBeforeTakeover(t *testing.T) {
	for _, size := range groupSizes {
		sim := newCalmSimulationOf(size[0], size[1], 35*time.Millisecond, 5*time.Millisecond)
		sim.writeAndMeasure(sim.nodes[0], "item/routes/r", 1)
		for i := range sim.faultTolerance {
			sim.nodes[sim.memberCount-1-i].remove()
		}
		node := sim.nodes[1]
		sim.addNode(node.place, 0)
		sim.runUntil(sim.now.Add(2 * time.Second))
		node.step(node.replica.Leave)
		if !sim.waitFor(4*time.Second, func() bool { return sim.configuration.Epoch == 2 }) {
			t.Fatalf("%d members: no next set", sim.memberCount)
		}
		node.kill()
		sim.runUntil(sim.now.Add(100 * time.Millisecond))
		node.start()
		acting := func() bool {
			count := 0
			for _, other := range sim.nodes {
				if other.up && other.replica.Active() && other.replica.local.configuration.Epoch == 2 {
					count++
				}
			}
			return count >= sim.memberCount-sim.faultTolerance
		}
		if !sim.waitFor(4*time.Second, acting) {
			t.Errorf("%d members: too few act in the next set", sim.memberCount)
		}
		if sim.failure != "" {
			t.Errorf("%d members: %s", sim.memberCount, sim.failure)
		}
	}
}

// A member that was removed comes back, with the disk that it had and with an empty one, while another has its place: it
// learns that and does nothing.
func TestRemovedMemberComesBack(t *testing.T) {
	for _, empty := range []bool{false, true} {
		sim := newCalmSimulation(35*time.Millisecond, 5*time.Millisecond)
		node := sim.nodes[1]
		node.remove()
		sim.addNode(node.place, 0)
		if !sim.waitFor(PeerTimeout+4*time.Second, func() bool { return sim.healthy(2) }) {
			t.Fatal("not replaced")
		}
		node.removed = false
		if empty {
			node.disk = newSimDisk()
		}
		node.start()
		sim.writeAndMeasure(sim.nodes[0], "item/routes/r", 3)
		sim.runUntil(sim.now.Add(PeerTimeout + 4*time.Second))
		if sim.configuration.Epoch != 2 || node.replica.Active() || node.replica.HasQuorum(node.clock()) {
			t.Errorf("empty %v: epoch %d, it acts: %v", empty, sim.configuration.Epoch, node.replica.Active())
		}
		if node.replica.local.configuration.Epoch != 2 {
			t.Errorf("empty %v: it does not know of epoch 2", empty)
		}
		if sim.failure != "" {
			t.Errorf("empty %v: %s", empty, sim.failure)
		}
	}
}

// A change of members is accepted, and the one that goes and one that stays are cut off from the others before they hear that
// it was chosen. What the others then confirm no read of these two may miss, and it does where sealed members answer reads.
func TestClosedEpochAnswersNoReads(t *testing.T) {
	for mutation, runs := range map[string]uint64{"": 100, mutationOpenEpoch: 400} {
		found := ""
		confirmed := 0
		for seed := uint64(0); seed < runs && found == ""; seed++ {
			sim := newSimulation(seed, 6, 1, mutation)
			sim.injectsFaults = false
			sim.runUntil(sim.now.Add(3 * time.Second))
			leaving, staying := sim.nodes[5], sim.nodes[sim.rng.IntN(5)]
			sim.addNode(leaving.place, 0)
			sim.runUntil(sim.now.Add(2 * time.Second))
			leaving.step(leaving.replica.Leave)
			sim.waitFor(4*time.Second, sim.reconfiguring)
			sim.runUntil(sim.now.Add(sim.randomDuration(0, 80)))
			for _, node := range sim.nodes {
				if node != leaving && node != staying {
					sim.isolate(node.index, leaving.index, staying.index)
				}
			}
			sim.runUntil(sim.now.Add(200 * time.Millisecond))
			writer := sim.nodes[(staying.index+1)%5]
			for range 3 {
				writer.writeItem("item/routes/r0", 7)
				sim.runUntil(sim.now.Add(time.Second))
			}
			if sim.ackedVersions["item/routes/r0"] == 7 {
				confirmed++
			}
			for range 3 {
				staying.readAllRegisters()
				leaving.readAllRegisters()
				sim.runUntil(sim.now.Add(300 * time.Millisecond))
			}
			if found = sim.failure; found != "" {
				t.Logf("%q: found by run %d: %s", mutation, seed+1, found)
			}
		}
		if confirmed == 0 && found == "" {
			t.Errorf("%q: nothing was confirmed", mutation)
		}
		if mutation == "" && found != "" || mutation != "" && !strings.Contains(found, "a read at") {
			t.Errorf("%q: found %q", mutation, found)
		}
	}
}

// reconfiguring tells whether some disk has accepted a next set.
func (sim *simulation) reconfiguring() bool {
	for _, node := range sim.nodes {
		if node.disk.entries[membership.RegisterKey].Value.Version == 2 {
			return true
		}
	}
	return false
}

// Two of six lack what was confirmed, and a newcomer does. They hear of the next set and of nobody else: taking over from f
// of them they would act without it, and from f+1 they wait.
func TestTakeoverNeedsEnoughMembers(t *testing.T) {
	for mutation, by := range map[string]string{"": "", mutationSmallTakeover: "acknowledged"} {
		sim := newSimulation(1, 6, 2, mutation)
		sim.injectsFaults = false
		sim.runUntil(sim.now.Add(3 * time.Second))
		leaving := sim.nodes[3]
		sim.addNode(leaving.place, 0)
		sim.runUntil(sim.now.Add(2 * time.Second))
		sim.isolate(4, 0, 1, 2, 3)
		sim.isolate(5, 0, 1, 2, 3)
		sim.isolate(6, 0, 1, 2, 3)
		sim.nodes[0].writeItem("item/routes/r0", 7)
		sim.waitFor(time.Second, func() bool { return sim.ackedVersions["item/routes/r0"] == 7 })
		leaving.step(leaving.replica.Leave)
		if !sim.waitFor(3*time.Second, func() bool { return sim.configuration.Epoch == 2 }) || sim.ackedVersions["item/routes/r0"] != 7 {
			t.Fatalf("%q: nothing was confirmed, or no set followed", mutation)
		}
		sim.runUntil(sim.now.Add(200 * time.Millisecond))
		told := sim.nodes[0].replica.local.configurationEntry
		for _, x := range []*simNode{sim.nodes[4], sim.nodes[5], sim.nodes[6]} {
			x.step(func(now time.Time) {
				x.replica.save(now, Save{Entries: x.replica.learnEntries(now, []quorum.Entry{told})}, nil)
			})
		}
		sim.runUntil(sim.now.Add(2 * time.Second))
		sim.checkDurability()
		if mutation == "" && sim.failure != "" || !strings.Contains(sim.failure, by) || by != "" && sim.failure == "" {
			t.Errorf("%q: found %q", mutation, sim.failure)
		}
	}
}
