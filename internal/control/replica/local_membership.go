package replica

import (
	"hash/fnv"
	"slices"
	"strconv"
	"time"

	"sagelever/internal/control/membership"
	"sagelever/internal/control/message"
	"sagelever/internal/control/quorum"
)

// Identity is what a replica's disk says of the replica. It is saved whole, as JSON.
type Identity struct {
	Disk       string   `json:"Disk"`       // of this disk; another one is another member
	Starts     uint64   `json:"Starts"`     // of processes that used it
	Generation uint64   `json:"Generation"` // counted on once others have confirmed it, and each generationInterval from then on
	Fresh      bool     `json:"Fresh"`      // it took part in the first start of the whole system
	Contacts   []string `json:"Contacts"`   // the peer addresses of the first contacts at that start
	Acting     bool     `json:"Acting"`     // it has acted, in the epoch Active
	Active     uint64   `json:"Active"`     // the last epoch for which it held all that was chosen before
}

// generationInterval is how often a running replica counts its generation on. A disk from the past is noticed when it is older
// than this and the longest pause between two pulls together (PeerPullWait and a second).
const generationInterval = 10 * time.Second

// configurationRepairDelay is settle for the set of members.
const configurationRepairDelay = 300 * time.Millisecond

// localMembership is this replica's place among the members.
type localMembership struct {
	self                   message.Member
	configuration          membership.Configuration // the newest that is known to be chosen; of epoch 0 the first contacts
	configurationEntry     quorum.Entry             // as which it was chosen; the zero one in epoch 0
	identity               Identity
	submittedIdentity      Identity // as the disk was last given it; part of it may not be there yet
	identitySaved          bool     // the identity is on the disk
	diskConfirmed          bool     // the disk is not one from the past
	generationAdvancedAt   time.Time
	adoptedAt              time.Time // when the set was heard of
	caughtUp               bool      // what an acting member held is held here, by one that is no member
	proposing              bool
	bootstrapPossibleSince time.Time // since when a first set could be proposed
}

func (l *localMembership) entry() *message.ConfigurationEntry {
	if l.configurationEntry.Key == "" {
		return nil
	}
	entry := l.configurationEntry
	return &entry
}

// isMember tells whether this replica, on this disk, belongs to the set in force.
func (l *localMembership) isMember() bool {
	if l.configuration.Epoch == 0 {
		return l.identity.Fresh && slices.ContainsFunc(l.configuration.Members, func(peer message.Member) bool { return peer.Addr == l.self.Addr })
	}
	return l.configuration.Contains(l.self)
}

// loadMembership reads from what the disk held which replica this is, and which set of members it knew.
func (r *Replica) loadMembership(now time.Time, persisted PersistedState) {
	local := &r.local
	local.identity = persisted.Identity
	if local.identity.Disk == "" {
		first := r.config.Bootstrap || persisted.LegacyDisk
		local.identity = Identity{Disk: r.newDiskID(now), Generation: 1, Fresh: first, Acting: first, Contacts: r.config.InitialPeers}
	}
	local.identity.Starts++
	local.submittedIdentity = local.identity
	local.self = r.config.Self
	local.self.DiskID = local.identity.Disk
	r.diskGenerations = persisted.Generations
	if r.diskGenerations == nil {
		r.diskGenerations = map[string]message.DiskGeneration{}
	}
	local.configuration = initialConfiguration(local.identity.Contacts)
	held := r.acceptor.Get(membership.RegisterKey)
	configuration, err := membership.ParseConfiguration(held.Value)
	switch {
	case err != nil:
	case held.Chosen:
		local.configuration, local.configurationEntry = configuration, held
	case configuration.Epoch > 1: // accepted, and not known to be chosen: the set before is in force as far as this replica knows
		local.configuration = membership.Configuration{Epoch: configuration.Epoch - 1, Members: configuration.Previous, MaxFailures: configuration.PreviousMaxFailures}
	}
	r.updatePeers(now)
}

// initialConfiguration are the first contacts, which decide the first set of members and nothing else.
func initialConfiguration(addrs []string) membership.Configuration {
	var members []message.Member
	for _, addr := range addrs {
		members = append(members, message.Member{Node: addr, Addr: addr})
	}
	return membership.NewConfiguration(0, members, len(members))
}

