package policy

import (
	"time"

	"sagelever/internal/agent/api"
	"sagelever/internal/stats/bestarm"
)

// exposureAllows reports whether one more attempt keeps the exposure rule, by exact counts. The window is two
// ticks longer for attempts and shorter for transactions, so that clock differences cannot cause a violation.
func (b *Balancer) exposureAllows(tx *transaction, backend *backend) bool {
	trial, limit := b.exposureCap(backend.Build)
	if !trial {
		return true
	}
	guarded := b.settings.guardedStages
	early := guarded > 0 && (backend.Build > b.rollout.Build || float64(b.rollout.Stage) < guarded)
	if limit == 0 || early && tx.workload.effect != effectPure {
		return false
	}
	attempts, transactions := b.exposureCounters(backend.Build, tx.workload)
	window, edge := b.exposureWindow()
	used, base := attempts.Count(b.now, window+edge), transactions.Count(b.now, window-edge)
	return float64(used+1) <= b.settings.trialAllowance+limit*float64(base)
}

const unconfirmedBindDelay = 100 * time.Millisecond // the rule counts unconfirmed responses after 150 ms

const demandHalfLife = 5 * time.Second // long enough that a burst does not look like steady demand

const sparseInterval = time.Second

// sparse reports whether the agent's attempts at one backend are too rare to measure its load.
func (b *Balancer) sparse() bool { return b.attemptInterval() > sparseInterval }

const freeAllowanceShare = 0.2 // of the first cap's attempts in a window

// trialQuotaApplies reports whether the exposure rule is too loose on its own: the allowance is large against
// the first cap, or many sparse agents would use up their caps at the few trial backends simultaneously.
func (b *Balancer) trialQuotaApplies() bool {
	allowance := b.settings.trialAllowance
	if b.settings.exposureScope == scopePerWorkload {
		allowance *= float64(len(b.workloads))
	}
	limit := b.settings.firstCap() * b.rate(&b.demand) * b.settings.trialWindow.Seconds()
	return b.sparse() && !b.usesTallies() || allowance > freeAllowanceShare*limit
}

const throughputSpan = 200 * time.Millisecond

// addEvidence adds an outcome to its arm, with payoff 1 for success, 0.5 if it was slow, and 0 for failure.
func (b *Balancer) addEvidence(tx *transaction, attempt *attempt, event api.AttemptEnded) {
	arm, succeeded := b.armOf(attempt.backend), event.Outcome == api.Succeeded
	latency, slow := b.assessLatency(tx, attempt, event)
	if uninformative(attempt, event.Outcome, slow) {
		return
	}
	beforeTrial := arm == baselineArm && b.arms[trialArm].outcomes == 0
	if succeeded && beforeTrial {
		tx.workload.latencyOn(attempt.backend.MachineType).Add(b.now, baselineHalfLife, latency)
	}
	if succeeded && !b.usesTallies() {
		b.recordThroughput(1, throughputSpan)
	}
	if event.Outcome != api.ErrorResponse { // fast errors, as for invalid requests, are no slowdown
		b.recordPayoff(indicator(succeeded && !slow), beforeTrial)
	}
	// Arms are compared only over common time: otherwise a burst would count against one of them.
	compared := b.armHasWarmBackend(arm.other())
	if gotNoResponse(event.Outcome) && !compared {
		return
	}
	payoff := indicator(succeeded)
	if slow && compared {
		payoff /= 2
	}
	b.countOwnOutcome(attempt.backend, payoff, event.Outcome == api.ErrorResponse)
}

// Multiples of the baseline latency: one attempt in fifty exceeds the first without a fault. Neither chance
// nor a burst makes the mean that a backend reports exceed the second, as it excludes queueing.
const slowMultiple, slowReportedMultiple, minBaselineWeight = 4.0, 2, 0.1 // weight in observations

