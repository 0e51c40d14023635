package policy

import (
	"slices"
	"time"

	"sagelever/internal/agent/api"
)

// transaction is a transaction that the agent has accepted and that has no final answer, or attempts in flight.
type transaction struct {
	api.TransactionAccepted
	workload         *workload
	flow             *flow
	acceptedAt       time.Duration
	state            transactionState
	attempts         []*attempt    // by their number
	inFlight         int           // attempts without an outcome
	mayHaveRunAt     time.Duration // when the first attempt that may have run was started, -1 if none
	mayHaveRunOn     *backend      // where
	streamingAttempt api.AttemptNumber
	reason           api.Reason // if it is given up now
}

// attempt is one attempt of a transaction at a backend.
type attempt struct {
	backend   *backend
	startedAt time.Duration
	finished  bool // it has an outcome
	warmingUp bool // its backend was younger than minCountedAge
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

// acceptTransaction takes up a transaction and places it for the first time.
func (b *Balancer) acceptTransaction(event api.TransactionAccepted) {
	tx := b.newTransaction(event)
	b.recordAccepted(tx)
	b.boundShare.Add(b.now, demandHalfLife, float64(min(b.boundBuild(event.Key), 1)))
	b.earnTrialQuota()
	b.retries.earned.Add(b.now, retryHalfLife, b.retryShare())
	// The timer fires a tick before the client's time is up, so that the answer is never late.
	b.schedule(event.Timeout-b.settings.tick, func() {
		tx.reason = api.ReasonDeadline
		b.advanceTransaction(tx, deadlineNear)
	})
	b.advanceTransaction(tx, accepted)
}

// recordAccepted counts one more transaction wherever they are counted.
func (b *Balancer) recordAccepted(tx *transaction) {
	b.transactions[tx.ID] = tx
	window, edge := b.exposureWindow()
	b.accepted.Add(b.now, window+edge)
	tx.workload.accepted.Add(b.now, window+edge)
	b.demand.Add(b.now, demandHalfLife, 1)
	tx.flow.demand.Add(b.now, demandHalfLife, 1)
}

// recordAttempt counts one more attempt wherever they are counted.
func (b *Balancer) recordAttempt(tx *transaction, backend *backend) {
	if trial, _ := b.exposureCap(backend.Build); trial {
		attempts, _ := b.exposureCounters(backend.Build, tx.workload)
		window, edge := b.exposureWindow()
		attempts.Add(b.now, window+edge)
	}
	if len(tx.attempts) == 0 {
		b.recordPick(b.armOf(backend))
	} else {
		b.retries.tried.Add(b.now, retryHalfLife, 1)
	}
	if backend.inFlight == 0 {
		backend.owesSince = b.now
	}
	backend.inFlight++
	tx.flow.inFlight++
	backend.paceCredit--
	started := &attempt{backend: backend, startedAt: b.now, warmingUp: b.now-backend.Started < minCountedAge}
	tx.attempts = append(tx.attempts, started)
	tx.inFlight++
	if tx.Key != "" && b.countsUnseen() && backend.Build >= b.oldestBuild() {
		b.unconfirmed[tx.Key] = append(b.unconfirmed[tx.Key], started)
	}
}

// finishAttempt finds the attempt that has ended and counts it as no longer in flight. It returns nil for one that is
// not known or has ended before.
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

// forget drops a transaction that is finished and cancels what is still in flight for it.
func (b *Balancer) forget(tx *transaction) {
	delete(b.transactions, tx.ID)
	if tx.inFlight > 0 {
		b.unfinished[tx.ID] = tx
		b.cancelOthers(tx)
	}
}

// cancelOthers cancels the attempts in flight, except for the one whose response has begun to arrive.
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

// triedOn reports whether an attempt was started at a backend.
func (tx *transaction) triedOn(backend *backend) bool {
	for _, attempt := range tx.attempts {
		if attempt.backend == backend {
			return true
		}
	}
	return false
}

// markMayHaveRun notes that an attempt may have run, if it is the first such.
func (tx *transaction) markMayHaveRun(attempt *attempt) {
	if tx.mayHaveRunAt < 0 || attempt.startedAt < tx.mayHaveRunAt {
		tx.mayHaveRunAt, tx.mayHaveRunOn = attempt.startedAt, attempt.backend
	}
}

// noteOutcome notes whether an attempt that has ended may have run.
func (tx *transaction) noteOutcome(attempt *attempt, outcome api.Outcome) {
	if mayHaveRun(outcome) {
		tx.markMayHaveRun(attempt)
	}
}

// markUnfinished notes that attempts in flight may have run.
func (tx *transaction) markUnfinished() {
	for _, attempt := range tx.attempts {
		if !attempt.finished {
			tx.markMayHaveRun(attempt)
		}
	}
}

// repeatKnownAt reports whether a backend knows the receipts of the one where the transaction may have run.
func (tx *transaction) repeatKnownAt(backend *backend) bool {
	switch tx.workload.group {
	case groupAll:
		return true
	case groupZone:
		return backend.Zone == tx.mayHaveRunOn.Zone
	case groupCell:
		return backend.Cell == tx.mayHaveRunOn.Cell
	}
	return false
}

// backendResponded reports whether an outcome shows that the backend is alive, whatever it answered.
func backendResponded(o api.Outcome) bool {
	switch o {
	case api.Succeeded, api.ErrorResponse, api.Rejected, api.MalformedResponse, api.InvalidRequest:
		return true
	}
	return false
}

// unanswered reports whether an outcome is that of an attempt that was sent and not answered.
func unanswered(o api.Outcome) bool {
	return o == api.TimedOut || o == api.ConnectionLost || o == api.Canceled
}

// mayHaveAnswered reports whether an outcome leaves it open that the backend has written a good answer.
func mayHaveAnswered(o api.Outcome) bool {
	return mayHaveRun(o) && o != api.ErrorResponse && o != api.InvalidRequest
}

// mayHaveRun reports whether an outcome leaves it open that the attempt was carried out.
func mayHaveRun(o api.Outcome) bool {
	return o != api.Rejected && o != api.Unreachable && o != api.NotSent
}