// newDiskID draws an identity for a disk that is used for the first time.
func (r *Replica) newDiskID(now time.Time) string {
	hash := fnv.New64a()
	hash.Write([]byte(r.config.Self.Node + r.config.Self.Addr))
	return strconv.FormatUint(hash.Sum64()^uint64(now.UnixNano()), 36) + strconv.FormatUint(uint64(r.config.Random()*(1<<30)), 36)
}

// saveIdentity saves the identity and begins what has to come before this replica acts.
func (r *Replica) saveIdentity(now time.Time) {
	identity := r.local.submittedIdentity
	r.save(now, Save{Identity: &identity}, func(now time.Time, err error) {
		if err == nil {
			r.local.identitySaved = true
			r.startDiskConfirmation(now)
		}
	})
}

// startDiskConfirmation has others confirm that this disk is not one from the past, where there are others who know.
func (r *Replica) startDiskConfirmation(now time.Time) {
	local := &r.local
	if local.diskConfirmed || !local.identitySaved || r.isRunning(confirmDisk) {
		return
	}
	wanted := local.configuration.Epoch > 0 && (local.isMember() || r.activeInPreviousEpoch()) // its word is wanted, in this epoch or by those who take over
	if local.identity.Starts == 1 || wanted && local.configuration.GenerationQuorum() == 0 {
		local.diskConfirmed = true
		r.startTakeover(now)
		return
	}
	if wanted {
		r.startOperation(now, &operation{kind: confirmDisk})
	}
}

// isRunning tells whether a task of a kind is under way.
func (r *Replica) isRunning(kind int) bool {
	for _, op := range r.operations {
		if op.kind == kind {
			return true
		}
	}
	return false
}

// Active tells whether this replica counts: it is a member in the epoch in force, holds all that was chosen before it, and
// its disk is not one from the past.
func (r *Replica) Active() bool {
	local := &r.local
	if local.configuration.Epoch > 0 && !local.diskConfirmed {
		return false
	}
	return local.identitySaved && local.identity.Acting && local.identity.Active == local.configuration.Epoch && local.isMember()
}

// activeEpoch is the epoch in which this replica acts; zero where it does not.
func (r *Replica) activeEpoch() uint64 {
	if !r.Active() {
		return 0
	}
	return r.local.configuration.Epoch
}

// epochClosed tells whether this replica has accepted a next set: then nothing else is promised or accepted in this epoch, so that
// whoever takes over finds all that can ever be chosen in it.
func (r *Replica) epochClosed() bool {
	return r.local.configuration.Epoch == 0 || r.acceptor.Get(membership.RegisterKey).Value.Version > r.local.identity.Active
}

// concernsOnlyConfiguration tells whether a message of a round is about the set of members alone.
func concernsOnlyConfiguration(request *message.PeerRequest) bool {
	for _, key := range request.Keys {
		if key != membership.RegisterKey {
			return false
		}
	}
	for _, entry := range request.Entries {
		if entry.Key != membership.RegisterKey {
			return false
		}
	}
	return true
}

// Epoch is the newest epoch that this replica knows of.
func (r *Replica) Epoch() uint64 { return r.local.configuration.Epoch }

// CandidateReady tells whether a replica that is no member has told here that it holds what the members hold.
func (r *Replica) CandidateReady(node string) bool {
	candidate := r.candidates[node]
	return candidate != nil && candidate.CaughtUp
}

// quorumName is this replica's name among those that answer in the rounds of the epoch in force.
func (r *Replica) quorumName() string {
	if r.local.configuration.Epoch == 0 {
		return r.local.self.Addr
	}
	return r.local.self.Node
}

// proposerID is this replica's name in ballots. It holds how often a process has started with this disk: of what was
// proposed in a life before, and not promised by this member's own disk yet, nothing is known, and no ballot may be used twice.
func (l *localMembership) proposerID() string {
	name := l.self.Node
	if l.configuration.Epoch == 0 {
		name = l.self.Addr
	}
	return name + "/" + strconv.FormatUint(l.identity.Starts, 36)
}

// votingPeers are the other members of the epoch in force, where they were last heard.
func (r *Replica) votingPeers() []message.Member {
	if r.local.configuration.Epoch > 0 {
		return r.OtherMembers()
	}
	return slices.DeleteFunc(slices.Clone(r.local.configuration.Members), func(peer message.Member) bool { return peer.Addr == r.local.self.Addr })
}

