package replica

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"sagelever/internal/control/config"
	"sagelever/internal/control/membership"
	"sagelever/internal/control/message"
	"sagelever/internal/control/replication"
)

// PendingPull is a received pull that has not been answered yet.
type PendingPull struct {
	request          *message.PullRequest
	hadQuorum        bool   // HasQuorum when the pull was received; a change makes the response ready
	knownIncarnation uint64 // see message.PullResponse
	complete         bool   // the response must contain all items
	verification     uint64 // the number of the verification that the sender waits for; 0 for none

	// The local sequence number and the version vector when the pull was received. A response to a controller omits
	// items of other origins that arrived later, because the controller receives them from other members as well.
	sequence uint64
	progress replication.Vector
}

// HandlePull handles a pull: it renews the lease of a proxy, or registers a controller. AnswerPull returns the
// response.
func (r *Replica) HandlePull(now time.Time, request *message.PullRequest) *PendingPull {
	pending := &PendingPull{
		request:   request,
		hadQuorum: r.answersWithQuorum(now),
		sequence:  r.items.LocalSequence(),
		progress:  r.items.Vector(),
	}
	if request.Role == message.RoleController {
		r.registerController(now, request)
	} else {
		pending.knownIncarnation = r.renewLease(now, request)
		if request.WantAuthority {
			pending.verification = r.requestVerification(now)
		}
	}
	if request.ProtocolVersion >= message.ProtocolVersion {
		pending.complete = len(request.Progress) == 0
	}
	peer := r.pullingPeer(request)
	if peer == nil {
		return pending
	}
	if !r.reachable(peer.Node, now) && now.Sub(peer.lastPullAt) > stuckPullTimeout {
		peer.lastPullAt = now
		r.output.PullNow = append(r.output.PullNow, peer.Member)
	}
	if !request.MembersOnly {
		r.recordPullProgress(now, request, pending.complete)
	}
	return pending
}

// AnswerPull returns the response to a pull as of now. Unless ready is true, the response contains nothing new, and
// should not be sent before the pull's waiting time is over.
func (r *Replica) AnswerPull(now time.Time, pending *PendingPull) (response *message.PullResponse, ready bool) {
	request := pending.request
	r.expireLeases(now)
	response = r.newPullResponse(now, pending)
	ready = r.leaving || response.HasQuorum != pending.hadQuorum || pending.knownIncarnation != 0 ||
		response.Configuration != nil
	switch request.Role {
	case message.RoleController:
		ready = ready || response.ActiveEpoch != request.PeerActiveEpoch
	case message.RoleProxy:
		ready = ready || response.SurveyID > request.SurveyID
	}
	if r.addItems(pending, response) {
		ready = true
	}
	if request.Role == message.RoleProxy {
		response.Authority = r.authority(pending, response)
		ready = ready || response.Authority == message.AuthorityConfirmed
	}
	if r.shouldListMembers(request, response) {
		response.Members = r.pullTargets()
	}
	return response, ready || len(response.Items) > 0
}

// newPullResponse returns the response to a pull, without items and members.
func (r *Replica) newPullResponse(now time.Time, pending *PendingPull) *message.PullResponse {
	request := pending.request
	response := &message.PullResponse{
		Source:           r.items.LegacySource,
		ProtocolVersion:  message.ProtocolVersion,
		LocalSequence:    r.items.LocalSequence(),
		HasQuorum:        r.answersWithQuorum(now),
		KnownIncarnation: pending.knownIncarnation,
		NowMs:            now.UnixMilli(),
		SurveyID:         r.activeSurvey(now),
	}
	response.Proxies, response.ZoneProxies = r.liveness.CountActive(request.From.Zone, now)
	if request.Role == message.RoleController {
		response.DiskID = r.local.self.DiskID
		response.ActiveEpoch = r.activeEpoch()
		if request.KnownEpoch < r.local.configuration.Epoch {
			response.Configuration = r.local.chosenEntry()
		}
	}
	return response
}

// answersWithQuorum reports whether the items in the answers to pulls are up to date.
func (r *Replica) answersWithQuorum(now time.Time) bool { return r.HasQuorum(now) && !r.isRestoring() }

