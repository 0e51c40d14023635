package replica

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"sagelever/internal/control/membership"
	"sagelever/internal/control/message"
	"sagelever/internal/control/quorum"
)

// localMembership contains the configuration that this replica has adopted, and the replica's own identity and state as
// a member or candidate.
type localMembership struct {
	self message.Member

	// configuration is the newest one that is known to be chosen. In epoch 0, before the first one is chosen, its
	// members are the initial peers, which decide only on the first configuration.
	configuration      membership.Configuration
	configurationEntry quorum.Entry // the register that holds the configuration; zero in epoch 0
	adoptedAt          time.Time    // when this replica adopted the configuration
	proposing          bool         // a write of the next configuration is in progress

	// bootstrapPossibleSince is when enough initial peers became present to propose the first configuration; zero if
	// there are too few.
	bootstrapPossibleSince time.Time

	identity             Identity
	submittedIdentity    Identity // the identity as last handed to the disk; may not be saved yet
	identitySaved        bool     // an identity with the current DiskID is on disk
	generationAdvancedAt time.Time

	diskConfirmed bool // the disk is known not to be an old copy
	caughtUp      bool // this candidate holds all registers that an active member held
}

// proposerStartsBase is the base in which proposer IDs contain Identity.Starts.
const proposerStartsBase = 36

// chosenEntry returns the register that holds the configuration, or nil in epoch 0.
func (l *localMembership) chosenEntry() *message.ConfigurationEntry {
	if l.configurationEntry.Key == "" {
		return nil
	}
	entry := l.configurationEntry
	return &entry
}

// isMember reports whether this replica, with its current disk, is a member of the current configuration. In epoch 0 it
// reports whether the replica is one of the initial peers.
func (l *localMembership) isMember() bool {
	if l.configuration.Epoch > 0 {
		return l.configuration.Contains(l.self)
	}
	isSelf := func(peer message.Member) bool { return peer.Addr == l.self.Addr }
	return l.identity.Bootstrapped && slices.ContainsFunc(l.configuration.Members, isSelf)
}

// inPrevious reports whether a replica, with its current disk, was a member of the previous configuration.
func (l *localMembership) inPrevious(member message.Member) bool {
	return slices.ContainsFunc(l.configuration.Previous, member.SameReplica)
}

// proposerID returns this replica's name in proposal numbers. It contains the number of processes that were started on
// the disk: no proposal number may be used twice, and an earlier process may have sent proposals with numbers that it
// had not saved.
func (l *localMembership) proposerID() string {
	name := l.self.Node
	if l.configuration.Epoch == 0 {
		name = l.self.Addr
	}
	return name + "/" + strconv.FormatUint(l.identity.Starts, proposerStartsBase)
}

// proposerNode returns the node in a proposerID.
func proposerNode(proposer string) string {
	if end := strings.LastIndexByte(proposer, '/'); end >= 0 {
		return proposer[:end]
	}
	return proposer
}

// loadMembership restores this replica's identity and configuration from the persisted state.
func (r *Replica) loadMembership(now time.Time, persisted PersistedState) {
	local := &r.local
	identity := persisted.Identity
	if identity.DiskID == "" {
		bootstrapped := r.config.Bootstrap || persisted.LegacyDisk
		identity = Identity{
			DiskID:       r.newDiskID(now),
			Generation:   1,
			Bootstrapped: bootstrapped,
			EverActive:   bootstrapped,
			InitialPeers: r.config.InitialPeers,
		}
	}
	identity.Starts++
	local.self = r.config.Self
	local.setIdentity(identity)
	r.diskGenerations = persisted.Generations
	if r.diskGenerations == nil {
		r.diskGenerations = map[string]message.DiskGeneration{}
	}
	r.loadConfiguration()
	r.updatePeers(now)
}

