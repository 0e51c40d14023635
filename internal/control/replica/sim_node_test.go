package replica

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"sagelever/internal/control/membership"
	"sagelever/internal/control/message"
	"sagelever/internal/control/quorum"
	"sagelever/internal/control/replication"
)

const (
	// maintenanceInterval is the interval of maintain and discoverPeers.
	maintenanceInterval = 250 * time.Millisecond

	// drainSaveTime is the time within which all members have pulled and saved an acknowledged drain.
	drainSaveTime = 4 * time.Second
)

// simNode is a controller: its process, clock, disk and links. Like the server, it carries out the Output of its
// replica.
type simNode struct {
	sim   *simulation
	index int
	zone  int
	self  message.Member

	formerAddrs []string // at which it was reachable before it moved

	// The process.
	replica      *Replica
	incarnation  int
	up           bool
	frozen       bool
	deferred     []func() // steps received while frozen
	pendingCalls map[uint64]func(*message.PeerResponse)
	lastCallID   uint64
	completions  map[uint64]func(Completion)
	pendingPulls []*simPull
	pulledPeers  map[string]bool // by address
	initialPeers []*simNode
	bootstrap    bool      // the next start belongs to the first start of the system
	startAfter   time.Time // earlier starts are postponed until then

	nextTick        time.Time // when the next scheduled Tick is due; zero for none
	tickIncarnation int       // the incarnation for which it is scheduled

	clockSkew     time.Duration
	clockSetbacks []clockSetback

	unreachable map[int]bool // by index: the nodes to which messages from this node are lost

	disk          simDisk
	writeQueue    []diskWrite // writes that are not synced yet
	slowDisk      bool
	diskFails     bool
	diskStalled   bool
	savedSequence uint64 // see Replica.ItemsToPersist
	itemsSavedAt  time.Time
	diskCopies    []diskCopy
	lostIdentity  Identity // the identity on the disk that was lost last

	// State of the checks.
	lastEpoch        uint64   // the epoch of its configuration that was checked last
	diskLost         bool     // the disk was lost and the node has not caught up since
	staleDiskID      string   // the ID of a restored old disk copy, on which the node must not vote; empty for none
	removed          bool     // permanently, or until reviveNode
	wasRemoved       bool     // it has been removed, whether or not it was revived since
	replacementOf    *simNode // the node that it was started to replace; may be nil
	leaving          bool     // it was requested to leave
	leaveRequestedAt time.Time

	// Original state, which a mutation has replaced for the duration of a step.
	hiddenEntry        quorum.Entry
	savedConfiguration membership.Configuration
	savedIdentity      Identity
	membershipAltered  bool
}

func (node *simNode) clock() time.Time { return node.sim.now.Add(node.clockSkew) }

// isRunning reports whether the process of an incarnation is still running.
func (node *simNode) isRunning(incarnation int) bool {
	return node.up && node.incarnation == incarnation
}

// isVoting reports whether the node is up and its replica is active.
func (node *simNode) isVoting() bool { return node.up && node.replica.Active() }

// isAvailable reports whether the replica is active and has a quorum.
func (node *simNode) isAvailable() bool {
	return node.replica.Active() && node.replica.HasQuorum(node.clock())
}

// acceptsCalls reports whether the node accepts calls from clients.
func (node *simNode) acceptsCalls() bool {
	return node.up && !node.frozen && node.replica.HasQuorum(node.clock())
}

// start starts a process with the state on the disk.
func (node *simNode) start() {
	if node.up || node.removed {
		return
	}
	sim := node.sim
	if sim.now.Before(node.startAfter) {
		sim.schedule(node.startAfter.Sub(sim.now), node.start)
		return
	}
	node.incarnation++
	sim.log("start", node.index, node.disk.identity)
	node.up = true
	node.frozen = false
	node.deferred = nil
	node.writeQueue = nil
	node.savedSequence = 0
	node.lastEpoch = 0
	node.pendingCalls = map[uint64]func(*message.PeerResponse){}
	node.completions = map[uint64]func(Completion){}
	node.pendingPulls = nil
	node.pulledPeers = map[string]bool{}
	node.replica = New(node.config(), node.persistedState(), node.clock())
	node.bootstrap = false
	if sim.mutation == mutationEndlessLease {
		node.replica.liveness = replication.NewLivenessTable(time.Hour, proxyRetention)
	}
	node.processOutput()
	for _, proxy := range sim.proxies {
		if proxy.grantor == node {
			// Within a second, the restarted replica learns from its peers which leases it had granted.
			proxy.renewedAt = sim.now.Add(time.Second)
		}
	}
	node.maintain(node.incarnation, time.Time{})
	node.discoverPeers(node.incarnation)
}

