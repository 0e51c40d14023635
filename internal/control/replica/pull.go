package replica

import (
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/mailru/easyjson"

	"sagelever/internal/control/membership"
	"sagelever/internal/control/message"
	"sagelever/internal/control/quorum"
	"sagelever/internal/control/replication"
)

// peerProgress is how far a member has come that pulls here, and when it last did.
type peerProgress struct {
	progress  replication.Vector
	legacySeq uint64 // by this feed's own numbers, with the first version of the wire
	at        time.Time
}

// mergeLocal merges an item that is told here first, and has those woken who wait for news.
func (r *Replica) mergeLocal(item replication.Item) bool {
	if !r.items.Publish(item) {
		return false
	}
	r.notifyAfter(notifyDelay(item))
	return true
}

func (r *Replica) notifyAfter(after time.Duration) {
	if r.output.NotifyAfter < 0 || after < r.output.NotifyAfter {
		r.output.NotifyAfter = after
	}
}

// notifyDelay is how long an item may wait for others to go with: what agents must stop for goes at once.
func notifyDelay(item replication.Item) time.Duration {
	switch {
	case strings.HasPrefix(item.Key, replication.RegisterKey):
		return urgentNotifyDelay
	case strings.HasPrefix(item.Key, replication.BackendKey):
		if backend, ok := replication.ReadBackend(item); ok && (backend.Phase == replication.PhaseDraining || backend.Phase == replication.PhaseLeft) {
			return urgentNotifyDelay
		}
	case strings.HasPrefix(item.Key, replication.ReleaseTallyKey):
		if tally, ok := replication.ReadReleaseTally(item); ok && tally.Vote != "" {
			return urgentNotifyDelay
		}
		return tallyNotifyDelay
	}
	return defaultNotifyDelay
}

// PendingPull is a pull that waits for news.
type PendingPull struct {
	request          *message.PullRequest
	seq              uint64             // what came here from other sources later than this is on its way to the caller already
	progress         replication.Vector // how far that goes
	hadQuorum        bool
	knownIncarnation uint64
	complete         bool
}

// HandlePull takes up who calls: a lease for an edge agent, a member of the core. Answer has the news for it.
func (r *Replica) HandlePull(now time.Time, request *message.PullRequest) *PendingPull {
	pending := &PendingPull{request: request, seq: r.items.LocalSequence(), progress: r.items.Vector(), hadQuorum: r.HasQuorum(now), knownIncarnation: r.registerCaller(now, request)}
	if request.ProtocolVersion >= message.ProtocolVersion {
		pending.complete = len(request.Progress) == 0
	}
	if peer := r.callingPeer(request); peer != nil && !r.reachable(peer.Node, now) && now.Sub(peer.lastPull) > stuckPullTimeout {
		peer.lastPull = now
		r.output.PullNow = append(r.output.PullNow, peer.Member)
	}
	if !request.MembersOnly && r.callingPeer(request) != nil {
		previous, known := r.pullProgress[request.From.Node]
		r.pullProgress[request.From.Node] = peerProgress{progress: request.Progress, legacySeq: request.LegacyVector[r.items.Source], at: now}
		if away := now.Sub(previous.at); known && away > PeerTimeout+LeaseTerm {
			items, _ := r.items.Missing(request.Progress, r.items.LocalSequence(), nil)
			r.logEvent("a member is back, and handed what it should have had", "member", request.From.Node, "awayMs", strconv.FormatInt(away.Milliseconds(), 10),
				"items", strconv.Itoa(len(items)), "whole", strconv.FormatBool(pending.complete))
		}
	}
	return pending
}

// callingPeer is the member that pulls; nil where an agent or a candidate does.
func (r *Replica) callingPeer(request *message.PullRequest) *peerState {
	peer := r.peers[request.From.Node]
	if request.Role != message.RoleController || peer == nil || !peer.SameReplica(request.From) {
		return nil
	}
	return peer
}

