package replica

import (
	"errors"
	"maps"
	"slices"
	"time"

	"sagelever/internal/control/membership"
	"sagelever/internal/control/message"
	"sagelever/internal/control/quorum"
	"sagelever/internal/control/replication"
)

// itemSaveInterval is the interval at which the progress is saved even if no item has changed, as the server does.
const itemSaveInterval = 5 * time.Second

var errDiskFails = errors.New("simulated disk failure")

// simDisk is the synced content of a disk.
type simDisk struct {
	entries     map[string]quorum.Entry
	minProposal quorum.ProposalNumber
	identity    Identity
	generations map[string]message.DiskGeneration
	items       map[string]PersistedItem
	progress    replication.Vector
	progressAt  time.Time
}

// diskWrite is a queued write that is not synced yet: a save of the replica, a batch of items, or deleted item keys.
type diskWrite struct {
	save *Save

	items       []PersistedItem
	generations map[string]message.DiskGeneration
	deletedKeys []string
	progress    replication.Vector
	savedAt     time.Time

	done func(err error) // may be nil
}

func newSimDisk() simDisk {
	return simDisk{
		entries:     map[string]quorum.Entry{},
		generations: map[string]message.DiskGeneration{},
		items:       map[string]PersistedItem{},
		progress:    replication.Vector{},
	}
}

func (disk *simDisk) clone() simDisk {
	cloned := *disk
	cloned.entries = maps.Clone(disk.entries)
	cloned.generations = maps.Clone(disk.generations)
	cloned.items = maps.Clone(disk.items)
	cloned.progress = maps.Clone(disk.progress)
	return cloned
}

// apply applies a write to the disk. Of a torn write's items, only the first ones are applied.
func (disk *simDisk) apply(write diskWrite, torn bool) {
	if write.save != nil {
		disk.applySave(write.save)
	}
	for i, saved := range write.items {
		if torn && i > len(write.items)/2 {
			return
		}
		disk.items[saved.Item.Key] = saved
	}
	if write.generations != nil && !torn {
		disk.generations = write.generations
	}
	for _, key := range write.deletedKeys {
		delete(disk.items, key)
	}
	if write.progress != nil && !torn {
		disk.progress = write.progress
		disk.progressAt = write.savedAt
	}
}

func (disk *simDisk) applySave(save *Save) {
	for _, entry := range save.Entries {
		disk.entries[entry.Key] = entry
	}
	if save.MinProposal != nil {
		disk.minProposal = *save.MinProposal
	}
	if save.Identity != nil {
		disk.identity = *save.Identity
	}
}

// queueSaves queues saves and schedules their sync.
func (node *simNode) queueSaves(saves []Save) {
	sim := node.sim
	for _, save := range saves {
		done := func(err error) {
			node.step(func(now time.Time) { node.replica.HandleSaved(now, save.ID, err) })
		}
		if sim.mutation == mutationAckBeforeSync {
			acknowledge := done
			done = nil
			sim.schedule(0, func() { acknowledge(nil) })
		}
		node.writeQueue = append(node.writeQueue, diskWrite{save: &save, done: done})
	}
	if last := len(node.writeQueue) - 1; sim.mutation == mutationReorderedWrites && last > 0 && sim.oneIn(2) {
		queue := node.writeQueue
		queue[last].save, queue[last-1].save = queue[last-1].save, queue[last].save
	}
	if len(saves) > 0 {
		node.scheduleSync(node.incarnation)
	}
}

// scheduleSync schedules a sync of the writes that are queued now.
func (node *simNode) scheduleSync(incarnation int) {
	sim, count := node.sim, len(node.writeQueue)
	duration := sim.randomDuration(1, 12)
	if node.slowDisk {
		duration = sim.randomDuration(100, 3000)
	}
	if sim.syncTime > 0 {
		duration = sim.syncTime
	}
	fails := node.diskFails && sim.injectsFaults
	sim.schedule(duration, func() { node.finishSync(incarnation, count, fails) })
}

// finishSync ends a sync, once the disk is not stalled any more.
func (node *simNode) finishSync(incarnation, count int, fails bool) {
	const checkInterval = 50 * time.Millisecond
	if !node.isRunning(incarnation) {
		return
	}
	if node.diskStalled {
		node.sim.schedule(checkInterval, func() { node.finishSync(incarnation, count, fails) })
		return
	}
	node.sync(count, fails)
}

