package policy

import (
	"time"

	"sagelever/internal/agent/api"
	"sagelever/internal/stats/bestarm"
)

// exposureCap reports whether the exposure rule holds for a build, and its cap, by all rollouts that bind.
func (b *Balancer) exposureCap(build api.Build) (trial bool, limit float64) {
	limit = 1
	for _, rollout := range b.bindingRollouts() {
		switch {
		case build < rollout.Build || build == rollout.Build && rollout.Phase == api.PhaseReleased:
		case build > rollout.Build: // not announced yet: as in the first stage
			trial, limit = true, min(limit, b.settings.firstCap())
		default:
			trial, limit = true, min(limit, rollout.Cap)
		}
	}
	return trial, limit
}

// exposureAllows is the exact check of the exposure rule for one more attempt. The window is two ticks longer
// for attempts and shorter for transactions, so that its edges never count against the agent.
func (b *Balancer) exposureAllows(tx *transaction, backend *backend) bool {
	trial, limit := b.exposureCap(backend.Build)
	if !trial {
		return true
	}
	guarded := b.settings.trialGuarded
	early := guarded > 0 && (backend.Build > b.rollout.Build || float64(b.rollout.Stage) < guarded)
	if limit == 0 || early && tx.workload.effect != effectPure {
		return false
	}
	attempts, transactions := b.exposureCounters(backend.Build, tx.workload)
	window, edge := b.exposureWindow()
	used, base := attempts.Count(b.now, window+edge), transactions.Count(b.now, window-edge)
	return float64(used+1) <= b.settings.trialAllowance+limit*float64(base)
}

const unseenDelay = 100 * time.Millisecond // an unseen answer counts 150 ms after it was written

// countsUnseen reports whether a key is bound by an answer that may not have reached the agent: on networks,
// not in the simulator. It confines hedges to the trial's few backends, and good builds look slow.
func (b *Balancer) countsUnseen() bool { return b.settings.trialOneWay && b.settings.trialUnseen }

const demandHalfLife = 5 * time.Second // long enough that a burst does not pass for capacity

// sparse reports whether this agent uses each backend less than once a second: too little to tell its load.
func (b *Balancer) sparse() bool { return b.attemptInterval() > time.Second }

// loose reports whether the allowance adds a fifth or more to the first cap, or the agent is one of many,
// which would all spend their caps at the trial's few backends the moment these are listed.
func (b *Balancer) loose() bool {
	allowance := b.settings.trialAllowance
	if b.settings.trialCounts == countsPerLane {
		allowance *= float64(len(b.workloads))
	}
	limit := b.settings.firstCap() * b.rate(&b.demand) * b.settings.trialWindow.Seconds()
	return b.sparse() && !b.judgesByTally() || allowance > 0.2*limit
}

// judgesByTally reports whether the platform's tallies are judged, as the agent's own outcomes are too few.
func (b *Balancer) judgesByTally() bool { return b.sparse() && b.settings.tallyInterval > 0 }

// weighOutcome adds an outcome to its arm: 1 if it succeeded, a half if it was slow, 0 if it failed.
func (b *Balancer) weighOutcome(tx *transaction, attempt *attempt, event api.AttemptEnded) {
	arm, succeeded := b.armOf(attempt.backend), event.Outcome == api.Succeeded
	latency, slow := b.judgeLatency(tx, attempt, event)
	if misleading(attempt, event.Outcome, slow) {
		return
	}
	beforeTrial := arm == baselineArm && b.arms[trialArm].outcomes == 0
	if succeeded && beforeTrial {
		tx.workload.latencyOn(attempt.backend.MachineType).Add(b.now, baselineHalfLife, latency)
	}
	if succeeded && !b.judgesByTally() {
		b.noteThroughput(1, 200*time.Millisecond)
	}
	if event.Outcome != api.ErrorResponse { // quick errors everywhere, as of useless requests, slow no backend
		b.notePayoff(indicator(succeeded && !slow), beforeTrial)
	}
	// Arms are compared over the same time: else a burst would count against the one with little traffic then.
	compared := b.armHasWarmBackend(arm.other())
	if unanswered(event.Outcome) && !compared {
		return
	}
	payoff := indicator(succeeded)
	if slow && compared {
		payoff /= 2
	}
	b.countOwn(attempt.backend, payoff, event.Outcome == api.ErrorResponse)
}

