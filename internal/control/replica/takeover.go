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

// requestDiskConfirmation asks the other members which generation of this disk they know.
func (r *Replica) requestDiskConfirmation(now time.Time, op *operation) {
	local := &r.local
	others := r.votingPeers()
	if !local.isMember() {
		others = r.takeoverSources()
	}
	r.requestFrom(now, op, others, message.GenerationPath, &message.PeerRequest{Epoch: local.configuration.Epoch, From: local.self, Generation: local.identity.Generation})
}

// serveGeneration says which generation of a disk was known here, and notes the one that is told. It says so whether or not
// this replica acts itself: after a loss of all power none does yet.
func (r *Replica) serveGeneration(request *message.PeerRequest) *message.PeerResponse {
	response := &message.PeerResponse{OK: true, DiskID: r.local.self.DiskID}
	if known := r.diskGenerations[request.From.Node]; known.DiskID == request.From.DiskID {
		response.Generation = known.Number
	}
	r.recordGeneration(request.From, request.Generation)
	return response
}

func (r *Replica) recordGeneration(owner message.Member, number uint64) {
	if owner.DiskID == "" || number == 0 {
		return
	}
	known := r.diskGenerations[owner.Node]
	if known.DiskID == owner.DiskID && known.Number >= number {
		return
	}
	if member, ok := r.local.configuration.Find(owner.Node); ok && member.DiskID != owner.DiskID && known.DiskID == member.DiskID {
		return // a candidate takes no member's place
	}
	r.diskGenerations[owner.Node] = message.DiskGeneration{DiskID: owner.DiskID, Number: number}
}

// handleGenerationResponse takes another's word on this disk.
func (r *Replica) handleGenerationResponse(now time.Time, op *operation, from message.Member, response *message.PeerResponse) {
	local := &r.local
	if !response.OK || op.answered[from.Node] || response.DiskID != from.DiskID { // a member that lost its disk knows nothing
		return
	}
	if response.Generation > local.identity.Generation {
		r.finish(op, nil, nil)
		r.replaceIdentity(now)
		return
	}
	op.answered[from.Node] = true
	if len(op.answered) < local.configuration.GenerationQuorum() {
		return
	}
	local.diskConfirmed = true
	r.finish(op, nil, nil)
	r.advanceGeneration(now)
	r.startTakeover(now)
	r.noteQuorumChange(now)
}

// requestTakeoverState asks the members of the epoch before, and of this one, for all that they hold.
func (r *Replica) requestTakeoverState(now time.Time, op *operation) {
	local := &r.local
	if r.activeInPreviousEpoch() && local.configuration.TakeoverQuorum() <= 1 {
		r.finishTakeover(now, op)
		return
	}
	sources := r.takeoverSources()
	r.requestFrom(now, op, sources, message.StatePath, r.rangesRequest(message.StatePath, r.startSessions(op, sources, rangesync.Range{})))
}

// takeoverSources are the other members of the epoch before and of this one.
func (r *Replica) takeoverSources() (sources []message.Member) {
	local := &r.local
	for _, peer := range append(slices.Clone(local.configuration.Previous), local.configuration.Members...) {
		if peer.SameReplica(local.self) || slices.ContainsFunc(sources, peer.SameReplica) {
			continue
		}
		if known := r.peers[peer.Node]; known != nil && known.SameReplica(peer) {
			peer = known.Member
		}
		sources = append(sources, peer)
	}
	return sources
}

// activeInPreviousEpoch tells whether this replica's own state is one of the epoch before.
func (r *Replica) activeInPreviousEpoch() bool {
	local := &r.local
	return local.identity.Acting && local.identity.Active+1 == local.configuration.Epoch && slices.ContainsFunc(local.configuration.Previous, local.self.SameReplica)
}

// requestCatchUpState asks one acting member after the other.
func (r *Replica) requestCatchUpState(now time.Time, op *operation) {
	peers := r.OtherMembers()
	if len(peers) == 0 {
		r.scheduleRetry(now, op)
		return
	}
	source := []message.Member{peers[op.attempt%len(peers)]}
	r.requestFrom(now, op, source, message.StatePath, r.rangesRequest(message.StatePath, r.startSessions(op, source, rangesync.Range{})))
}