// sync applies the first count writes of the queue to the disk, or fails them.
func (node *simNode) sync(count int, fails bool) {
	sim := node.sim
	count = min(count, len(node.writeQueue))
	synced := node.writeQueue[:count:count]
	if count > 0 {
		sim.syncCount++
	}
	node.writeQueue = node.writeQueue[count:]
	for _, write := range synced {
		sim.log(node.index, "synced", fails, traced{write.save}, len(write.items), write.progress)
		if !fails {
			node.disk.apply(write, false)
		}
	}
	sim.checkDurability()
	var err error
	if fails {
		err = errDiskFails
	}
	for _, write := range synced {
		if write.done != nil {
			write.done(err)
		}
	}
}

// saveItems queues a write of the items that changed since the last one.
func (node *simNode) saveItems() {
	if node.frozen || node.diskFails {
		return
	}
	items, progress, sequence := node.replica.ItemsToPersist(node.savedSequence)
	if sequence == node.savedSequence && node.sim.now.Sub(node.itemsSavedAt) < itemSaveInterval {
		return
	}
	node.savedSequence = sequence
	node.itemsSavedAt = node.sim.now
	node.writeQueue = append(node.writeQueue, diskWrite{
		items:       items,
		generations: maps.Clone(node.replica.DiskGenerations()),
		progress:    progress,
		savedAt:     node.clock(),
		done: func(err error) {
			if err != nil {
				node.savedSequence = 0
			}
		},
	})
}

// wipeDisk ends the process and replaces the disk by an empty one, unless the group would not tolerate the loss.
func (node *simNode) wipeDisk() {
	if node.diskLost || node.removed || !node.sim.toleratesLoss() {
		return
	}
	node.kill()
	node.markDiskLost()
	node.replaceDisk()
}

// replaceDisk gives the node an empty disk.
func (node *simNode) replaceDisk() {
	node.recordCandidateLoss()
	node.lostIdentity = node.disk.identity
	node.disk = newSimDisk()
	node.diskCopies = nil
	node.writeQueue = nil
	node.diskLost = true
}

// markDiskLost marks the disk of the node's replacement as lost while the replacement is not active: until then, the
// loss of the node's disk leaves one copy fewer of what it held.
func (node *simNode) markDiskLost() {
	for _, other := range node.sim.nodes {
		if other.replacementOf == node && !other.isVoting() {
			other.diskLost = true
		}
	}
}

// lostDisks returns how many members' places in the group have no disk with the chosen values.
func (sim *simulation) lostDisks() (lost int) {
	if sim.configuration.Epoch == 0 {
		return sim.lostInitialDisks()
	}
	lost = sim.memberCount - len(sim.configuration.Members)
	for _, member := range sim.configuration.Members {
		node := sim.nodeByAddr(member.Addr)
		if node.diskLost && node.isVoting() && node.replica.Epoch() > 0 {
			node.diskLost = false
		}
		if node.diskLost || node.removed {
			lost++
		}
	}
	return lost
}

// candidateLossPeriod is how long after the loss of a candidate's disk a configuration with the candidate may still be
// proposed and accepted.
const candidateLossPeriod = 2 * candidateTimeout

// toleratesLoss reports whether the group tolerates the loss of one more disk. Losses count against the current
// configuration, against the initial peers while these may hold the only copies of their decision, and against each
// newer configuration that some member has accepted, because it may be chosen. The disk of a candidate counts too,
// because the candidate may just be made a member. While the first configuration is being proposed, it may lack an
// initial peer already.
func (sim *simulation) toleratesLoss() bool {
	if sim.configuration.Epoch == 0 && slices.ContainsFunc(sim.nodes, (*simNode).isProposing) {
		return false
	}
	lost := max(sim.lostDisks(), sim.disksGone(sim.configuration))
	if !sim.configurationSurvives() {
		lost = max(lost, sim.lostInitialDisks())
	}
	for _, configuration := range sim.acceptedConfigurations() {
		lost = max(lost, sim.disksGone(configuration))
	}
	if sim.now.Sub(sim.candidateLostAt) < candidateLossPeriod {
		lost++
	}
	return lost < sim.faultTolerance
}

