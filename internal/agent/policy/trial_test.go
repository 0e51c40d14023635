package policy

import (
	"math"
	"slices"
	"testing"
	"time"

	"sagelever/internal/agent/api"
	"sagelever/internal/stats/bestarm"
)

func assertNear(t *testing.T, what string, got, want, by float64) {
	t.Helper()
	if math.Abs(got-want) > by {
		t.Errorf("%s: got %v, want %v", what, got, want)
	}
}

// For means p and 1-p the optimum is a half by symmetry; otherwise α* must satisfy its own equation.
func TestOptimalProportion(t *testing.T) {
	assertNear(t, "symmetric", bestarm.OptimalProportion(0.9, 0.1), 0.5, 1e-6)
	assertNear(t, "equal", bestarm.OptimalProportion(0.7, 0.7), 0.5, 1e-9)
	for _, m := range [][2]float64{{0.99, 0.6}, {0.2, 0.9}, {0, 0.5}, {1, 0.5}, {1, 0}} {
		a := bestarm.OptimalProportion(m[0], m[1])
		mid := a*m[0] + (1-a)*m[1]
		assertNear(t, "equation", bestarm.KLDivergence(m[0], mid), bestarm.KLDivergence(m[1], mid), 1e-4)
	}
}

// Z in an independent form: the log-likelihood of the arms apart less that of the arms together.
func TestStatistic(t *testing.T) {
	ll := func(s, n float64) float64 { p := s / n; return s*math.Log(p) + (n-s)*math.Log(1-p) }
	got := statistic(arm{outcomes: 80, payoff: 76}, arm{outcomes: 20, payoff: 12}, 0)
	assertNear(t, "Z", got, ll(76, 80)+ll(12, 20)-ll(88, 100), 1e-6)
	assertNear(t, "no outcomes", statistic(arm{outcomes: 80, payoff: 76}, arm{}, 0), 0, 0)
}

func TestTracking(t *testing.T) {
	b := newTestBalancer(0.5, nil)
	b.arms[0], b.arms[1] = arm{picked: 100, outcomes: 100, payoff: 99}, arm{picked: 8, outcomes: 8, payoff: 8}
	if b.chooseArm() != 1 { // 8 < √108-1
		t.Error("an arm below √t-1 is not forced")
	}
	b.arms[0], b.arms[1] = arm{picked: 30, outcomes: 30, payoff: 15}, arm{picked: 70, outcomes: 70, payoff: 35}
	if b.chooseArm() != 0 { // w* is a half for equal means: the earlier arm is 20 behind
		t.Error("the arm furthest behind its share does not go")
	}
}

// The threshold is log(2·200·3/0.1) = 9.39. Z of 96/100 against 60/100, less the margin, is far above it, and of 96/100
// against 88/100 below.
func TestVerdicts(t *testing.T) {
	b := newTestBalancer(0.5, map[string]any{"trial.control": "single"})
	set := func(s1 float64, phase api.Phase) {
		b.rollout.Phase = phase
		b.arms[0], b.arms[1] = arm{picked: 100, outcomes: 100, payoff: 96}, arm{picked: 100, outcomes: 100, payoff: s1,
			ownOutcomes: 50}
	}
	check := func(what string, want api.Verdict) {
		t.Helper()
		if got := b.verdict(); got != want {
			t.Errorf("%s: verdict %v, want %v", what, got, want)
		}
	}
	set(60, api.PhaseTrial)
	check("far behind", api.VerdictRollBack)
	set(60, api.PhaseReleased)
	check("far behind, released", api.VerdictRollBack)
	set(60, api.PhaseRollingBack)
	check("rolling back already", api.VerdictNone)
	set(95, api.PhaseTrial)
	check("level, stage long started", api.VerdictAdvance)
	set(90, api.PhaseTrial) // Z 1.4: above an eighth of the threshold, below a quarter
	check("a doubt", api.VerdictNone)
	set(95, api.PhaseTrial)
	check("a doubt just gone", api.VerdictNone)
	b.now += 5 * time.Second
	check("a doubt long gone", api.VerdictAdvance)
	b.addBackend(9, 2).Started = b.now - 2*time.Second
	check("level, backends just started", api.VerdictNone)
	b.arms[1] = arm{picked: 9, outcomes: 9, payoff: 9, ownOutcomes: 9}
	b.now += 5 * time.Second
	check("too few trial outcomes", api.VerdictNone)
	b.arms[1] = arm{picked: 39, outcomes: 39, payoff: 38, ownOutcomes: 39}
	check("enough for the first stage", api.VerdictAdvance)
	b.rollout.Stage = 1
	check("too few for the second stage", api.VerdictNone)
	b.rollout.Stage = 0
	b.settings.trialControl = "clocked"
	set(83, api.PhaseTrial) // Z 9.3: above half the threshold, with the margin 6.0: below the whole
	check("clock, behind", api.VerdictHold)
	set(96, api.PhaseTrial)
	check("clock, level", api.VerdictNone)
	b.arms = [2]arm{}
	check("restarted, no counts", api.VerdictNone)
	b.arms = [2]arm{{picked: 99, outcomes: 99, payoff: 95}, {picked: 39, outcomes: 39, payoff: 24}}
	check("restarted, some counts received", api.VerdictHold)
	b.arms[1].ownOutcomes = 10
	check("restarted, counts received", api.VerdictRollBack)
}

