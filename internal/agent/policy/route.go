package policy

import (
	"math"
	"time"

	"sagelever/internal/agent/api"
)

// eligible reports whether the rules allow an attempt of a transaction at a backend.
func (b *Balancer) eligible(tx *transaction, backend *backend) bool {
	if !backend.listed || !b.rolloutKnown ||
		backend.Build < b.boundBuild(tx.Key) || !b.exposureAllows(tx, backend) {
		return false
	}
	if tx.mayHaveRunAt >= 0 && tx.workload.effect == effectReceipted && (!tx.repeatKnownAt(backend) ||
		b.now-tx.mayHaveRunAt >= tx.workload.memory-b.settings.tick) {
		return false
	}
	return b.slowStartAllows(backend)
}

// earnTrialQuota adds to the first attempts that the trial may get: three quarters of its cap, not so far
// over its share of capacity that load slows it, nor so little that the baseline is a seventh above its own.
func (b *Balancer) earnTrialQuota() {
	_, limit := b.exposureCap(b.trialBuild)
	part, spread := b.trialCapacityShare(), 1.3
	if b.small() {
		spread = 1
	} else if b.sparse() {
		spread = 0.8
	}
	b.trialQuota = min(b.trialQuota+max(min(0.75*limit, spread*part), 1-1.15*(1-part)), 1.5)
}

const latencyHalfLife, retryHalfLife = 5 * time.Second, 10 * time.Second

// retryShare is how many retries a transaction earns. It rises as recent ones succeed, from 0.05 (to keep
// learning) to 0.3 (a retry storm must not double the load).
func (b *Balancer) retryShare() float64 {
	tried := b.retries.tried.Value(b.now, retryHalfLife) + 4
	return 0.05 + 0.25*(b.retries.won.Value(b.now, retryHalfLife)+2)/tried
}

func (b *Balancer) mayRetry(tx *transaction) bool {
	spare := b.retries.earned.Value(b.now, retryHalfLife) + 3 - b.retries.tried.Value(b.now, retryHalfLife)
	return spare > 0 && float64(len(tx.attempts)) < b.settings.maxAttempts
}

// safeToRepeat reports whether the transaction cannot take effect twice, whoever repeats it.
func (tx *transaction) safeToRepeat() bool {
	w := tx.workload
	return tx.mayHaveRunAt < 0 || w.effect == effectPure || w.effect == effectReceipted && w.group == groupAll
}

// retry follows the failure of all attempts by another, if workload and budget allow it, or by an answer.
func (b *Balancer) retry(tx *transaction) {
	tx.reason = api.ReasonNoRetry
	if tx.mayHaveRunAt >= 0 && tx.workload.effect == effectEffectful {
		tx.reason = api.ReasonMayHaveRun
	}
	if tx.reason == api.ReasonMayHaveRun || !b.mayRetry(tx) {
		b.advanceTransaction(tx, deadlineNear)
	} else {
		b.place(tx)
	}
}

// hedge adds an attempt to one that takes longer than most. If two may not be in flight it cancels the first,
// where its backend has answered nothing since: a busy one will answer.
func (b *Balancer) hedge(tx *transaction) {
	if !b.mayRetry(tx) || len(b.queue) > 0 ||
		b.now-tx.acceptedAt > tx.workload.goal-b.meanLatency(tx.workload)/2 {
		return
	}
	if first := tx.attempts[0]; !b.settings.mayHedge {
		if first.backend.lastAnswer < first.startedAt && b.settings.mayCancel {
			b.emit(api.CancelAttempt{Transaction: tx.ID})
		}
		return
	}
	if backend := b.chooseBackend(tx); backend != nil {
		b.startAttempt(tx, backend)
	}
}

// place starts an attempt of a queued transaction, or keeps it queued while it could still succeed in time.
func (b *Balancer) place(tx *transaction) {
	tx.reason = api.ReasonConcurrencyLimit
	if float64(tx.flow.inFlight) < tx.flow.limit {
		tx.reason = api.ReasonNoBackend
		if backend := b.chooseBackend(tx); backend != nil {
			b.startAttempt(tx, backend)
			return
		}
	}
	// It waits here for a quarter of its goal at most: what starts later is late, and is answered now.
	if b.now-tx.acceptedAt > min(tx.workload.goal/4, tx.workload.goal-b.meanLatency(tx.workload)) {
		b.advanceTransaction(tx, deadlineNear)
		return
	}
	b.queue = append(b.queue, tx)
}

// chooseBackend picks the arm by D-Tracking and the backend by two random choices; nil if none is eligible.
func (b *Balancer) chooseBackend(tx *transaction) *backend {
	ready, spare := b.candidates(tx)
	arm := b.chooseArm()
	if b.avoidsTrial(tx) || len(tx.attempts) > 0 && len(ready[baselineArm]) > 0 { // retries: the known build
		arm = baselineArm
	}
	for _, group := range [][]*backend{ready[arm], ready[arm.other()], spare[baselineArm], spare[trialArm]} {
		if len(group) > 0 {
			return b.lessLoadedOfTwo(group)
		}
	}
	return nil
}

