package policy

import (
	"slices"
	"time"

	"sagelever/internal/agent/api"
)

// transaction is an accepted transaction that has no final answer yet, or has attempts in flight.
type transaction struct {
	api.TransactionAccepted
	workload         *workload
	flow             *flow
	acceptedAt       time.Duration
	state            transactionState
	attempts         []*attempt    // indexed by attempt number
	inFlight         int           // number of attempts without an outcome
	mayHaveRunAt     time.Duration // start of the first attempt that may have run, -1 if none
	mayHaveRunOn     *backend      // backend of that attempt
	streamingAttempt api.AttemptNumber
	reason           api.Reason // if the transaction is given up now
}

// attempt is one attempt of a transaction at a backend.
type attempt struct {
	backend   *backend
	startedAt time.Duration
	finished  bool // has an outcome
	warmingUp bool // the backend was younger than minCountedAge
}

func (b *Balancer) newTransaction(event api.TransactionAccepted) *transaction {
	w := b.workloadOf(event.Workload)
	return &transaction{
		TransactionAccepted: event,
		workload:            w,
		flow:                b.flowOf(w, event.Customer),
		acceptedAt:          b.now,
		mayHaveRunAt:        -1,
	}
}

// acceptTransaction registers a transaction and places it for the first time.
func (b *Balancer) acceptTransaction(event api.TransactionAccepted) {
	tx := b.newTransaction(event)
	b.recordAccepted(tx)
	b.boundShare.Add(b.now, demandHalfLife, float64(min(b.boundBuild(event.Key), 1)))
	b.refillTrialQuota()
	b.retries.earned.Add(b.now, retryHalfLife, b.retryShare())
	// The timer fires a tick before the client's timeout, so that the answer is in time.
	b.schedule(event.Timeout-b.settings.tick, func() {
		tx.reason = api.ReasonDeadline
		b.advanceTransaction(tx, deadlineNear)
	})
	b.advanceTransaction(tx, accepted)
}

// recordAccepted adds a transaction to all counters of transactions.
func (b *Balancer) recordAccepted(tx *transaction) {
	b.transactions[tx.ID] = tx
	window, edge := b.exposureWindow()
	b.accepted.Add(b.now, window+edge)
	tx.workload.accepted.Add(b.now, window+edge)
	b.demand.Add(b.now, demandHalfLife, 1)
	tx.flow.demand.Add(b.now, demandHalfLife, 1)
}

// recordAttempt adds an attempt to all counters of attempts.
func (b *Balancer) recordAttempt(tx *transaction, backend *backend) {
	if trial, _ := b.exposureCap(backend.Build); trial {
		attempts, _ := b.exposureCounters(backend.Build, tx.workload)
		window, edge := b.exposureWindow()
		attempts.Add(b.now, window+edge)
	}
	if len(tx.attempts) == 0 {
		b.recordPull(b.armOf(backend))
	} else {
		b.retries.started.Add(b.now, retryHalfLife, 1)
	}
	if backend.inFlight == 0 {
		backend.awaitingSince = b.now
	}
	backend.inFlight++
	tx.flow.inFlight++
	backend.paceTokens--
	started := &attempt{backend: backend, startedAt: b.now, warmingUp: b.now-backend.Started < minCountedAge}
	tx.attempts = append(tx.attempts, started)
	tx.inFlight++
	if tx.Key != "" && b.bindsUnconfirmed() && backend.Build >= b.oldestBuild() {
		b.unconfirmed[tx.Key] = append(b.unconfirmed[tx.Key], started)
	}
}

