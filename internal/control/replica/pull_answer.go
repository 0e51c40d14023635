package replica

import (
	"cmp"
	"slices"
	"strconv"
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

	// What this replica held when the pull was received. Items that reach it later from other origins are on their way
	// to the sender already and are left out.
	seq      uint64
	progress replication.Vector
}

// peerProgress is how far another member has come by the last pull that it sent here.
type peerProgress struct {
	vector    replication.Vector
	legacySeq uint64 // in this replica's local sequence numbers, in protocol version 1
	at        time.Time
}

// HandlePull takes a pull: it renews the lease of a proxy, or takes up a controller. AnswerPull returns the response.
func (r *Replica) HandlePull(now time.Time, request *message.PullRequest) *PendingPull {
	pending := &PendingPull{
		request:   request,
		hadQuorum: r.HasQuorum(now),
		seq:       r.items.LocalSequence(),
		progress:  r.items.Vector(),
	}
	if request.Role == message.RoleController {
		r.registerController(now, request)
	} else {
		pending.knownIncarnation = r.renewLease(now, request)
	}
	if request.ProtocolVersion >= message.ProtocolVersion {
		pending.complete = len(request.Progress) == 0
	}
	peer := r.callingPeer(request)
	if peer == nil {
		return pending
	}
	if !r.reachable(peer.Node, now) && now.Sub(peer.lastPull) > stuckPullTimeout {
		peer.lastPull = now
		r.output.PullNow = append(r.output.PullNow, peer.Member)
	}
	if !request.MembersOnly {
		r.notePullProgress(now, request, pending.complete)
	}
	return pending
}

// notePullProgress notes how far the member that sent a pull has come.
func (r *Replica) notePullProgress(now time.Time, request *message.PullRequest, complete bool) {
	node := request.From.Node
	previous, known := r.pullProgress[node]
	r.pullProgress[node] = peerProgress{
		vector:    request.Progress,
		legacySeq: request.LegacyVector[r.items.Source],
		at:        now,
	}
	if away := now.Sub(previous.at); known && away > PeerTimeout+LeaseTerm {
		missing, _ := r.items.Missing(request.Progress, r.items.LocalSequence(), nil)
		r.logEvent("member returned", "member", node, "awayMs", formatMs(away),
			"items", strconv.Itoa(len(missing)), "complete", strconv.FormatBool(complete))
	}
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
	if r.wantsMembers(request, response) {
		response.Members = r.pullTargets()
	}
	return response, ready || len(response.Items) > 0
}

// newPullResponse returns the response to a pull without items and members.
func (r *Replica) newPullResponse(now time.Time, pending *PendingPull) *message.PullResponse {
	request := pending.request
	response := &message.PullResponse{
		Source:           r.items.Source,
		ProtocolVersion:  message.ProtocolVersion,
		Seq:              r.items.LocalSequence(),
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
		since, known := request.LegacyVector[r.items.Source]
		response.Items = r.items.Since(since, itemFilter(request.Role))
		response.Complete = since == 0
		return !known
	default:
		r.addMissingItems(pending, response)
		return pending.complete || !r.heardBy(request)
	}
}

// heardBy reports whether the sender of a pull has heard of this replica's current incarnation.
func (r *Replica) heardBy(request *message.PullRequest) bool {
	_, heard := request.Progress[r.items.Origin]
	return heard
}

// itemFilter returns which items to send to a role, by their keys; nil for all. Proxies need neither leases nor the
// configuration.
func itemFilter(role string) func(key string) bool {
	if role == message.RoleController {
		return nil
	}
	return func(key string) bool {
		return !strings.HasPrefix(key, replication.LeaseKey) && key != replication.RegisterKey+membership.RegisterKey
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
	maxSeq, reached := pending.seq, pending.progress
	// a proxy pulls from one member only, so that nothing else is on its way to it
	if pending.complete || !fromController {
		maxSeq, reached = r.items.LocalSequence(), r.items.Vector()
	}
	response.Items, response.Origins = r.items.Missing(base, maxSeq, itemFilter(request.Role))
	if !fromController { // controllers prune their vectors themselves
		response.DroppedOrigins = droppedOrigins(request.Progress, reached)
	}
	response.Complete = pending.complete
	reached[r.items.Origin] = r.items.OwnSequence()
	response.Progress = reached
	if !pending.complete {
		response.Progress = progressBeyond(reached, request.Progress)
	}
	limitResponse(response, request)
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

// wantsMembers reports whether a response is to list the members: where they were asked for, or for a proxy together
// with new items or when it hears of this incarnation for the first time.
func (r *Replica) wantsMembers(request *message.PullRequest, response *message.PullResponse) bool {
	if request.MembersOnly {
		return true
	}
	return request.Role == message.RoleProxy && (len(response.Items) > 0 || !r.heardBy(request))
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

const (
	// maxResponseBytes bounds the items of one response. A single item may be longer.
	maxResponseBytes = 192 << 10

	// itemOverheadBytes bounds the encoded size of an item beside its key and body.
	itemOverheadBytes = 48
)

// limitResponse leaves out the items beyond maxResponseBytes; the sender pulls the rest at once. Within each origin
// the items are sent in the order of their sequence numbers, so that the response's progress can end before the first
// that is left out. A complete response to a proxy is not limited, because the proxy takes it for all there is.
func limitResponse(response *message.PullResponse, request *message.PullRequest) {
	if response.Complete && request.Role != message.RoleController {
		return
	}
	slices.SortStableFunc(response.Items, func(a, b replication.Item) int {
		if a.OriginIndex != b.OriginIndex {
			return a.OriginIndex - b.OriginIndex
		}
		return cmp.Compare(a.Sequence, b.Sequence)
	})
	size := 0
	for i, item := range response.Items {
		size += itemOverheadBytes + len(item.Key) + len(item.Body)
		if size > maxResponseBytes && i > 0 {
			response.WithdrawProgress(response.Items[i:], request.Progress)
			response.Items = response.Items[:i]
			return
		}
	}
}

// Replicated reports whether an item that was published here at a given time is held widely enough to be acknowledged:
// by so many members that each member with a quorum reaches one of them, and, until RemovalReplicationWait has passed,
// by all that are reachable.
func (r *Replica) Replicated(now time.Time, key string, publishedAt time.Time) bool {
	origin, sequence := r.items.OriginOf(key)
	if origin == "" {
		return false
	}
	localSequence := r.items.LocalSequenceOf(key)
	holders := 1
	onAllReachable := true
	for node := range r.peers {
		progress, known := r.pullProgress[node]
		switch {
		case known && progress.holds(origin, sequence, localSequence):
			holders++
		case r.reachable(node, now):
			onAllReachable = false
		}
	}
	if holders < replicationQuorum(len(r.local.configuration.Members)) {
		return false
	}
	return onAllReachable || now.Sub(publishedAt) >= RemovalReplicationWait
}

// holds reports whether a member holds an item, by its sequence number at its origin or, in protocol version 1, by its
// local sequence number here.
func (p peerProgress) holds(origin string, sequence, localSequence uint64) bool {
	if p.vector[origin] >= sequence {
		return true
	}
	return p.vector == nil && p.legacySeq >= localSequence
}

// replicationQuorum returns how many of the members have to hold an item so that every majority of them contains a
// holder: half of them rounded up. It is two at least, so that the item outlives the member that acknowledges it even
// in a configuration of two.
func replicationQuorum(members int) int {
	const minHolders = 2
	return max(members-members/2, min(members, minHolders))
}
