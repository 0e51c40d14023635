package replica

import (
	"cmp"
	"slices"
	"time"

	"sagelever/internal/control/membership"
	"sagelever/internal/control/message"
	"sagelever/internal/control/quorum"
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
	return &message.PeerResponse{OK: true, Unconfirmed: unconfirmed}, changed
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
	r.save(now, Save{Entries: r.learnEntries(now, chosen)}, nil)
	if confirmation.Done() {
		r.endConfirmation(now, op)
	}
}

// endConfirmation ends a confirmation and schedules rounds for the values that are still undecided. The rounds start
// once the original round has had time to end, or later if no operation waits for the value. The members take turns, so
// that the rounds of one member can end before those of the next one begin.
func (r *Replica) endConfirmation(now time.Time, op *operation) {
	r.finish(op, nil, nil)
	turn := r.repairTurnDelay(now)
	later := repairDelay/2 + r.jitter(repairDelay/2)
	for _, key := range op.confirmation.Keys {
		value, undecided := r.undecided[key]
		if !undecided || value.accepted != op.confirmation.Proposal {
			continue
		}
		at := now
		switch {
		case !r.isAwaited(key):
			at = now.Add(later)
		case value.noticedAt.Add(repairDelay / 2).After(now):
			at = value.noticedAt.Add(repairDelay / 2)
		}
		r.scheduleRepair(key, at.Add(turn), true)
	}
}

// repairTurnDelay returns how long this replica waits for the repair rounds of the reachable members that precede it by
// name. It is one attemptTimeout for each, because a round of a large change can take that long.
func (r *Replica) repairTurnDelay(now time.Time) (turn time.Duration) {
	for node := range r.peers {
		if node < r.config.Self.Node && r.reachable(node, now) {
			turn += attemptTimeout
		}
	}
	return turn
}

// isConfirmable reports whether the value of a register may be confirmed. The configuration is decided only by rounds;
// see epochClosed.
func isConfirmable(key string) bool { return key != membership.RegisterKey }
