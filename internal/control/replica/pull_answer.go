package replica

import (
	"cmp"
	"strings"
	"time"

	"sagelever/internal/control/membership"
	"sagelever/internal/control/message"
	"sagelever/internal/control/replication"
)

// PendingPull is a pull that was received and is not answered yet.
type PendingPull struct {
	request          *message.PullRequest
	hadQuorum        bool   // HasQuorum when the pull was received; a change is answered at once
	knownIncarnation uint64 // see message.PullResponse
	complete         bool   // the response is to contain all items
	verification     uint64 // the number of the verification that the sender waits for; 0 for none

	// What this replica held when the pull was received. Items that reach it later from other origins are on their way
	// to the sender already and are left out.
	sequence uint64
	progress replication.Vector
}

// HandlePull takes a pull: it renews the lease of a proxy, or takes up a controller. AnswerPull returns the response.
func (r *Replica) HandlePull(now time.Time, request *message.PullRequest) *PendingPull {
	pending := &PendingPull{
		request:   request,
		hadQuorum: r.HasQuorum(now),
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

// AnswerPull returns the response to a pull as of now. Unless it is ready, there is nothing new in it, and it should
// not be sent before the pull's waiting time is over.
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

// newPullResponse returns the response to a pull without items and members.
func (r *Replica) newPullResponse(now time.Time, pending *PendingPull) *message.PullResponse {
	request := pending.request
	response := &message.PullResponse{
		Source:           r.items.LegacySource,
		ProtocolVersion:  message.ProtocolVersion,
		LocalSequence:    r.items.LocalSequence(),
		HasQuorum:        r.HasQuorum(now),
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

// addItems adds the items that the sender of a pull lacks. It reports whether the response is to be sent even if there
// are none: the sender asked for something else, or has not heard of this replica's incarnation yet.
func (r *Replica) addItems(pending *PendingPull, response *message.PullResponse) (ready bool) {
	request := pending.request
	switch {
	case request.MembersOnly:
		return true
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

// knownToSender reports whether the sender of a pull has heard of this replica's current incarnation.
func (r *Replica) knownToSender(request *message.PullRequest) bool {
	_, known := request.Progress[r.items.Origin]
	return known
}

// itemFilter returns which items to send to a role, by their keys; nil for all. Proxies need neither leases nor the
// configuration.
func itemFilter(role string) func(key string) bool {
	if role == message.RoleController {
		return nil
	}
	return func(key string) bool {
		return !strings.HasPrefix(key, replication.LeaseKeyPrefix) && key != replication.RegisterKeyPrefix+membership.RegisterKey
	}
}

// addMissingItems adds the items beyond the sender's progress, and the progress that they amount to.
func (r *Replica) addMissingItems(pending *PendingPull, response *message.PullResponse) {
	request := pending.request
	fromController := request.Role == message.RoleController
	base := request.Progress
	if pending.complete {
		base = nil
	}
	maxSequence, reached := pending.sequence, pending.progress
	// a proxy pulls from one member only, so that nothing else is on its way to it
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

// droppedOrigins returns the origins of a vector that another no longer contains.
func droppedOrigins(vector, current replication.Vector) (dropped []string) {
	for origin := range vector {
		if _, kept := current[origin]; !kept {
			dropped = append(dropped, origin)
		}
	}
	return dropped
}

// progressBeyond returns the entries of a vector that are greater than those of a base.
func progressBeyond(vector, base replication.Vector) replication.Vector {
	beyond := replication.Vector{}
	for origin, sequence := range vector {
		if sequence > base[origin] {
			beyond[origin] = sequence
		}
	}
	return beyond
}

// shouldListMembers reports whether a response is to list the members: where they were asked for, or for a proxy together
// with new items or when it hears of this incarnation for the first time.
func (r *Replica) shouldListMembers(request *message.PullRequest, response *message.PullResponse) bool {
	if request.MembersOnly {
		return true
	}
	return request.Role == message.RoleProxy && (len(response.Items) > 0 || !r.knownToSender(request))
}

// pullTargets returns the members that may be pulled from. This replica is one of them only while it is a member
// itself, or knows no other.
func (r *Replica) pullTargets() []message.Member {
	targets := r.OtherMembers()
	if r.local.isMember() || len(targets) == 0 {
		targets = append(targets, r.local.self)
	}
	sortByNode(targets)
	return targets
}
