package replica

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"sagelever/internal/control/message"
)

// peerState is the state of another member of the configuration, as seen by this replica.
type peerState struct {
	message.Member
	lastPullAt       time.Time // when this replica last started a pull from the peer
	lastResponseAt   time.Time // when the peer last responded to a pull
	answeredPullAt   time.Time // when the last pull to which the peer has responded was started
	lastCompleteAt   time.Time // when the peer last sent everything that this replica lacked of its items
	hasResponded     bool      // the peer has responded since this replica's start
	unreachableSince time.Time // when the peer was found to be unreachable; zero while it is reachable
	memberSince      time.Time // when this replica adopted a configuration with the peer
	leaving          bool      // the peer's process is about to end
	activeEpoch      uint64    // the epoch in which the peer was active as of its last response
	origin           string    // the origin of the items that the peer publishes in its current incarnation

	responseTime time.Duration // smoothed time to respond to a phase of a round; zero if unknown
	shortestTrip time.Duration // shortest time to respond to a phase of a round; zero if unknown

	// Progress of pulls from a peer with protocol version 1.
	legacySource   string
	legacySequence uint64
}

// recordResponse updates the state from a response of the peer to a pull that was started at startedAt.
func (p *peerState) recordResponse(now, startedAt time.Time, response *message.PullResponse) {
	p.lastResponseAt = now
	if startedAt.After(now) { // the clock was set back meanwhile
		startedAt = now
	}
	p.answeredPullAt = latestOf(p.answeredPullAt, startedAt)
	if !response.Truncated {
		p.lastCompleteAt = now
	}
	p.hasResponded = true
	p.activeEpoch = response.ActiveEpoch
	p.legacySource = ""
	p.legacySequence = 0
	if len(response.Origins) > 0 {
		p.origin = response.Origins[0]
	}
	if response.ProtocolVersion < message.ProtocolVersion {
		p.legacySource = response.Source
		p.legacySequence = response.LocalSequence
	}
}

// OtherMembers returns the members of the configuration except this replica, sorted by node. It returns none before the
// first configuration is adopted.
func (r *Replica) OtherMembers() []message.Member {
	others := make([]message.Member, 0, len(r.peers))
	for _, peer := range r.peers {
		others = append(others, peer.Member)
	}
	sortByNode(others)
	return others
}

func sortByNode(members []message.Member) {
	slices.SortFunc(members, func(a, b message.Member) int { return strings.Compare(a.Node, b.Node) })
}

// votingPeers returns the other replicas that take part in the rounds of the current epoch, with their last known
// addresses. Before the first configuration these are the initial peers.
func (r *Replica) votingPeers() []message.Member {
	if r.local.configuration.Epoch > 0 {
		return r.OtherMembers()
	}
	isSelf := func(peer message.Member) bool { return peer.Addr == r.local.self.Addr }
	return slices.DeleteFunc(slices.Clone(r.local.configuration.Members), isSelf)
}

// updatePeers sets the peers to the other members of the current configuration, and keeps the state of remaining peers.
func (r *Replica) updatePeers(now time.Time) {
	previous := r.peers
	r.peers = map[string]*peerState{}
	if r.local.configuration.Epoch == 0 {
		return
	}
	for _, member := range r.local.configuration.Members {
		if member.Node == r.local.self.Node {
			continue
		}
		if known := previous[member.Node]; known != nil && known.SameReplica(member) {
			r.peers[member.Node] = known
			continue
		}
		r.peers[member.Node] = &peerState{Member: r.withLastAddress(member), memberSince: now}
	}
}

// withLastAddress returns another replica with the address of its last pull from this replica. It may have moved since
// the configuration was decided, or after it left the configuration.
func (r *Replica) withLastAddress(member message.Member) message.Member {
	if peer := r.peers[member.Node]; peer != nil && peer.SameReplica(member) {
		return peer.Member
	}
	if candidate := r.candidates[member.Node]; candidate != nil && candidate.SameReplica(member) {
		return candidate.Member
	}
	return member
}