// isProposing reports whether the node's replica was proposing a configuration when it last ran.
func (node *simNode) isProposing() bool { return node.replica != nil && node.replica.local.proposing }

// recordCandidateLoss records the loss of a node's disk if the node is a candidate that is ready to become a member.
func (node *simNode) recordCandidateLoss() {
	isMember := node.sim.configuration.Contains(node.lastMember())
	if node.replica != nil && !isMember && node.replica.readyForMembership() {
		node.sim.candidateLostAt = node.sim.now
	}
}

// acceptedConfigurations returns the configurations accepted on some disk that are newer than the current one.
func (sim *simulation) acceptedConfigurations() (newer []membership.Configuration) {
	for _, node := range sim.nodes {
		if node.removed {
			continue
		}
		accepted, err := membership.ParseConfiguration(node.disk.entries[membership.RegisterKey].Value)
		if err == nil && accepted.Epoch > sim.configuration.Epoch {
			newer = append(newer, accepted)
		}
	}
	return newer
}

// disksGone returns how many places of a configuration have no member, or one whose disk was replaced or removed.
func (sim *simulation) disksGone(configuration membership.Configuration) (gone int) {
	if configuration.Epoch == 0 {
		return 0
	}
	gone = sim.memberCount - len(configuration.Members)
	for _, member := range configuration.Members {
		node := sim.nodeByAddr(member.Addr)
		if node.removed || node.disk.identity.DiskID != member.DiskID {
			gone++
		}
	}
	return gone
}

// configurationSurvives reports whether more disks hold the decision on the configuration than may be lost. The first
// configuration is decided by the initial peers: while only some of these hold it, the loss of two of the three leaves
// no member that can know the decision.
func (sim *simulation) configurationSurvives() bool {
	const firstEpoch = 1
	if sim.configuration.Epoch > firstEpoch {
		return true
	}
	holders := 0
	for _, node := range sim.nodes {
		entry := node.disk.entries[membership.RegisterKey]
		if !node.removed && (entry.Chosen || entry.Value.Version > firstEpoch) {
			holders++
		}
	}
	return holders > sim.faultTolerance
}

// lostInitialDisks returns the result of lostDisks before the first configuration is known to enough members. Its choice
// requires two of the three initial peers.
func (sim *simulation) lostInitialDisks() (lost int) {
	for _, node := range sim.nodes {
		if !node.diskLost && !node.removed && node.incarnation > 0 {
			continue
		}
		if slices.Contains(sim.nodes[0].initialPeers, node) {
			return sim.memberCount // no further loss is tolerated
		}
		lost++
	}
	return lost
}

// diskCopy is the content of a disk at a point in time.
type diskCopy struct {
	at   time.Time
	disk simDisk
}

// copyDisk saves a copy of the disk's current content.
func (node *simNode) copyDisk() {
	node.diskCopies = append(node.diskCopies, diskCopy{node.sim.now, node.disk.clone()})
}

// restoreCopy replaces the disk of a stopped node by its latest copy of at least the given age. It returns false if
// there is no such copy of the current disk, or if the copy could not be detected as stale.
func (node *simNode) restoreCopy(age time.Duration) bool {
	for i, copied := range slices.Backward(node.diskCopies) {
		if node.sim.now.Sub(copied.at) < age || copied.disk.identity.DiskID != node.disk.identity.DiskID {
			continue
		}
		if !node.staleCopyDetectable(copied.disk.identity) {
			return false
		}
		node.disk = copied.disk.clone()
		node.diskCopies = node.diskCopies[:i]
		return true
	}
	return false
}

// staleCopyDetectable reports whether enough other members have saved a later generation of a disk for any confirmation
// of its copy to include one of them. A node that was isolated since the copy was made may have announced its
// generation to no other member.
func (node *simNode) staleCopyDetectable(identity Identity) bool {
	others, informed := 0, 0
	for _, member := range node.sim.configuration.Members {
		other := node.sim.nodeByAddr(member.Addr)
		if other == node {
			continue
		}
		others++
		generation := other.disk.generations[node.self.Node]
		isLater := generation.DiskID == identity.DiskID && generation.Number > identity.Generation
		if isLater && !other.diskLost && !other.removed {
			informed++
		}
	}
	return informed+node.sim.configuration.GenerationQuorum() > others
}