// addItems adds the items that the sender of a pull lacks. It reports whether the response must be sent even without
// items: because the sender requested only the members or all items, or doesn't know this replica's current
// incarnation.
func (r *Replica) addItems(pending *PendingPull, response *message.PullResponse) (ready bool) {
	request := pending.request
	switch {
	case request.MembersOnly:
		return true
	case r.isRestoring():
		response.Truncated = true
		return false
	case request.ProtocolVersion < message.ProtocolVersion:
		since, known := request.LegacyVector[r.items.LegacySource]
		response.Items = r.items.Since(since, itemFilter(request.Role))
		response.Complete = since == 0
		return !known
	default:
		r.addMissingItems(pending, response)
		return pending.complete || !r.knownToSender(request)
	}
}

// knownToSender reports whether the sender of a pull knows this replica's current incarnation.
func (r *Replica) knownToSender(request *message.PullRequest) bool {
	_, known := request.Progress[r.items.Origin]
	return known
}

// itemFilter returns a filter of the items to send to a role; nil for all items. Proxies need neither leases, nor the
// configuration of members, nor guards, nor registers without a value.
func itemFilter(role string) func(item replication.Item) bool {
	if role == message.RoleController {
		return nil
	}
	return func(item replication.Item) bool {
		switch {
		case strings.HasPrefix(item.Key, replication.LeaseKeyPrefix),
			strings.HasPrefix(item.Key, replication.RegisterKeyPrefix+config.GuardKeyPrefix):
			return false
		case strings.HasPrefix(item.Key, replication.RegisterKeyPrefix):
			return item.Version > 0 && item.Key != replication.RegisterKeyPrefix+membership.RegisterKey
		}
		return true
	}
}

// addMissingItems adds the items beyond the sender's progress, and the progress that the sender reaches with them.
func (r *Replica) addMissingItems(pending *PendingPull, response *message.PullResponse) {
	request := pending.request
	fromController := request.Role == message.RoleController
	base := request.Progress
	if pending.complete {
		base = nil
	}
	maxSequence, reached := pending.sequence, pending.progress
	// A proxy pulls from only one member, so it receives no items from others.
	if pending.complete || !fromController {
		maxSequence, reached = r.items.LocalSequence(), r.items.Vector()
	}
	response.Items, response.Origins = r.items.Missing(base, maxSequence, itemFilter(request.Role))
	if !fromController { // controllers prune their vectors themselves
		response.DroppedOrigins = droppedOrigins(request.Progress, reached)
	}
	response.Complete = pending.complete
	reached[r.items.Origin] = r.items.OwnSequence()
	response.Progress = reached
	if !pending.complete {
		response.Progress = progressBeyond(reached, request.Progress)
	}
	limitResponse(response, request, cmp.Or(r.config.MaxResponseBytes, defaultMaxResponseBytes))
}

// droppedOrigins returns the origins of a vector that the current vector no longer contains, sorted.
func droppedOrigins(vector, current replication.Vector) (dropped []string) {
	for origin := range vector {
		if _, kept := current[origin]; !kept {
			dropped = append(dropped, origin)
		}
	}
	slices.Sort(dropped)
	return dropped
}

// progressBeyond returns the entries of a vector that are greater than those of the base vector.
func progressBeyond(vector, base replication.Vector) replication.Vector {
	beyond := replication.Vector{}
	for origin, sequence := range vector {
		if sequence > base[origin] {
			beyond[origin] = sequence
		}
	}
	return beyond
}

// shouldListMembers reports whether a response should list the members: if the sender requested them, if it is a
// controller that is not a member, or if it is a proxy and the response contains items or is the first one from this
// incarnation.
func (r *Replica) shouldListMembers(request *message.PullRequest, response *message.PullResponse) bool {
	if request.MembersOnly {
		return true
	}
	if request.Role == message.RoleController {
		return r.pullingPeer(request) == nil
	}
	return len(response.Items) > 0 || !r.knownToSender(request)
}

// pullTargets returns the members from which others may pull. It includes this replica only if this replica is a member
// or knows no other.
func (r *Replica) pullTargets() []message.Member {
	targets := r.OtherMembers()
	if r.local.isMember() || len(targets) == 0 {
		targets = append(targets, r.local.self)
	}
	sortByNode(targets)
	return targets
}
