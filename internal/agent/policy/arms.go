package policy

import (
	"sort"
	"time"

	"sagelever/internal/stats/bestarm"
)

// armIndex names one of the two arms that are compared.
type armIndex int

const (
	baselineArm armIndex = iota // the builds before the one on trial
	trialArm                    // the build on trial
)

func (index armIndex) other() armIndex { return 1 - index }

// maxStages is how many stages the evidence tells apart; later ones count as the last of these.
const maxStages = 8

// arm counts decisions, outcomes and payoffs of the backends of one arm, or of one backend.
type arm struct {
	picked      float64 // first attempts
	outcomes    float64 // this agent's own, and those that others have reported
	payoff      float64 // sum over the outcomes, between 0 and 1 each
	faults      float64 // outcomes that were error responses
	ownOutcomes float64 // this agent's own
}

// add adds another arm's outcomes a number of times; -1 takes them off.
func (a *arm) add(other arm, times float64) {
	a.outcomes += times * other.outcomes
	a.payoff += times * other.payoff
	a.faults += times * other.faults
}

// mean is the mean payoff, a half if there are no outcomes.
func (a *arm) mean() float64 {
	if a.outcomes == 0 {
		return 0.5
	}
	return a.payoff / a.outcomes
}

// faultsOnly is the arm as it is when only faults count against it.
func (a *arm) faultsOnly() arm { return arm{outcomes: a.outcomes, payoff: a.outcomes - a.faults} }

// forStatistic is the arm as the statistic takes it.
func (a *arm) forStatistic() bestarm.Arm {
	return bestarm.Arm{Pulls: a.picked, Observations: a.outcomes, Reward: a.payoff}
}

// statistic is the likelihood ratio Z of the two arms, with extra added to the trial's mean.
func statistic(baseline, trial arm, extra float64) float64 {
	return bestarm.LikelihoodRatio(baseline.forStatistic(), trial.forStatistic(), extra)
}

func (b *Balancer) armOf(backend *backend) armIndex {
	if backend.Build == b.trialBuild {
		return trialArm
	}
	return baselineArm
}

// armHasWarmBackend reports whether an arm has a listed backend whose outcomes count.
func (b *Balancer) armHasWarmBackend(index armIndex) bool {
	for _, backend := range b.ordered {
		if backend.listed && b.armOf(backend) == index && b.now-backend.Started > minCountedAge {
			return true
		}
	}
	return false
}

// backendsByStage returns an arm's backends with outcomes by the stage they came with, those with the lowest mean
// payoff first.
func (b *Balancer) backendsByStage(index armIndex) (stages [maxStages][]*backend) {
	for _, backend := range b.ordered {
		if backend.counts.outcomes > 0 && b.armOf(backend) == index {
			stage := min(backend.stage, maxStages-1)
			stages[stage] = append(stages[stage], backend)
		}
	}
	for _, group := range stages {
		sort.SliceStable(group, func(i, j int) bool { return group[i].counts.mean() < group[j].counts.mean() })
	}
	return stages
}

// recordPick counts a first attempt at an arm.
func (b *Balancer) recordPick(index armIndex) {
	b.arms[index].picked++
	b.trialQuota -= float64(index)
}

// countOwn counts one outcome of this agent's own, and keeps it to be reported.
func (b *Balancer) countOwn(backend *backend, payoff float64, fault bool) {
	counts := arm{outcomes: 1, payoff: payoff, faults: indicator(fault)}
	b.arms[b.armOf(backend)].ownOutcomes++
	b.creditOutcome(backend, counts)
	if b.arms[trialArm].ownOutcomes > 0 {
		backend.unreported.add(counts, 1)
	}
}

// creditOutcome adds outcomes to a backend and its arm. Both arms start anew with the trial's first outcome.
func (b *Balancer) creditOutcome(backend *backend, counts arm) {
	index := b.armOf(backend)
	if index == trialArm && b.arms[trialArm].outcomes == 0 {
		b.clearArm(baselineArm)
	}
	b.arms[index].add(counts, 1)
	backend.counts.add(counts, 1)
}

// discardCounts takes a backend's outcomes out of its arm.
func (b *Balancer) discardCounts(backend *backend) {
	counts := backend.counts
	b.creditOutcome(backend, arm{outcomes: -counts.outcomes, payoff: -counts.payoff, faults: -counts.faults})
	backend.counts, backend.unreported = arm{}, arm{}
}

// clearArm drops the outcomes of one arm and of its backends.
func (b *Balancer) clearArm(index armIndex) {
	for _, backend := range b.ordered {
		if b.armOf(backend) == index {
			backend.counts, backend.unreported = arm{}, arm{}
		}
	}
	b.arms[index] = arm{picked: b.arms[index].picked}
}

// notePayoff takes up a payoff over both arms, lately and, if so, before the trial.
func (b *Balancer) notePayoff(payoff float64, beforeTrial bool) {
	b.recentPayoff.Add(b.now, recentHalfLife, payoff)
	if beforeTrial {
		b.baselinePayoff.Add(b.now, baselineHalfLife, payoff)
	}
}

// noteThroughput counts responses and, once a span is over, takes up their rate, lately and before the trial.
func (b *Balancer) noteThroughput(responses float64, span time.Duration) {
	if elapsed := b.now - b.throughputSince; elapsed > span {
		rate := b.throughputCount / elapsed.Seconds()
		b.throughput.Add(b.now, throughputHalfLife, rate)
		if b.arms[trialArm].outcomes == 0 && !b.armHasWarmBackend(trialArm) {
			b.baselineThroughput.Add(b.now, baselineHalfLife, rate)
		}
		b.throughputSince, b.throughputCount = b.now, 0
	}
	b.throughputCount += responses
}

// judgeCount is how many agents, from number 0 on, hear all counts and judge: every one where shares of all have to
// make a vote count, else six, of whom some are alive when half of all agents die.
func (b *Balancer) judgeCount() int {
	const enough = 6
	agents := int(b.settings.agents)
	shared := b.settings.mayMessage || b.settings.tallyInterval > 0
	if b.settings.trialControl == trialSingle && shared {
		return min(agents, enough)
	}
	return agents
}
