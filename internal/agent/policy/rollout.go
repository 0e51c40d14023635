package policy

import (
	"fmt"
	"time"

	"sagelever/internal/agent/api"
	"sagelever/internal/stats/decay"
)

// vote is this agent's vote on the build on trial.
type vote struct {
	state     voteState
	verdict   api.Verdict
	build     api.Build
	stage     api.Stage
	castAt    time.Duration
	notBefore time.Duration // no vote is cast before
}

// castVote sends the vote to the platform, with a line for the log on the counts behind it.
func (b *Balancer) castVote(cast *vote) {
	cast.castAt = b.now
	b.emit(api.CastVote{Build: cast.build, Stage: cast.stage, Verdict: cast.verdict})
	b.logVote(cast)
}

func (b *Balancer) logVote(cast *vote) {
	baseline, trial := b.withTally(baselineArm, b.arms[baselineArm]), b.withTally(trialArm, b.arms[trialArm])
	verdict := []string{"no vote", "vote on", "vote hold", "vote back"}[cast.verdict]
	if b.blamed {
		verdict += ", all harmed,"
	}
	b.emit(api.LogLine{Text: fmt.Sprintf("%s: build %d stage %d: %.3f of %.0f, %.3f of %.0f, Z %.1f", verdict,
		cast.build, cast.stage, baseline.mean(), baseline.outcomes, trial.mean(), trial.outcomes,
		statistic(baseline, trial, 0))})
}

// receiveRollout takes the state of the newest build, or the answer to a vote, which brings that state if it counted.
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
	b.rolloutLags = b.rolloutKnown && outdated(update, b.rollout)
	if b.rolloutLags { // the rules go by what was told last; decisions do not
		b.laggingRollout = update
		return
	}
	b.rollout, b.rolloutKnown, b.stageGuess = update, true, 0
	b.dropOldKeys()
	b.switchTrialBuild()
	b.updateVote()
}

// outdated reports whether one state of the newest build came before another. A higher build is a newer one, and a
// build's stages rise until it is released or, at any time, rolled back.
func outdated(update, current api.RolloutUpdate) bool {
	if update.Build != current.Build {
		return update.Build < current.Build
	}
	if update.Phase != current.Phase {
		return phaseOrder(update.Phase) < phaseOrder(current.Phase)
	}
	return update.Stage < current.Stage
}

// trialIsOpen reports whether the newest build is the one that the arms compare, and is not being taken back.
func (b *Balancer) trialIsOpen() bool {
	return b.trialBuild == b.rollout.Build && !rollsBack(b.rollout.Phase)
}

// rollsBack reports whether a build in a phase is being taken back, or was.
func rollsBack(phase api.Phase) bool {
	return phase == api.PhaseRollingBack || phase == api.PhaseWithdrawn
}

// phaseOrder returns the order in which a build goes through the phases.
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

// bindingRollouts are the states that the exposure rule may go by: the newest one, and an older one told after it.
func (b *Balancer) bindingRollouts() []api.RolloutUpdate {
	switch {
	case !b.rolloutKnown:
		return nil
	case b.rolloutLags:
		return []api.RolloutUpdate{b.rollout, b.laggingRollout}
	}
	return []api.RolloutUpdate{b.rollout}
}

// oldestBuild is the lowest build that a binding state names.
func (b *Balancer) oldestBuild() api.Build {
	oldest := b.rollout.Build
	for _, rollout := range b.bindingRollouts() {
		oldest = min(oldest, rollout.Build)
	}
	return oldest
}

// newestBuild is the highest build that the rollout or the list names.
func (b *Balancer) newestBuild() api.Build {
	newest := b.rollout.Build
	for _, backend := range b.ordered {
		if backend.listed {
			newest = max(newest, backend.Build)
		}
	}
	return newest
}

// switchTrialBuild starts the comparison anew if there is a later build than the one compared so far.
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
	b.harmSince, b.blamedUntil, b.doubtUntil = b.now, 0, 0
	b.trialPaused = false
}

// stageStart is when the last backend of the present stage started, as far as is known.
func (b *Balancer) stageStart() time.Duration {
	latest := time.Duration(0)
	for _, backend := range b.ordered {
		if backend.listed && backend.Build == b.trialBuild {
			latest = max(latest, backend.Started)
		}
	}
	return latest
}

// boundBuild is the lowest build that a key may go to, 0 if any may.
func (b *Balancer) boundBuild(key api.AffinityKey) api.Build {
	build, bound := b.keyBuilds[key]
	for _, attempt := range b.unconfirmed[key] {
		if b.now-attempt.startedAt >= unseenDelay {
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

// dropOldKeys forgets keys bound to builds before the newest one, and the exposure of these: no rule asks for
// them again.
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

// exposureKey names one count of attempts by the exposure rule; workload is empty if all of them count together.
type exposureKey struct {
	build    api.Build
	workload api.Workload
}

// exposureCounters returns the counts by which the exposure rule goes for a build and a workload: of attempts there,
// and of transactions.
func (b *Balancer) exposureCounters(build api.Build, w *workload) (attempts, transactions *decay.SlidingWindow) {
	key := exposureKey{build: build}
	transactions = &b.accepted
	if b.settings.trialCounts == countsPerLane {
		key.workload = w.name
		transactions = &w.accepted
	}
	if b.exposure[key] == nil {
		b.exposure[key] = &decay.SlidingWindow{}
	}
	return b.exposure[key], transactions
}

// exposureWindow is the window of the exposure rule, and the two ticks by which it is made longer or shorter.
func (b *Balancer) exposureWindow() (window, edge time.Duration) {
	return b.settings.trialWindow, 2 * b.settings.tick
}
