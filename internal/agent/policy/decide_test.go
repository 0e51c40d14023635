package policy

import (
	"math"
	"slices"
	"testing"
	"time"

	"sagelever/internal/agent/api"
	"sagelever/internal/stats/bestarm"
	"sagelever/internal/stats/decay"
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
// asks for the last one told.
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

// Rule 1: the answer comes a tick before the client's time is up, and no attempt starts after it.
func TestAnswerTimer(t *testing.T) {
	b := newTestBalancer(0, nil)
	b.acceptTransaction(api.TransactionAccepted{ID: "x", Workload: "effectful", Timeout: 300 * time.Millisecond})
	if w := actionsOf[api.SetTimer](b); len(w) == 0 || w[0].After != 295*time.Millisecond {
		t.Fatalf("timers %v, want one after 295 ms", w)
	}
	x := b.transactions["x"]
	b.putInFlight(x, b.addBackend(1, 1))
	advance(b, transactionTransitions, &x.state, deadlineNear, x)
	if len(actionsOf[api.FailTransaction](b)) != 1 || len(actionsOf[api.DeferTransaction](b)) != 0 {
		t.Errorf("an effectful attempt is in flight: %v, want one failure", b.actions)
	}
	b.actions = nil
	b.attemptEnded(api.AttemptEnded{Transaction: "x", Outcome: api.ErrorResponse})
	if len(b.actions) > 0 {
		t.Errorf("after the answer: %v", b.actions)
	}
}

// Rule 2, by workload, after an error response, which may have run.
func TestNoEffectTwice(t *testing.T) {
	for effect, sends := range map[api.Workload]int{"pure": 1, "receipted": 1, "effectful": 0} {
		b := newTestBalancer(0, nil)
		b.addBackend(1, 1)
		x := b.addTransaction("x", effect)
		b.putInFlight(x, b.addBackend(2, 1))
		b.attemptEnded(api.AttemptEnded{Transaction: "x", Backend: 2, Outcome: api.ErrorResponse})
		if n := len(actionsOf[api.StartAttempt](b)); n != sends {
			t.Errorf("%s: %d retries, want %d", effect, n, sends)
		}
	}
	b := newTestBalancer(0, nil)
	x, a := b.addTransaction("x", "receipted"), b.addBackend(1, 1)
	x.mayHaveRunAt, x.mayHaveRunOn = b.now-1990*time.Millisecond, a
	if !b.eligible(x, a) {
		t.Error("within the receipts' memory, the attempt is not eligible")
	}
	x.mayHaveRunAt -= 10 * time.Millisecond
	if b.eligible(x, a) {
		t.Error("past the receipts' memory, the attempt is eligible")
	}
	x.workload.group, x.mayHaveRunAt = "cell", b.now
	other := b.addBackend(2, 1)
	if other.Cell = 5; b.eligible(x, other) {
		t.Error("an attempt outside the group is eligible")
	}
}

// Rule 3: a backend that drains, or is missing from a snapshot, gets no more attempts.
func TestDrainingBackends(t *testing.T) {
	b := newTestBalancer(0, nil)
	b.updateBackends(api.BackendUpdate{Kind: api.UpdateSnapshot, Backends: []api.Backend{{ID: 1, Build: 1}, {ID: 2,
		Build: 1}}})
	x := b.addTransaction("x", "pure")
	b.updateBackends(api.BackendUpdate{Kind: api.UpdateIncremental, Backends: []api.Backend{{ID: 1, Build: 1,
		State: api.StateDraining}}})
	if a := b.chooseBackend(x); a == nil || a.ID != 2 {
		t.Errorf("chosen %v, want 2", a)
	}
	b.updateBackends(api.BackendUpdate{Kind: api.UpdateSnapshot, Backends: []api.Backend{{ID: 3, Build: 1,
		State: api.StateGone}}})
	if a := b.chooseBackend(x); a != nil {
		t.Errorf("chosen %v from an empty list", a.ID)
	}
}

// Rule 4: three agents, or three hundred, that each keep their pace start together as many attempts as a backend that
// is warming up can take.
func TestSlowStartPace(t *testing.T) {
	for _, agents := range []int{3, 300} {
		n := 0
		for i := range agents {
			b := newTestBalancer(0, nil)
			b.randomState = uint64(i+1) * 0x9E3779B97F4A7C15
			for id := api.BackendID(1); id <= 10; id++ {
				b.addBackend(id, 1)
			}
			a := b.backends[3]
			a.Started, a.paceCredit, a.paceCreditAt = b.now, b.randomFloat(), b.now
			each := 100 / float64(agents) // 100 a second over all, 10 for each backend
			b.demand.Add(b.now, demandHalfLife, each*demandHalfLife.Seconds()/math.Ln2)
			for range 100 {
				b.now += 10 * time.Millisecond
				b.demand.Add(b.now, demandHalfLife, each/100)
				if b.slowStartAllows(a) {
					a.paceCredit--
					n++
				}
			}
		}
		if n < 4 || n > 9 { // 1.4 x 0.4 to 0.55 x 10 a second, by chance one or two more
			t.Errorf("%d agents: %d attempts at a backend that is warming up in a second, want about 6", agents, n)
		}
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
		api.ErrorResponse:     false, api.InvalidRequest: false, api.Rejected: false, api.Unreachable: false, api.NotSent: false} {
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

// A silent backend is ejected, probed with one attempt, and used again.
func TestHealth(t *testing.T) {
	b := newTestBalancer(0, nil)
	a, other := b.addBackend(1, 1), b.addBackend(2, 1)
	b.demand.Add(b.now, demandHalfLife, 1000)
	b.putInFlight(b.addTransaction("x", "pure"), a)
	b.now += time.Second
	b.heartbeat()
	if a.health != ejected || a.available() || !other.available() {
		t.Errorf("a silent backend is in state %v", a.health)
	}
	a.inFlight = 0
	b.now += time.Second
	if b.heartbeat(); a.health != probing || !a.available() {
		t.Errorf("after its ejection it is in state %v", a.health)
	}
	y := b.addTransaction("y", "pure")
	b.putInFlight(y, a)
	if a.available() {
		t.Error("a second attempt goes to a backend that is probed")
	}
	b.attemptEnded(api.AttemptEnded{Transaction: "y", Backend: 1, Outcome: api.Succeeded, TransactionDone: true})
	if a.health != healthy {
		t.Errorf("after an answer it is in state %v", a.health)
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

// Attempts in flight are limited by the latency of responses; a transaction that was queued too long is answered at
// once.
func TestConcurrencyLimit(t *testing.T) {
	b := newTestBalancer(0, map[string]any{"may.advise": true, "return.most": 500 * time.Millisecond})
	b.addBackend(1, 1)
	b.flowOf(b.workloadOf("pure"), "").limit = 0
	x := b.addTransaction("x", "pure")
	if advance(b, transactionTransitions, &x.state, accepted, x); len(b.actions) != 0 || len(b.queue) != 1 {
		t.Errorf("past the limit: %v", b.actions)
	}
	b.now += 126 * time.Millisecond
	b.retryQueued()
	if d := actionsOf[api.DeferTransaction](b); len(d) != 1 || d[0].RetryAfter <= 0 ||
		d[0].Reason != api.ReasonConcurrencyLimit || len(actionsOf[api.StartAttempt](b)) != 0 {
		t.Errorf("queued past a quarter of the goal: %v, want a deferral with a time to return", b.actions)
	}
	f := b.flowOf(b.workloadOf("pure"), "")
	f.limit, f.inFlight = 40, 40
	for i := 0; i < 50; i++ {
		f.latencyRatio.Add(b.now, latencyRatioHalfLife, 1)
	}
	if b.heartbeat(); f.limit >= 40 {
		t.Errorf("responses at the goal time leave the limit at %v", f.limit)
	}
}

// One trial backend that fails everything is unhealthy: its outcomes are taken out of its arm, and it is ejected.
func TestFailingBackend(t *testing.T) {
	b := newTestBalancer(1, nil)
	a := b.addBackend(1, 2)
	b.addBackend(2, 1)
	b.arms[1], a.counts = arm{outcomes: 30, payoff: 25}, arm{outcomes: 10, payoff: 5}
	for i := 0; i < 5; i++ {
		x := b.addTransaction("x", "effectful")
		b.putInFlight(x, a)
		b.attemptEnded(api.AttemptEnded{Transaction: "x", Backend: 1, Outcome: api.ErrorResponse})
	}
	if b.arms[1].outcomes != 20 || b.arms[1].payoff != 20 || a.health != ejected {
		t.Errorf("counts %v, health %v; want 20 of 20 left and an ejection", b.arms[1], a.health)
	}
}

// Counts that one agent reports are credited by the receiver to the same backend; malformed reports are dropped, whole
// or in part.
func TestReportMessages(t *testing.T) {
	x, y := newTestBalancer(1, map[string]any{"may.tell": true, "agents": 2.0}), newTestBalancer(1, nil)
	for _, b := range []*Balancer{x, y} {
		b.addBackend(1, 1)
		b.addBackend(2, 2)
	}
	x.arms[1].ownOutcomes = 1
	x.demand.Add(x.now, demandHalfLife, 100)
	x.backends[1].unreported, x.backends[2].unreported = arm{outcomes: 9, payoff: 8.5}, arm{outcomes: 4, payoff: 1,
		faults: 2}
	x.reportCounts()
	told := actionsOf[api.SendMessage](x)
	if len(told) != 1 || told[0].To != 1 || x.reportSize() != 0 {
		t.Fatalf("sent %v", told)
	}
	y.arms[1].outcomes = 1
	for _, data := range [][]byte{told[0].Data, told[0].Data[:9], nil} {
		y.receiveMessage(api.MessageReceived{Data: data})
	}
	if y.arms[0].outcomes != 9 || y.arms[1].outcomes != 5 || y.backends[1].counts.payoff != 8.5 ||
		y.backends[2].counts.payoff != 1 ||
		y.arms[1].faults != 2 || y.arms[0].faults != 0 {
		t.Errorf("received %v, counts %v and %v", y.arms, y.backends[1].counts, y.backends[2].counts)
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

// A workload that is slow at every backend lowers its own limit and no other's.
func TestSlowWorkloadLimitsOnlyItself(t *testing.T) {
	b := newTestBalancer(0, nil)
	slow, quick := b.flowOf(b.workloadOf("receipted"), ""), b.flowOf(b.workloadOf("pure"), "")
	slow.limit, quick.limit, slow.inFlight, quick.inFlight = 40, 40, 20, 20
	for range 50 {
		b.now += heartbeatInterval
		slow.latencyRatio.Add(b.now, latencyRatioHalfLife, 2)
		quick.latencyRatio.Add(b.now, latencyRatioHalfLife, 0.2)
		b.heartbeat()
	}
	if slow.limit > 20 || quick.limit < 20 {
		t.Errorf("limits %v and %v", slow.limit, quick.limit)
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

// An agent that uses a backend rarely ejects it for longer.
func TestEjectionBySparseAgent(t *testing.T) {
	b := newTestBalancer(0, nil)
	a := b.addBackend(1, 1)
	b.listedCount = 20
	b.demand.Add(b.now, demandHalfLife, 2*demandHalfLife.Seconds()/math.Ln2) // two a second, each backend every ten
	if b.eject(a); (a.ejectedUntil - b.now).Round(time.Millisecond) != 5*time.Second {
		t.Errorf("ejected for %v, want 5s", a.ejectedUntil-b.now)
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

// An id that comes back with another build, or after a restart, is a new backend: it owes nothing, nothing is known of
// its health, and attempts that still end at the old one bind no key and count for no build there.
func TestReusedBackendID(t *testing.T) {
	b := newTestBalancer(0.5, map[string]any{"trial.oneway": true})
	old := b.addBackend(1, 1)
	old.health, old.failureStreak = ejected, 2
	x := b.addTransaction("x", "pure")
	x.Key = "k"
	b.putInFlight(x, old)
	b.applyList(api.BackendUpdate{Kind: api.UpdateIncremental, Backends: []api.Backend{{ID: 1, Build: 2,
		Started: api.UnknownStart}}})
	a := b.backends[1]
	if len(b.ordered) != 1 || b.ordered[0] != a || a.inFlight != 0 || a.health != healthy || a.failureStreak != 0 ||
		a.Build != 2 {
		t.Errorf("%d backends, the new one %+v", len(b.ordered), a)
	}
	b.attemptEnded(api.AttemptEnded{Transaction: "x", Backend: 1, Outcome: api.Succeeded, Elapsed: time.Millisecond,
		TransactionDone: true})
	if len(b.keyBuilds) != 0 || b.arms[1].outcomes != 0 || a.inFlight != 0 {
		t.Errorf("keys %v, the trial's outcomes %v, in flight %d", b.keyBuilds, b.arms[1].outcomes, a.inFlight)
	}
}

// A malformed response can come from any backend: it blames no build, shows that the backend is alive, may have run,
// and binds its key, as an answer was written.
func TestMalformedResponse(t *testing.T) {
	b := newTestBalancer(0.5, map[string]any{"trial.oneway": true, "trial.allowance": 9.0})
	trial, other := b.addBackend(2, 2), b.addBackend(3, 2)
	trial.failureStreak = 2
	for effect, want := range map[api.Workload]api.Action{"pure": api.StartAttempt{Transaction: "pure", Backend: other.ID},
		"effectful": api.FailTransaction{Transaction: "effectful", Reason: api.ReasonMayHaveRun}} {
		x := b.addTransaction(api.TransactionID(effect), effect)
		x.Key = api.AffinityKey(effect)
		b.putInFlight(x, trial)
		b.attemptEnded(api.AttemptEnded{Transaction: x.ID, Backend: trial.ID, Outcome: api.MalformedResponse,
			Elapsed: time.Millisecond})
		if !slices.Contains(b.actions, want) {
			t.Errorf("%s: %v, want %v", effect, b.actions, want)
		}
		b.actions = nil
		if b.boundBuild(x.Key) != 2 {
			t.Errorf("%s: its key is not bound", effect)
		}
	}
	if b.arms[1].outcomes != 0 || trial.failureStreak != 0 || trial.health != healthy {
		t.Errorf("outcomes %v, %+v", b.arms[1].outcomes, trial)
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

// State does not grow with what has passed through: after many transactions, keys, backends and builds none is left.
func TestStateStaysBounded(t *testing.T) {
	b := newTestBalancer(0.5, map[string]any{"trial.oneway": true, "trial.control": "single"})
	now := b.now
	step := func(e api.Event) []api.Action { return b.Step(now, e) }
	for build := range api.Build(20) {
		step(api.RolloutUpdate{Build: build + 3, Cap: 0.5})
		var list []api.Backend
		for i := range 6 {
			id := api.BackendID(int(build)%3*6 + i)
			list = append(list, api.Backend{ID: id, Build: build + 2 + api.Build(i%2), Started: now - time.Minute,
				State: api.BackendState(i % 5 / 4)}) // one drains, and is never listed as gone
		}
		step(api.BackendUpdate{Kind: api.UpdateSnapshot, Backends: list})
		for i := range 200 {
			now += 5 * time.Millisecond
			id := api.TransactionID(string(rune(1000*int(build) + i + 5000)))
			for _, a := range step(api.TransactionAccepted{ID: id, Workload: "pure", Key: api.AffinityKey(id),
				Timeout: time.Second}) {
				if s, ok := a.(api.StartAttempt); ok {
					step(api.AttemptEnded{Transaction: id, Backend: s.Backend, Outcome: api.Succeeded, Elapsed: time.Millisecond,
						TransactionDone: true})
				}
			}
		}
	}
	now += 10 * time.Second
	for id := range b.timers {
		step(api.TimerFired{Timer: id})
	}
	step(api.RolloutUpdate{Build: 99, Cap: 0.5})
	step(api.BackendUpdate{Kind: api.UpdateSnapshot})
	if len(b.transactions)+len(b.unfinished)+len(b.queue)+len(b.keyBuilds)+len(b.unconfirmed)+len(b.backends)+len(b.ordered) > 0 || len(b.exposure) > 1 || len(b.flows) > 1 ||
		len(b.timers) > 1 {
		t.Errorf("open %d, unfinished %d, queued %d, keys %d, backends %d, ordered %d, exposure %d, flows %d, timers %d",
			len(b.transactions), len(b.unfinished),
			len(b.queue), len(b.keyBuilds), len(b.backends), len(b.ordered), len(b.exposure), len(b.flows), len(b.timers))
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

// A request that a backend cannot use blames neither build nor backend, and fails at once: bad clients send hundreds
// that look like any other, and each used to be sent to one backend after the other.
func TestInvalidRequests(t *testing.T) {
	b := newTestBalancer(0.5, nil)
	a := b.addBackend(1, 2)
	b.addBackend(2, 2)
	a.failureStreak = 2
	for range 10 {
		x := b.addTransaction("x", "pure")
		b.putInFlight(x, a)
		b.attemptEnded(api.AttemptEnded{Transaction: "x", Backend: 1, Outcome: api.InvalidRequest, Elapsed: time.Millisecond})
		if len(b.actions) != 1 || b.actions[0] != (api.FailTransaction{Transaction: "x", Reason: api.ReasonInvalidRequest}) ||
			b.transactions["x"] != nil {
			t.Fatalf("actions %v", b.actions)
		}
	}
	if b.arms[1].outcomes != 0 || a.faultRate != 0 || a.failureStreak != 0 || a.health != healthy || a.inFlight != 0 {
		t.Errorf("outcomes %v, %+v", b.arms[1].outcomes, a)
	}
}

// A backend at which most agents' attempts fail is unhealthy, though this agent has seen none of them: it is ejected
// and is no evidence.
func TestUnhealthyBackendLearnedFromPeers(t *testing.T) {
	b := newTestBalancer(0.5, nil)
	unhealthy, other := b.addBackend(1, 2), b.addBackend(2, 2)
	if b.learnFromPeer(other, arm{outcomes: 4, payoff: 3, faults: 1}); b.arms[1].outcomes != 4 || other.health != healthy {
		t.Errorf("one error in four: %v counted, health %v", b.arms[1].outcomes, other.health)
	}
	b.learnFromPeer(unhealthy, arm{outcomes: 2, payoff: 0, faults: 2})
	if unhealthy.health != healthy {
		t.Error("two errors in a row make a backend unhealthy")
	}
	b.learnFromPeer(unhealthy, arm{outcomes: 4, payoff: 0, faults: 4})
	if b.arms[1].outcomes != 4 || unhealthy.counts.outcomes != 0 || unhealthy.health != ejected {
		t.Errorf("%v counted, %v of the unhealthy one's, health %v", b.arms[1].outcomes, unhealthy.counts.outcomes,
			unhealthy.health)
	}
}

// Three agents must find a backend unhealthy within half a second before one tells all. That is followed unless the
// backend has just answered or half of all would be ejected; a report that it is healthy again ends the ejection.
func TestUnhealthyBackendsReported(t *testing.T) {
	b := newTestBalancer(0.5, map[string]any{"may.tell": true, "agents": 80.0, "number": 0.0})
	var all []*backend
	for id := range api.BackendID(6) {
		all = append(all, b.addBackend(id+1, 1))
	}
	report := func(from api.PeerNumber, kind healthReportKind, a *backend) {
		b.receiveMessage(api.MessageReceived{From: from, Data: healthMessage(kind, []api.BackendID{a.ID})})
		for id, f := range b.timers { // the turn of agent 0 comes at once
			delete(b.timers, id)
			f()
		}
	}
	a := all[0]
	report(1, reportUnhealthy, a)
	report(1, reportUnhealthy, a)
	report(2, reportUnhealthy, a)
	if b.now += healthReportWindow + time.Millisecond; a.health != healthy {
		t.Error("two reports are enough")
	}
	report(3, reportUnhealthy, a)
	report(1, reportUnhealthy, a)
	if a.health != healthy {
		t.Error("reports of more than half a second ago count")
	}
	report(2, reportUnhealthy, a)
	b.reportHealth()
	if told := actionsOf[api.SendMessage](b); a.health != ejected || len(told) != 1 || !told[0].All ||
		told[0].Data[0] != 2 {
		t.Fatalf("three reports: health %v, sent %v", a.health, told)
	}
	b.actions = nil
	busy := all[5]
	for range 40 { // 5.5 a second, 440 by all, 73 at each backend: 37 in half a second, of which 19 make half
		b.demand.Add(b.now, demandHalfLife, 1)
	}
	for from := range api.PeerNumber(18) {
		report(from+10, reportUnhealthy, busy)
	}
	if busy.health != healthy {
		t.Error("18 of 37 are enough")
	}
	if report(40, reportUnhealthy, busy); busy.health != ejected {
		t.Error("half of those who use the backend are not enough")
	}
	b.reportHealth()
	b.actions, b.demand = nil, decay.Sum{}
	busy.health = healthy
	for _, from := range []api.PeerNumber{4, 5, 6} {
		report(from, reportUnhealthy, a)
	}
	if b.reportHealth(); len(actionsOf[api.SendMessage](b)) != 0 {
		t.Error("what all know is reported again")
	}
	report(9, reportRecovered, a)
	if a.health != probing {
		t.Errorf("healthy again: health %v", a.health)
	}
	all[1].lastAnswer = b.now - 100*time.Millisecond
	if report(1, reportConfirmed, all[1]); all[1].health != healthy {
		t.Error("a backend that has just answered is ejected")
	}
	report(1, reportConfirmed, all[2])
	report(1, reportConfirmed, all[3])
	if report(1, reportConfirmed, all[4]); all[3].health != ejected || all[4].health != healthy {
		t.Errorf("healths %v and %v, want half ejected and no more", all[3].health, all[4].health)
	}
	for _, noise := range [][]byte{{}, {0}, {0, 1, 2, 3}, {7, 0, 0, 0, 5}, {2, 9, 9, 9, 9}, {0, 0, 0, 0, 5, 1}} {
		if b.receiveMessage(api.MessageReceived{From: 1, Data: noise}); all[4].health != healthy {
			t.Errorf("%v is followed", noise)
		}
	}
}

// What this agent finds unhealthy is reported to six agents, what it finds healthy to all, and neither if agents may
// not send messages.
func TestHealthMessages(t *testing.T) {
	for _, c := range []struct {
		may           bool
		unhealthy, ok int
	}{{true, 5, 1}, {false, 0, 0}} {
		b := newTestBalancer(0.5, map[string]any{"may.tell": c.may, "agents": 80.0, "number": 3.0})
		a := b.addBackend(1, 1)
		advance(b, healthTransitions, &a.health, foundUnhealthy, a)
		b.reportHealth()
		if n := len(actionsOf[api.SendMessage](b)); n != c.unhealthy {
			t.Errorf("may send messages %v: unhealthy reported %d times", c.may, n)
		}
		b.actions, a.broadcastAt, a.health = nil, b.now, probing
		advance(b, healthTransitions, &a.health, foundHealthy, a)
		b.reportHealth()
		if n := len(actionsOf[api.SendMessage](b)); n != c.ok || a.broadcastAt != 0 {
			t.Errorf("may send messages %v: healthy reported %d times", c.may, n)
		}
	}
}

// Contradictory settings lead to fewer messages and no votes, never to a crash or more exposure.
func TestContradictorySettings(t *testing.T) {
	for name, c := range map[string]struct {
		agents, number float64
		told           int
	}{"no agents": {0, 0, 0}, "alone": {1, 0, 0}, "number out of range": {3, 400, 3}, "number below none": {80, -1, 6}} {
		b := newTestBalancer(0.1, map[string]any{"may.tell": true, "agents": c.agents, "number": c.number,
			"trial.control":   "single",
			"trial.allowance": 1.0})
		a, other := b.addBackend(1, 2), b.addBackend(2, 1)
		b.noteUnhealthyReport(other, 7)
		advance(b, healthTransitions, &a.health, foundUnhealthy, a)
		b.heartbeat()
		if told := actionsOf[api.SendMessage](b); len(told) != c.told {
			t.Errorf("%s: %d messages", name, len(told))
		}
		x := b.addTransaction("x", "pure")
		b.accepted.Add(b.now, time.Minute)
		if !b.exposureAllows(x, a) {
			t.Errorf("%s: the first attempt at the trial is not allowed", name)
		}
		b.putInFlight(x, a)
		if b.exposureAllows(x, a) {
			t.Errorf("%s: a second attempt at the trial is allowed", name)
		}
		b.arms = [2]arm{{picked: 900, outcomes: 900, payoff: 900}, {picked: 100, outcomes: 100, payoff: 10, ownOutcomes: 100}}
		if v := b.verdict(); c.number > 100 && v != api.VerdictNone {
			t.Errorf("%s: verdict %v", name, v)
		}
	}
}

// A listed backend that cannot be reached has the watch repeated, at random and not again soon.
func TestUnreachableBackends(t *testing.T) {
	b := newTestBalancer(0.5, map[string]any{"discovery": "asked", "discovery.within": 9 * time.Second})
	a := b.addBackend(1, 1)
	b.listReceived, b.nextWatchAt = true, b.now+time.Minute // and the last list came long ago
	x := b.addTransaction("x", "pure")
	b.putInFlight(x, a)
	b.attemptEnded(api.AttemptEnded{Transaction: "x", Backend: 1, Outcome: api.Unreachable})
	at := b.nextWatchAt
	if b.listReceived || at > b.now+4500*time.Millisecond {
		t.Error("the watch is not repeated")
	}
	b.now = at
	b.retryWatch()
	at = b.nextWatchAt
	for range 50 { // unreachable backends are met ten times a second, and discovery is overloaded already
		b.now += 80 * time.Millisecond
		b.scheduleWatch()
	}
	if b.nextWatchAt != at {
		t.Error("the watch is repeated within half of the time")
	}
	b.now += time.Second
	if b.scheduleWatch(); b.nextWatchAt == at {
		t.Error("the watch is not repeated later")
	}
}

// An overloaded discovery rejects calls, and the watch then stays silent: agents ask at different moments, and again
// until a list has come. A cached list and an empty one do not count.
func TestWatchRetriedUntilListArrives(t *testing.T) {
	first := map[time.Duration]bool{}
	for seed := range uint64(20) {
		b := New(seed*0x9e3779b97f4a7c15+12345, map[string]any{"discovery": "asked", "discovery.within": 9 * time.Second})
		b.Step(0, api.BackendUpdate{Kind: api.UpdateCached, Backends: []api.Backend{{ID: 1}}})
		asked := len(actionsOf[api.WatchBackends](b))
		step := func(until time.Duration) {
			for ; b.now < until; b.now += heartbeatInterval {
				b.actions = nil
				b.retryWatch()
				if n := len(actionsOf[api.WatchBackends](b)); n > 0 && asked == 0 {
					first[b.now/(100*time.Millisecond)] = true
				}
				asked += len(actionsOf[api.WatchBackends](b))
			}
		}
		if step(4600 * time.Millisecond); asked != 1 {
			t.Fatalf("%d watches in 4.5 s", asked)
		}
		b.updateBackends(api.BackendUpdate{Kind: api.UpdateIncremental})
		if step(40 * time.Second); asked < 3 || asked > 6 {
			t.Errorf("%d watches in 40 s without a list", asked)
		}
		b.updateBackends(api.BackendUpdate{Kind: api.UpdateIncremental, Backends: []api.Backend{{ID: 2}}})
		was := asked
		if step(90 * time.Second); asked != was {
			t.Error("the watch is repeated once a list has come")
		}
	}
	if len(first) < 8 {
		t.Errorf("20 agents ask at %d moments", len(first))
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

// Where each call to discovery is answered, it is made once, at the start, as a failed one is reported.
func TestWatchNotRetriedAfterReportedFailure(t *testing.T) {
	b := New(1, map[string]any{"discovery": "asked", "discovery.unsure": false})
	b.Step(0, api.BackendUpdate{Kind: api.UpdateCached, Backends: []api.Backend{{ID: 1}}})
	asked := len(actionsOf[api.WatchBackends](b))
	for b.now < 30*time.Second {
		b.now += heartbeatInterval
		b.actions = nil
		b.scheduleWatch()
		b.retryWatch()
		asked += len(actionsOf[api.WatchBackends](b))
	}
	if asked != 1 {
		t.Errorf("%d watches", asked)
	}
}