// loadConfiguration restores the configuration from its register. If the register holds a configuration that was
// accepted but is not known to be chosen, the previous configuration, which is part of it, stays in force.
func (r *Replica) loadConfiguration() {
	local := &r.local
	local.configuration = initialConfiguration(local.identity.InitialPeers)
	entry := r.acceptor.Get(membership.RegisterKey)
	configuration, err := membership.ParseConfiguration(entry.Value)
	if err != nil {
		return // no configuration was accepted yet
	}
	if entry.Chosen {
		local.configuration = configuration
		local.configurationEntry = entry
	} else if configuration.Epoch > 1 {
		local.configuration = membership.Configuration{
			Epoch:       configuration.Epoch - 1,
			Members:     configuration.Previous,
			MaxFailures: configuration.PreviousMaxFailures,
		}
	}
}

// initialConfiguration returns the configuration of epoch 0. Its members are named by their addresses, because their
// nodes are not known yet.
func initialConfiguration(addrs []string) membership.Configuration {
	var members []message.Member
	for _, addr := range addrs {
		members = append(members, message.Member{Node: addr, Addr: addr})
	}
	return membership.NewConfiguration(0, members, len(members))
}

// adoptConfiguration makes a chosen configuration the current one if it is newer.
func (r *Replica) adoptConfiguration(now time.Time, entry quorum.Entry) {
	local := &r.local
	if entry.Value.Version <= local.configuration.Epoch {
		return
	}
	configuration, err := membership.ParseConfiguration(entry.Value)
	if err != nil {
		return
	}
	wasMember := local.configuration.Epoch > 0 && local.isMember()
	local.configuration = configuration
	local.configurationEntry = entry
	local.adoptedAt = now
	r.updatePeers(now)
	r.restartAttempts(now)
	epoch := formatUint(configuration.Epoch)
	r.logEvent("configuration adopted",
		LogField{"epoch", epoch},
		LogField{"members", strconv.Itoa(len(configuration.Members))},
		LogField{"member", strconv.FormatBool(local.isMember())})
	if wasMember && !local.isMember() {
		r.logEvent("removed from the configuration", LogField{"epoch", epoch})
	}
	r.startDiskConfirmation(now)
	r.startTakeover(now)
	r.notifyAfter(0)
}

// Epoch returns the epoch of the current configuration.
func (r *Replica) Epoch() uint64 { return r.local.configuration.Epoch }

// Active reports whether this replica votes: it is a member of the current configuration, holds everything that was
// chosen in earlier epochs, and its disk is known not to be an old copy.
func (r *Replica) Active() bool {
	local := &r.local
	if local.configuration.Epoch > 0 && !local.diskConfirmed {
		return false
	}
	identity := &local.identity
	tookOver := identity.EverActive && identity.ActiveEpoch == local.configuration.Epoch
	return local.identitySaved && tookOver && local.isMember()
}

// activeEpoch returns the epoch in which this replica is active, or 0 if it is not active.
func (r *Replica) activeEpoch() uint64 {
	if !r.Active() {
		return 0
	}
	return r.local.configuration.Epoch
}

// activeInPreviousEpoch reports whether this replica was active in the epoch before the current one.
func (r *Replica) activeInPreviousEpoch() bool {
	local := &r.local
	identity := &local.identity
	return identity.EverActive && identity.ActiveEpoch+1 == local.configuration.Epoch && local.inPrevious(local.self)
}

// epochClosed reports whether this replica has accepted the configuration that follows the epoch in which it was last
// active. In a closed epoch it promises and accepts only that configuration, so that members which take over from this
// replica find every value that can ever be chosen in the epoch. Epoch 0 is closed from the start.
func (r *Replica) epochClosed() bool {
	if r.local.configuration.Epoch == 0 {
		return true
	}
	return r.acceptor.Get(membership.RegisterKey).Value.Version > r.local.identity.ActiveEpoch
}

// concernsOnlyConfiguration reports whether a request of a round contains no register other than the configuration.
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

// voterID returns the name under which this replica's own votes are counted in rounds.
func (r *Replica) voterID() string {
	if r.local.configuration.Epoch == 0 {
		return r.local.self.Addr
	}
	return r.local.self.Node
}
