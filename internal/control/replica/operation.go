package replica

import (
	"maps"
	"slices"
	"time"

	"sagelever/internal/backoff"
	"sagelever/internal/control/message"
	"sagelever/internal/control/quorum"
	"sagelever/internal/control/rangesync"
)

// operationKind is what an operation does.
type operationKind int

const (
	// proposeWrite changes registers by a Paxos round.
	proposeWrite operationKind = iota

	// quorumRead collects what enough members hold of some registers, and waits until what it has found is decided.
	quorumRead

	// verifyRegisters collects what enough members hold of all registers; see verification.go.
	verifyRegisters

	// confirmValues asks all members whether they have accepted some values; see confirm.go.
	confirmValues

	// repairValues proposes values again that this replica holds and doesn't know to be chosen.
	repairValues

	// confirmDisk asks others whether this replica's disk is an old copy.
	confirmDisk

	// takeOverEpoch collects what the members of the previous epoch hold, so that this replica can be active in the
	// current one.
	takeOverEpoch

	// catchUp copies what an active member holds, as a candidate.
	catchUp
)

// String returns the kind's name.
func (k operationKind) String() string {
	switch k {
	case proposeWrite:
		return "propose write"
	case quorumRead:
		return "quorum read"
	case verifyRegisters:
		return "verify registers"
	case confirmValues:
		return "confirm values"
	case repairValues:
		return "repair values"
	case confirmDisk:
		return "confirm disk"
	case takeOverEpoch:
		return "take over epoch"
	case catchUp:
		return "catch up"
	}
	return "unknown"
}

// runsRound reports whether operations of the kind run a Paxos round.
func (k operationKind) runsRound() bool { return k == proposeWrite || k == repairValues }

// needsActive reports whether operations of the kind require this replica to be active in the current epoch.
func (k operationKind) needsActive() bool { return k.runsRound() || k.reads() || k == confirmValues }

// reads reports whether operations of the kind read registers of other members.
func (k operationKind) reads() bool { return k == quorumRead || k == verifyRegisters }

// operation is something that a replica does with the help of others. It consists of attempts: one that fails or times
// out is followed by the next after a random pause, until the operation ends.
type operation struct {
	id               uint64
	kind             operationKind
	expiresAt        time.Time // when it fails; zero: never
	reportCompletion bool      // by a Completion
	onEnd            func()    // called at its end; may be nil

	proposal     proposal
	read         readState
	confirmation *quorum.Confirmation // of confirmValues

	attempt attempt
	retryAt time.Time // when the next attempt begins; zero while one is under way or the operation is parked
	parked  bool      // waits for an earlier proposal; see batch.go
	defeats int       // rounds in a row that a competing round has defeated

	mayHandOver bool // it ends with a ContendedError rather than compete; see contention.go
}

// attempt is the current attempt of an operation.
type attempt struct {
	number           int       // responses to requests of other numbers are ignored
	deadline         time.Time // when it times out; zero: never
	sentAt           time.Time // when the requests of its current phase were sent
	pendingResponses int       // responses that are still to come
	pendingSaves     int       // saves of what responses have brought
	saveFailed       bool
	answered         map[string]bool                       // members whose part is complete
	sessions         map[message.Member]*rangesync.Session // comparisons with other replicas
	activating       bool                                  // takeOverEpoch: the end of the takeover is being saved
}

// proposal is the part of an operation that runs Paxos rounds.
type proposal struct {
	keys      []string
	decide    quorum.DecideFunc
	round     *quorum.Round // of the last attempt; nil before the first
	accepting bool          // the round is in phase 2

	keySet map[string]bool         // keys; empty before the first attempt
	order  uint64                  // its place among the proposals of this replica; zero before its first attempt
	batch  []*operation            // what the round decides, this operation first
	result map[string]quorum.Value // what the registers hold after this operation, by the last decision of a batch
}