// assessLatency returns an attempt's latency, and whether it is slow against the latency before the trial for
// the workload and machine type, or against the goal if that is unknown.
func (b *Balancer) assessLatency(tx *transaction, attempt *attempt, event api.AttemptEnded) (float64, bool) {
	target, baseline := tx.workload.goal.Seconds(), tx.workload.latencyOn(attempt.backend.MachineType)
	latency, multiple := event.Elapsed.Seconds(), slowMultiple
	if reported := event.Load["latency_ms"]; reported > 0 && event.Outcome == api.Succeeded {
		latency, multiple = reported/1000, slowReportedMultiple
	}
	if baseline.Weight(b.now, baselineHalfLife) > minBaselineWeight {
		target = multiple * b.mean(baseline, baselineHalfLife)
	}
	warm := b.capacityShare(attempt.backend) >= 1
	return latency, latency > target && (warm || event.Outcome != api.Succeeded)
}

// uninformative reports whether an outcome is due to the backend, the request or the agent, not to the build.
func uninformative(attempt *attempt, outcome api.Outcome, slow bool) bool {
	if attempt.backend.failing() || attempt.warmingUp || !mayHaveRun(outcome) ||
		outcome == api.MalformedResponse || outcome == api.InvalidRequest || outcome == api.Canceled && !slow {
		return true
	}
	return gotNoResponse(outcome) && attempt.backend.lastResponseAt < attempt.startedAt // unresponsive backend
}

const slowTallyMultiple = 2 // of the mean latency compared with; load alone may double it

// addTally adds a platform tally: to the baseline's payoff and latency before the trial, and to the arm's
// counts while both arms have warm backends.
func (b *Balancer) addTally(event api.ReleaseTally) {
	workload, arm := b.workloadOf(event.Workload), baselineArm
	if event.Build == b.trialBuild {
		arm = trialArm
	}
	succeeded, latency := float64(event.Attempts-event.Failed), event.MeanLatency.Seconds()
	if event.Attempts <= 0 || succeeded < 0 || !b.usesTallies() {
		return
	}
	payoff := 1.0
	if usual := b.mean(&workload.baselineLatency, baselineHalfLife); usual > 0 {
		payoff = min(1, slowTallyMultiple*usual/max(latency, usual))
	}
	b.recordPayoff(payoff, arm == baselineArm && !b.armHasWarmBackend(trialArm))
	b.recordThroughput(succeeded, b.settings.tallyInterval/2)
	begin := b.now - event.Age - b.settings.tallyInterval
	switch {
	case arm == baselineArm && !b.armHasWarmBackend(trialArm):
		workload.baselineLatency.Add(b.now, baselineHalfLife, latency)
	case b.armHasWarmBackend(baselineArm) && b.armHasWarmBackend(trialArm) &&
		begin > b.stageStart()+minCountedAge:
		workload.tally[arm].add(float64(event.Attempts), succeeded, latency)
	}
}

// withTally adds the platform's tallies to an arm, with half the payoff for a workload that is slow there.
func (b *Balancer) withTally(index armIndex, sum arm) arm {
	for _, w := range b.workloads {
		own, other := w.tally[index], w.tally[index.other()]
		sum.outcomes, sum.payoff = sum.outcomes+own.attempts, sum.payoff+own.succeeded
		if own.latencySum*other.succeeded > slowTallyMultiple*other.latencySum*own.succeeded {
			sum.payoff -= own.succeeded / 2
		}
	}
	return sum
}

// chooseArm applies D-Tracking of the optimal proportion (Garivier and Kaufmann, 2016).
func (b *Balancer) chooseArm() armIndex {
	if bestarm.PullSecond(b.arms[baselineArm].forStatistic(), b.arms[trialArm].forStatistic()) {
		return trialArm
	}
	return baselineArm
}

// Bursts are much shorter than baselineHalfLife and longer than the other two.
const baselineHalfLife, throughputHalfLife, recentHalfLife = 20 * time.Second, 2 * time.Second, time.Second

const degradedGap, recoveredGap, burstThroughput = 0.15, 0.08, 1.1 // payoff; payoff; multiple of the baseline
const minRecentWeight, minPriorWeight = 6, 1                       // observations
const pauseFrom, pauseUntil, maxDegradation = 2 * time.Second, 6 * time.Second, 10 * time.Second
const recoveryHold = 5 * time.Second // renewed while payoffs stay recovered during the pause