// A build that slows all backends alike leaves Z at nothing. The payoffs before the trial show it, and whether the harm
// goes away while the trial gets nothing.
func TestBuildThatSlowsAllBackends(t *testing.T) {
	b := newTestBalancer(0.5, nil)
	b.arms[0], b.arms[1] = arm{picked: 90, outcomes: 90, payoff: 60}, arm{picked: 30, outcomes: 30, payoff: 20}
	step := func(what string, payoff float64, wait time.Duration, paused bool, want api.Verdict) {
		t.Helper()
		b.now += wait
		for i := 0; i < 200; i++ {
			b.recentPayoff.Add(b.now, recentHalfLife, payoff)
		}
		if v := b.verdict(); v != want || b.trialPaused != paused {
			t.Errorf("%s: verdict %v, trial paused %v", what, v, b.trialPaused)
		}
	}
	for i := 0; i < 200; i++ {
		b.baselinePayoff.Add(b.now, baselineHalfLife, 1)
		b.baselineThroughput.Add(b.now, baselineHalfLife, 100)
	}
	step("harm begins", 0.6, 0, false, api.VerdictNone)
	step("a second later", 0.6, time.Second, false, api.VerdictNone)
	step("three seconds later", 0.6, 2*time.Second, true, api.VerdictNone)
	step("without the trial it stays", 0.6, 3*time.Second, false, api.VerdictNone)
	step("for more than ten seconds", 0.6, 5*time.Second, false, api.VerdictRollBack)
	b.harmSince = b.now - 3*time.Second
	step("another", 0.6, 0, true, api.VerdictNone)
	step("without the trial it goes", 1, 4*time.Second, false, api.VerdictRollBack)
	b.throughput.Add(b.now, 2*time.Second, 150)
	step("more throughput than before, a burst", 0.6, 10*time.Second, false, api.VerdictNone)
}

func TestBallot(t *testing.T) {
	b := newTestBalancer(0.5, map[string]any{"vote.life": 4 * time.Second, "vote.wait": time.Second})
	b.arms[0], b.arms[1] = arm{picked: 100, outcomes: 100, payoff: 96}, arm{picked: 100, outcomes: 100, payoff: 60,
		ownOutcomes: 50}
	step := func(what string, wait time.Duration, votes int) {
		t.Helper()
		b.now, b.actions = b.now+wait, nil
		if b.updateVote(); len(actionsOf[api.CastVote](b)) != votes {
			t.Errorf("%s: votes %v, want %d", what, actionsOf[api.CastVote](b), votes)
		}
	}
	step("first", 0, 1)
	step("not answered yet", 500*time.Millisecond, 0)
	b.receiveRollout(api.RolloutUpdate{AnswersVote: true, Result: api.VoteRateLimited})
	step("refused, pausing", 50*time.Millisecond, 0)
	step("refused, again", time.Second, 1)
	news := b.rollout
	news.AnswersVote = true
	b.receiveRollout(news)
	step("standing", time.Second, 0)
	step("renewed before it runs out", 2*time.Second, 1)
	b.receiveRollout(news)
	// behind by more than half the threshold: neither advance nor roll back
	b.arms[1] = arm{picked: 100, outcomes: 100, payoff: 90, ownOutcomes: 50}
	step("withdrawn", 0, 1)
}