// judgeLatency returns an attempt's latency, and whether that is four times what the baseline took before the
// trial for the workload and machine type, or over the goal if that is unknown. One in fifty is as slow.
func (b *Balancer) judgeLatency(tx *transaction, attempt *attempt, event api.AttemptEnded) (float64, bool) {
	target, baseline := tx.workload.goal.Seconds(), tx.workload.latencyOn(attempt.backend.MachineType)
	latency, multiple := event.Elapsed.Seconds(), 4.0
	if reported := event.Load["latency_ms"]; reported > 0 && event.Outcome == api.Succeeded {
		// The backend's own mean is better: without queueing, twice the usual is neither chance nor a burst.
		latency, multiple = reported/1000, 2
	}
	if baseline.Weight(b.now, baselineHalfLife) > 0.1 {
		target = multiple * b.mean(baseline, baselineHalfLife)
	}
	warm := b.capacityShare(attempt.backend) >= 1
	return latency, latency > target && (warm || event.Outcome != api.Succeeded)
}

// misleading reports whether an outcome says nothing of the build, but of the backend, the request or the
// agent.
func misleading(attempt *attempt, outcome api.Outcome, slow bool) bool {
	if attempt.backend.failing() || attempt.warmingUp || !mayHaveRun(outcome) ||
		outcome == api.MalformedResponse || outcome == api.InvalidRequest || outcome == api.Canceled && !slow {
		return true
	}
	return unanswered(outcome) && attempt.backend.lastAnswer < attempt.startedAt // silent, whatever its build
}

// addTally takes the platform's counts: payoff and latency before the trial, then, while both arms have warm
// backends, the arms' counts. Slow is twice the earlier latency, as up to twice may be load.
func (b *Balancer) addTally(event api.ReleaseTally) {
	workload, arm := b.workloadOf(event.Workload), baselineArm
	if event.Build == b.trialBuild {
		arm = trialArm
	}
	succeeded, latency := float64(event.Attempts-event.Failed), event.MeanLatency.Seconds()
	if event.Attempts <= 0 || succeeded < 0 || !b.judgesByTally() {
		return
	}
	payoff := 1.0
	if usual := b.mean(&workload.baselineLatency, baselineHalfLife); usual > 0 {
		payoff = min(1, 2*usual/max(latency, usual))
	}
	b.notePayoff(payoff, arm == baselineArm && !b.armHasWarmBackend(trialArm))
	b.noteThroughput(succeeded, b.settings.tallyInterval/2)
	begin := b.now - event.Age - b.settings.tallyInterval
	switch {
	case arm == baselineArm && !b.armHasWarmBackend(trialArm):
		workload.baselineLatency.Add(b.now, baselineHalfLife, latency)
	case b.armHasWarmBackend(baselineArm) && b.armHasWarmBackend(trialArm) &&
		begin > b.stageStart()+minCountedAge:
		workload.tally[arm].add(float64(event.Attempts), succeeded, latency)
	}
}

// withTally adds the platform's counts to an arm: half a payoff if a workload takes twice the other's time.
func (b *Balancer) withTally(index armIndex, sum arm) arm {
	for _, w := range b.workloads {
		own, other := w.tally[index], w.tally[index.other()]
		sum.outcomes, sum.payoff = sum.outcomes+own.attempts, sum.payoff+own.succeeded
		if own.latencySum*other.succeeded > 2*other.latencySum*own.succeeded {
			sum.payoff -= own.succeeded / 2
		}
	}
	return sum
}