// AnswerPull is the news for a pull, and whether to send it: otherwise there is none, and it may wait unless that is its end.
func (r *Replica) AnswerPull(now time.Time, pending *PendingPull) (response *message.PullResponse, ready bool) {
	request := pending.request
	r.expireLeases(now)
	hasQuorum := r.HasQuorum(now)
	response = &message.PullResponse{Source: r.items.Source, ProtocolVersion: message.ProtocolVersion, Seq: r.items.LocalSequence(), HasQuorum: hasQuorum, KnownIncarnation: pending.knownIncarnation, NowMs: now.UnixMilli()}
	response.Proxies, response.ZoneProxies = r.liveness.CountActive(request.From.Zone, now)
	if request.Role == message.RoleController {
		response.DiskID = r.local.self.DiskID
		response.ActiveEpoch = r.activeEpoch()
		if request.KnownEpoch < r.local.configuration.Epoch {
			response.Configuration = r.local.entry()
		}
	}
	ready = r.leaving || hasQuorum != pending.hadQuorum || pending.knownIncarnation != 0 || response.Configuration != nil || request.Role == message.RoleController && response.ActiveEpoch != request.PeerActiveEpoch
	if response.SurveyID = r.activeSurvey(now); request.Role == message.RoleProxy && response.SurveyID > request.SurveyID {
		ready = true
	}
	var wanted func(string) bool
	if request.Role != message.RoleController { // edge agents need neither leases nor the set of members
		wanted = func(key string) bool {
			return !strings.HasPrefix(key, replication.LeaseKey) && key != replication.RegisterKey+membership.RegisterKey
		}
	}
	switch {
	case request.MembersOnly:
		ready = true
	case request.ProtocolVersion < message.ProtocolVersion:
		since, knows := request.LegacyVector[r.items.Source]
		response.Items, response.Complete = r.items.Since(since, wanted), since == 0
		ready = ready || !knows
	default:
		progress, seq, reached := request.Progress, pending.seq, pending.progress
		if pending.complete {
			progress = nil
		}
		if pending.complete || request.Role != message.RoleController { // a relay pulls from one member alone
			seq, reached = r.items.LocalSequence(), r.items.Vector()
		}
		response.Items, response.Origins = r.items.Missing(progress, seq, wanted)
		if request.Role != message.RoleController { // members prune their own
			for origin := range request.Progress {
				if _, left := reached[origin]; !left {
					response.DroppedOrigins = append(response.DroppedOrigins, origin)
				}
			}
		}
		response.Complete = pending.complete
		reached[r.items.Origin] = r.items.OwnSequence()
		if response.Progress = reached; !pending.complete {
			response.Progress = progressBeyond(reached, request.Progress)
		}
		truncateResponse(response, request)
		_, knows := request.Progress[r.items.Origin]
		ready = ready || !knows || pending.complete
	}
	if _, knows := request.Progress[r.items.Origin]; request.MembersOnly || request.Role == message.RoleProxy && (!knows || len(response.Items) > 0) { // who has heard this life was told
		response.Members = r.pullTargets()
	}
	return response, ready || len(response.Items) > 0
}

// pullTargets are the members that agents may pull from: this replica is among them only while it is one.
func (r *Replica) pullTargets() []message.Member {
	targets := r.OtherMembers()
	if r.local.isMember() || len(targets) == 0 {
		targets = append(targets, r.local.self)
	}
	sort.Slice(targets, func(i, j int) bool { return targets[i].Node < targets[j].Node })
	return targets
}

// progressBeyond is what of a vector goes beyond another.
func progressBeyond(vector, base replication.Vector) replication.Vector {
	beyond := replication.Vector{}
	for origin, number := range vector {
		if number > base[origin] {
			beyond[origin] = number
		}
	}
	return beyond
}

// recentlyHeard is for how long after a member's answer the next pull of it may wait for news: longer than the pause between two
// pulls. After one that failed the answer itself is the news.
const recentlyHeard = time.Second