// A vote that came too late shows that the agent knows an old stage: the next vote is for the stage after that, but not
// past the last one, and so on in turn until a rollout update comes.
func TestGuessedStage(t *testing.T) {
	b := newTestBalancer(0.5, map[string]any{"vote.life": 4 * time.Second, "vote.wait": time.Second})
	b.arms[0], b.arms[1] = arm{picked: 100, outcomes: 100, payoff: 96}, arm{picked: 100, outcomes: 100, payoff: 95,
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

// If an older rollout state comes after a newer one, decisions go by the newer one and both bind: the exposure rule
// asks for the last one sent.
func TestLaggingRolloutBinds(t *testing.T) {
	b := newTestBalancer(0.5, map[string]any{"trial.oneway": true})
	x, early, trial := b.addTransaction("x", "pure"), b.addBackend(1, 1), b.addBackend(2, 2)
	x.Key = "k"
	b.receiveRollout(api.RolloutUpdate{Build: 2, Stage: 1, Phase: api.PhaseRollingBack, Cap: 0})
	b.putInFlight(x, trial)
	b.attemptEnded(api.AttemptEnded{Transaction: "x", Backend: 2, Outcome: api.Succeeded, TransactionDone: true})
	y := b.addTransaction("y", "pure")
	if y.Key = "k"; !b.eligible(y, early) {
		t.Fatal("a key is bound to a build that is rolled back")
	}
	b.receiveRollout(api.RolloutUpdate{Build: 2, Cap: 0.1})
	if on, share := b.exposureCap(2); !on || share != 0 || b.eligible(y, early) ||
		b.rollout.Phase != api.PhaseRollingBack {
		t.Errorf("after a late update: cap %v, eligible %v, %+v", share, b.eligible(y, early), b.rollout)
	}
	b.receiveRollout(api.RolloutUpdate{Build: 2, Stage: 1, Phase: api.PhaseWithdrawn})
	if !b.eligible(y, early) {
		t.Error("the late update still binds")
	}
}

// Rule 5, over a sliding window: two free attempts, and half of the twenty transactions within the window.
func TestExposure(t *testing.T) {
	b := newTestBalancer(0.5, nil)
	x, a := b.addTransaction("x", "pure"), b.addBackend(1, 2)
	for i := 0; i < 20; i++ {
		b.accepted.Add(b.now, time.Minute)
	}
	n := 0
	for ; b.eligible(x, a) && n < 100; n++ {
		sends, _ := b.exposureCounters(2, x.workload)
		sends.Add(b.now, time.Minute)
	}
	if n != 12 {
		t.Errorf("%d attempts at the trial, want 12", n)
	}
	a.Build = 3 // not announced: the first stage's tenth
	if _, share := b.exposureCap(3); share != 0.1 {
		t.Errorf("cap %v for an unannounced build, want 0.1", share)
	}
	a.Build, b.rollout.Cap = 2, 0
	if b.now += 10 * time.Second; b.eligible(x, a) {
		t.Error("an attempt at cap 0 is eligible")
	}
	b.rollout.Cap, b.settings.trialGuarded = 1, 1.0
	if !b.eligible(x, a) || b.eligible(b.addTransaction("y", "effectful"), a) {
		t.Error("a guarded stage must take pure attempts and no others")
	}
}

// A key that the trial has answered goes to no earlier build until the trial is rolled back.
func TestKeysBoundToBuild(t *testing.T) {
	b := newTestBalancer(1, map[string]any{"trial.oneway": true, "trial.allowance": 99.0})
	x, early, trial := b.addTransaction("x", "pure"), b.addBackend(1, 1), b.addBackend(2, 2)
	x.Key = "k"
	b.putInFlight(x, trial)
	b.attemptEnded(api.AttemptEnded{Transaction: "x", Backend: 2, Outcome: api.Succeeded, TransactionDone: true})
	y := b.addTransaction("y", "pure")
	if y.Key = "k"; b.eligible(y, early) || !b.eligible(y, trial) {
		t.Error("a bound key may go back")
	}
	for outcome, bound := range map[api.Outcome]bool{api.TimedOut: true, api.Canceled: true, api.ConnectionLost: true,
		api.MalformedResponse: true,
		api.ErrorResponse:     false, api.InvalidRequest: false, api.Rejected: false, api.Unreachable: false,
		api.NotSent: false} {
		z := b.addTransaction("z", "pure")
		z.Key = "other"
		b.putInFlight(z, trial)
		b.attemptEnded(api.AttemptEnded{Transaction: "z", Backend: 2, Outcome: outcome, TransactionDone: true})
		if (b.boundBuild("other") == 2) != bound {
			t.Errorf("after outcome %v the key is bound: %v", outcome, !bound)
		}
		delete(b.keyBuilds, "other")
	}
	w := b.addTransaction("w", "pure")
	w.Key = "asked"
	b.putInFlight(w, trial)
	if b.boundBuild("asked") != 0 {
		t.Error("a key is bound before an answer can be")
	}
	if b.now += unseenDelay; b.boundBuild("asked") != 2 {
		t.Error("a key is not bound though its answer may have been written")
	}
	b.attemptEnded(api.AttemptEnded{Transaction: "w", Backend: 2, Outcome: api.ErrorResponse})
	if b.boundBuild("asked") != 0 || len(b.unconfirmed) != 0 {
		t.Errorf("after an error response: bound to %d, %v", b.boundBuild("asked"), b.unconfirmed)
	}
	b.settings.trialOneWay = false // the deployment has no such rule
	v := b.addTransaction("v", "pure")
	v.Key = "free"
	b.putInFlight(v, trial)
	if b.now += unseenDelay; b.boundBuild("free") != 0 {
		t.Error("a key is bound where no rule asks for it")
	}
	b.settings.trialOneWay = true
	if b.rollout.Phase = api.PhaseRollingBack; !b.eligible(y, early) {
		t.Error("a bound key may not go back though its build does")
	}
}

// Where only received answers bind, a slow attempt at the trial leaves its key free: its hedge goes to the known build,
// as does what was canceled. Without this, good builds were rolled back in large fleets.
func TestOnlyReceivedAnswersBind(t *testing.T) {
	b := newTestBalancer(1, map[string]any{"trial.oneway": true, "trial.unseen": false, "trial.allowance": 99.0})
	early, trial := b.addBackend(1, 1), b.addBackend(2, 2)
	b.addBackend(3, 2)
	for outcome, bound := range map[api.Outcome]bool{api.Succeeded: true, api.TimedOut: false,
		api.Canceled: false, api.ConnectionLost: false} {
		x := b.addTransaction("x", "pure")
		x.Key = "k"
		b.putInFlight(x, trial)
		if b.now += 2 * unseenDelay; !b.eligible(x, early) || b.chooseBackend(x) != early {
			t.Error("the hedge of a slow attempt may not go to the earlier build")
		}
		b.attemptEnded(api.AttemptEnded{Transaction: "x", Backend: 2, Outcome: outcome, TransactionDone: true})
		if (b.boundBuild("k") == 2) != bound {
			t.Errorf("after outcome %v the key is bound: %v", outcome, !bound)
		}
		delete(b.keyBuilds, "k")
	}
}

// Rejections, silent backends and backends that are warming up are no evidence; slow responses and error responses are.
func TestEvidence(t *testing.T) {
	b := newTestBalancer(1, nil)
	a, early := b.addBackend(1, 2), b.addBackend(2, 1)
	b.workloadOf("pure").latencyOn("").Add(b.now, baselineHalfLife, 0.05)
	feed := func(to *backend, outcome api.Outcome, after time.Duration, cold bool) arm {
		x := b.addTransaction("x", "pure")
		b.arms = [2]arm{{outcomes: 1, payoff: 1}, {outcomes: 1, payoff: 1}}
		b.weighOutcome(x, &attempt{backend: to, startedAt: b.now, warmingUp: cold}, api.AttemptEnded{Outcome: outcome,
			Elapsed: after})
		return b.arms[b.armOf(to)]
	}
	for _, c := range []struct {
		what    string
		to      *backend
		outcome api.Outcome
		after   time.Duration
		cold    bool
		n, sum  float64
	}{
		{"quick", a, api.Succeeded, 100 * time.Millisecond, false, 2, 2},
		{"slow", a, api.Succeeded, 300 * time.Millisecond, false, 2, 1.5},
		{"slow, earlier", early, api.Succeeded, 300 * time.Millisecond, false, 2, 1.5},
		{"error response", a, api.ErrorResponse, 0, false, 2, 1},
		{"error response, warming up", a, api.ErrorResponse, 0, true, 1, 1},
		{"rejected", a, api.Rejected, 0, false, 1, 1},
		{"unreachable", a, api.Unreachable, 0, false, 1, 1},
		{"silent", a, api.TimedOut, time.Second, false, 1, 1},
	} {
		if got := feed(c.to, c.outcome, c.after, c.cold); got.outcomes != c.n || got.payoff != c.sum {
			t.Errorf("%s: %v of %v, want %v of %v", c.what, got.payoff, got.outcomes, c.sum, c.n)
		}
	}
	early.listed, a.lastAnswer = false, b.now+1
	for _, outcome := range []api.Outcome{api.Succeeded, api.TimedOut} {
		if got := feed(a, outcome, time.Second, false); got.payoff != got.outcomes {
			t.Errorf("late with no earlier backend left: outcome %v counts %v of %v", outcome, got.payoff, got.outcomes)
		}
	}
}

// One bad backend among four is no bad build; four that are all as bad are.
func TestUnhealthyBackendAmongMany(t *testing.T) {
	for _, sums := range [][4]float64{{49, 49, 49, 10}, {39, 39, 40, 39}} {
		b := newTestBalancer(1, nil)
		for i, sum := range sums {
			b.addBackend(api.BackendID(i), 2).counts = arm{outcomes: 50, payoff: sum}
		}
		b.arms = [2]arm{{outcomes: 500, payoff: 490}, {outcomes: 200, payoff: 157, ownOutcomes: 50}}
		want := api.VerdictRollBack
		if sums[3] == 10 {
			want = api.VerdictNone
		}
		if got := b.verdict(); got != want {
			t.Errorf("payoffs %v of 50: verdict %v, want %v", sums, got, want)
		}
	}
}

// A client's complaint stands for those that go unreported: one in four is reported, so four answers lose their payoff.
func TestComplaint(t *testing.T) {
	b := newTestBalancer(1, map[string]any{"trial.complaints": 0.25})
	a := b.addBackend(1, 2)
	b.arms[1], a.counts = arm{outcomes: 30, payoff: 30}, arm{outcomes: 10, payoff: 10}
	b.applyComplaint(api.Complaint{Backend: 1, Age: time.Second})
	a.Started = b.now
	b.applyComplaint(api.Complaint{Backend: 1, Age: time.Second}) // of a backend that had this id before
	if b.arms[1].payoff != 26 || a.counts.payoff != 6 {
		t.Errorf("payoffs %v and %v, want 26 and 6", b.arms[1].payoff, a.counts.payoff)
	}
}

// A sparse agent gives the trial no more first attempts than its backends' share, whatever the cap allows.
func TestTrialShareOfSparseAgent(t *testing.T) {
	b := newTestBalancer(1, map[string]any{"trial.allowance": 1000.0})
	for id := api.BackendID(1); id <= 20; id++ {
		b.addBackend(id, 1).Build = 1 + api.Build(id)/19 // two run the trial
	}
	trial := 0
	for range 100 {
		b.now += time.Second
		b.acceptTransaction(api.TransactionAccepted{ID: "x", Workload: "pure", Timeout: time.Second})
		if a := b.transactions["x"].attempts[0].backend; a.Build == 2 {
			trial++
		}
		b.attemptEnded(api.AttemptEnded{Transaction: "x", Outcome: api.Succeeded, TransactionDone: true})
	}
	if trial < 7 || trial > 13 {
		t.Errorf("%d of 100 first attempts at two backends of twenty, want about ten", trial)
	}
}

// Where there are many agents, few vote. The platform's tallies decide a sparse agent's verdict, and invalid ones are
// dropped.
func TestTallies(t *testing.T) {
	terms := map[string]any{"agents": 300.0, "trial.control": "single", "tally.every": time.Second}
	for number, want := range map[float64]api.Verdict{0: api.VerdictRollBack, 200: api.VerdictNone} {
		terms["number"] = number
		b := newTestBalancer(1, terms)
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
			t.Errorf("agent %v: verdict %v, want %v; trial %v", number, got, want, b.withTally(1, arm{}))
		}
	}
}

// A build that turns bad with the age of its backends is blamed by the oldest ones, though many young ones do well.
func TestBlameByStage(t *testing.T) {
	b := newTestBalancer(1, nil)
	for id := api.BackendID(0); id < 12; id++ {
		a := b.addBackend(id, 2)
		if a.counts = (arm{outcomes: 60, payoff: 60}); id < 4 {
			a.counts.payoff = 45
		} else {
			a.stage = 1
		}
	}
	b.arms = [2]arm{{outcomes: 600, payoff: 597}, {outcomes: 720, payoff: 660, ownOutcomes: 50}}
	if b.rollout.Stage = 1; b.verdict() != api.VerdictRollBack {
		t.Errorf("verdict %v, want roll back", b.verdict())
	}
}

// Quick error responses of all builds are no harm to all, and what a build was blamed for ends with it.
func TestBlameClearedByNewBuild(t *testing.T) {
	b := newTestBalancer(1, nil)
	early := b.addBackend(1, 1)
	x := b.addTransaction("x", "pure")
	for range 50 {
		b.weighOutcome(x, &attempt{backend: early, startedAt: b.now}, api.AttemptEnded{Outcome: api.ErrorResponse})
	}
	if b.recentPayoff.Weight(b.now, recentHalfLife) != 0 {
		t.Error("error responses count as harm to all")
	}
	b.trialPaused, b.blamedUntil, b.rollout.Build = true, b.now+time.Minute, 3
	if b.switchTrialBuild(); b.trialPaused || b.blamedUntil > b.now || b.verdict() == api.VerdictRollBack {
		t.Error("the next build is blamed for the last one")
	}
}

// A rollout state that comes late, by a vote's answer or an older stream, does not replace a newer one.
func TestOutdatedRollout(t *testing.T) {
	b := newTestBalancer(0.5, nil)
	for _, x := range []struct {
		news api.RolloutUpdate
		old  bool
	}{{api.RolloutUpdate{Build: 2, Stage: 1}, false}, {api.RolloutUpdate{Build: 2}, true}, {api.RolloutUpdate{Build: 1,
		Phase: api.PhaseReleased}, true},
		{api.RolloutUpdate{Build: 2, Stage: 2, Phase: api.PhaseReleased}, false}, {api.RolloutUpdate{Build: 2, Stage: 2},
			true},
		{api.RolloutUpdate{Build: 2, Stage: 2, Phase: api.PhaseRollingBack}, false}, {api.RolloutUpdate{Build: 2, Stage: 2,
			Phase: api.PhaseReleased}, true},
		{api.RolloutUpdate{Build: 2, Stage: 2, Phase: api.PhaseWithdrawn}, false}, {api.RolloutUpdate{Build: 3}, false}} {
		if b.receiveRollout(x.news); (b.rollout == x.news) == x.old {
			t.Errorf("after %+v: %+v", x.news, b.rollout)
		}
	}
}

// Error responses are told apart from slowness: three in a hundred against none in a thousand roll a build back where
// slow responses hide them in both means, and keep it from advancing before. As many in both arms, or those of one bad
// backend among three, do not.
func TestErrorResponsesCountSeparately(t *testing.T) {
	b := newTestBalancer(0.5, map[string]any{"trial.control": "single"})
	set := func(early, trial, unhealthy float64) {
		b.backends, b.ordered, b.doubtUntil = map[api.BackendID]*backend{}, nil, 0
		b.arms = [2]arm{{picked: 900}, {picked: 300, ownOutcomes: 100}}
		b.creditOutcome(b.addBackend(3, 2), arm{outcomes: 100, payoff: 93, faults: trial})
		b.creditOutcome(b.addBackend(4, 2), arm{outcomes: 100, payoff: 93, faults: trial})
		b.creditOutcome(b.addBackend(5, 2), arm{outcomes: 100, payoff: 92, faults: trial + unhealthy})
		b.creditOutcome(b.addBackend(1, 1), arm{outcomes: 600, payoff: 558, faults: early / 2})
		b.creditOutcome(b.addBackend(2, 1), arm{outcomes: 600, payoff: 558, faults: early / 2})
	}
	for _, x := range []struct {
		early, trial, unhealthy float64
		want                    api.Verdict
	}{{0, 0, 0, api.VerdictAdvance}, {0, 1, 0, api.VerdictNone}, {0, 5, 0, api.VerdictRollBack}, {60, 5, 0,
		api.VerdictAdvance}, {0, 0, 6, api.VerdictNone}} {
		if set(x.early, x.trial, x.unhealthy); b.verdict() != x.want {
			t.Errorf("%+v: verdict %v", x, b.verdict())
		}
	}
	b.applyComplaint(api.Complaint{Backend: 3})
	if b.arms[1].faults != 6 {
		t.Errorf("%v faults after a complaint", b.arms[1].faults)
	}
	// With no earlier backend left, errors may be the machines' own: a hundredth has to fail, over all stages together.
	for _, x := range []struct {
		faults, unhealthy float64
		lone, alone       bool
		want              api.Verdict
	}{{5, 0, false, false, api.VerdictRollBack}, {5, 0, false, true, api.VerdictRollBack}, {1, 0, false, true,
		api.VerdictAdvance},
		{0, 8, true, false, api.VerdictRollBack}, {0, 8, true, true, api.VerdictNone}} {
		set(0, x.faults, x.unhealthy)
		if x.lone {
			b.backends[5].stage = 1
		}
		b.backends[1].listed, b.backends[2].listed = !x.alone, !x.alone
		if v := b.verdict(); v != x.want {
			t.Errorf("%+v: verdict %v", x, v)
		}
	}
}

// A fleet of sparse agents would spend all their caps at the trial's few backends the moment these are listed: 80 times
// what one agent may send at once. Each follows the backends' share from the first attempt on, at random.
func TestSparseAgentsDoNotRushTrial(t *testing.T) {
	sent, most := 0, 0
	for seed := range uint64(80) {
		b := newTestBalancer(0.12, map[string]any{"trial.window": 6 * time.Second, "trial.allowance": 3.0,
			"trial.caps": []float64{0.12, 0.42, 1}})
		b.randomState = seed*0x9e3779b97f4a7c15 + 1
		for id := range api.BackendID(60) {
			b.addBackend(id+1, api.Build(1+(id%10)/9)) // every tenth runs the build on trial
		}
		b.trialBuild = 1
		b.switchTrialBuild()
		for range 170 {
			b.accepted.Add(b.now-time.Second, time.Minute)
			b.demand.Add(b.now, demandHalfLife, 1) // 25 a second, for which the allowance alone is no rush
		}
		if !b.sparse() || b.rate(&b.demand) < 3/(0.2*0.12*6) {
			t.Fatal("not the agent that is meant")
		}
		mine := 0
		for i := range 12 {
			id := api.TransactionID([]byte{byte(i)})
			b.acceptTransaction(api.TransactionAccepted{ID: id, Workload: "pure", Timeout: time.Second})
			if x := b.transactions[id]; x != nil && len(x.attempts) > 0 && x.attempts[0].backend.Build == 2 {
				mine++
			}
		}
		sent, most = sent+mine, max(most, mine)
	}
	if sent < 40 || sent > 160 || most > 3 { // a tenth of 960 is 96
		t.Errorf("%d of 960 to the trial, %d of 12 by one agent", sent, most)
	}
}
