package replica

import (
	"maps"
	"time"

	"sagelever/internal/control/message"
)

// NewPullRequest returns the pull to send to a controller: to a member, or to one of which only the address is known,
// which is asked who the members are. Unless the member was heard recently the pull doesn't wait for new items, as the
// response itself shows that it is reachable.
func (r *Replica) NewPullRequest(now time.Time, to message.Member) *message.PullRequest {
	local := &r.local
	request := &message.PullRequest{
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

// readyForMembership reports whether this replica may become a member: as an initial peer of the first configuration,
// or as a candidate that has caught up. A disk whose identity could still be lost is no member's.
func (r *Replica) readyForMembership() bool {
	if !r.local.identitySaved {
		return false
	}
	if r.local.configuration.Epoch == 0 {
		return r.local.identity.Bootstrapped
	}
	return r.local.caughtUp
}

// addProgress completes a pull of a member with what this replica holds and how long the response may wait.
func (r *Replica) addProgress(now time.Time, to message.Member, request *message.PullRequest) {
	switch pull := r.continuedPull(now, to.Node); {
	case pull != nil:
		request.Progress = maps.Clone(pull.progress)
	case r.progressCurrent(now) || r.fullPull != nil:
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

// progressCurrent reports whether the version vector can be trusted: the items are as complete as it says, and some
// member has responded within incrementalPullWindow, so that whatever was dropped since is known here.
func (r *Replica) progressCurrent(now time.Time) bool {
	return r.progressValid && now.Sub(r.lastPullAt) < incrementalPullWindow
}

// DeferPull reports whether to put off pulling a member: shortly after the start only the nearest one is pulled, so
// that what this replica lacks is sent once and not by everybody.
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

// isNearer orders members by distance: those of this replica's region first, then by name.
func (r *Replica) isNearer(a, b message.Member) bool {
	region := r.config.RegionByZone[r.config.Self.Zone]
	aInRegion := r.config.RegionByZone[a.Zone] == region
	bInRegion := r.config.RegionByZone[b.Zone] == region
	if aInRegion != bInRegion {
		return aInRegion
	}
	return a.Node < b.Node
}