// applyComplaint takes back the payoff of an answer that a client found wrong, and of unreported ones.
func (b *Balancer) applyComplaint(event api.Complaint) {
	if backend := b.backends[event.Backend]; backend != nil && b.now-event.Age >= backend.Started {
		b.creditOutcome(backend, arm{payoff: -min(1/b.settings.complaintShare, backend.counts.payoff)})
	}
}

// chooseArm is D-Tracking of the optimal proportion (Garivier and Kaufmann, 2016).
func (b *Balancer) chooseArm() armIndex {
	if bestarm.PullSecond(b.arms[baselineArm].forStatistic(), b.arms[trialArm].forStatistic()) {
		return trialArm
	}
	return baselineArm
}

// A burst lasts much less than the first, and longer than the others.
const baselineHalfLife, throughputHalfLife, recentHalfLife = 20 * time.Second, 2 * time.Second, time.Second

// harmed finds builds that slow all backends alike, which Z never blames: payoffs of both arms are 0.15 below
// those before the trial, without a burst's throughput. The trial then gets nothing from second two to six:
// what goes away meanwhile is the build's harm, what stays is the fleet's, unless it outlasts ten seconds.
func (b *Balancer) harmed() (now, blamed bool) {
	gap := b.mean(&b.baselinePayoff, baselineHalfLife) - b.mean(&b.recentPayoff, recentHalfLife)
	busier := b.mean(&b.throughput, throughputHalfLife) > 1.1*b.mean(&b.baselineThroughput, baselineHalfLife)
	now = gap > 0.15 && !busier && b.recentPayoff.Weight(b.now, recentHalfLife) > 6 &&
		b.baselinePayoff.Weight(b.now, baselineHalfLife) > 1
	if b.trialPaused && gap < 0.08 {
		b.blamedUntil = b.now + 5*time.Second
	}
	if !now {
		b.harmSince = b.now
	}
	since := b.now - b.harmSince
	b.trialPaused = since > 2*time.Second && since < 6*time.Second
	b.blamed = since > 10*time.Second || b.now < b.blamedUntil
	return now, b.blamed
}

// evidence is an arm's counts, in all and by stage, without the worst quarter of each stage's backends: a bad
// build hurts all, unhealthy backends are few. A build that hurts a quarter at most would pass.
func (b *Balancer) evidence(index armIndex) (total arm, stages [maxStages]arm) {
	total = b.arms[index]
	for stage, group := range b.backendsByStage(index) {
		for rank, backend := range group {
			if len(group) > 1 && 4*rank < len(group) {
				total.add(backend.counts, -1)
			} else {
				stages[stage].add(backend.counts, 1)
			}
		}
	}
	return b.withTally(index, total), stages
}

// behind reports whether the trial lags by more than a gap, with Z (extra added to its mean) above a
// threshold.
func behind(baseline, trial arm, gap, extra, threshold float64) bool {
	return trial.mean()+gap < baseline.mean() && statistic(baseline, trial, extra) > threshold
}

// trialIsWorse reports whether the trial is behind as a whole or in one stage: a build may turn bad with age.
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

// faultAllowance is the share of faults that may be the machines' own, where the baseline cannot show it.
func (b *Balancer) faultAllowance() float64 {
	if b.armHasWarmBackend(baselineArm) {
		return 0
	}
	return 0.01
}

const margin = 0.03                                 // of payoff that the trial may be behind
const minOutcomes, settleTime = 10, 3 * time.Second // to vote on; of a stage, and after a doubt, to advance

