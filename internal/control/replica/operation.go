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

// operationKind is the kind of an operation.
type operationKind int

const (
	// proposeWrite changes registers by Paxos rounds.
	proposeWrite operationKind = iota

	// quorumRead collects some registers from a read quorum, and waits until their values are known to be chosen.
	quorumRead

	// verifyRegisters collects all registers from a read quorum; see verification.go.
	verifyRegisters

	// confirmValues asks all members whether they have accepted some values; see confirm.go.
	confirmValues

	// repairValues proposes accepted values again that are not known to be chosen; see repair.go.
	repairValues

	// confirmDisk asks other members whether this replica's disk is an old copy; see identity.go.
	confirmDisk

	// takeOverEpoch collects the registers of the previous epoch's members, so that this replica can become active in
	// the current epoch; see takeover.go.
	takeOverEpoch

	// catchUp copies the registers of an active member to a candidate.
	catchUp
)

// String returns the name of the kind.
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

// operation is a task that requires responses of other replicas. It consists of attempts: an attempt that fails or
// times out is followed by the next one after a random pause, until the operation ends.
type operation struct {
	id               uint64
	kind             operationKind
	expiresAt        time.Time // when the operation fails; zero for never
	reportCompletion bool      // the end is reported by a Completion
	onEnd            func()    // called when the operation ends; may be nil

	proposal     proposal
	read         readState
	confirmation *quorum.Confirmation // set for confirmValues
	held         []quorum.Entry       // set for repairValues: the undecided entries that this replica held at the start

	attempt attempt
	retryAt time.Time // when the next attempt begins; zero while one is in progress or the operation is parked
	parked  bool      // the operation waits for an earlier proposal; see batch.go
	defeats int       // consecutive rounds that were defeated by competing rounds

	mayHandOver bool // the operation ends with a ContendedError in case of contention; see contention.go
}

// attempt is the current attempt of an operation.
type attempt struct {
	number           int       // responses to requests with another attempt number are ignored
	deadline         time.Time // when the attempt times out; zero for never
	sentAt           time.Time // when the requests of the current phase were sent
	pendingResponses int       // outstanding responses
	pendingSaves     int       // outstanding saves of the contents of responses
	saveFailed       bool
	answered         map[string]bool                       // members whose answers are complete
	sessions         map[message.Member]*rangesync.Session // comparisons with other replicas
	activating       bool                                  // takeOverEpoch: the new active epoch is being saved
}

// proposal is the part of an operation that runs Paxos rounds.
type proposal struct {
	keys      []string
	decide    quorum.DecideFunc
	round     *quorum.Round // the round of the last attempt; nil before the first
	accepting bool          // the round is in phase 2

	keySet map[string]bool         // the set of keys; empty before the first attempt
	order  uint64                  // grows with each proposal of this replica; zero before the first attempt
	batch  []*operation            // the operations that the round decides, this one first
	result map[string]quorum.Value // the values of the registers after this operation, by the last decision of a batch
}

// newProposal returns an operation that runs Paxos rounds on some registers.
func newProposal(kind operationKind, keys []string, decide quorum.DecideFunc) *operation {
	return &operation{kind: kind, proposal: proposal{keys: keys, decide: decide}}
}

// Write changes each of some registers. It ends without an error once the outcome is chosen, that is, once it is on
// enough disks to survive the loss of as many disks as the configuration tolerates. Rounds are retried until expiresAt.
// Write returns the operation's ID.
func (r *Replica) Write(now, expiresAt time.Time, updates map[string]quorum.UpdateFunc) uint64 {
	keys, decide := quorum.UpdateEach(updates)
	return r.WriteAtomic(now, expiresAt, keys, decide)
}

// WriteAtomic is like Write for a change that depends on the values of all its registers. The registers change
// atomically.
func (r *Replica) WriteAtomic(now, expiresAt time.Time, keys []string, decide quorum.DecideFunc) uint64 {
	op := newProposal(proposeWrite, keys, decide)
	op.expiresAt = expiresAt
	op.reportCompletion = true
	return r.startOperation(now, op)
}

// startInternalWrite starts a write that the replica itself initiates. onEnd is called when it ends, whether or not it
// succeeds.
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

// isRunning reports whether an operation of a kind is in progress.
func (r *Replica) isRunning(kind operationKind) bool {
	for _, op := range r.operations {
		if op.kind == kind {
			return true
		}
	}
	return false
}

// startAttempt starts the first or the next attempt of an operation.
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

// postpone delays an operation if this replica is a member that has been active before and can be expected to become
// active in the current epoch. Otherwise the operation ends immediately, so that the caller can try another member.
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

// isCurrent reports whether the attempt with the given number is still in progress.
func (r *Replica) isCurrent(op *operation, number int) bool {
	return r.operations[op.id] == op && op.attempt.number == number
}

// retryIfStuck ends an attempt that can no longer succeed: no responses or saves are outstanding, or too few responses
// are left for its round.
func (r *Replica) retryIfStuck(now time.Time, op *operation, number int) {
	if !r.isCurrent(op, number) || !op.retryAt.IsZero() || op.attempt.pendingSaves > 0 {
		return
	}
	round := op.proposal.round
	if op.attempt.pendingResponses <= 0 || round != nil && round.CannotSucceed(op.attempt.pendingResponses) {
		r.scheduleRetry(now, op)
	}
}

// scheduleRetry ends a failed attempt and schedules the next one after a random pause. The pause grows while competing
// rounds of other members on the same registers defeat those of the operation. Confirmations and repairs are not
// retried but end: a confirmation schedules rounds for its values, and the next round of a repair is scheduled already.
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

const (
	// initialDefeatPauseRounds and maxDefeatPauseRounds are the first and the longest pause after a defeat, in units of
	// the duration of a round.
	initialDefeatPauseRounds = 2
	maxDefeatPauseRounds     = 8
)

// defeatBackoff returns the backoff after defeats. It scales with the current duration of a round, so that one of the
// competing rounds can end while the others pause.
func (r *Replica) defeatBackoff() backoff.Policy {
	round := max(minRoundTime, r.RoundTime())
	return backoff.Policy{
		Initial: initialDefeatPauseRounds * round,
		Max:     min(maxDefeatPauseRounds*round, attemptTimeout),
	}
}

// restartAttempts restarts the attempts of all operations, because the configuration has changed and responses of the
// previous configuration's members no longer count. A confirmation of the disk ends: startDiskConfirmation decides
// whether one is still needed.
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

// NextDeadline returns when Tick must be called next, or the zero time if no operation or repair is pending.
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

// Tick ends the operations and attempts that have timed out, and starts the attempts and repairs that are due.
func (r *Replica) Tick(now time.Time) {
	r.observeClock(now)
	r.repairUndecided(now)
	reached := func(at time.Time) bool { return !at.IsZero() && !now.Before(at) }
	for _, id := range r.operationIDs() {
		op := r.operations[id]
		if op == nil { // ended by a step of an earlier operation
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

// operationIDs returns the IDs of the operations in the order of their starts.
func (r *Replica) operationIDs() []uint64 { return slices.Sorted(maps.Keys(r.operations)) }
