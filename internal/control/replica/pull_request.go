package replica

import (
	"maps"
	"time"

	"sagelever/internal/control/message"
)

// NewPullRequest returns the pull to send to a controller: to a member, or to a controller of which only the address is
// known, to request the members. The pull waits for new items only if the member has responded recently; otherwise an
// immediate response is needed to show that the member is reachable.
func (r *Replica) NewPullRequest(now time.Time, to message.Member) *message.PullRequest {
	local := &r.local
	request := &message.PullRequest{
		StartedAt:       now,
		From:            local.self,
		Role:            message.RoleController,
		ProtocolVersion: message.ProtocolVersion,
		MembersOnly:     to.Node == "",
		ResetCount:      r.resetCount,
		KnownEpoch:      local.configuration.Epoch,
		Leaving:         r.leaving,
		Ready:           r.readyForMembership(),
	}
	if local.identitySaved {
		request.DiskGeneration = local.identity.Generation
	}
	if !request.MembersOnly {
		r.addProgress(now, to, request)
	}
	return request
}

// readyForMembership reports whether this replica may become a member: as an initial peer in the first configuration,
// or as a candidate that has caught up. Its identity must be on disk.
func (r *Replica) readyForMembership() bool {
	if !r.local.identitySaved {
		return false
	}
	if r.local.configuration.Epoch == 0 {
		return r.local.identity.Bootstrapped
	}
	return r.local.caughtUp
}

// addProgress adds to a pull from a member the progress of this replica and the time that the response may wait.
func (r *Replica) addProgress(now time.Time, to message.Member, request *message.PullRequest) {
	switch pull := r.partialPulls[to.Node]; {
	case pull != nil:
		request.Progress = maps.Clone(pull.progress)
	case r.progressCurrent(now) || r.pullingAllItems():
		request.Progress = r.items.Vector()
	}
	peer := r.peers[to.Node]
	if peer == nil {
		return
	}
	if peer.hasResponded && now.Sub(peer.lastResponseAt) < recentResponseWindow {
		wait := PeerPullWait
		if !r.local.isMember() {
			wait = candidatePullWait
		}
		request.WaitMs = wait.Milliseconds()
	}
	peer.lastPullAt = now
	request.PeerActiveEpoch = peer.activeEpoch
	if peer.legacySource != "" {
		request.LegacyVector = map[string]uint64{peer.legacySource: peer.legacySequence}
	}
}

// progressCurrent reports whether the version vector is valid for incremental pulls: the store holds all items that the
// vector covers, and a member has responded within incrementalPullWindow, so that this replica has missed no item that
// was dropped elsewhere.
func (r *Replica) progressCurrent(now time.Time) bool {
	return r.progressValid && now.Sub(r.lastPullAt) < incrementalPullWindow
}

// DeferPull reports whether a pull from a member should be deferred: shortly after its start a replica pulls only from
// the nearest member, so that the missing items are sent only once.
func (r *Replica) DeferPull(now time.Time, to message.Member) bool {
	if r.peerResponded || now.Sub(r.startedAt) > nearestPullPeriod {
		return false
	}
	for _, peer := range r.OtherMembers() {
		if peer.Node != to.Node && r.isNearer(peer, to) {
			return true
		}
	}
	return false
}

// isNearer reports whether member a is nearer than member b: members in this replica's region precede others, and ties
// are broken by name.
func (r *Replica) isNearer(a, b message.Member) bool {
	region := r.config.RegionByZone[r.config.Self.Zone]
	aInRegion := r.config.RegionByZone[a.Zone] == region
	bInRegion := r.config.RegionByZone[b.Zone] == region
	if aInRegion != bInRegion {
		return aInRegion
	}
	return a.Node < b.Node
}