// verdict judges the trial by the threshold log(2t·n/δ), δ 0.1: a wrong vote costs ten seconds of it.
func (b *Balancer) verdict() api.Verdict {
	baseline, trial := b.withTally(baselineArm, b.arms[baselineArm]), b.withTally(trialArm, b.arms[trialArm])
	decisions := max(baseline.picked+trial.picked, baseline.outcomes+trial.outcomes, 1)
	phase, threshold := b.rollout.Phase, bestarm.StoppingThreshold(decisions, b.settings.agents, 0.1)
	if !b.trialIsOpen() {
		return api.VerdictNone
	}
	harmed, blamed := b.harmed()
	if int(b.peerNumber()) >= b.judgeCount() {
		return api.VerdictNone
	}
	enough := b.knowsEnough(trial)
	if blamed || enough && b.trialIsWorse(margin, threshold) {
		return api.VerdictRollBack
	}
	doubt := b.doubts(baseline, trial, threshold)
	if doubt && enough { // a doubt that comes and goes would let one moment between decide
		b.doubtUntil = b.now + settleTime
	}
	clocked := b.settings.trialControl == trialClocked
	switch {
	case phase == api.PhaseReleased, clocked && !doubt:
		return api.VerdictNone
	case clocked:
		return api.VerdictHold
	case !b.small() && enough && !harmed && b.mayAdvance(baseline, trial, threshold):
		return api.VerdictAdvance
	}
	return api.VerdictNone
}

// knowsEnough asks for ten trial outcomes of the agent's own or, if it is sparse, for forty of all agents.
func (b *Balancer) knowsEnough(trial arm) bool {
	return trial.ownOutcomes >= minOutcomes || b.sparse() && trial.outcomes >= 4*minOutcomes
}

// mayAdvance reports whether the trial lasted long enough or proved better. Later stages need more outcomes.
func (b *Balancer) mayAdvance(baseline, trial arm, threshold float64) bool {
	stages := float64(b.rollout.Stage + 1)
	if b.now < b.doubtUntil || trial.outcomes < minOutcomes*stages*stages {
		return false
	}
	proved := trial.mean() > baseline.mean() && statistic(baseline, trial, 0) > threshold
	return proved || b.now > b.stageStart()+settleTime
}

// doubts reports whether the trial is behind by enough to vote against advancing: an eighth of the threshold,
// as one vote moves a stage and the last leaves nothing to compare with. If a clock moves stages, votes hold.
func (b *Balancer) doubts(baseline, trial arm, threshold float64) bool {
	bar, gap := threshold/8, margin/2
	if b.settings.trialControl == trialClocked {
		bar, gap = threshold/2, 0
	}
	return behind(baseline, trial, gap, 0, bar) ||
		behind(baseline.faultsOnly(), trial.faultsOnly(), b.faultAllowance(), 0, bar)
}

// small reports whether the platform's tallies show other agents to be busier, and so to judge better.
func (b *Balancer) small() bool {
	counted := b.settings.tallySample * float64(b.listedCount) * b.settings.agents
	return b.judgesByTally() && b.mean(&b.throughput, throughputHalfLife) > counted
}

// updateVote keeps the agent's vote in step with its verdict: cast, changed, renewed and withdrawn.
func (b *Balancer) updateVote() {
	verdict, current, age := b.verdict(), &b.vote, b.now-b.vote.castAt
	stage := min(b.rollout.Stage+b.stageGuess, api.Stage(len(b.settings.trialCaps)-1))
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
	case current.state == voteCounted && verdict != api.VerdictNone && age > b.settings.voteLifetime*6/10:
		b.advanceVote(voteExpired)
	}
}

// guessStage follows a vote that came too late: the next is for the stage after the one that the agent knows.
func (b *Balancer) guessStage(vote *vote) {
	b.stageGuess = 1 - b.stageGuess
	b.delayVote(vote)
}

// delayVote spreads the next vote, so that all agents stay within the calls that the platform takes.
func (b *Balancer) delayVote(vote *vote) {
	vote.notBefore = b.now + 100*time.Millisecond + time.Duration(b.randomBelow(300))*time.Millisecond
}
