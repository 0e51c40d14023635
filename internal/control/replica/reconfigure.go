package replica

import (
	"strconv"
	"time"

	"sagelever/internal/control/membership"
	"sagelever/internal/control/message"
	"sagelever/internal/control/quorum"
)

const (
	// removalTimeout is for how long a member is silent before it is removed without a successor, where the others can bear as
	// many losses without it: longer than regions are cut off from one another.
	removalTimeout = 5 * time.Minute
	// bootstrapWait is for how long the first contacts wait for all members before they decide on a first set without those that
	// are missing: all are started within a part of a second.
	bootstrapWait = 1500 * time.Millisecond
	// bootstrapTurn is for how long a first contact leaves it to those before it in the list to propose the first set.
	bootstrapTurn = 300 * time.Millisecond
)

const (
	// candidatePullWait is for how long a candidate's pull waits for news: shorter than a member's, so that one that is gone is not
	// voted in. From when a next set is accepted, losses count against both sets together.
	candidatePullWait = time.Second
	// candidateTimeout is for how long a candidate counts as there after its last pull.
	candidateTimeout = candidatePullWait + 750*time.Millisecond
)

// candidate is a replica that is no member and has called.
type candidate struct {
	membership.Candidate
	lastPull time.Time
}

// registerCandidate takes up a replica that calls and is no member.
func (r *Replica) registerCandidate(now time.Time, request *message.PullRequest) {
	local := &r.local
	ready := request.Ready && request.From.DiskID != "" && !request.Leaving
	if local.configuration.Epoch > 0 {
		ready = ready && request.KnownEpoch > 0
	}
	known := r.candidates[request.From.Node]
	if known == nil || known.CaughtUp != ready || !known.SameReplica(request.From) {
		r.logEvent("a replica would be a member", "node", request.From.Node, "ready", strconv.FormatBool(ready))
	}
	r.candidates[request.From.Node] = &candidate{membership.Candidate{Member: request.From, CaughtUp: ready}, now}
	if ready {
		r.reconfigure(now)
	}
}

// liveCandidates are the candidates that were heard lately.
func (r *Replica) liveCandidates(now time.Time) []membership.Candidate {
	var present []membership.Candidate
	for node, candidate := range r.candidates {
		if now.Sub(candidate.lastPull) > candidateTimeout {
			delete(r.candidates, node)
		} else {
			present = append(present, candidate.Candidate)
		}
	}
	return present
}

// reconfigure proposes the next set of members where there should be one: the first by name of the members that are heard does it
// for all, and one that leaves for itself.
func (r *Replica) reconfigure(now time.Time) {
	local := &r.local
	if local.proposing || !r.Active() {
		return
	}
	if local.configuration.Epoch == 0 {
		r.proposeFirstConfiguration(now)
		return
	}
	if !r.leaving && (!r.HasQuorum(now) || !r.isReconfigurer(now)) || !r.takeoverComplete(now) {
		return
	}
	seen := []membership.MemberStatus{{Member: local.self, Leaving: r.leaving}}
	for node, peer := range r.peers {
		member := membership.MemberStatus{Member: peer.Member, Leaving: peer.leaving}
		if !r.reachable(node, now) {
			member.SinceLastHeartbeat = max(1, now.Sub(latestTime(peer.lastHeard, peer.memberSince, r.startedAt)))
		}
		seen = append(seen, member)
	}
	limits := membership.Timeouts{ReplaceAfter: PeerTimeout, RemoveAfter: removalTimeout}
	if next, reason, ok := membership.Next(local.configuration, r.config.Target, limits, seen, r.liveCandidates(now)); ok {
		r.proposeConfiguration(now, next, reason)
	}
}

func latestTime(times ...time.Time) (last time.Time) {
	for _, moment := range times {
		if moment.After(last) {
			last = moment
		}
	}
	return last
}

// joinTimeout is for how long the next change of members waits for one that is heard and does not act.
const joinTimeout = 10 * time.Second

// takeoverComplete tells whether all members that are not given up act in the epoch in force. The next set takes over from these: proposed
// sooner, it could find too few of them after one loss, and those that would still act in this epoch go for the newest one.
func (r *Replica) takeoverComplete(now time.Time) bool {
	local := &r.local
	if now.Sub(local.adoptedAt) >= joinTimeout {
		return true
	}
	for _, peer := range r.peers {
		givenUp := now.Sub(latestTime(peer.lastHeard, peer.memberSince)) >= PeerTimeout // it is given up
		if !givenUp && peer.activeEpoch != local.configuration.Epoch {
			return false
		}
	}
	return true
}

// isReconfigurer tells whether this member is the first by name of those that are heard.
func (r *Replica) isReconfigurer(now time.Time) bool {
	for node := range r.peers {
		if node < r.config.Self.Node && r.reachable(node, now) {
			return false
		}
	}
	return true
}

// proposeFirstConfiguration proposes the first set, as one of the first contacts.
func (r *Replica) proposeFirstConfiguration(now time.Time) {
	local := &r.local
	present := append(r.liveCandidates(now), membership.Candidate{Member: local.self, CaughtUp: true})
	next, ok := membership.Bootstrap(r.config.Target, present, now.Sub(r.startedAt) > bootstrapWait)
	if !ok {
		local.bootstrapPossibleSince = time.Time{}
		return
	}
	if local.bootstrapPossibleSince.IsZero() {
		local.bootstrapPossibleSince = now
	}
	turn := time.Duration(0)
	for _, peer := range local.configuration.Members {
		if peer.Addr < local.self.Addr {
			turn += bootstrapTurn
		}
	}
	if now.Sub(local.bootstrapPossibleSince) >= turn {
		r.proposeConfiguration(now, next, membership.ReasonBootstrap)
	}
}

// proposeConfiguration has the members decide on the next set.
func (r *Replica) proposeConfiguration(now time.Time, next membership.Configuration, reason membership.Reason) {
	local := &r.local
	local.proposing = true
	r.logEvent("next members proposed", "epoch", strconv.FormatUint(next.Epoch, 10), "reason", string(reason), "members", strconv.Itoa(len(next.Members)))
	keys, decide := quorum.UpdateEach(map[string]quorum.UpdateFunc{membership.RegisterKey: local.configuration.ReplaceWith(next)})
	r.startOperation(now, &operation{kind: proposeWrite, expiresAt: now.Add(4 * attemptTimeout), keys: keys, decide: decide, onEnd: func() { local.proposing = false }})
}

// HandingOver tells whether an ending process should go on for a while: a successor is ready and takes this member's place, or has
// taken it and so few members act in the new epoch that one more loss could take what only this replica holds with it.
func (r *Replica) HandingOver(now time.Time) bool {
	local := &r.local
	if !r.leaving || !local.identity.Acting || !local.diskConfirmed {
		return false
	}
	if !local.isMember() {
		return r.activeInPreviousEpoch() && r.activeMembers() <= local.configuration.MaxFailures
	}
	for _, candidate := range r.liveCandidates(now) {
		if candidate.CaughtUp && candidate.Zone == local.self.Zone {
			return true
		}
	}
	return false
}

// activeMembers is how many members have told that they act in the epoch in force.
func (r *Replica) activeMembers() (acting int) {
	for _, peer := range r.peers {
		if peer.activeEpoch == r.local.configuration.Epoch {
			acting++
		}
	}
	return acting
}