// serveState tells what this replica holds. One that is asked about an epoch that it did not know of adopts it first, and
// has that on its disk before it answers: from then on what it holds of the epoch before does not change any more.
func (r *Replica) serveState(now time.Time, request *message.PeerRequest, respond func(now time.Time, response *message.PeerResponse, err error)) {
	var changed []quorum.Entry
	if request.Configuration != nil {
		changed = r.learnEntries(now, []quorum.Entry{*request.Configuration})
	}
	local := &r.local
	if request.Epoch < local.configuration.Epoch {
		r.save(now, Save{Entries: changed}, func(now time.Time, _ error) { respond(now, &message.PeerResponse{Configuration: local.entry()}, nil) })
		return
	}
	if !local.diskConfirmed || !local.identity.Acting || request.Epoch != local.configuration.Epoch {
		r.save(now, Save{Entries: changed}, func(now time.Time, _ error) { respond(now, nil, ErrCatchingUp) })
		return
	}
	response := &message.PeerResponse{OK: true, DiskID: local.self.DiskID, ActiveEpoch: local.identity.Active, DiskGenerations: maps.Clone(r.diskGenerations)}
	r.serveRanges(request, response)
	r.save(now, Save{Entries: changed}, func(now time.Time, err error) {
		if err != nil {
			response = nil
		}
		respond(now, response, err)
	})
}

// handleStateResponse takes what another replica holds.
func (r *Replica) handleStateResponse(now time.Time, op *operation, from message.Member, response *message.PeerResponse) {
	if !response.OK || op.answered[from.Node+from.DiskID] || response.DiskID != from.DiskID {
		return
	}
	// Who comes new into the set is asked for its word on disks like those whose place it takes.
	for node, generation := range response.DiskGenerations {
		r.recordGeneration(message.Member{Node: node, DiskID: generation.DiskID}, generation.Number)
	}
	r.handleRanges(now, op, from, message.StatePath, response, func(now time.Time) {
		if op.kind == catchUp {
			r.finishCatchUp(now, op, response)
			return
		}
		local := &r.local
		if response.ActiveEpoch == local.configuration.Epoch { // it holds all that was chosen before this epoch
			r.finishTakeover(now, op)
			return
		}
		if response.ActiveEpoch+1 != local.configuration.Epoch || !slices.ContainsFunc(local.configuration.Previous, from.SameReplica) {
			return
		}
		op.answered[from.Node+from.DiskID] = true
		answers := len(op.answered)
		if slices.ContainsFunc(local.configuration.Previous, local.self.SameReplica) { // one that did not act there has accepted nothing there, and now holds what was chosen before
			answers++
		}
		if answers >= local.configuration.TakeoverQuorum() {
			r.finishTakeover(now, op)
		}
	})
}

// finishTakeover has this replica act in the epoch in force, once its disk says so.
func (r *Replica) finishTakeover(now time.Time, op *operation) {
	local := &r.local
	if op.accepting {
		return
	}
	op.accepting, op.attemptDeadline = true, time.Time{} // it takes as long as the disk does
	epoch, attempt := local.configuration.Epoch, op.attempt
	r.acceptor.RaiseMinProposal(quorum.ProposalNumber{Epoch: epoch})
	floor := r.acceptor.MinProposal()
	next := local.submittedIdentity
	next.Acting, next.Active = true, epoch
	local.submittedIdentity = next
	op.pendingSaves++
	number := r.lastID + 1 // of this save
	r.save(now, Save{Floor: &floor, Identity: &next}, func(now time.Time, err error) {
		if r.operations[op.id] != op || op.attempt != attempt {
			return
		}
		op.pendingSaves--
		if err != nil || op.saveFailed || next.Disk != local.identity.Disk || r.hasUnsavedBefore(number) {
			r.scheduleRetry(now, op)
			return
		}
		local.identity.Acting, local.identity.Active = true, epoch
		r.finish(op, nil, nil)
		r.logEvent("acts as a member", "epoch", strconv.FormatUint(epoch, 10), "registers", strconv.Itoa(len(r.acceptor.AcceptedEntries())),
			"afterMs", strconv.FormatInt(now.Sub(local.adoptedAt).Milliseconds(), 10))
		r.noteQuorumChange(now)
		r.notifyAfter(0)
	})
}

// hasUnsavedBefore tells whether something that was handed to the disk before a save is not known to be there.
func (r *Replica) hasUnsavedBefore(save uint64) bool {
	for number := range r.pendingSaves {
		if number < save {
			return true
		}
	}
	return r.saveFailed
}

// finishCatchUp makes a candidate ready to be voted in.
func (r *Replica) finishCatchUp(now time.Time, op *operation, response *message.PeerResponse) {
	if response.ActiveEpoch != r.local.configuration.Epoch {
		r.scheduleRetry(now, op)
		return
	}
	r.local.caughtUp = true
	r.finish(op, nil, nil)
	r.logEvent("holds what the members hold, and waits to be voted in", "registers", strconv.Itoa(len(r.acceptor.AcceptedEntries())))
	r.notifyAfter(0)
}