// newProposal returns an operation that runs Paxos rounds on some registers.
func newProposal(kind operationKind, keys []string, decide quorum.DecideFunc) *operation {
	return &operation{kind: kind, proposal: proposal{keys: keys, decide: decide}}
}

// Write changes each of some registers. It ends without an error once the outcome is chosen, that is, once so many
// disks hold it that it survives the loss of as many disks as the configuration tolerates. Rounds are retried until
// expiresAt. It returns the operation's ID.
func (r *Replica) Write(now, expiresAt time.Time, updates map[string]quorum.UpdateFunc) uint64 {
	keys, decide := quorum.UpdateEach(updates)
	return r.WriteAtomic(now, expiresAt, keys, decide)
}

// WriteAtomic is Write for a change that depends on what all of its registers hold. All of them change or none does.
func (r *Replica) WriteAtomic(now, expiresAt time.Time, keys []string, decide quorum.DecideFunc) uint64 {
	op := newProposal(proposeWrite, keys, decide)
	op.expiresAt = expiresAt
	op.reportCompletion = true
	return r.startOperation(now, op)
}

// startInternalWrite begins a write on the replica's own account; onEnd is called at its end, whatever its outcome.
func (r *Replica) startInternalWrite(now time.Time, updates map[string]quorum.UpdateFunc, onEnd func()) {
	keys, decide := quorum.UpdateEach(updates)
	op := newProposal(proposeWrite, keys, decide)
	op.expiresAt = now.Add(internalWriteTimeout)
	op.onEnd = onEnd
	r.startOperation(now, op)
}

func (r *Replica) startOperation(now time.Time, op *operation) (id uint64) {
	r.lastID++
	op.id = r.lastID
	r.operations[op.id] = op
	r.startAttempt(now, op)
	return op.id
}

// isRunning reports whether an operation of a kind is under way.
func (r *Replica) isRunning(kind operationKind) bool {
	for _, op := range r.operations {
		if op.kind == kind {
			return true
		}
	}
	return false
}

// startAttempt begins the first or the next attempt of an operation.
func (r *Replica) startAttempt(now time.Time, op *operation) {
	if op.kind.needsActive() && !r.Active() || op.kind.reads() && r.epochClosed() {
		r.postpone(now, op)
		return
	}
	op.retryAt = time.Time{}
	op.parked = false
	if op.kind.runsRound() {
		r.beginProposal(op)
		if r.isPreceded(op, nil) {
			r.park(op)
			return
		}
	}
	op.attempt = attempt{
		number:   op.attempt.number + 1,
		deadline: now.Add(attemptTimeout),
		answered: map[string]bool{},
	}
	switch op.kind {
	case proposeWrite, repairValues:
		r.startRound(now, op)
	case quorumRead, verifyRegisters:
		r.startRead(now, op)
	case confirmValues:
		r.requestConfirmation(now, op)
	case confirmDisk:
		r.requestDiskConfirmation(now, op)
	case takeOverEpoch:
		r.requestTakeoverState(now, op)
	case catchUp:
		r.requestCatchUpState(now, op)
	}
}

// postpone has an operation wait until this replica is active in the current epoch, if it is about to be. Otherwise
// the operation ends at once, as the caller had better turn to another member.
func (r *Replica) postpone(now time.Time, op *operation) {
	switch {
	case !r.local.isMember():
		r.finish(op, nil, ErrNotMember)
	case !r.local.identity.EverActive:
		r.finish(op, nil, ErrCatchingUp)
	default:
		op.retryAt = now.Add(minRetryDelay/2 + r.jitter(minRetryDelay))
	}
}

// isCurrent reports whether the attempt of a number is still under way.
func (r *Replica) isCurrent(op *operation, number int) bool {
	return r.operations[op.id] == op && op.attempt.number == number
}

// retryIfStuck ends an attempt that can't succeed any more: it waits for nothing, or its round can't get enough
// responses.
func (r *Replica) retryIfStuck(now time.Time, op *operation, number int) {
	if !r.isCurrent(op, number) || !op.retryAt.IsZero() || op.attempt.pendingSaves > 0 {
		return
	}
	round := op.proposal.round
	if op.attempt.pendingResponses <= 0 || round != nil && round.CannotSucceed(op.attempt.pendingResponses) {
		r.scheduleRetry(now, op)
	}
}

