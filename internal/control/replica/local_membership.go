package replica

import (
	"slices"
	"strconv"
	"time"

	"sagelever/internal/control/membership"
	"sagelever/internal/control/message"
	"sagelever/internal/control/quorum"
)

// localMembership is the configuration as this replica knows it, and the replica's own part in it.
type localMembership struct {
	self message.Member

	// configuration is the newest that is known to be chosen. In epoch 0, before the first one is chosen, it consists
	// of the initial peers, which decide on the first configuration and nothing else.
	configuration      membership.Configuration
	configurationEntry quorum.Entry // the register that holds it; zero in epoch 0
	adoptedAt          time.Time    // when this replica heard of it
	proposing          bool         // a write of the next one is under way

	// bootstrapPossibleSince is since when enough initial peers have been present to propose the first configuration.
	bootstrapPossibleSince time.Time

	identity             Identity
	submittedIdentity    Identity // as it was handed to the disk last, which may not have saved it yet
	identitySaved        bool     // the disk's identity is on disk
	generationAdvancedAt time.Time

	diskConfirmed bool // the disk is known not to be an old copy
	caughtUp      bool // as a candidate: everything that an active member held is held here
}

// chosenEntry returns the register that holds the configuration, or nil in epoch 0.
func (l *localMembership) chosenEntry() *message.ConfigurationEntry {
	if l.configurationEntry.Key == "" {
		return nil
	}
	entry := l.configurationEntry
	return &entry
}

// isMember reports whether this replica, with its present disk, is a member of the current configuration; in epoch 0,
// whether it is one of the initial peers.
func (l *localMembership) isMember() bool {
	if l.configuration.Epoch > 0 {
		return l.configuration.Contains(l.self)
	}
	isSelf := func(peer message.Member) bool { return peer.Addr == l.self.Addr }
	return l.identity.Bootstrapped && slices.ContainsFunc(l.configuration.Members, isSelf)
}

// inPrevious reports whether a replica, with its present disk, was a member of the previous configuration.
func (l *localMembership) inPrevious(member message.Member) bool {
	return slices.ContainsFunc(l.configuration.Previous, member.SameReplica)
}

// proposerID returns this replica's name in proposal numbers. It contains how often a process was started on the disk:
// what an earlier process has proposed and not saved as its own promise is not known, and no proposal number may be
// used twice.
func (l *localMembership) proposerID() string {
	name := l.self.Node
	if l.configuration.Epoch == 0 {
		name = l.self.Addr
	}
	return name + "/" + strconv.FormatUint(l.identity.Starts, 36)
}

// loadMembership restores which replica this is and which configuration it knew.
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

// loadConfiguration restores the configuration from its register. One that was accepted and is not known to be chosen
// is not in force yet, as far as this replica knows: its predecessor is, which it names.
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

// initialConfiguration returns the configuration of epoch 0. Its members are known by their addresses only.
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

// Epoch returns the newest epoch that this replica knows of.
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

// activeEpoch returns the epoch in which this replica is active, or 0 where it is not.
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
// active. Nothing but that configuration is promised or accepted then, so that whoever takes over from this replica
// finds all that can ever be chosen in the epoch. Epoch 0 is closed from the start.
func (r *Replica) epochClosed() bool {
	if r.local.configuration.Epoch == 0 {
		return true
	}
	return r.acceptor.Get(membership.RegisterKey).Value.Version > r.local.identity.ActiveEpoch
}

// concernsOnlyConfiguration reports whether a request of a round is about the configuration and no other register.
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

// voterID returns the name under which this replica's own part in a round is counted.
func (r *Replica) voterID() string {
	if r.local.configuration.Epoch == 0 {
		return r.local.self.Addr
	}
	return r.local.self.Node
}
