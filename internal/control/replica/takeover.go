package replica

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"sagelever/internal/control/message"
	"sagelever/internal/control/quorum"
	"sagelever/internal/control/rangesync"
)

// A member takes over from the previous epoch before it becomes active in the current one: it collects the registers of
// TakeoverQuorum members of the previous configuration, at least one of which holds each chosen value. These registers
// no longer change, because a replica adopts the current epoch before it answers a request about it. A candidate, which
// may become a member later, catches up in the same way from one active member.

// startTakeover starts the takeover from the previous epoch, or the catch-up of a candidate, if one is due.
func (r *Replica) startTakeover(now time.Time) {
	local := &r.local
	if !local.identitySaved || local.configuration.Epoch == 0 || r.Active() {
		return
	}
	if local.isMember() {
		if local.diskConfirmed && !r.isRunning(takeOverEpoch) {
			r.startOperation(now, &operation{kind: takeOverEpoch})
		}
		return
	}
	if !local.caughtUp && !r.isRunning(catchUp) {
		r.startOperation(now, &operation{kind: catchUp})
	}
}

// requestTakeoverState requests all registers from the members of the previous and of the current configuration.
func (r *Replica) requestTakeoverState(now time.Time, op *operation) {
	if r.activeInPreviousEpoch() && r.local.configuration.TakeoverQuorum() <= 1 {
		r.finishTakeover(now, op)
		return
	}
	r.requestState(now, op, r.takeoverSources())
}

// requestCatchUpState requests all registers from one member, a different one in each attempt.
func (r *Replica) requestCatchUpState(now time.Time, op *operation) {
	peers := r.OtherMembers()
	if len(peers) == 0 {
		r.scheduleRetry(now, op)
		return
	}
	source := peers[op.attempt.number%len(peers)]
	r.requestState(now, op, []message.Member{source})
}

// requestState starts a comparison of all registers with those of some other replicas.
func (r *Replica) requestState(now time.Time, op *operation, sources []message.Member) {
	ranges := r.startSessions(op, sources, rangesync.Range{})
	r.requestFrom(now, op, sources, message.StatePath, r.newRangesRequest(message.StatePath, ranges))
}

// takeoverSources returns the other members of the previous and of the current configuration, with their last known
// addresses.
func (r *Replica) takeoverSources() (sources []message.Member) {
	configuration := &r.local.configuration
	for _, member := range slices.Concat(configuration.Previous, configuration.Members) {
		if member.SameReplica(r.local.self) || slices.ContainsFunc(sources, member.SameReplica) {
			continue
		}
		sources = append(sources, r.withLastAddress(member))
	}
	return sources
}

// serveState returns this replica's registers. It first adopts the sender's configuration if that is newer, and saves
// it before it responds: from then on, the registers of the previous epoch no longer change.
func (r *Replica) serveState(now time.Time, request *message.PeerRequest, respond responseCallback) {
	var changed []quorum.Entry
	if request.Configuration != nil {
		changed = r.learnEntries(now, []quorum.Entry{*request.Configuration})
	}
	local := &r.local
	if request.Epoch < local.configuration.Epoch {
		r.save(now, Save{Entries: changed}, func(now time.Time, _ error) {
			respond(now, &message.PeerResponse{Configuration: local.chosenEntry()}, nil)
		})
		return
	}
	if !local.diskConfirmed || !local.identity.EverActive || request.Epoch != local.configuration.Epoch {
		r.save(now, Save{Entries: changed}, func(now time.Time, _ error) { respond(now, nil, ErrCatchingUp) })
		return
	}
	response := &message.PeerResponse{
		OK:              true,
		DiskID:          local.self.DiskID,
		ActiveEpoch:     local.identity.ActiveEpoch,
		DiskGenerations: maps.Clone(r.diskGenerations),
	}
	r.serveRanges(request, response)
	r.save(now, Save{Entries: changed}, respondSaved(response, respond))
}