// scheduleRetry ends an attempt that has failed. The next one begins after a random pause. It grows while competing
// rounds of other members on the same registers defeat the operation's. A repair ends instead: it starts again when it
// is due again.
func (r *Replica) scheduleRetry(now time.Time, op *operation) {
	defeated := false
	if op.proposal.round != nil {
		rejection := op.proposal.round.HighestRejection()
		r.acceptor.Observe(rejection)
		defeated = rejection != quorum.ProposalNumber{}
	}
	if op.kind == confirmValues {
		r.endConfirmation(now, op)
		return
	}
	if op.kind == repairValues {
		r.finish(op, nil, ErrTooFewResponses)
		return
	}
	if !defeated {
		op.defeats = 0
		op.retryAt = now.Add(minRetryDelay + r.jitter(retryJitter))
		return
	}
	r.handleDefeat(now, op.proposal.batch)
	op.defeats++
	op.retryAt = now.Add(r.defeatBackoff().Delay(op.defeats, r.config.Random()))
}

// defeatBackoff returns how the pauses grow after defeats: by the time that a round takes now, so that one of the
// competing rounds ends while the others pause.
func (r *Replica) defeatBackoff() backoff.Policy {
	round := max(minRoundTime, r.RoundTime())
	return backoff.Policy{Initial: 2 * round, Max: min(8*round, attemptTimeout)}
}

// restartAttempts has all operations begin anew, because the configuration has changed and responses from the previous
// one no longer count. A confirmation of the disk ends: whether one is needed is decided again.
func (r *Replica) restartAttempts(now time.Time) {
	for _, id := range r.operationIDs() {
		op := r.operations[id]
		if op.kind == confirmDisk {
			r.finish(op, nil, nil)
		} else if op.retryAt.IsZero() {
			op.attempt.number++
			op.retryAt = now
			op.parked = false
		}
	}
}

// finish ends an operation.
func (r *Replica) finish(op *operation, values map[string]quorum.Value, err error) {
	delete(r.operations, op.id)
	r.unpark()
	if op.onEnd != nil {
		op.onEnd()
	}
	if op.reportCompletion {
		r.output.Completions = append(r.output.Completions, Completion{op.id, values, err})
	}
}

// NextDeadline returns when Tick is to be called next; zero where no operation is under way.
func (r *Replica) NextDeadline() (deadline time.Time) {
	consider := func(at time.Time) {
		if !at.IsZero() && (deadline.IsZero() || at.Before(deadline)) {
			deadline = at
		}
	}
	if len(r.undecided) > 0 && r.Active() {
		consider(r.nextRepairAt)
	}
	for _, op := range r.operations {
		consider(op.expiresAt)
		if op.retryAt.IsZero() {
			consider(op.attempt.deadline)
		} else {
			consider(op.retryAt)
		}
	}
	return deadline
}

// Tick ends the operations and attempts whose time is over, and begins the attempts and repairs that are due.
func (r *Replica) Tick(now time.Time) {
	r.observeClock(now)
	r.repairUndecided(now)
	reached := func(at time.Time) bool { return !at.IsZero() && !now.Before(at) }
	for _, id := range r.operationIDs() {
		op := r.operations[id]
		if op == nil { // an earlier one's step has ended it
			continue
		}
		switch {
		case reached(op.expiresAt):
			r.finish(op, nil, ErrTooFewResponses)
		case op.retryAt.IsZero() && reached(op.attempt.deadline):
			r.scheduleRetry(now, op)
		case reached(op.retryAt):
			r.startAttempt(now, op)
		}
	}
}

// operationIDs returns the IDs of the operations in the order in which they began.
func (r *Replica) operationIDs() []uint64 { return slices.Sorted(maps.Keys(r.operations)) }