// adoptConfiguration takes up a set of members that is known to be chosen.
func (r *Replica) adoptConfiguration(now time.Time, entry quorum.Entry) {
	local := &r.local
	if entry.Key != membership.RegisterKey || entry.Value.Version <= local.configuration.Epoch {
		return
	}
	configuration, err := membership.ParseConfiguration(entry.Value)
	if err != nil {
		return
	}
	wasMember := local.isMember() && local.configuration.Epoch > 0
	local.configuration, local.configurationEntry, local.adoptedAt = configuration, entry, now
	r.updatePeers(now)
	for _, number := range r.operationIDs() {
		op := r.operations[number]
		if op.kind == confirmDisk {
			r.finish(op, nil, nil)
		} else if op.retryAt.IsZero() {
			op.attempt++ // what was asked under the set before does not count
			op.retryAt = now
		}
	}
	r.logEvent("members changed", "epoch", strconv.FormatUint(configuration.Epoch, 10), "members", strconv.Itoa(len(configuration.Members)), "here", strconv.FormatBool(local.isMember()))
	if wasMember && !local.isMember() {
		r.logEvent("this replica is no member any more", "epoch", strconv.FormatUint(configuration.Epoch, 10))
	}
	r.startDiskConfirmation(now)
	r.startTakeover(now)
	r.notifyAfter(0)
}

// updatePeers makes the members of the set those that are known, and keeps what is known of them.
func (r *Replica) updatePeers(now time.Time) {
	peers := map[string]*peerState{}
	if r.local.configuration.Epoch > 0 {
		for _, peer := range r.local.configuration.Members {
			if peer.Node == r.local.self.Node {
				continue
			}
			if previous := r.peers[peer.Node]; previous != nil && previous.SameReplica(peer) {
				peers[peer.Node] = previous
				continue
			}
			peers[peer.Node] = &peerState{Member: peer, memberSince: now}
			if candidate := r.candidates[peer.Node]; candidate != nil && candidate.SameReplica(peer) {
				peers[peer.Node].Member = candidate.Member // where it called from last
			}
		}
	}
	r.peers = peers
}

// startTakeover begins to take over from the epoch before, or to learn as a candidate, where that is due.
func (r *Replica) startTakeover(now time.Time) {
	local := &r.local
	if !local.identitySaved || local.configuration.Epoch == 0 || r.Active() {
		return
	}
	if local.isMember() {
		if local.diskConfirmed && !r.isRunning(takeOverEpoch) {
			r.startOperation(now, &operation{kind: takeOverEpoch})
		}
		return
	}
	if !local.caughtUp && !r.isRunning(catchUp) {
		r.startOperation(now, &operation{kind: catchUp})
	}
}

// replaceIdentity gives up a disk that turned out to be one from the past: what it promised later is not known here. Its replica
// goes on as one that was never a member.
func (r *Replica) replaceIdentity(now time.Time) {
	local := &r.local
	r.logEvent("the disk is one from the past: this replica is no member until it is voted in again", "generation", strconv.FormatUint(local.identity.Generation, 10))
	local.identity = Identity{Disk: r.newDiskID(now), Starts: 1, Generation: 1}
	local.submittedIdentity = local.identity
	local.self.DiskID = local.identity.Disk
	local.identitySaved, local.diskConfirmed, local.caughtUp = false, false, false
	r.updatePeers(now)
	r.saveIdentity(now)
}

// advanceGeneration counts the generation of the disk on, once others have confirmed it: counted on sooner, an old disk that is started
// again and again while its replica is cut off would pass what the others know.
func (r *Replica) advanceGeneration(now time.Time) {
	local := &r.local
	if !local.identitySaved {
		if len(r.pendingSaves) == 0 {
			r.saveIdentity(now)
		}
		return
	}
	if !local.diskConfirmed || now.Sub(local.generationAdvancedAt) < generationInterval && !now.Before(local.generationAdvancedAt) {
		return
	}
	local.generationAdvancedAt = now
	next := local.submittedIdentity
	next.Generation++
	local.submittedIdentity = next
	r.save(now, Save{Identity: &next}, func(_ time.Time, err error) {
		if err == nil && r.local.identity.Disk == next.Disk {
			r.local.identity.Generation = max(r.local.identity.Generation, next.Generation)
		}
	})
}
