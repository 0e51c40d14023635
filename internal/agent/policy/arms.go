package policy

import (
	"sort"
	"time"

	"sagelever/internal/agent/api"
	"sagelever/internal/stats/bestarm"
)

// armIndex identifies one of the two arms that are compared.
type armIndex int

const (
	baselineArm armIndex = iota // the builds before the one on trial
	trialArm                    // the build on trial
)

func (index armIndex) other() armIndex { return 1 - index }

// maxStages is the number of stages with separate evidence; later stages count as the last of these.
const maxStages = 8

// arm holds the counts of one arm, or of one backend.
type arm struct {
	pulls       float64 // first attempts
	outcomes    float64 // the agent's own and those reported by peers
	payoff      float64 // sum over the outcomes, between 0 and 1 each
	faults      float64 // outcomes that were error responses
	ownOutcomes float64 // the agent's own
}

// add adds another arm's outcomes multiplied by times; -1 subtracts them.
func (a *arm) add(other arm, times float64) {
	a.outcomes += times * other.outcomes
	a.payoff += times * other.payoff
	a.faults += times * other.faults
}

// mean returns the mean payoff, a half if there are no outcomes.
func (a *arm) mean() float64 {
	if a.outcomes == 0 {
		return 0.5
	}
	return a.payoff / a.outcomes
}

// faultsOnly returns the arm with full payoff for every outcome except faults.
func (a *arm) faultsOnly() arm { return arm{outcomes: a.outcomes, payoff: a.outcomes - a.faults} }

// forStatistic converts the arm to the type of package bestarm, which calls a payoff a reward.
func (a *arm) forStatistic() bestarm.Arm {
	return bestarm.Arm{Pulls: a.pulls, Observations: a.outcomes, Reward: a.payoff}
}

// statistic returns the likelihood ratio Z of the two arms, with extra added to the trial's mean.
func statistic(baseline, trial arm, extra float64) float64 {
	return bestarm.LikelihoodRatio(baseline.forStatistic(), trial.forStatistic(), extra)
}

// behind reports whether the trial's mean payoff is more than gap below the baseline's, with Z above a threshold
// when extra is added to the trial's mean.
func behind(baseline, trial arm, gap, extra, threshold float64) bool {
	return trial.mean()+gap < baseline.mean() && statistic(baseline, trial, extra) > threshold
}

func (b *Balancer) armOf(backend *backend) armIndex {
	if backend.Build == b.trialBuild {
		return trialArm
	}
	return baselineArm
}

// armHasWarmBackend reports whether an arm has a listed backend that is old enough for its outcomes to count.
func (b *Balancer) armHasWarmBackend(index armIndex) bool {
	for _, backend := range b.ordered {
		if backend.listed && b.armOf(backend) == index && b.now-backend.Started > minCountedAge {
			return true
		}
	}
	return false
}

// backendsByStage returns an arm's backends that have outcomes, grouped by the stage in which they were first listed
// and sorted by ascending mean payoff.
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

// recordPull counts a first attempt at an arm and deducts it from the trial's quota.
func (b *Balancer) recordPull(index armIndex) {
	b.arms[index].pulls++
	b.trialQuota -= float64(index)
}

// countOwnOutcome counts one outcome of the agent's own and queues it for the next report.
func (b *Balancer) countOwnOutcome(backend *backend, payoff float64, fault bool) {
	counts := arm{outcomes: 1, payoff: payoff, faults: indicator(fault)}
	b.arms[b.armOf(backend)].ownOutcomes++
	b.addOutcomes(backend, counts)
	if b.arms[trialArm].ownOutcomes > 0 {
		backend.unreported.add(counts, 1)
	}
}

// addOutcomes adds outcomes to a backend and its arm. The trial's first outcome resets the baseline's counts.
func (b *Balancer) addOutcomes(backend *backend, counts arm) {
	index := b.armOf(backend)
	if index == trialArm && b.arms[trialArm].outcomes == 0 {
		b.clearArm(baselineArm)
	}
	b.arms[index].add(counts, 1)
	backend.counts.add(counts, 1)
}

// applyComplaint subtracts the payoff of a response that a client found wrong, and of unreported wrong ones.
func (b *Balancer) applyComplaint(event api.Complaint) {
	if backend := b.backends[event.Backend]; backend != nil && b.now-event.Age >= backend.Started {
		b.addOutcomes(backend, arm{payoff: -min(1/b.settings.complaintShare, backend.counts.payoff)})
	}
}

// discardCounts removes a backend's outcomes from its arm.
func (b *Balancer) discardCounts(backend *backend) {
	counts := backend.counts
	b.addOutcomes(backend, arm{outcomes: -counts.outcomes, payoff: -counts.payoff, faults: -counts.faults})
	backend.counts, backend.unreported = arm{}, arm{}
}

// clearArm resets the outcomes of one arm and of its backends.
func (b *Balancer) clearArm(index armIndex) {
	for _, backend := range b.ordered {
		if b.armOf(backend) == index {
			backend.counts, backend.unreported = arm{}, arm{}
		}
	}
	b.arms[index] = arm{pulls: b.arms[index].pulls}
}

// recordPayoff adds a payoff to the recent mean of both arms and, if it precedes the trial, to the baseline's mean.
func (b *Balancer) recordPayoff(payoff float64, beforeTrial bool) {
	b.recentPayoff.Add(b.now, recentHalfLife, payoff)
	if beforeTrial {
		b.baselinePayoff.Add(b.now, baselineHalfLife, payoff)
	}
}

// recordThroughput counts responses. At the end of a span it adds their rate to the recent mean and, before the trial,
// to the baseline's mean.
func (b *Balancer) recordThroughput(responses float64, span time.Duration) {
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

// voterCount returns how many agents, from number 0 on, receive all counts and vote. All agents vote if a decision
// needs a share of all votes. Otherwise six do, of which some survive if half of all agents fail.
func (b *Balancer) voterCount() int {
	const voters = 6
	agents := int(b.settings.agents)
	countsShared := b.settings.mayMessage || b.settings.tallyInterval > 0
	if b.settings.trialControl == controlBySingleVote && countsShared {
		return min(agents, voters)
	}
	return agents
}
