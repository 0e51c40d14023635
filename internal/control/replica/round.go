package replica

import (
	"maps"
	"time"

	"sagelever/internal/control/message"
	"sagelever/internal/control/quorum"
)

// startRound starts phase 1 of a Paxos round.
func (r *Replica) startRound(now time.Time, op *operation) {
	configuration := r.local.configuration
	number := r.acceptor.NextProposal(configuration.Epoch, r.local.proposerID())
	members := len(configuration.Members)
	op.proposal.batch = r.batchFor(op)
	keys, decide := batchKeys(op.proposal.batch), decideBatch(op.proposal.batch)
	round := quorum.NewRound(number, members, configuration.MaxFailures, keys, decide)
	op.proposal.round = round
	op.proposal.accepting = false
	r.broadcast(now, op, message.PreparePath, &message.PeerRequest{
		Epoch:    configuration.Epoch,
		Proposal: round.Proposal,
		Keys:     round.Keys(),
	})
}

// handleRoundResponse handles a member's response to either phase of a round.
func (r *Replica) handleRoundResponse(now time.Time, op *operation, from string, response *message.PeerResponse) {
	switch {
	case !response.OK:
		op.proposal.round.HandleRejection(response.PromisedProposal)
	case !op.proposal.accepting:
		r.handlePromise(now, op, from, response)
	default:
		r.handleAccepted(now, op, from)
	}
}

// handlePromise handles a promise and starts phase 2 once there are enough.
func (r *Replica) handlePromise(now time.Time, op *operation, from string, response *message.PeerResponse) {
	round := op.proposal.round
	values := round.HandlePromise(from, response.Entries)
	if values == nil {
		return
	}
	op.proposal.accepting = true
	op.attempt.number++ // so that later promises are not taken for acceptances
	r.broadcast(now, op, message.AcceptPath, &message.PeerRequest{
		Epoch:    round.Proposal.Epoch,
		Proposal: round.Proposal,
		Entries:  values,
	})
}

// handleAccepted handles an acceptance. Once there are enough, it ends all operations that the round has decided.
func (r *Replica) handleAccepted(now time.Time, op *operation, from string) {
	round := op.proposal.round
	if !round.HandleAccepted(from) {
		return
	}
	chosen := round.ChosenEntries()
	r.logDecided(decidedByRound, op.held, chosen)
	// The operation needn't wait for this save: the values are on the disks of a quorum, and a member that finds them
	// undecided after a restart repairs them.
	r.save(now, Save{Entries: r.learnEntries(now, chosen)}, nil)
	r.contentionStats.Batched += uint64(len(op.proposal.batch) - 1)
	for _, decided := range op.proposal.batch {
		if r.operations[decided.id] != decided {
			continue // the operation has ended in the meantime
		}
		values := decided.proposal.result
		maps.Copy(values, decided.read.values)
		r.finish(decided, values, nil)
	}
}
