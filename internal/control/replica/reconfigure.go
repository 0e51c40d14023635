package replica

import (
	"strconv"
	"time"

	"sagelever/internal/control/membership"
	"sagelever/internal/control/message"
	"sagelever/internal/control/quorum"
)

// candidate is a controller that pulls from this replica and is not a member of the configuration.
type candidate struct {
	membership.Candidate
	lastPullAt time.Time
}

// registerCandidate records the pull of a controller that is not a member.
func (r *Replica) registerCandidate(now time.Time, request *message.PullRequest) {
	ready := request.Ready && request.From.DiskID != "" && !request.Leaving
	if r.local.configuration.Epoch > 0 && request.KnownEpoch == 0 {
		ready = false
	}
	known := r.candidates[request.From.Node]
	if known == nil || known.CaughtUp != ready || !known.SameReplica(request.From) {
		r.logEvent("candidate registered",
			LogField{"node", request.From.Node},
			LogField{"ready", strconv.FormatBool(ready)})
	}
	r.candidates[request.From.Node] = &candidate{
		Candidate:  membership.Candidate{Member: request.From, CaughtUp: ready},
		lastPullAt: now,
	}
	if ready {
		r.reconfigure(now)
	}
}

// CandidateReady reports whether a candidate was ready to become a member as of its last pull.
func (r *Replica) CandidateReady(node string) bool {
	candidate := r.candidates[node]
	return candidate != nil && candidate.CaughtUp
}

// liveCandidates returns the candidates that have pulled within candidateTimeout, and removes the others.
func (r *Replica) liveCandidates(now time.Time) []membership.Candidate {
	var live []membership.Candidate
	for node, candidate := range r.candidates {
		if now.Sub(candidate.lastPullAt) > candidateTimeout {
			delete(r.candidates, node)
		} else {
			live = append(live, candidate.Candidate)
		}
	}
	return live
}

// reconfigure proposes the next configuration if the current one should change. Normally only the first reachable
// member by name does so; a leaving member also proposes its own replacement.
func (r *Replica) reconfigure(now time.Time) {
	local := &r.local
	if local.proposing || !r.Active() {
		return
	}
	if local.configuration.Epoch == 0 {
		r.proposeFirstConfiguration(now)
		return
	}
	if !r.leaving && (!r.HasQuorum(now) || !r.isFirstReachable(now)) {
		return
	}
	if !r.takeoverComplete(now) {
		return
	}
	timeouts := membership.Timeouts{ReplaceAfter: PeerTimeout, RemoveAfter: removalTimeout}
	members := r.memberStatus(now)
	candidates := r.liveCandidates(now)
	next, reason, ok := membership.Next(local.configuration, r.config.Target, timeouts, members, candidates)
	if ok {
		r.proposeConfiguration(now, next, reason)
	}
}

// memberStatus returns the status of the members as seen by this replica.
func (r *Replica) memberStatus(now time.Time) []membership.MemberStatus {
	members := []membership.MemberStatus{{Member: r.local.self, Leaving: r.leaving}}
	for node, peer := range r.peers {
		member := membership.MemberStatus{Member: peer.Member, Leaving: peer.leaving}
		if !r.reachable(node, now) {
			sinceResponse := now.Sub(latestOf(peer.lastResponseAt, peer.memberSince, r.startedAt))
			member.SinceLastResponse = max(1, sinceResponse) // 0 means that the member is reachable
		}
		members = append(members, member)
	}
	return members
}

func latestOf(times ...time.Time) (latest time.Time) {
	for _, t := range times {
		if t.After(latest) {
			latest = t
		}
	}
	return latest
}

// takeoverComplete reports whether all members that have not timed out are active in the current epoch, or
// takeoverTimeout has passed. The next configuration takes over from the active members. If it were proposed earlier,
// too few of them might be left after one failure, and the members that are not active yet would skip this epoch.
func (r *Replica) takeoverComplete(now time.Time) bool {
	local := &r.local
	if now.Sub(local.adoptedAt) >= takeoverTimeout {
		return true
	}
	for _, peer := range r.peers {
		timedOut := now.Sub(latestOf(peer.lastResponseAt, peer.memberSince)) >= PeerTimeout
		if !timedOut && peer.activeEpoch != local.configuration.Epoch {
			return false
		}
	}
	return true
}

// isFirstReachable reports whether this replica is the first by name of the reachable members.
func (r *Replica) isFirstReachable(now time.Time) bool {
	for node := range r.peers {
		if node < r.config.Self.Node && r.reachable(node, now) {
			return false
		}
	}
	return true
}

// proposeFirstConfiguration proposes the first configuration. The initial peers take turns in the order of their
// addresses.
func (r *Replica) proposeFirstConfiguration(now time.Time) {
	local := &r.local
	self := membership.Candidate{Member: local.self, CaughtUp: true}
	present := append(r.liveCandidates(now), self)
	waited := now.Sub(r.startedAt) > bootstrapWait
	next, ok := membership.Bootstrap(r.config.Target, present, waited)
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
			turn += bootstrapTurnDelay
		}
	}
	if now.Sub(local.bootstrapPossibleSince) >= turn {
		r.proposeConfiguration(now, next, membership.ReasonBootstrap)
	}
}

// proposeConfiguration proposes the next configuration to the members of the current one.
func (r *Replica) proposeConfiguration(
	now time.Time, next membership.Configuration, reason membership.Reason,
) {
	local := &r.local
	local.proposing = true
	r.logEvent("configuration proposed",
		LogField{"epoch", formatUint(next.Epoch)},
		LogField{"reason", string(reason)},
		LogField{"members", strconv.Itoa(len(next.Members))})
	update := local.configuration.ReplaceWith(next)
	updates := map[string]quorum.UpdateFunc{membership.RegisterKey: update}
	r.startInternalWrite(now, updates, func() { local.proposing = false })
}

// AwaitingReplacement reports whether a leaving process should keep running: until it is replaced if a candidate in its
// zone is ready, and until more than MaxFailures other members are active in the new epoch, so that the failures that
// the configuration tolerates can't lose values that only this replica holds besides them.
func (r *Replica) AwaitingReplacement(now time.Time) bool {
	local := &r.local
	if !r.leaving || !local.identity.EverActive || !local.diskConfirmed {
		return false
	}
	if !local.isMember() {
		return r.activeInPreviousEpoch() && r.activePeers() <= local.configuration.MaxFailures
	}
	for _, candidate := range r.liveCandidates(now) {
		if candidate.CaughtUp && candidate.Zone == local.self.Zone {
			return true
		}
	}
	return false
}

// activePeers returns the number of other members that were active in the current epoch as of their last response.
func (r *Replica) activePeers() (active int) {
	for _, peer := range r.peers {
		if peer.activeEpoch == r.local.configuration.Epoch {
			active++
		}
	}
	return active
}