func (node *simNode) config() Config {
	sim := node.sim
	regionByZone := map[string]string{}
	for zone := range sim.memberCount {
		regionByZone[fmt.Sprint("z", zone)] = "r"
	}
	var initialAddrs []string
	for _, peer := range node.initialPeers {
		initialAddrs = append(initialAddrs, peer.self.Addr)
	}
	return Config{
		Self:   node.self,
		Source: fmt.Sprint(node.self.Node, "@", node.incarnation),
		Target: membership.Target{
			MembersPerZone: 1,
			Zones:          sim.memberCount,
			MaxFailures:    sim.faultTolerance,
		},
		InitialPeers:   initialAddrs,
		Bootstrap:      node.bootstrap,
		RegionByZone:   regionByZone,
		BackendTimeout: 3 * time.Second,
		Random:         sim.rng.Float64,

		MaxResponseBytes: sim.maxResponseBytes,
	}
}

func (node *simNode) persistedState() PersistedState {
	disk := node.disk.clone()
	persisted := PersistedState{
		Entries:     slices.Collect(maps.Values(disk.entries)),
		MinProposal: disk.minProposal,
		Identity:    disk.identity,
		Generations: disk.generations,
		Items:       slices.Collect(maps.Values(disk.items)),
		Progress:    disk.progress,
		ProgressAt:  disk.progressAt,
	}
	if node.sim.mutation == mutationWipedVotes && persisted.Identity.DiskID == "" && !node.bootstrap &&
		node.lostIdentity.DiskID != "" {
		persisted.Identity = node.lostIdentity
	}
	return persisted
}

// maintain runs the replica's periodic maintenance and saves its items at intervals. copiedAt is when the disk was
// last copied.
func (node *simNode) maintain(incarnation int, copiedAt time.Time) {
	sim := node.sim
	if !node.isRunning(incarnation) {
		return
	}
	node.step(node.replica.Maintain)
	node.saveItems()
	if sim.longRun && sim.now.Sub(copiedAt) >= time.Second {
		copiedAt = sim.now
		node.copyDisk()
	}
	sim.schedule(maintenanceInterval, func() { node.maintain(incarnation, copiedAt) })
}

// discoverPeers starts a pull loop for each member that has none and, while there is no quorum, pulls the members from
// the initial peers. It repeats this at intervals.
func (node *simNode) discoverPeers(incarnation int) {
	sim := node.sim
	if !node.isRunning(incarnation) {
		return
	}
	for _, member := range node.replica.OtherMembers() {
		if !node.pulledPeers[member.Addr] {
			node.pulledPeers[member.Addr] = true
			node.pullLoop(sim.nodeByAddr(member.Addr).index, incarnation, sim.randomDuration(0, 60))
		}
	}
	if node.initialPeersRemoved() {
		node.initialPeers = sim.randomPeers() // an operator configures others
	}
	if !node.frozen && !node.replica.HasQuorum(node.clock()) {
		for _, peer := range node.initialPeers {
			if peer != node {
				node.pullMembers(peer.index, incarnation)
			}
		}
	}
	sim.schedule(maintenanceInterval, func() { node.discoverPeers(incarnation) })
}

// initialPeersRemoved reports whether all initial peers were removed before the node has received a configuration.
func (node *simNode) initialPeersRemoved() bool {
	if node.bootstrap || node.replica.Epoch() > 0 || len(node.initialPeers) == 0 {
		return false
	}
	isPresent := func(peer *simNode) bool { return peer != node && !peer.removed }
	return !slices.ContainsFunc(node.initialPeers, isPresent)
}

// step runs a step of the replica, unless the process is down, and carries out its output. A frozen process runs the
// step after thaw.
func (node *simNode) step(do func(now time.Time)) {
	if !node.up {
		return
	}
	if node.frozen {
		incarnation := node.incarnation
		node.deferred = append(node.deferred, func() {
			if node.incarnation == incarnation {
				node.step(do)
			}
		})
		return
	}
	sim := node.sim
	if sim.mutation == mutationOpenEpoch && node.replica.isRunning(quorumRead) {
		read := &message.PeerRequest{Epoch: node.replica.Epoch()}
		sim.mutateBefore(node, OutgoingRequest{Path: message.ReadPath, Request: read})
	}
	do(node.clock())
	sim.mutateAfter(node)
	node.processOutput()
}

