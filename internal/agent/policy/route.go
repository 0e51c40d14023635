package policy

import (
	"math"
	"time"

	"sagelever/internal/agent/api"
)

// eligible reports whether the deployment's rules allow an attempt of the transaction at the backend.
func (b *Balancer) eligible(tx *transaction, backend *backend) bool {
	if !backend.listed || !b.rolloutKnown ||
		backend.Build < b.boundBuild(tx.Key) || !b.exposureAllows(tx, backend) {
		return false
	}
	if tx.mayHaveRunAt >= 0 && tx.workload.effect == effectReceipted && (!tx.deduplicatedBy(backend) ||
		b.now-tx.mayHaveRunAt >= tx.workload.receiptLifetime-b.settings.tick) {
		return false
	}
	return b.slowStartAllows(backend)
}

const trialCapShare, maxTrialQuota = 0.75, 1.5                     // of the exposure cap; first attempts
const trialHeadroom, averageHeadroom, sparseHeadroom = 1.3, 1, 0.8 // multiples of the capacity share
const maxBaselineOverload = 1.15                                   // multiple of its capacity share

// refillTrialQuota adds the trial's share of one transaction to its quota of first attempts. The share stays
// below the cap and near the trial's capacity, so that load does not slow it or overload the baseline.
func (b *Balancer) refillTrialQuota() {
	_, limit := b.exposureCap(b.trialBuild)
	share, headroom := b.trialCapacityShare(), trialHeadroom
	if b.belowAverageTraffic() {
		headroom = averageHeadroom
	} else if b.sparse() {
		headroom = sparseHeadroom
	}
	b.trialQuota = min(b.trialQuota+
		max(min(trialCapShare*limit, headroom*share), 1-maxBaselineOverload*(1-share)), maxTrialQuota)
}

const latencyHalfLife, retryHalfLife = 5 * time.Second, 10 * time.Second

const minRetryShare, retryShareRange = 0.05, 0.25      // retries earned by one transaction
const priorRetries, priorSuccess, retryBurst = 4, 2, 3 // retries; of those succeeded; retries

// retryShare returns how many retries a transaction earns. It rises with the success rate of recent retries,
// from 0.05, so that retries are still sampled, to 0.3, so that a retry storm cannot double the load.
func (b *Balancer) retryShare() float64 {
	started := b.retries.started.Value(b.now, retryHalfLife) + priorRetries
	return minRetryShare + retryShareRange*(b.retries.succeeded.Value(b.now, retryHalfLife)+priorSuccess)/started
}

func (b *Balancer) mayRetry(tx *transaction) bool {
	budget := b.retries.earned.Value(b.now, retryHalfLife) + retryBurst -
		b.retries.started.Value(b.now, retryHalfLife)
	return budget > 0 && float64(len(tx.attempts)) < b.settings.maxAttempts
}

// retry places the transaction again after all attempts failed, or gives it up if the workload or the retry
// budget does not allow another attempt.
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

// hedge starts a second attempt while the first is slow. If two attempts in flight are not allowed, it
// cancels the first instead, unless the backend has responded to others since and so is merely busy.
func (b *Balancer) hedge(tx *transaction) {
	if !b.mayRetry(tx) || len(b.queue) > 0 ||
		b.now-tx.acceptedAt > tx.workload.goal-b.meanLatency(tx.workload)/2 {
		return
	}
	if first := tx.attempts[0]; !b.settings.mayHedge {
		if first.backend.lastResponseAt < first.startedAt && b.settings.mayCancel {
			b.emit(api.CancelAttempt{Transaction: tx.ID})
		}
		return
	}
	if backend := b.chooseBackend(tx); backend != nil {
		b.startAttempt(tx, backend)
	}
}

const queueDivisor = 4 // a transaction is queued for at most goal/4; started later, it would be late

// place starts an attempt of a queued transaction, or keeps it queued while it can still meet its goal.
func (b *Balancer) place(tx *transaction) {
	tx.reason = api.ReasonConcurrencyLimit
	if float64(tx.flow.inFlight) < tx.flow.limit {
		tx.reason = api.ReasonNoBackend
		if backend := b.chooseBackend(tx); backend != nil {
			b.startAttempt(tx, backend)
			return
		}
	}
	if b.now-tx.acceptedAt > min(tx.workload.goal/queueDivisor, tx.workload.goal-b.meanLatency(tx.workload)) {
		b.advanceTransaction(tx, deadlineNear)
		return
	}
	b.queue = append(b.queue, tx)
}

// chooseBackend picks the arm by D-Tracking and the backend by two random choices, nil if none is eligible.
func (b *Balancer) chooseBackend(tx *transaction) *backend {
	ready, busy := b.candidates(tx)
	arm := b.chooseArm()
	if b.avoidsTrial(tx) || len(tx.attempts) > 0 && len(ready[baselineArm]) > 0 { // retries prefer the baseline
		arm = baselineArm
	}
	for _, group := range [][]*backend{ready[arm], ready[arm.other()], busy[baselineArm], busy[trialArm]} {
		if len(group) > 0 {
			return b.lessLoadedOfTwo(group)
		}
	}
	return nil
}