// detectFleetDegradation detects builds that degrade both arms alike and so keep Z low: payoffs fall below
// those before the trial without a burst. The trial is then paused. If payoffs recover meanwhile, the build
// is the cause; if not, it is the fleet, unless the degradation outlasts maxDegradation.
func (b *Balancer) detectFleetDegradation() (degraded, byTrial bool) {
	gap := b.mean(&b.baselinePayoff, baselineHalfLife) - b.mean(&b.recentPayoff, recentHalfLife)
	busier := b.mean(&b.throughput, throughputHalfLife) >
		burstThroughput*b.mean(&b.baselineThroughput, baselineHalfLife)
	degraded = gap > degradedGap && !busier && b.recentPayoff.Weight(b.now, recentHalfLife) > minRecentWeight &&
		b.baselinePayoff.Weight(b.now, baselineHalfLife) > minPriorWeight
	if b.trialPaused && gap < recoveredGap {
		b.degradesFleetUntil = b.now + recoveryHold
	}
	if !degraded {
		b.degradedSince = b.now
	}
	since := b.now - b.degradedSince
	b.trialPaused = since > pauseFrom && since < pauseUntil
	b.trialDegradesFleet = since > maxDegradation || b.now < b.degradesFleetUntil
	return degraded, b.trialDegradesFleet
}

const worstDivisor = 4 // the worst backends are the lowest quarter of a stage by mean payoff

// evidence returns an arm's counts, total and by stage, without the worst backends of each stage. A bad build
// affects all backends, while unhealthy ones are few; a build that affects at most a quarter is not detected.
func (b *Balancer) evidence(index armIndex) (total arm, stages [maxStages]arm) {
	total = b.arms[index]
	for stage, group := range b.backendsByStage(index) {
		for rank, backend := range group {
			if len(group) > 1 && worstDivisor*rank < len(group) {
				total.add(backend.counts, -1)
			} else {
				stages[stage].add(backend.counts, 1)
			}
		}
	}
	return b.withTally(index, total), stages
}

// trialIsWorse reports whether the trial is behind in total or in one stage, as a build may degrade with age.
func (b *Balancer) trialIsWorse(margin, threshold float64) bool {
	baseline, _ := b.evidence(baselineArm)
	trial, stages := b.evidence(trialArm)
	for _, part := range append(stages[:], trial) {
		if behind(baseline, part, margin, margin, threshold) || b.armHasWarmBackend(baselineArm) &&
			behind(baseline.faultsOnly(), part.faultsOnly(), 0, 0, threshold) {
			return true
		}
	}
	return behind(baseline.faultsOnly(), trial.faultsOnly(), b.faultAllowance(), 0, threshold)
}

const machineFaultShare = 0.01 // of responses

// faultAllowance returns the share of faults attributed to machines while no baseline backend can show it.
func (b *Balancer) faultAllowance() float64 {
	if b.armHasWarmBackend(baselineArm) {
		return 0
	}
	return machineFaultShare
}

const payoffMargin, minOutcomes = 0.03, 10 // by which the mean payoff may be lower; before a vote
const settleTime = 3 * time.Second         // from a stage's start or a suspicion to a vote to advance
const voteErrorRate = 0.1                  // δ in log(2t·n/δ); a wrong vote costs ten seconds

// verdict compares the arms and returns this agent's verdict on the trial.
func (b *Balancer) verdict() api.Verdict {
	baseline, trial := b.withTally(baselineArm, b.arms[baselineArm]), b.withTally(trialArm, b.arms[trialArm])
	decisions := max(baseline.pulls+trial.pulls, baseline.outcomes+trial.outcomes, 1)
	phase, threshold := b.rollout.Phase, bestarm.StoppingThreshold(decisions, b.settings.agents, voteErrorRate)
	if !b.trialIsOpen() {
		return api.VerdictNone
	}
	degraded, byTrial := b.detectFleetDegradation()
	if int(b.peerNumber()) >= b.voterCount() {
		return api.VerdictNone
	}
	enough := b.hasEnoughOutcomes(trial)
	if byTrial || enough && b.trialIsWorse(payoffMargin, threshold) {
		return api.VerdictRollBack
	}
	suspect := b.trialIsSuspect(baseline, trial, threshold)
	if suspect && enough { // so that fluctuating evidence cannot advance the trial
		b.suspectUntil = b.now + settleTime
	}
	byClock := b.settings.trialControl == controlByClock
	switch {
	case phase == api.PhaseReleased, byClock && !suspect:
		return api.VerdictNone
	case byClock:
		return api.VerdictHold
	case !b.belowAverageTraffic() && enough && !degraded && b.canAdvance(baseline, trial, threshold):
		return api.VerdictAdvance
	}
	return api.VerdictNone
}