// registerController records the pull of another controller. With its current disk, the controller is either a member
// of the configuration or a candidate.
func (r *Replica) registerController(now time.Time, request *message.PullRequest) {
	if request.From.Node == r.config.Self.Node || request.From.Node == "" {
		return
	}
	r.recordGeneration(request.From, request.DiskGeneration)
	if request.KnownEpoch > r.local.configuration.Epoch && now.Sub(r.lastEpochPullAt) > stuckPullTimeout {
		r.lastEpochPullAt = now // possibly no member of this replica's configuration is left
		r.output.PullNow = append(r.output.PullNow, request.From)
	}
	peer := r.pullingPeer(request)
	if peer == nil {
		r.registerCandidate(now, request)
		return
	}
	peer.Member = request.From // its address may have changed
	peer.leaving = request.Leaving
}

// pullingPeer returns the member that sent a pull, or nil if the sender is a proxy or a candidate.
func (r *Replica) pullingPeer(request *message.PullRequest) *peerState {
	peer := r.peers[request.From.Node]
	if request.Role != message.RoleController || peer == nil || !peer.SameReplica(request.From) {
		return nil
	}
	return peer
}

// reachable reports whether a node is this replica, or another member that has responded to a pull that was started
// within PeerTimeout. The time of the response doesn't count: a member to which nothing can be sent any more still answers
// the pull that it holds, and what it acknowledges to others afterwards is missing here.
func (r *Replica) reachable(node string, now time.Time) bool {
	if node == r.config.Self.Node {
		return true
	}
	peer := r.peers[node]
	return peer != nil && peer.hasResponded && now.Sub(peer.answeredPullAt) < PeerTimeout
}

// isUpToDateWith reports whether a node is this replica, or another member of which this replica has received all items
// within PeerTimeout.
func (r *Replica) isUpToDateWith(node string, now time.Time) bool {
	if node == r.config.Self.Node {
		return true
	}
	peer := r.peers[node]
	return peer != nil && now.Sub(peer.lastCompleteAt) < PeerTimeout
}

// HasQuorum reports whether this replica's items are up to date: it is a member and reaches a majority of the members.
// Otherwise it may lack changes that other members have acknowledged.
func (r *Replica) HasQuorum(now time.Time) bool {
	if r.leaving || r.pullingAllItems() || !r.activeOrTakingOver(now) {
		return false
	}
	reachable := 1
	for node := range r.peers {
		if r.reachable(node, now) {
			reachable++
		}
	}
	return r.local.configuration.IsMajority(reachable)
}

// activeOrTakingOver reports whether this replica is active in the current epoch, or was active in the previous one
// and is about to take over.
func (r *Replica) activeOrTakingOver(now time.Time) bool {
	local := &r.local
	if local.configuration.Epoch == 0 {
		return false
	}
	if r.Active() {
		return true
	}
	return local.diskConfirmed && r.activeInPreviousEpoch() && local.isMember() &&
		now.Sub(local.adoptedAt) < takeoverGrace
}

// reportQuorumChange logs when this replica gains or loses its quorum, and has the pending pulls checked, because their
// responses contain HasQuorum.
func (r *Replica) reportQuorumChange(now time.Time) {
	hasQuorum := r.HasQuorum(now)
	if hasQuorum == r.hadQuorum {
		return
	}
	r.hadQuorum = hasQuorum
	r.notifyAfter(0)
	text := "quorum reached"
	if !hasQuorum {
		text = "quorum lost"
	}
	r.logEvent(text,
		LogField{"sinceStartMs", formatMs(now.Sub(r.startedAt))},
		LogField{"undecided", strconv.Itoa(r.UndecidedCount())})
}

// Leave announces that the process is about to end: pending pulls are answered immediately, so that their senders
// switch to other members, and a configuration with a replacement is proposed if possible. See AwaitingReplacement.
func (r *Replica) Leave(now time.Time) {
	r.leaving = true
	r.notifyAfter(0)
	r.reconfigure(now)
}