// candidates returns the eligible backends by arm: those ready for more, and the others. A trial backend with
// much more load than the baseline's is not ready, as it would be judged for that.
func (b *Balancer) candidates(tx *transaction) (ready, spare [2][]*backend) {
	mean := b.meanLoad()
	for _, backend := range b.ordered {
		if tx.triedOn(backend) || !b.eligible(tx, backend) {
			continue
		}
		arm := b.armOf(backend)
		if backend.available() &&
			(arm == baselineArm || mean <= 0 || backend.inFlight == 0 || b.load(backend) <= 1.15*mean) {
			ready[arm] = append(ready[arm], backend)
		} else {
			spare[arm] = append(spare[arm], backend)
		}
	}
	return ready, spare
}

// avoidsTrial reports whether a transaction avoids the trial: it is paused or over its quota, or the key is
// unbound and half of the cap is used by bound ones.
func (b *Balancer) avoidsTrial(tx *transaction) bool {
	trial, limit := b.exposureCap(b.trialBuild)
	unbound := tx.Key != "" && b.settings.trialOneWay && b.boundBuild(tx.Key) == 0
	return trial && (b.trialQuota < 1 && b.loose() ||
		unbound && b.boundShare.Estimate(b.now, demandHalfLife, 0, 0) > limit/2) || b.trialPaused
}

// lessLoadedOfTwo draws two backends and takes the one with less load (Mitzenmacher's power of two choices).
func (b *Balancer) lessLoadedOfTwo(group []*backend) *backend {
	first := b.randomBelow(len(group))
	if len(group) > 1 {
		second := (first + 1 + b.randomBelow(len(group)-1)) % len(group)
		if b.load(group[second]) < b.load(group[first]) {
			return group[second]
		}
	}
	return group[first]
}

// load is about how long one more attempt would take at a backend, in usual latencies of its workload.
func (b *Balancer) load(backend *backend) float64 {
	// The weight of a load report halves every half second: reports are refreshed about as often.
	stale := math.Exp2(-float64(b.now-backend.loadReportedAt) / float64(500*time.Millisecond))
	slowness := backend.slowness.Estimate(b.now, b.slownessHalfLife(), 1, 1)
	return (1 + float64(backend.inFlight) + 0.5*backend.backlog*stale) * (slowness / b.capacityShare(backend))
}

func (b *Balancer) slownessHalfLife() time.Duration { return max(3*time.Second, b.attemptInterval()) }

const minCountedAge = 3 * time.Second // the design's: outcomes of younger backends are not counted

func (b *Balancer) startAttempt(tx *transaction, backend *backend) {
	b.recordAttempt(tx, backend)
	b.emit(api.StartAttempt{Transaction: tx.ID, Backend: backend.ID})
	if tx.workload.effect != effectEffectful && len(tx.attempts) == 1 {
		delay := max(3*b.meanLatency(tx.workload), 50*time.Millisecond)
		b.schedule(delay, func() { b.advanceTransaction(tx, hedgeDue) })
	}
	b.advanceTransaction(tx, attemptStarted)
}

// giveUp answers at once: the transaction is deferred if repeating it is safe, else it fails.
func (b *Balancer) giveUp(tx *transaction) {
	tx.markUnfinished()
	if tx.safeToRepeat() {
		var wait time.Duration
		if b.settings.mayAdvise {
			wait = min(b.usualLatency(), b.settings.maxReturn)
		}
		b.emit(api.DeferTransaction{Transaction: tx.ID, RetryAfter: wait, Reason: tx.reason})
	} else {
		b.emit(api.FailTransaction{Transaction: tx.ID, Reason: tx.reason})
	}
	b.forget(tx)
}

func (b *Balancer) attemptEnded(event api.AttemptEnded) {
	tx, attempt := b.finishAttempt(event)
	if attempt == nil {
		return
	}
	b.observe(tx, attempt, event)
	tx.noteOutcome(attempt, event.Outcome)
	b.bindKey(tx, attempt, event.Outcome)
	switch succeeded := event.Outcome == api.Succeeded; {
	case succeeded || event.TransactionDone:
		if succeeded && event.Attempt > 0 && tx.state != finished {
			b.retries.won.Add(b.now, retryHalfLife, 1)
		}
		b.advanceTransaction(tx, transactionClosed)
	case event.Outcome == api.InvalidRequest: // no backend can use it, and neither retry nor deferral would help
		b.emit(api.FailTransaction{Transaction: tx.ID, Reason: api.ReasonInvalidRequest})
		b.advanceTransaction(tx, transactionClosed)
	case tx.inFlight == 0:
		b.advanceTransaction(tx, attemptsFailed)
	}
	b.retryQueued()
}

// bindKey binds a key to the build that answered it or, where unseen answers count, may have answered it.
func (b *Balancer) bindKey(tx *transaction, attempt *attempt, outcome api.Outcome) {
	binds := outcome == api.Succeeded || b.countsUnseen() && mayHaveAnswered(outcome)
	if tx.Key != "" && b.settings.trialOneWay && binds && attempt.backend.Build >= b.oldestBuild() {
		b.keyBuilds[tx.Key] = max(b.keyBuilds[tx.Key], attempt.backend.Build)
	}
}
