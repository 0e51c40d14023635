package replica

import (
	"hash/fnv"
	"slices"
	"time"

	"sagelever/internal/control/message"
	"sagelever/internal/control/quorum"
)

// Rounds of several replicas on the same registers interrupt each other, and a replica with a high latency to the
// others can be defeated for as long as they propose changes. Under such contention the replicas therefore hand their
// changes over to one of them, the coordinator, whose rounds decide them in batches (batch.go). A change is handed over
// after its first defeat; for a while after that, further changes are handed over without an attempt. The coordinator
// is only an optimisation: a replica that gets no answer from it proposes the change itself, and replicas that choose
// different coordinators merely compete with each other.

const (
	// contentionPeriod is how long after a defeat, or a competing round, changes are handed over without an attempt.
	contentionPeriod = 2 * time.Second

	// handOverPeriod extends this period after each change that was handed over. Without it, replicas with frequent
	// changes would all begin to propose them, and compete again, at the end of contentionPeriod.
	handOverPeriod = 500 * time.Millisecond
)

// ContentionStats contains counters of contention since the start.
type ContentionStats struct {
	Defeats uint64 // rounds of this replica that were defeated by a competing one
	Batched uint64 // proposals that were decided by the round of an earlier proposal
}

// ContentionStats returns the contention counters of this replica.
func (r *Replica) ContentionStats() ContentionStats { return r.contentionStats }

// WriteOrHandOver is like WriteAtomic, but ends with a *ContendedError if another replica should propose the change.
// The change may nevertheless have taken effect, as after ErrTooFewResponses.
func (r *Replica) WriteOrHandOver(now, expiresAt time.Time, keys []string, decide quorum.DecideFunc) uint64 {
	op := newProposal(proposeWrite, keys, decide)
	op.expiresAt = expiresAt
	op.reportCompletion = true
	op.mayHandOver = true
	if r.Contended(now) != nil {
		return r.handOverUnattempted(now, op)
	}
	return r.startOperation(now, op)
}

// Contended returns a *ContendedError if changes are currently handed over to another replica without an attempt.
func (r *Replica) Contended(now time.Time) error {
	coordinator, ok := r.coordinator(now)
	if !ok || !now.Before(r.contendedUntil) {
		return nil
	}
	return &ContendedError{Coordinator: coordinator}
}

// handOverUnattempted hands an operation over before its first attempt, which could defeat the coordinator's round.
func (r *Replica) handOverUnattempted(now time.Time, op *operation) (id uint64) {
	r.lastID++
	op.id = r.lastID
	r.operations[op.id] = op
	r.handOver(now, op)
	return op.id
}

// handOver ends an operation with a *ContendedError if it may be handed over and another replica is the coordinator.
func (r *Replica) handOver(now time.Time, op *operation) {
	if !op.mayHandOver || r.operations[op.id] != op {
		return
	}
	if coordinator, ok := r.coordinator(now); ok {
		if until := now.Add(handOverPeriod); until.After(r.contendedUntil) {
			r.contendedUntil = until
		}
		r.finish(op, nil, &ContendedError{Coordinator: coordinator})
	}
}

// handleDefeat records that a competing round has defeated a batch of this replica, and hands the batch over.
func (r *Replica) handleDefeat(now time.Time, batch []*operation) {
	r.contendedUntil = now.Add(contentionPeriod)
	r.contentionStats.Defeats++
	for _, op := range batch {
		r.handOver(now, op)
	}
}

// detectCompetingRound starts a contention period if another replica's round competes with a change that this replica
// is proposing. It does so before either round wins: a replica that always wins would otherwise interrupt the rounds of
// the others for as long as it has changes.
func (r *Replica) detectCompetingRound(now time.Time, request *message.PeerRequest) {
	if request.Proposal.Proposer == r.local.proposerID() {
		return
	}
	for _, op := range r.operations {
		if op.kind == proposeWrite && !op.parked && op.proposal.concerns(request) {
			r.contendedUntil = now.Add(contentionPeriod)
			return
		}
	}
}

// concerns reports whether a request of a round contains one of the proposal's registers.
func (p *proposal) concerns(request *message.PeerRequest) bool {
	isOwn := func(key string) bool { return p.keySet[key] }
	isOwnEntry := func(entry quorum.Entry) bool { return p.keySet[entry.Key] }
	return slices.ContainsFunc(request.Keys, isOwn) || slices.ContainsFunc(request.Entries, isOwnEntry)
}

// coordinator returns the replica that decides changes under contention: the one with the highest rank among this
// replica and the active members that it can reach and that are not leaving. Replicas that reach the same members thus
// choose the same coordinator. ok is false if this replica is the coordinator.
func (r *Replica) coordinator(now time.Time) (chosen message.Member, ok bool) {
	highest := coordinatorRank(r.config.Self.Node)
	for node, peer := range r.peers {
		usable := !peer.leaving && peer.activeEpoch == r.local.configuration.Epoch && r.reachable(node, now)
		if rank := coordinatorRank(node); usable && rank > highest {
			highest, chosen, ok = rank, peer.Member, true
		}
	}
	return chosen, ok
}

// coordinatorRank returns the rank of a node in the choice of the coordinator (rendezvous hashing).
func coordinatorRank(node string) uint64 {
	hash := fnv.New64a()
	hash.Write([]byte(node))
	return mixHash(hash.Sum64())
}

// mixHash applies the finalizer of SplitMix64, which spreads differences over all bits: the high bits of FNV hashes
// differ little between names that differ only in their last letters.
func mixHash(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
