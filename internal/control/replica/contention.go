package replica

import (
	"hash/fnv"
	"slices"
	"time"

	"sagelever/internal/control/message"
	"sagelever/internal/control/quorum"
)

// Competing rounds of several replicas on the same registers cost each other rounds, and a replica that is far from the
// others can lose to them for as long as they go on. While there is such contention the replicas therefore hand their
// changes over to one of them, the coordinator, whose rounds decide them together (batch.go). A change is handed over
// after its first defeat, and without an attempt of its own for a while after that. Nothing depends on the coordinator:
// a replica that gets no answer from it proposes the change itself, and replicas that choose different ones only
// compete with each other as before.

const (
	// contentionPeriod is how long after a defeat changes are handed over without an attempt of their own.
	contentionPeriod = 2 * time.Second

	// handOverPeriod is the same after a change that was handed over: where changes follow each other that fast, they
	// would compete again if all replicas began to propose theirs at the end of contentionPeriod.
	handOverPeriod = 500 * time.Millisecond
)

// ContentionStats counts what competing rounds have led to since the start.
type ContentionStats struct {
	Defeats uint64 // rounds of this replica that a competing one has defeated
	Batched uint64 // proposals that were decided by a round of an earlier one
}

// ContentionStats returns the counts of this replica.
func (r *Replica) ContentionStats() ContentionStats { return r.contentionStats }

// WriteOrHandOver is WriteAtomic for a change that may be handed over. It ends with a *ContendedError if the change had
// better be proposed by another replica. The change may have taken effect then, like one that ends with
// ErrTooFewResponses.
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

// Contended returns a *ContendedError if changes are handed over to another replica without an attempt of their own.
func (r *Replica) Contended(now time.Time) error {
	coordinator, ok := r.coordinator(now)
	if !ok || !now.Before(r.contendedUntil) {
		return nil
	}
	return &ContendedError{Coordinator: coordinator}
}

// handOverUnattempted ends an operation before its first attempt, whose messages would defeat the coordinator's round.
func (r *Replica) handOverUnattempted(now time.Time, op *operation) (id uint64) {
	r.lastID++
	op.id = r.lastID
	r.operations[op.id] = op
	r.handOver(now, op)
	return op.id
}

// handOver ends an operation that may be handed over, if another replica is the coordinator.
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

// handleDefeat notes that a competing round has defeated a batch of this replica, and hands its changes over.
func (r *Replica) handleDefeat(now time.Time, batch []*operation) {
	r.contendedUntil = now.Add(contentionPeriod)
	r.contentionStats.Defeats++
	for _, op := range batch {
		r.handOver(now, op)
	}
}

// detectCompetingRound notes a round of another replica that competes with a change that is being proposed here. Whichever of
// the two wins: who always wins would interrupt the others' rounds for as long as it has changes.
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

// concerns reports whether a request of a round is about one of the proposal's registers.
func (p *proposal) concerns(request *message.PeerRequest) bool {
	isOwn := func(key string) bool { return p.keySet[key] }
	isOwnEntry := func(entry quorum.Entry) bool { return p.keySet[entry.Key] }
	return slices.ContainsFunc(request.Keys, isOwn) || slices.ContainsFunc(request.Entries, isOwnEntry)
}

// coordinator returns the replica that decides changes while there is contention: of the active ones that this replica
// reaches the one whose name has the highest hash, so that all that reach the same ones choose the same. ok is false if
// it is this replica.
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

// coordinatorRank is the rank of a node in the choice of a coordinator (rendezvous hashing).
func coordinatorRank(node string) uint64 {
	hash := fnv.New64a()
	hash.Write([]byte(node))
	return mixHash(hash.Sum64())
}

// mixHash spreads a hash over all of its bits (the finalizer of SplitMix64): FNV changes the high ones little between names
// that differ in their last letters.
func mixHash(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