// NewPullRequest is what this member asks another for: all that it lacks. Where it has not heard of the other lately the answer is
// not to wait for news, as it is news itself that the other is there.
func (r *Replica) NewPullRequest(now time.Time, to message.Member) *message.PullRequest {
	local := &r.local
	request := &message.PullRequest{From: local.self, Role: message.RoleController, ProtocolVersion: message.ProtocolVersion, MembersOnly: to.Node == "", ResetCount: r.resetCount, KnownEpoch: local.configuration.Epoch, Leaving: r.leaving, Ready: local.caughtUp}
	if local.configuration.Epoch == 0 {
		request.Ready = local.identity.Fresh
	}
	request.Ready = request.Ready && local.identitySaved // a disk whose identity could still be lost is nobody's
	if local.identitySaved {
		request.DiskGeneration = local.identity.Generation
	}
	if !request.MembersOnly {
		if peer := r.peers[to.Node]; peer != nil && peer.heardOnce && now.Sub(peer.lastHeard) < recentlyHeard {
			request.WaitMs = PeerPullWait.Milliseconds()
			if !local.isMember() {
				request.WaitMs = candidatePullWait.Milliseconds()
			}
		}
		peer := r.peers[to.Node]
		if peer != nil {
			peer.lastPull = now
			request.PeerActiveEpoch = peer.activeEpoch
		}
		if r.progressCurrent(now) {
			request.Progress = r.items.Vector()
		}
		if peer != nil && peer.legacySource != "" {
			request.LegacyVector = map[string]uint64{peer.legacySource: peer.legacySeq} // the version before goes by this
		}
	}
	return request
}

// progressCurrent tells whether the feed is as far as its vector says, and was told news not long ago, by whomever: then all that
// was forgotten since was heard of.
func (r *Replica) progressCurrent(now time.Time) bool {
	return r.progressValid && now.Sub(r.lastPullAt) < incrementalPullWindow
}

// DeferPull tells whether to put off pulling a member: at the start one is asked before the others, so that what this one lacks
// is handed to it once and not by everybody. Where that one does not answer, the others are not held up for long.
func (r *Replica) DeferPull(now time.Time, to message.Member) bool {
	if r.heardFromPeer || now.Sub(r.startedAt) > firstPullHeadStart {
		return false
	}
	for _, peer := range r.OtherMembers() {
		if peer.Node != to.Node && r.nearer(peer, to) {
			return true
		}
	}
	return false
}

// nearer orders members: those of this region first, then by name.
func (r *Replica) nearer(first, second message.Member) bool {
	region := r.config.RegionByZone[r.config.Self.Zone]
	firstNear, secondNear := r.config.RegionByZone[first.Zone] == region, r.config.RegionByZone[second.Zone] == region
	return firstNear && !secondNear || firstNear == secondNear && first.Node < second.Node
}