const maxTrialLoad = 1.15 // multiple of the baseline's mean load

// candidates returns the eligible backends by arm: those that are ready, and the busy. An overloaded trial
// backend counts as busy, since its build would be judged by the effects of the load.
func (b *Balancer) candidates(tx *transaction) (ready, busy [2][]*backend) {
	mean := b.meanLoad()
	for _, backend := range b.ordered {
		if tx.triedOn(backend) || !b.eligible(tx, backend) {
			continue
		}
		arm := b.armOf(backend)
		if backend.available() &&
			(arm == baselineArm || mean <= 0 || backend.inFlight == 0 || b.load(backend) <= maxTrialLoad*mean) {
			ready[arm] = append(ready[arm], backend)
		} else {
			busy[arm] = append(busy[arm], backend)
		}
	}
	return ready, busy
}

// avoidsTrial reports whether the trial is paused or over its quota, or the transaction's key is not bound
// while bound keys use more than half of the cap.
func (b *Balancer) avoidsTrial(tx *transaction) bool {
	trial, limit := b.exposureCap(b.trialBuild)
	unbound := tx.Key != "" && b.settings.bindKeys && b.boundBuild(tx.Key) == 0
	return trial && (b.trialQuota < 1 && b.trialQuotaApplies() ||
		unbound && b.boundShare.Estimate(b.now, demandHalfLife, 0, 0) > limit/2) || b.trialPaused
}

// lessLoadedOfTwo returns the less loaded of two random backends (Mitzenmacher, power of two choices).
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

const backlogWeight, loadReportHalfLife = 0.5, 500 * time.Millisecond // load reports come about that often

// load estimates the latency of one more attempt at the backend, in mean latencies of the workload.
func (b *Balancer) load(backend *backend) float64 {
	freshness := math.Exp2(-float64(b.now-backend.loadReportedAt) / float64(loadReportHalfLife))
	slowness := backend.slowness.Estimate(b.now, b.slownessHalfLife(), 1, 1)
	return (1 + float64(backend.inFlight) + backlogWeight*backend.backlog*freshness) *
		(slowness / b.capacityShare(backend))
}

const minSlownessHalfLife = 3 * time.Second

func (b *Balancer) slownessHalfLife() time.Duration {
	return max(minSlownessHalfLife, b.attemptInterval())
}

const minCountedAge = 3 * time.Second // outcomes of younger backends are not counted

const hedgeLatencies, minHedgeDelay = 3, 50 * time.Millisecond // multiple of the mean latency; minimum

func (b *Balancer) startAttempt(tx *transaction, backend *backend) {
	b.recordAttempt(tx, backend)
	b.emit(api.StartAttempt{Transaction: tx.ID, Backend: backend.ID})
	if tx.workload.effect != effectEffectful && len(tx.attempts) == 1 {
		delay := max(hedgeLatencies*b.meanLatency(tx.workload), minHedgeDelay)
		b.schedule(delay, func() { b.advanceTransaction(tx, hedgeDue) })
	}
	b.advanceTransaction(tx, attemptStarted)
}

// giveUp answers the transaction immediately: it is deferred if repeating it is safe, and fails otherwise.
func (b *Balancer) giveUp(tx *transaction) {
	tx.markUnfinished()
	if tx.safeToRepeat() {
		var wait time.Duration
		if b.settings.sendRetryAfter {
			wait = min(b.recentLatency(), b.settings.maxRetryAfter)
		}
		b.emit(api.DeferTransaction{Transaction: tx.ID, RetryAfter: wait, Reason: tx.reason})
	} else {
		b.emit(api.FailTransaction{Transaction: tx.ID, Reason: tx.reason})
	}
	b.removeTransaction(tx)
}

func (b *Balancer) attemptEnded(event api.AttemptEnded) {
	tx, attempt := b.finishAttempt(event)
	if attempt == nil {
		return
	}
	b.observe(tx, attempt, event)
	tx.recordOutcome(attempt, event.Outcome)
	b.bindKey(tx, attempt, event.Outcome)
	switch succeeded := event.Outcome == api.Succeeded; {
	case succeeded || event.TransactionDone:
		if succeeded && event.Attempt > 0 && tx.state != finished {
			b.retries.succeeded.Add(b.now, retryHalfLife, 1)
		}
		b.advanceTransaction(tx, transactionClosed)
	case event.Outcome == api.InvalidRequest: // a retry or deferral would not help
		b.emit(api.FailTransaction{Transaction: tx.ID, Reason: api.ReasonInvalidRequest})
		b.advanceTransaction(tx, transactionClosed)
	case tx.inFlight == 0:
		b.advanceTransaction(tx, attemptsFailed)
	}
	b.retryQueued()
}
