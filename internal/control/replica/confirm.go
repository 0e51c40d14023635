package replica

import (
	"cmp"
	"slices"
	"time"

	"sagelever/internal/control/membership"
	"sagelever/internal/control/message"
	"sagelever/internal/control/quorum"
	"sagelever/internal/control/rangesync"
)

// maxConfirmKeys limits the registers of one confirmation, and thus the size of its messages. A larger change is
// confirmed by several concurrent confirmations.
const maxConfirmKeys = 2048

// confirmValues starts confirmations, which ask all members whether they have accepted the values of some undecided
// registers. Registers that were accepted under the same proposal number are confirmed together.
func (r *Replica) confirmValues(now time.Time, keys []string) {
	byProposal := map[quorum.ProposalNumber][]string{}
	var proposals []quorum.ProposalNumber
	for _, key := range keys {
		proposal := r.acceptor.Get(key).Accepted
		if byProposal[proposal] == nil {
			proposals = append(proposals, proposal)
		}
		byProposal[proposal] = append(byProposal[proposal], key)
	}
	slices.SortFunc(proposals, compareProposals)
	configuration := &r.local.configuration
	for _, proposal := range proposals {
		for part := range slices.Chunk(byProposal[proposal], maxConfirmKeys) {
			r.startOperation(now, &operation{
				kind: confirmValues,
				confirmation: quorum.NewConfirmation(
					proposal, part, len(configuration.Members), configuration.MaxFailures),
			})
		}
	}
}

func compareProposals(a, b quorum.ProposalNumber) int {
	switch {
	case a.Less(b):
		return -1
	case b.Less(a):
		return 1
	}
	return cmp.Compare(a.Proposer, b.Proposer)
}

// requestConfirmation sends the requests of a confirmation.
func (r *Replica) requestConfirmation(now time.Time, op *operation) {
	r.broadcast(now, op, message.ConfirmPath, &message.PeerRequest{
		Epoch:    r.local.configuration.Epoch,
		Proposal: op.confirmation.Proposal,
		Keys:     op.confirmation.Keys,
	})
}

// serveConfirm accepts those values again that this replica has accepted under the given proposal number. The changed
// entries include the confirmed ones that are not on disk yet, so that the response waits for them.
func (r *Replica) serveConfirm(request *message.PeerRequest) (*message.PeerResponse, []quorum.Entry) {
	if r.epochClosed() && !concernsOnlyConfiguration(request) {
		return &message.PeerResponse{}, nil
	}
	changed, unconfirmed := r.acceptor.Confirm(request.Proposal, request.Keys)
	for i, key := range request.Keys {
		if _, unsaved := r.unsavedEntries[key]; unsaved && !slices.Contains(unconfirmed, i) {
			changed = append(changed, r.acceptor.Get(key))
		}
	}
	return &message.PeerResponse{
		OK:          true,
		Unconfirmed: unconfirmed,
		Entries:     r.chosenAfter(request, unconfirmed),
	}, changed
}

// chosenAfter returns the chosen values with higher proposal numbers than that of a confirmation, for the registers at
// the given positions in its keys, up to the size limit of a message. The sender's values of these registers can't be
// chosen any more, and no other message would tell it: if the chosen value has the same version as the last one that
// the sender has published, pulls don't contain it.
func (r *Replica) chosenAfter(request *message.PeerRequest, positions []int) (chosen []quorum.Entry) {
	size := 0
	for _, position := range positions {
		entry := r.acceptor.Get(request.Keys[position])
		if !entry.Chosen || !request.Proposal.Less(entry.Accepted) {
			continue
		}
		if size += r.entrySize(entry.Key); size > rangesync.DefaultLimits.MaxMessageBytes {
			break
		}
		chosen = append(chosen, entry)
	}
	return chosen
}