// HandlePullResponse takes up what another member has told in answer to a pull.
func (r *Replica) HandlePullResponse(now time.Time, from message.Member, request *message.PullRequest, response *message.PullResponse) {
	// An answer that builds on what was given up meanwhile claims nothing; what it brings is told on as this member's own.
	keepsProgress := response.Complete || request.ResetCount == r.resetCount
	var changed []quorum.Entry
	received := make(map[string]bool, len(response.Items))
	for _, item := range response.Items {
		received[item.Key] = true
		origin, number := "", item.Sequence
		if response.ProtocolVersion >= message.ProtocolVersion && keepsProgress {
			origin = response.OriginOf(item)
		}
		changed = append(changed, r.mergeRemote(now, item, origin, number)...)
	}
	if response.Configuration != nil {
		changed = append(changed, r.learnEntries(now, []quorum.Entry{*response.Configuration})...)
	}
	if response.ProtocolVersion >= message.ProtocolVersion && !request.MembersOnly {
		switch {
		case response.Complete && !r.progressCurrent(now): // in the place of what was known before, part of which was forgotten since
			for _, key := range r.items.ReplaceReceived(received, response.Progress, func(item replication.Item) bool { return strings.HasPrefix(item.Key, replication.RegisterKey) }) {
				r.output.ForgottenKeys = append(r.output.ForgottenKeys, key)
				if id, ok := strings.CutPrefix(key, replication.BackendKey); ok {
					delete(r.backends, id)
				}
			}
			r.progressValid = true
			r.resetCount++
		case keepsProgress:
			r.items.Advance(response.Progress)
		}
	}
	if !request.MembersOnly {
		r.lastPullAt = now
	}
	if peer := r.peers[from.Node]; peer != nil && (response.DiskID == peer.DiskID || response.ProtocolVersion < message.ProtocolVersion) { // else a candidate calls from a member's address
		peer.lastHeard, peer.heardOnce, r.heardFromPeer = now, true, true
		peer.activeEpoch = response.ActiveEpoch
		peer.legacySource, peer.legacySeq = "", 0
		if len(response.Origins) > 0 {
			peer.origin = response.Origins[0]
		}
		if response.ProtocolVersion < message.ProtocolVersion {
			peer.legacySource, peer.legacySeq = response.Source, response.Seq
		}
	}
	r.save(now, Save{Entries: changed}, nil)
	r.noteQuorumChange(now)
}

// mergeRemote merges an item that another agent has told. One without an origin comes from the version before, and is told here
// first.
func (r *Replica) mergeRemote(now time.Time, item replication.Item, origin string, number uint64) (changed []quorum.Entry) {
	if strings.HasPrefix(item.Key, replication.RegisterKey) {
		entry := quorum.Entry{}
		if easyjson.Unmarshal([]byte(item.Body), &entry) != nil || !entry.Chosen {
			return nil
		}
		// It is in the feed with its own origin before it is learned, so that it is not told anew.
		if origin != "" {
			r.mergeForwarded(item, origin, number)
		}
		return r.learnEntries(now, []quorum.Entry{entry})
	}
	if origin == "" && !r.mergeLocal(item) || origin != "" && !r.mergeForwarded(item, origin, number) {
		return nil
	}
	r.trackItem(now, item)
	return nil
}

// mergeForwarded merges an item that another told first, and wakes edge agents that wait for news.
func (r *Replica) mergeForwarded(item replication.Item, origin string, number uint64) bool {
	if !r.items.Receive(item, origin, number) {
		return false
	}
	r.notifyAfter(notifyDelay(item))
	return true
}

// RemovalReplicationWait is for how long the word on a removal waits until all members that are heard hold it, so that all agents stop at
// about one moment: some ways between regions, and well within the second for which callers wait.
const RemovalReplicationWait = 250 * time.Millisecond

// minRemovalHolders is how many members hold a removal at least, so that its word outlives the one that gave it: also in a first set of
// two, of which one would be half.
const minRemovalHolders = 2

// Replicated tells whether what has been told here at a moment has gone far enough to be acknowledged: so many members hold it
// that each that may be relied on, as it hears more than half of the core, hears one that does; and all of those that are
// heard, unless that takes too long.
func (r *Replica) Replicated(now time.Time, key string, since time.Time) bool {
	origin, number := r.items.OriginOf(key)
	if origin == "" {
		return false
	}
	holders, onAllReachable, size := 1, true, len(r.local.configuration.Members)
	for node := range r.peers {
		progress, known := r.pullProgress[node]
		switch {
		case known && (progress.progress[origin] >= number || progress.progress == nil && progress.legacySeq >= r.items.LocalSequenceOf(key)):
			holders++
		case r.reachable(node, now):
			onAllReachable = false
		}
	}
	return holders >= max(size-size/2, min(size, minRemovalHolders)) && (onAllReachable || now.Sub(since) >= RemovalReplicationWait)
}
