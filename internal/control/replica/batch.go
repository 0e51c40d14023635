package replica

import (
	"cmp"
	"maps"
	"slices"

	"sagelever/internal/control/quorum"
)

// Rounds of one replica never compete with each other. A proposal is parked while an earlier proposal that shares a
// register with it is in progress. The next attempt of the earlier proposal includes the parked one: its round decides
// a batch of proposals, one after the other in the order of their starts.

// maxBatchKeys limits the registers of a batch, and thus the size of its messages. A proposal with more registers is a
// batch of its own.
const maxBatchKeys = 512

// beginProposal initialises the order and the key set of a proposal at its first attempt.
func (r *Replica) beginProposal(op *operation) {
	if op.proposal.order != 0 {
		return
	}
	r.lastID++
	op.proposal.order = r.lastID
	op.proposal.keySet = make(map[string]bool, len(op.proposal.keys))
	for _, key := range op.proposal.keys {
		op.proposal.keySet[key] = true
	}
}

// precedes reports whether a proposal began before another one and shares a register with it.
func (op *operation) precedes(other *operation) bool {
	return op != other && op.kind.runsRound() && op.proposal.order != 0 &&
		op.proposal.order < other.proposal.order && op.proposal.overlaps(&other.proposal)
}

// overlaps reports whether two proposals share a register.
func (p *proposal) overlaps(other *proposal) bool {
	if len(p.keys) > len(other.keys) {
		p, other = other, p
	}
	return slices.ContainsFunc(p.keys, func(key string) bool { return other.keySet[key] })
}

// isPreceded reports whether an operation has to wait for an earlier proposal other than the given ones.
func (r *Replica) isPreceded(op *operation, others []*operation) bool {
	for _, earlier := range r.operations {
		if earlier.precedes(op) && !slices.Contains(others, earlier) {
			return true
		}
	}
	return false
}

// park suspends a proposal until the earlier proposals end or one of them includes it in its batch.
func (r *Replica) park(op *operation) {
	op.parked = true
	op.attempt = attempt{number: op.attempt.number + 1}
}

// unpark resumes the parked proposals that no longer have to wait for an earlier one.
func (r *Replica) unpark() {
	for _, op := range r.operations {
		if op.parked && op.retryAt.IsZero() && !r.isPreceded(op, nil) {
			op.retryAt = r.lastStepAt
		}
	}
}

// batchFor returns the proposals that the next round of an operation decides: its own, and the parked ones that wait
// only for proposals of the batch, in the order of their starts.
func (r *Replica) batchFor(leader *operation) []*operation {
	var parked []*operation
	for _, op := range r.operations {
		if op.parked && op.retryAt.IsZero() {
			parked = append(parked, op)
		}
	}
	slices.SortFunc(parked, func(a, b *operation) int { return cmp.Compare(a.proposal.order, b.proposal.order) })
	batch := []*operation{leader}
	keyCount := len(leader.proposal.keys)
	for _, op := range parked {
		if keyCount += len(op.proposal.keys); keyCount > maxBatchKeys {
			break
		}
		overlapsBatch := slices.ContainsFunc(batch, func(member *operation) bool { return member.precedes(op) })
		if overlapsBatch && !r.isPreceded(op, batch) {
			batch = append(batch, op)
		}
	}
	return batch
}

// batchKeys returns the registers of a batch.
func batchKeys(batch []*operation) []string {
	keys := map[string]bool{}
	for _, op := range batch {
		for _, key := range op.proposal.keys {
			keys[key] = true
		}
	}
	return slices.Sorted(maps.Keys(keys))
}

// decideBatch returns the decision of a batch: each proposal is applied to the values that the previous ones result in.
// The values of its registers after that are stored as the proposal's result.
func decideBatch(batch []*operation) quorum.DecideFunc {
	return func(current map[string]quorum.Value) map[string]quorum.Value {
		values := maps.Clone(current)
		changed := map[string]quorum.Value{}
		for _, op := range batch {
			inputs := make(map[string]quorum.Value, len(op.proposal.keys))
			for _, key := range op.proposal.keys {
				inputs[key] = values[key]
			}
			for key, value := range op.proposal.decide(inputs) {
				values[key] = value
				changed[key] = value
			}
			op.proposal.result = make(map[string]quorum.Value, len(op.proposal.keys))
			for _, key := range op.proposal.keys {
				op.proposal.result[key] = values[key]
			}
		}
		return changed
	}
}
