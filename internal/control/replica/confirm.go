package replica

import (
	"cmp"
	"slices"
	"time"

	"sagelever/internal/control/membership"
	"sagelever/internal/control/message"
	"sagelever/internal/control/quorum"
)

// maxConfirmKeys bounds the registers of one confirmation, and so the size of its messages. Those of a larger change are
// confirmed by several at the same time.
const maxConfirmKeys = 2048

// confirmValues begins to ask all members whether they have accepted the values of some undecided registers, together
// for those that were accepted under one proposal number.
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

// serveConfirm accepts values again that were accepted here under a proposal number. What it confirms and is not on disk
// yet is among the changed entries, so that the response waits for it.
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

// handleConfirmed takes a member's response to a confirmation. Values that are chosen by it are published at once.
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

// endConfirmation ends a confirmation. The values that it could not show to be chosen are proposed again by rounds: not
// before their own round has had its time, later where nobody waits for them, and by one member after the other, so that
// the rounds of the first can end before the next one's begin.
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

// repairTurnDelay returns how long this replica leaves rounds of repairs to the members that precede it, by name, among those
// that it reaches: a round of a large change may take as long as an attempt.
func (r *Replica) repairTurnDelay(now time.Time) (turn time.Duration) {
	for node := range r.peers {
		if node < r.config.Self.Node && r.reachable(node, now) {
			turn += attemptTimeout
		}
	}
	return turn
}

// isConfirmable reports whether the value of a register may be confirmed: that of the configuration is decided by rounds
// only, see epochClosed.
func isConfirmable(key string) bool { return key != membership.RegisterKey }