// processOutput carries out the output of a step.
func (node *simNode) processOutput() {
	sim, incarnation := node.sim, node.incarnation
	sim.mutateStep(node)
	sim.trackConfiguration(node)
	output := node.replica.TakeOutput()
	node.queueSaves(output.Saves)
	for _, entry := range output.LogEntries {
		sim.log(node.index, "logs", entry.Message, entry.Fields)
	}
	for _, request := range output.Requests {
		sim.log(node.index, "sends to", request.To.Node, request.Path,
			request.Request.Proposal, request.Request.Keys, request.Request.Entries)
		node.sendRequest(request)
	}
	for _, response := range output.Responses {
		sim.log(node.index, "responds", traced{response.Response}, response.Err)
		if call := node.pendingCalls[response.CallID]; call != nil {
			delete(node.pendingCalls, response.CallID)
			call(response.Response)
		}
	}
	for _, completion := range output.Completions {
		sim.log(node.index, "completes", completion)
		if done := node.completions[completion.OperationID]; done != nil {
			delete(node.completions, completion.OperationID)
			done(completion)
		}
	}
	for _, member := range output.PullNow {
		node.pullMembers(sim.nodeByAddr(member.Addr).index, incarnation)
	}
	if len(output.DeletedKeys) > 0 {
		node.writeQueue = append(node.writeQueue, diskWrite{deletedKeys: output.DeletedKeys})
	}
	if output.NotifyAfter >= 0 {
		sim.schedule(output.NotifyAfter, func() {
			if node.isRunning(incarnation) && !node.frozen {
				node.servePendingPulls()
			}
		})
	}
	node.scheduleTick(node.replica.NextDeadline())
}

// scheduleTick schedules a call of the replica's Tick for a time by the node's clock, unless an earlier call is
// scheduled.
func (node *simNode) scheduleTick(due time.Time) {
	sim, incarnation := node.sim, node.incarnation
	if due.IsZero() {
		return
	}
	at := sim.now.Add(max(0, due.Sub(node.clock())))
	if node.tickIncarnation == incarnation && !node.nextTick.IsZero() && !at.Before(node.nextTick) {
		return
	}
	node.nextTick, node.tickIncarnation = at, incarnation
	sim.schedule(at.Sub(sim.now), func() {
		if !node.isRunning(incarnation) {
			return
		}
		if node.nextTick.Equal(at) {
			node.nextTick = time.Time{}
		}
		node.step(node.replica.Tick)
	})
}

// clockSetback is a backward step of a clock.
type clockSetback struct {
	at time.Time
	by time.Duration
}

// setClock steps the node's clock to the given skew from the simulation's time.
func (node *simNode) setClock(skew time.Duration) {
	if skew < node.clockSkew {
		node.clockSetbacks = append(node.clockSetbacks, clockSetback{node.sim.now, node.clockSkew - skew})
	}
	node.clockSkew = skew
}

// thaw resumes a frozen process and runs its deferred steps.
func (node *simNode) thaw() {
	node.frozen = false
	deferred := node.deferred
	node.deferred = nil
	for _, run := range deferred {
		run()
	}
	if node.up {
		node.servePendingPulls()
	}
}

// kill ends the process. Of the unsynced writes, a random number of the first ones reach the disk; the last of these
// may be torn.
func (node *simNode) kill() {
	if !node.up {
		return
	}
	sim := node.sim
	node.up = false
	sim.recordCrash()
	kept := sim.rng.IntN(len(node.writeQueue) + 1)
	for i, write := range node.writeQueue[:kept] {
		sim.log(node.index, "killed, keeps write", traced{write.save}, len(write.items), write.progress)
		torn := i == kept-1 && write.save == nil
		node.disk.apply(write, torn)
	}
	node.writeQueue = nil
	for _, pull := range node.pendingPulls {
		if pull.reply != nil {
			sim.schedule(sim.randomDuration(1, 40), pull.peerDied)
		}
	}
	sim.checkDurability()
}

// recordCrash records the time of a crash and exempts the acknowledged drains from the checks that this crash and the
// previous one may have lost: until all links have worked for drainSaveTime since the acknowledgement, only two members
// may hold a drain.
func (sim *simulation) recordCrash() {
	sim.killTimes = append(sim.killTimes[1:], sim.now)
	for id, ackedAt := range sim.drainAckedAt {
		pulledSince := latestOf(ackedAt, sim.linksHealedAt)
		replicated := !sim.linksCut() && sim.now.Sub(pulledSince) >= drainSaveTime
		if !replicated && !sim.killTimes[0].Before(sim.drainSentAt[id]) {
			delete(sim.drainAckedAt, id)
		}
	}
}

// linksCut reports whether any link is cut.
func (sim *simulation) linksCut() bool {
	isCut := func(node *simNode) bool { return len(node.unreachable) > 0 }
	return slices.ContainsFunc(sim.nodes, isCut)
}

// remove ends a node permanently.
func (node *simNode) remove() {
	node.sim.log("removed", node.index)
	node.sim.coverage["node removed"]++
	node.sim.lastRemoval = node.sim.now
	node.recordCandidateLoss()
	node.kill()
	node.removed = true
	node.wasRemoved = true
}

// lastMember returns the node as a member, with the disk on which it last ran.
func (node *simNode) lastMember() message.Member {
	member := node.self
	member.DiskID = node.disk.identity.DiskID
	return member
}
