package policy

import (
	"fmt"
	"time"

	"sagelever/internal/agent/api"
	"sagelever/internal/stats/decay"
)

// vote is the agent's vote on the build on trial.
type vote struct {
	state     voteState
	verdict   api.Verdict
	build     api.Build
	stage     api.Stage
	castAt    time.Duration
	notBefore time.Duration // earliest next vote
}

// castVote sends the vote to the platform and logs the counts that it is based on.
func (b *Balancer) castVote(cast *vote) {
	cast.castAt = b.now
	b.emit(api.CastVote{Build: cast.build, Stage: cast.stage, Verdict: cast.verdict})
	b.logVote(cast)
}

func (b *Balancer) logVote(cast *vote) {
	baseline, trial := b.withTally(baselineArm, b.arms[baselineArm]), b.withTally(trialArm, b.arms[trialArm])
	verdict := []string{"no vote", "vote on", "vote hold", "vote back"}[cast.verdict]
	if b.trialDegradesFleet {
		verdict += ", all harmed,"
	}
	b.emit(api.LogLine{Text: fmt.Sprintf("%s: build %d stage %d: %.3f of %.0f, %.3f of %.0f, Z %.1f", verdict,
		cast.build, cast.stage, baseline.mean(), baseline.outcomes, trial.mean(), trial.outcomes,
		statistic(baseline, trial, 0))})
}

// receiveRollout handles the state of the newest build, or the answer to a vote, which includes that state if the vote
// counted.
func (b *Balancer) receiveRollout(update api.RolloutUpdate) {
	input := voteRefused
	switch {
	case update.Result == api.VoteCounted:
		input = voteAccepted
	case update.Result == api.VoteStale && b.vote.verdict == api.VerdictAdvance:
		input = voteOutdated
	}
	if update.AnswersVote {
		b.advanceVote(input)
	}
	if input != voteAccepted {
		return
	}
	b.olderRolloutBinds = b.rolloutKnown && outdated(update, b.rollout)
	if b.olderRolloutBinds { // the exposure rule applies to the last state received, but decisions use the newest
		b.olderRollout = update
		return
	}
	b.rollout, b.rolloutKnown, b.stageOffset = update, true, 0
	b.dropOldKeys()
	b.switchTrialBuild()
	b.updateVote()
}

// outdated reports whether update is an earlier state than current. A higher build is newer, and a build's stage
// increases until the build is released or, at any time, rolled back.
func outdated(update, current api.RolloutUpdate) bool {
	if update.Build != current.Build {
		return update.Build < current.Build
	}
	if update.Phase != current.Phase {
		return phaseOrder(update.Phase) < phaseOrder(current.Phase)
	}
	return update.Stage < current.Stage
}

// trialIsOpen reports whether the arms compare the newest build and it is not rolled back.
func (b *Balancer) trialIsOpen() bool {
	return b.trialBuild == b.rollout.Build && !rollsBack(b.rollout.Phase)
}

// rollsBack reports whether a build in the phase is being rolled back or was withdrawn.
func rollsBack(phase api.Phase) bool {
	return phase == api.PhaseRollingBack || phase == api.PhaseWithdrawn
}

// phaseOrder returns the rank of a phase in a build's life cycle.
func phaseOrder(phase api.Phase) int {
	switch phase {
	case api.PhaseReleased:
		return 1
	case api.PhaseRollingBack:
		return 2
	case api.PhaseWithdrawn:
		return 3
	}
	return 0
}

// bindingRollouts returns the states that the exposure rule may apply to: the newest one, and an older one received
// after it.
func (b *Balancer) bindingRollouts() []api.RolloutUpdate {
	switch {
	case !b.rolloutKnown:
		return nil
	case b.olderRolloutBinds:
		return []api.RolloutUpdate{b.rollout, b.olderRollout}
	}
	return []api.RolloutUpdate{b.rollout}
}

// exposureCap reports whether the exposure rule applies to a build, and the lowest cap of all binding rollouts.
func (b *Balancer) exposureCap(build api.Build) (trial bool, limit float64) {
	limit = 1
	for _, rollout := range b.bindingRollouts() {
		switch {
		case build < rollout.Build || build == rollout.Build && rollout.Phase == api.PhaseReleased:
		case build > rollout.Build: // not announced yet: the first stage's cap
			trial, limit = true, min(limit, b.settings.firstCap())
		default:
			trial, limit = true, min(limit, rollout.Cap)
		}
	}
	return trial, limit
}