// handleStateResponse merges the registers of another replica during a takeover or a catch-up.
func (r *Replica) handleStateResponse(
	now time.Time, op *operation, from message.Member, response *message.PeerResponse,
) {
	if !response.OK || op.attempt.answered[from.Node+from.DiskID] || response.DiskID != from.DiskID {
		return
	}
	// A new member must be able to confirm the disks of others, as the member that it replaces could.
	for node, generation := range response.DiskGenerations {
		r.recordGeneration(message.Member{Node: node, DiskID: generation.DiskID}, generation.Number)
	}
	r.handleRanges(now, op, from, message.StatePath, response, func(now time.Time) {
		if op.kind == catchUp {
			r.finishCatchUp(now, op, response.ActiveEpoch)
		} else {
			r.countTakeoverSource(now, op, from, response.ActiveEpoch)
		}
	})
}

// countTakeoverSource records that this replica holds all registers of a source. It ends the takeover once there are
// enough sources: one replica that is active in the current epoch, or TakeoverQuorum replicas that were active in the
// previous one.
func (r *Replica) countTakeoverSource(now time.Time, op *operation, source message.Member, activeEpoch uint64) {
	local := &r.local
	if activeEpoch == local.configuration.Epoch {
		r.finishTakeover(now, op)
		return
	}
	if activeEpoch+1 != local.configuration.Epoch || !local.inPrevious(source) {
		return
	}
	op.attempt.answered[source.Node+source.DiskID] = true
	sources := len(op.attempt.answered)
	// A member of the previous configuration counts itself. If it was not active in that epoch, it accepted nothing in
	// it, and by now it holds the values that were chosen before.
	if local.inPrevious(local.self) {
		sources++
	}
	if sources >= local.configuration.TakeoverQuorum() {
		r.finishTakeover(now, op)
	}
}

// finishTakeover makes this replica active in the current epoch. It first saves the new active epoch together with the
// least proposal number, which rejects all proposals of earlier epochs.
func (r *Replica) finishTakeover(now time.Time, op *operation) {
	if op.attempt.activating {
		return
	}
	op.attempt.activating = true
	op.attempt.deadline = time.Time{} // no time limit for the save
	local := &r.local
	epoch := local.configuration.Epoch
	r.acceptor.RaiseMinProposal(quorum.ProposalNumber{Epoch: epoch})
	minProposal := r.acceptor.MinProposal()
	next := local.submittedIdentity
	next.EverActive = true
	next.ActiveEpoch = epoch
	local.submittedIdentity = next
	op.attempt.pendingSaves++
	number := op.attempt.number
	var saveID uint64
	saveID = r.save(now, Save{MinProposal: &minProposal, Identity: &next}, func(now time.Time, err error) {
		if !r.isCurrent(op, number) {
			return
		}
		op.attempt.pendingSaves--
		if err != nil || op.attempt.saveFailed || next.DiskID != local.identity.DiskID || r.hasUnsavedBefore(saveID) {
			r.scheduleRetry(now, op)
			return
		}
		r.activate(now, op, epoch)
	})
}

// activate makes this replica active in an epoch.
func (r *Replica) activate(now time.Time, op *operation, epoch uint64) {
	local := &r.local
	wasActive := r.activeInPreviousEpoch()
	local.identity.EverActive = true
	local.identity.ActiveEpoch = epoch
	r.finish(op, nil, nil)
	if !wasActive {
		r.resetVerification(now)
	}
	r.logEvent("active member of the epoch",
		LogField{"epoch", formatUint(epoch)},
		LogField{"registers", strconv.Itoa(r.acceptor.Index().Len())},
		LogField{"afterMs", formatMs(now.Sub(local.adoptedAt))})
	r.reportQuorumChange(now)
	r.notifyAfter(0)
}

// finishCatchUp marks a candidate as ready to become a member if its source is active in the current epoch.
func (r *Replica) finishCatchUp(now time.Time, op *operation, activeEpoch uint64) {
	if activeEpoch != r.local.configuration.Epoch {
		r.scheduleRetry(now, op)
		return
	}
	r.local.caughtUp = true
	r.finish(op, nil, nil)
	r.logEvent("candidate caught up", LogField{"registers", strconv.Itoa(r.acceptor.Index().Len())})
	r.notifyAfter(0)
}