const sparseOutcomeFactor = 4 // times minOutcomes

// hasEnoughOutcomes requires minOutcomes of the agent's own or, if it is sparse, a multiple from all agents.
func (b *Balancer) hasEnoughOutcomes(trial arm) bool {
	return trial.ownOutcomes >= minOutcomes || b.sparse() && trial.outcomes >= sparseOutcomeFactor*minOutcomes
}

// canAdvance reports whether the stage has settled or the trial is better. Later stages need more outcomes.
func (b *Balancer) canAdvance(baseline, trial arm, threshold float64) bool {
	stages := float64(b.rollout.Stage + 1)
	if b.now < b.suspectUntil || trial.outcomes < minOutcomes*stages*stages {
		return false
	}
	proved := trial.mean() > baseline.mean() && statistic(baseline, trial, 0) > threshold
	return proved || b.now > b.stageStart()+settleTime
}

const suspectDivisor, suspectDivisorByClock = 8, 2 // of the threshold

// trialIsSuspect reports whether the trial is so far behind that the agent does not vote to advance or, if
// stages advance by the clock, votes hold. Without a clock less evidence suffices: one vote advances a stage,
// and the last stage leaves no baseline to compare with.
func (b *Balancer) trialIsSuspect(baseline, trial arm, threshold float64) bool {
	bar, gap := threshold/suspectDivisor, payoffMargin/2
	if b.settings.trialControl == controlByClock {
		bar, gap = threshold/suspectDivisorByClock, 0
	}
	return behind(baseline, trial, gap, 0, bar) ||
		behind(baseline.faultsOnly(), trial.faultsOnly(), b.faultAllowance(), 0, bar)
}

// belowAverageTraffic reports whether other agents have more traffic and evidence, by the platform's tallies.
func (b *Balancer) belowAverageTraffic() bool {
	counted := b.settings.tallySample * float64(b.listedCount) * b.settings.agents
	return b.usesTallies() && b.mean(&b.throughput, throughputHalfLife) > counted
}

const voteRenewalTenths = 6 // of its lifetime

// updateVote casts, changes, renews or withdraws the agent's vote according to its verdict.
func (b *Balancer) updateVote() {
	verdict, current, age := b.verdict(), &b.vote, b.now-b.vote.castAt
	stage := min(b.rollout.Stage+b.stageOffset, api.Stage(len(b.settings.trialCaps)-1))
	switch {
	case !b.rolloutKnown, b.now < current.notBefore:
	case current.state == votePending && age <= b.settings.voteTimeout+heartbeatInterval:
	case current.state == votePending:
		b.advanceVote(voteExpired)
	case verdict == api.VerdictNone && (current.state == voteNone || current.build != b.rollout.Build):
		*current = vote{}
	case current.state == voteNone, verdict != current.verdict, current.build != b.trialBuild,
		current.stage != stage:
		current.verdict, current.build, current.stage = verdict, b.trialBuild, stage
		b.advanceVote(verdictChanged)
	case current.state == voteCounted && verdict != api.VerdictNone &&
		age > b.settings.voteLifetime*voteRenewalTenths/10:
		b.advanceVote(voteExpired)
	}
}

// toggleStageOffset handles a stale vote: the rollout may be a stage ahead, so votes alternate between both.
func (b *Balancer) toggleStageOffset(vote *vote) {
	b.stageOffset = 1 - b.stageOffset
	b.delayVote(vote)
}

const voteDelay, voteJitterMS = 100 * time.Millisecond, 300

// delayVote delays the next vote at random, to keep all agents together within the platform's rate limit.
func (b *Balancer) delayVote(vote *vote) {
	vote.notBefore = b.now + voteDelay + time.Duration(b.randomBelow(voteJitterMS))*time.Millisecond
}