// oldestBuild returns the lowest build of the binding states.
func (b *Balancer) oldestBuild() api.Build {
	oldest := b.rollout.Build
	for _, rollout := range b.bindingRollouts() {
		oldest = min(oldest, rollout.Build)
	}
	return oldest
}

// newestBuild returns the highest build of the rollout and the listed backends.
func (b *Balancer) newestBuild() api.Build {
	newest := b.rollout.Build
	for _, backend := range b.ordered {
		if backend.listed {
			newest = max(newest, backend.Build)
		}
	}
	return newest
}

// switchTrialBuild resets the comparison if there is a newer build than the one compared so far.
func (b *Balancer) switchTrialBuild() {
	newest := b.newestBuild()
	if newest == b.trialBuild || !b.rolloutKnown {
		return
	}
	b.clearArm(baselineArm)
	b.clearArm(trialArm)
	for _, w := range b.workloads {
		w.tally = [2]tallySums{}
	}
	b.trialBuild, b.arms, b.trialQuota = newest, [2]arm{}, b.randomFloat()
	b.degradedSince, b.degradesFleetUntil, b.suspectUntil = b.now, 0, 0
	b.trialPaused = false
}

// stageStart returns the latest known start of a listed trial backend.
func (b *Balancer) stageStart() time.Duration {
	latest := time.Duration(0)
	for _, backend := range b.ordered {
		if backend.listed && backend.Build == b.trialBuild {
			latest = max(latest, backend.Started)
		}
	}
	return latest
}

// boundBuild returns the lowest build that may receive a key, 0 if any may.
func (b *Balancer) boundBuild(key api.AffinityKey) api.Build {
	build, bound := b.keyBuilds[key]
	for _, attempt := range b.unconfirmed[key] {
		if b.now-attempt.startedAt >= unconfirmedBindDelay {
			build, bound = max(build, attempt.backend.Build), true
		}
	}
	if !bound {
		return 0
	}
	for _, rollout := range b.bindingRollouts() {
		if build > rollout.Build || build == rollout.Build && !rollsBack(rollout.Phase) {
			return build
		}
	}
	return 0
}

// bindKey binds a key to the build that served it or, if unconfirmed responses bind, may have served it.
func (b *Balancer) bindKey(tx *transaction, attempt *attempt, outcome api.Outcome) {
	binds := outcome == api.Succeeded || b.bindsUnconfirmed() && mayHaveResponded(outcome)
	if tx.Key != "" && b.settings.bindKeys && binds && attempt.backend.Build >= b.oldestBuild() {
		b.keyBuilds[tx.Key] = max(b.keyBuilds[tx.Key], attempt.backend.Build)
	}
}

// dropOldKeys removes keys bound to builds before all binding ones, and the exposure of builds before the newest: no
// rule refers to them any more.
func (b *Balancer) dropOldKeys() {
	oldest := b.oldestBuild()
	for key, build := range b.keyBuilds {
		if build < oldest {
			delete(b.keyBuilds, key)
		}
	}
	for key := range b.exposure {
		if key.build < b.rollout.Build {
			delete(b.exposure, key)
		}
	}
}

// exposureKey identifies a counter of the exposure rule. workload is empty if all workloads share one counter.
type exposureKey struct {
	build    api.Build
	workload api.Workload
}

// exposureCounters returns the exposure rule's counters of attempts and of transactions for a build and a workload.
func (b *Balancer) exposureCounters(build api.Build, w *workload) (attempts, transactions *decay.SlidingWindow) {
	key := exposureKey{build: build}
	transactions = &b.accepted
	if b.settings.exposureScope == scopePerWorkload {
		key.workload = w.name
		transactions = &w.accepted
	}
	if b.exposure[key] == nil {
		b.exposure[key] = &decay.SlidingWindow{}
	}
	return b.exposure[key], transactions
}

// exposureWindow returns the window of the exposure rule and the two ticks by which it is extended or shortened.
func (b *Balancer) exposureWindow() (window, edge time.Duration) {
	return b.settings.trialWindow, 2 * b.settings.tick
}