// finishAttempt marks an attempt as finished and returns it with its transaction. It returns nil if the attempt is
// unknown or already finished.
func (b *Balancer) finishAttempt(event api.AttemptEnded) (*transaction, *attempt) {
	tx := b.transactions[event.Transaction]
	if tx == nil {
		tx = b.unfinished[event.Transaction]
	}
	if tx == nil || int(event.Attempt) >= len(tx.attempts) || tx.attempts[event.Attempt].finished {
		return nil, nil
	}
	ended := tx.attempts[event.Attempt]
	ended.finished = true
	left := slices.DeleteFunc(b.unconfirmed[tx.Key], func(a *attempt) bool { return a == ended })
	if len(left) > 0 {
		b.unconfirmed[tx.Key] = left
	} else {
		delete(b.unconfirmed, tx.Key)
	}
	tx.inFlight--
	ended.backend.inFlight--
	tx.flow.inFlight--
	if tx.inFlight == 0 && tx.state == finished {
		delete(b.unfinished, tx.ID)
	}
	return tx, ended
}

// removeTransaction removes a finished transaction and cancels its attempts in flight.
func (b *Balancer) removeTransaction(tx *transaction) {
	delete(b.transactions, tx.ID)
	if tx.inFlight > 0 {
		b.unfinished[tx.ID] = tx
		b.cancelOthers(tx)
	}
}

// cancelOthers cancels the attempts in flight, except for one whose response is streaming.
func (b *Balancer) cancelOthers(tx *transaction) {
	if !b.settings.mayCancel {
		return
	}
	for i, attempt := range tx.attempts {
		number := api.AttemptNumber(i)
		if attempt.finished || tx.state == streaming && number == tx.streamingAttempt {
			continue
		}
		b.emit(api.CancelAttempt{Transaction: tx.ID, Attempt: number})
	}
}

// safeToRepeat reports whether the transaction cannot take effect twice if the client repeats it anywhere.
func (tx *transaction) safeToRepeat() bool {
	w := tx.workload
	return tx.mayHaveRunAt < 0 || w.effect == effectPure || w.effect == effectReceipted && w.receiptGroup == groupAll
}

// triedOn reports whether an attempt was started at the backend.
func (tx *transaction) triedOn(backend *backend) bool {
	for _, attempt := range tx.attempts {
		if attempt.backend == backend {
			return true
		}
	}
	return false
}

// markMayHaveRun records the earliest attempt that may have run.
func (tx *transaction) markMayHaveRun(attempt *attempt) {
	if tx.mayHaveRunAt < 0 || attempt.startedAt < tx.mayHaveRunAt {
		tx.mayHaveRunAt, tx.mayHaveRunOn = attempt.startedAt, attempt.backend
	}
}

// recordOutcome records a finished attempt that may have run.
func (tx *transaction) recordOutcome(attempt *attempt, outcome api.Outcome) {
	if mayHaveRun(outcome) {
		tx.markMayHaveRun(attempt)
	}
}

// markUnfinished records that attempts in flight may have run.
func (tx *transaction) markUnfinished() {
	for _, attempt := range tx.attempts {
		if !attempt.finished {
			tx.markMayHaveRun(attempt)
		}
	}
}

// deduplicatedBy reports whether the backend recognizes the receipts of the backend where the transaction may have run.
func (tx *transaction) deduplicatedBy(backend *backend) bool {
	switch tx.workload.receiptGroup {
	case groupAll:
		return true
	case groupZone:
		return backend.Zone == tx.mayHaveRunOn.Zone
	case groupCell:
		return backend.Cell == tx.mayHaveRunOn.Cell
	}
	return false
}

// backendResponded reports whether the backend sent a response, of whatever content.
func backendResponded(o api.Outcome) bool {
	switch o {
	case api.Succeeded, api.ErrorResponse, api.Rejected, api.MalformedResponse, api.InvalidRequest:
		return true
	}
	return false
}

// gotNoResponse reports whether an attempt was sent but got no response.
func gotNoResponse(o api.Outcome) bool {
	return o == api.TimedOut || o == api.ConnectionLost || o == api.Canceled
}

// mayHaveResponded reports whether the backend may have written a valid response.
func mayHaveResponded(o api.Outcome) bool {
	return mayHaveRun(o) && o != api.ErrorResponse && o != api.InvalidRequest
}

// mayHaveRun reports whether the backend may have executed the attempt.
func mayHaveRun(o api.Outcome) bool {
	return o != api.Rejected && o != api.Unreachable && o != api.NotSent
}