// handleConfirmed handles a member's response to a confirmation and publishes the values that are now known to be
// chosen.
func (r *Replica) handleConfirmed(now time.Time, op *operation, from string, response *message.PeerResponse) {
	if !response.OK {
		return
	}
	confirmation := op.confirmation
	var chosen []quorum.Entry
	for _, key := range confirmation.HandleReply(from, response.Unconfirmed) {
		if entry := r.acceptor.Get(key); entry.Accepted == confirmation.Proposal {
			entry.Chosen = true
			chosen = append(chosen, entry)
		}
	}
	r.logDecided(decidedByConfirmation, chosen, chosen)
	chosen = append(chosen, response.Entries...)
	r.save(now, Save{Entries: r.learnEntries(now, chosen)}, nil)
	if confirmation.Done() || !r.anyUndecided(confirmation) {
		r.endConfirmation(now, op)
	}
}

// anyUndecided reports whether any value of a confirmation is still undecided.
func (r *Replica) anyUndecided(confirmation *quorum.Confirmation) bool {
	isUndecided := func(key string) bool { return r.undecided[key].accepted == confirmation.Proposal }
	return slices.ContainsFunc(confirmation.Keys, isUndecided)
}

// endConfirmation ends a confirmation and schedules rounds for the values that are still undecided. The rounds start
// once the original round has had time to end, or later if no operation waits for the value. The members that may hold
// a value take turns, so that the rounds of one member can end before those of the next one begin.
func (r *Replica) endConfirmation(now time.Time, op *operation) {
	r.finish(op, nil, nil)
	later := repairDelay/2 + r.jitter(repairDelay/2)
	preceding := r.reachableBefore(now)
	for position, key := range op.confirmation.Keys {
		value, undecided := r.undecided[key]
		if !undecided || value.accepted != op.confirmation.Proposal {
			continue
		}
		turn := repairTurnDelay(op.confirmation, position, preceding)
		at := now
		switch {
		case !r.isAwaited(key):
			at = now.Add(later)
		case value.noticedAt.Add(repairDelay / 2).After(now):
			at = value.noticedAt.Add(repairDelay / 2)
		}
		r.scheduleRound(now, key, at.Add(turn))
	}
}

// scheduleRound schedules a repair round for an undecided value, and until then another confirmation at intervals. A
// round that is already scheduled is not postponed.
func (r *Replica) scheduleRound(now time.Time, key string, at time.Time) {
	value := r.undecided[key]
	if value.roundAt.IsZero() || at.Before(value.roundAt) {
		value.roundAt = at
		r.undecided[key] = value
	}
	if confirmAt := now.Add(attemptTimeout); confirmAt.Before(value.roundAt) {
		r.scheduleRepair(key, confirmAt, false)
		return
	}
	r.scheduleRepair(key, value.roundAt, true)
}

// reachableBefore returns the reachable members that precede this replica by name.
func (r *Replica) reachableBefore(now time.Time) (nodes []string) {
	for node := range r.peers {
		if node < r.config.Self.Node && r.reachable(node, now) {
			nodes = append(nodes, node)
		}
	}
	return nodes
}

// repairTurnDelay returns how long a replica waits for the repair rounds of those preceding members that may hold the
// value at a position of a confirmation. It is one attemptTimeout for each, because a round of a large change can take
// that long. The proposer of the value has no turn if it has not replied: its own round has had time to end, and it has
// most likely failed.
func repairTurnDelay(confirmation *quorum.Confirmation, position int, preceding []string) (turn time.Duration) {
	proposer := proposerNode(confirmation.Proposal.Proposer)
	for _, node := range preceding {
		if node == proposer && !confirmation.HasReplied(node) {
			continue
		}
		if confirmation.MayHold(node, position) {
			turn += attemptTimeout
		}
	}
	return turn
}

// isConfirmable reports whether the value of a register may be confirmed. The configuration is decided only by rounds;
// see epochClosed.
func isConfirmable(key string) bool { return key != membership.RegisterKey }
