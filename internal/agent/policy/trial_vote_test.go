package policy

import (
	"slices"
	"testing"
	"time"

	"sagelever/internal/agent/api"
)

// A vote is sent, retried after a refusal, renewed before it expires, and withdrawn when the verdict changes.
func TestVoteLifecycle(t *testing.T) {
	b := newTestBalancer(0.5, map[string]any{"vote.life": 4 * time.Second, "vote.wait": time.Second})
	b.arms[0], b.arms[1] = arm{pulls: 100, outcomes: 100, payoff: 96}, arm{pulls: 100, outcomes: 100, payoff: 60,
		ownOutcomes: 50}
	step := func(name string, wait time.Duration, votes int) {
		t.Helper()
		b.now, b.actions = b.now+wait, nil
		if b.updateVote(); len(actionsOf[api.CastVote](b)) != votes {
			t.Errorf("%s: votes %v, want %d", name, actionsOf[api.CastVote](b), votes)
		}
	}
	step("first", 0, 1)
	step("not answered yet", 500*time.Millisecond, 0)
	b.receiveRollout(api.RolloutUpdate{AnswersVote: true, Result: api.VoteRateLimited})
	step("refused, within the delay", 50*time.Millisecond, 0)
	step("refused, after the delay", time.Second, 1)
	answer := b.rollout
	answer.AnswersVote = true
	b.receiveRollout(answer)
	step("counted", time.Second, 0)
	step("renewed before it expires", 2*time.Second, 1)
	b.receiveRollout(answer)
	// behind by more than half the threshold: neither advance nor roll back
	b.arms[1] = arm{pulls: 100, outcomes: 100, payoff: 90, ownOutcomes: 50}
	step("withdrawn", 0, 1)
}

// A stale vote indicates that the agent's stage is outdated. Until a rollout update arrives, votes alternate between
// that stage and the next one, but not beyond the last stage.
func TestStaleVoteTriesNextStage(t *testing.T) {
	b := newTestBalancer(0.5, map[string]any{"vote.life": 4 * time.Second, "vote.wait": time.Second})
	b.arms[0], b.arms[1] = arm{pulls: 100, outcomes: 100, payoff: 96}, arm{pulls: 100, outcomes: 100, payoff: 95,
		ownOutcomes: 50}
	next := func(stage api.Stage, answer api.RolloutUpdate) {
		t.Helper()
		b.now, b.actions = b.now+time.Second/2, nil
		if b.updateVote(); !slices.Equal(actionsOf[api.CastVote](b), []api.CastVote{{Build: 2, Stage: stage,
			Verdict: api.VerdictAdvance}}) {
			t.Errorf("%v, want a vote to advance at stage %d", actionsOf[api.CastVote](b), stage)
		}
		answer.AnswersVote = true
		b.receiveRollout(answer)
	}
	stale := api.RolloutUpdate{Result: api.VoteStale}
	next(0, stale)
	next(1, stale)
	next(0, stale)
	next(1, api.RolloutUpdate{Build: 2, Stage: 1, Cap: 0.5})
	b.now += 3 * time.Second
	next(1, stale)
	next(1, stale) // the last stage
}

// Of many agents only a few vote. A sparse agent's verdict is based on the platform's tallies. Invalid tallies are
// dropped.
func TestTallies(t *testing.T) {
	settings := map[string]any{"agents": 300.0, "trial.control": "single", "tally.every": time.Second}
	for number, want := range map[float64]api.Verdict{0: api.VerdictRollBack, 200: api.VerdictNone} {
		settings["number"] = number
		b := newTestBalancer(1, settings)
		for id := api.BackendID(1); id <= 20; id++ {
			b.addBackend(id, 1+api.Build(id)/19)
		}
		for range 20 {
			b.now += time.Second
			b.addTally(api.ReleaseTally{Build: 1, Workload: "pure", Attempts: 100, Failed: 2,
				MeanLatency: 50 * time.Millisecond})
			b.addTally(api.ReleaseTally{Build: 2, Workload: "pure", Attempts: 10, Failed: 4, MeanLatency: 50 * time.Millisecond})
			b.addTally(api.ReleaseTally{Build: 2, Workload: "pure", Attempts: 1, Failed: 9})
		}
		if got := b.verdict(); got != want || b.withTally(1, arm{}).outcomes != 200 {
			t.Errorf("agent %v: verdict %v, want %v; trial counts %v", number, got, want, b.withTally(1, arm{}))
		}
	}
}

// An outdated rollout state, from the answer to a vote or an older stream, does not replace a newer one.
func TestOutdatedRollout(t *testing.T) {
	b := newTestBalancer(0.5, nil)
	for _, x := range []struct {
		update   api.RolloutUpdate
		outdated bool
	}{{api.RolloutUpdate{Build: 2, Stage: 1}, false}, {api.RolloutUpdate{Build: 2}, true}, {api.RolloutUpdate{Build: 1,
		Phase: api.PhaseReleased}, true},
		{api.RolloutUpdate{Build: 2, Stage: 2, Phase: api.PhaseReleased}, false}, {api.RolloutUpdate{Build: 2, Stage: 2},
			true},
		{api.RolloutUpdate{Build: 2, Stage: 2, Phase: api.PhaseRollingBack}, false}, {api.RolloutUpdate{Build: 2, Stage: 2,
			Phase: api.PhaseReleased}, true},
		{api.RolloutUpdate{Build: 2, Stage: 2, Phase: api.PhaseWithdrawn}, false}, {api.RolloutUpdate{Build: 3}, false}} {
		if b.receiveRollout(x.update); (b.rollout == x.update) == x.outdated {
			t.Errorf("after %+v: %+v", x.update, b.rollout)
		}
	}
}
