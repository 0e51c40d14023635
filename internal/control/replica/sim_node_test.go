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

// simNode is a controller: its process, its clock, its disk and its links. It does what the server does for its
// replica.
type simNode struct {
	sim   *simulation
	index int
	zone  int
	self  message.Member

	// The process.
	replica      *Replica
	incarnation  int
	up           bool
	frozen       bool
	deferred     []func() // what has come while it was frozen
	pendingCalls map[uint64]func(*message.PeerResponse)
	lastCallID   uint64
	completions  map[uint64]func(Completion)
	pendingPulls []*simPull
	pulledPeers  map[string]bool // by address
	initialPeers []*simNode
	bootstrap    bool      // its next start is the first of the whole system
	startAfter   time.Time // it is not started before

	nextTick        time.Time // when the next scheduled Tick is due; or zero
	tickIncarnation int       // the incarnation that it was scheduled for

	clockSkew     time.Duration
	clockSetbacks []clockSetback

	unreachable map[int]bool // the nodes to which messages from here are lost

	disk          simDisk
	writeQueue    []diskWrite // what is not synced yet
	slowDisk      bool
	diskFails     bool
	savedSequence uint64 // see Replica.ItemsToPersist
	itemsSavedAt  time.Time
	diskCopies    []diskCopy
	lostIdentity  Identity // of a disk that was lost

	// What the checks know of it.
	lastEpoch        uint64   // in which it was seen
	diskLost         bool     // its disk was lost, and it has not caught up since
	staleDisk        string   // the ID of an old copy of a disk that was restored: it must not vote any more
	removed          bool     // for good, or until it is revived
	successorOf      *simNode // the node that it was started to replace
	leaving          bool     // it was told to leave
	leaveRequestedAt time.Time

	// State that a mutation has taken away for a step.
	hiddenEntry        quorum.Entry
	savedConfiguration membership.Configuration
	savedIdentity      Identity
	mutated            bool
}

func (node *simNode) clock() time.Time { return node.sim.now.Add(node.clockSkew) }

// isRunning reports whether the process of an incarnation is still there.
func (node *simNode) isRunning(incarnation int) bool {
	return node.up && node.incarnation == incarnation
}

// isVoting reports whether the node is up and its replica active.
func (node *simNode) isVoting() bool { return node.up && node.replica.Active() }

// isAvailable reports whether the replica is active and has a quorum.
func (node *simNode) isAvailable() bool {
	return node.replica.Active() && node.replica.HasQuorum(node.clock())
}

// accepts reports whether the node takes calls of clients.
func (node *simNode) accepts() bool {
	return node.up && !node.frozen && node.replica.HasQuorum(node.clock())
}

// start starts a process on what the disk holds.
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
		node.replica.liveness = replication.NewMemberTable(time.Hour, proxyRetention)
	}
	node.processOutput()
	for _, proxy := range sim.proxies {
		if proxy.grantor == node {
			proxy.renewedAt = sim.now.Add(time.Second) // within that the replica learns again which leases it granted
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
		MinProposal: disk.floor,
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

// maintain runs the periodic work from time to time. copiedAt is when the disk was copied last.
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
	sim.schedule(250*time.Millisecond, func() { node.maintain(incarnation, copiedAt) })
}

// discoverPeers keeps a pull of each member going, and asks the initial peers who the members are while there is no
// quorum.
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
	if node.initialPeersAreGone() {
		node.initialPeers = sim.randomPeers() // an operator names others
	}
	if !node.frozen && !node.replica.HasQuorum(node.clock()) {
		for _, peer := range node.initialPeers {
			if peer != node {
				node.requestMembers(peer.index, incarnation)
			}
		}
	}
	sim.schedule(250*time.Millisecond, func() { node.discoverPeers(incarnation) })
}

// initialPeersAreGone reports whether all initial peers were removed before the node has learned of a configuration.
func (node *simNode) initialPeersAreGone() bool {
	if node.bootstrap || node.replica.Epoch() > 0 || len(node.initialPeers) == 0 {
		return false
	}
	isPresent := func(peer *simNode) bool { return peer != node && !peer.removed }
	return !slices.ContainsFunc(node.initialPeers, isPresent)
}

// step runs a step of the replica unless the process is down. A frozen process runs it when it thaws.
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

// processOutput carries out what a step has produced.
func (node *simNode) processOutput() {
	sim, incarnation := node.sim, node.incarnation
	sim.mutateStep(node)
	sim.trackConfiguration(node)
	output := node.replica.TakeOutput()
	node.queueSaves(output.Saves)
	for _, entry := range output.LogEntries {
		sim.log(node.index, "says", entry.Message, entry.Fields)
	}
	for _, request := range output.Requests {
		sim.log(node.index, "to", request.To.Node, request.Path,
			request.Request.Proposal, request.Request.Keys, request.Request.Entries)
		node.sendRequest(request)
	}
	for _, response := range output.Responses {
		sim.log(node.index, "answers", response.Response, response.Err)
		if call := node.pendingCalls[response.CallID]; call != nil {
			delete(node.pendingCalls, response.CallID)
			call(response.Response)
		}
	}
	for _, completion := range output.Completions {
		sim.log(node.index, "done", completion)
		if done := node.completions[completion.OperationID]; done != nil {
			delete(node.completions, completion.OperationID)
			done(completion)
		}
	}
	for _, member := range output.PullNow {
		node.requestMembers(sim.nodeByAddr(member.Addr).index, incarnation)
	}
	if len(output.DeletedKeys) > 0 {
		node.writeQueue = append(node.writeQueue, diskWrite{forgotten: output.DeletedKeys})
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

// scheduleTick calls the replica's Tick at a time of the node's clock, unless an earlier call is scheduled.
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

// clockSetback is a step of a clock back.
type clockSetback struct {
	at time.Time
	by time.Duration
}

// setClock steps a clock so that it differs by a skew from the simulation's.
func (node *simNode) setClock(skew time.Duration) {
	if skew < node.clockSkew {
		node.clockSetbacks = append(node.clockSetbacks, clockSetback{node.sim.now, node.clockSkew - skew})
	}
	node.clockSkew = skew
}

// thaw has a frozen process go on.
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

// kill ends the process. Of what was handed to the disk and not synced, a random beginning is kept, its last part
// possibly only in half.
func (node *simNode) kill() {
	if !node.up {
		return
	}
	sim := node.sim
	node.up = false
	sim.forgetFragileDrains()
	kept := sim.rng.IntN(len(node.writeQueue) + 1)
	for i, write := range node.writeQueue[:kept] {
		sim.log(node.index, "killed, keeps", write.save, len(write.items), write.progress)
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

// forgetFragileDrains notes a crash, and exempts the drains from the checks whose holders may have crashed both: an
// acknowledged drain is held by two members until all have pulled and saved it.
func (sim *simulation) forgetFragileDrains() {
	sim.killTimes = append(sim.killTimes[1:], sim.now)
	for id, ackedAt := range sim.drainAckedAt {
		if sim.now.Sub(ackedAt) < 4*time.Second && !sim.killTimes[0].Before(sim.drainSentAt[id]) {
			delete(sim.drainAckedAt, id)
		}
	}
}

// remove ends a node for good.
func (node *simNode) remove() {
	node.sim.log("gone", node.index)
	node.sim.coverage["gone"]++
	node.sim.lastRemoval = node.sim.now
	node.kill()
	node.removed = true
}

// lastMember returns the member that the node was when it was last up.
func (node *simNode) lastMember() message.Member {
	member := node.self
	member.DiskID = node.disk.identity.DiskID
	return member
}
