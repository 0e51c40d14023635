package policy

import (
	"math"
	"testing"
	"time"

	"sagelever/internal/agent/api"
	"sagelever/internal/stats/bestarm"
)

func assertNear(t *testing.T, name string, got, want, tolerance float64) {
	t.Helper()
	if math.Abs(got-want) > tolerance {
		t.Errorf("%s: got %v, want %v", name, got, want)
	}
}

// For means p and 1-p the optimum is a half by symmetry. Otherwise α* must satisfy its defining equation.
func TestOptimalProportion(t *testing.T) {
	assertNear(t, "symmetric", bestarm.OptimalProportion(0.9, 0.1), 0.5, 1e-6)
	assertNear(t, "equal", bestarm.OptimalProportion(0.7, 0.7), 0.5, 1e-9)
	for _, m := range [][2]float64{{0.99, 0.6}, {0.2, 0.9}, {0, 0.5}, {1, 0.5}, {1, 0}} {
		a := bestarm.OptimalProportion(m[0], m[1])
		mid := a*m[0] + (1-a)*m[1]
		assertNear(t, "equation", bestarm.KLDivergence(m[0], mid), bestarm.KLDivergence(m[1], mid), 1e-4)
	}
}

// Z equals the log-likelihood of separate arms minus that of the pooled arms.
func TestStatistic(t *testing.T) {
	logLikelihood := func(s, n float64) float64 { p := s / n; return s*math.Log(p) + (n-s)*math.Log(1-p) }
	got := statistic(arm{outcomes: 80, payoff: 76}, arm{outcomes: 20, payoff: 12}, 0)
	assertNear(t, "Z", got, logLikelihood(76, 80)+logLikelihood(12, 20)-logLikelihood(88, 100), 1e-6)
	assertNear(t, "no outcomes", statistic(arm{outcomes: 80, payoff: 76}, arm{}, 0), 0, 0)
}

func TestTracking(t *testing.T) {
	b := newTestBalancer(0.5, nil)
	b.arms[0], b.arms[1] = arm{pulls: 100, outcomes: 100, payoff: 99}, arm{pulls: 8, outcomes: 8, payoff: 8}
	if b.chooseArm() != 1 { // 8 < √108-1
		t.Error("an arm with fewer than √t-1 pulls is not chosen")
	}
	b.arms[0], b.arms[1] = arm{pulls: 30, outcomes: 30, payoff: 15}, arm{pulls: 70, outcomes: 70, payoff: 35}
	if b.chooseArm() != 0 { // w* is a half for equal means: the baseline is 20 pulls behind
		t.Error("the arm furthest behind its share is not chosen")
	}
}

// The threshold is log(2·200·3/0.1) = 9.39. Z of 96/100 against 60/100, reduced by the margin, is far above it, and Z
// of 96/100 against 88/100 is below.
func TestVerdicts(t *testing.T) {
	b := newTestBalancer(0.5, map[string]any{"trial.control": "single"})
	set := func(trialPayoff float64, phase api.Phase) {
		b.rollout.Phase = phase
		b.arms[0], b.arms[1] = arm{pulls: 100, outcomes: 100, payoff: 96}, arm{pulls: 100, outcomes: 100, payoff: trialPayoff,
			ownOutcomes: 50}
	}
	check := func(name string, want api.Verdict) {
		t.Helper()
		if got := b.verdict(); got != want {
			t.Errorf("%s: verdict %v, want %v", name, got, want)
		}
	}
	set(60, api.PhaseTrial)
	check("far behind", api.VerdictRollBack)
	set(60, api.PhaseReleased)
	check("far behind, released", api.VerdictRollBack)
	set(60, api.PhaseRollingBack)
	check("rolling back already", api.VerdictNone)
	set(95, api.PhaseTrial)
	check("equal, stage settled", api.VerdictAdvance)
	set(90, api.PhaseTrial) // Z 1.4: above an eighth of the threshold, below a quarter
	check("suspect", api.VerdictNone)
	set(95, api.PhaseTrial)
	check("suspect until just now", api.VerdictNone)
	b.now += 5 * time.Second
	check("suspect long ago", api.VerdictAdvance)
	b.addBackend(9, 2).Started = b.now - 2*time.Second
	check("equal, backends just started", api.VerdictNone)
	b.arms[1] = arm{pulls: 9, outcomes: 9, payoff: 9, ownOutcomes: 9}
	b.now += 5 * time.Second
	check("too few trial outcomes", api.VerdictNone)
	b.arms[1] = arm{pulls: 39, outcomes: 39, payoff: 38, ownOutcomes: 39}
	check("enough for the first stage", api.VerdictAdvance)
	b.rollout.Stage = 1
	check("too few for the second stage", api.VerdictNone)
	b.rollout.Stage = 0
	b.settings.trialControl = "clocked"
	set(83, api.PhaseTrial) // Z is 9.3, above half the threshold; with the margin it is 6.0, below the full threshold
	check("by clock, behind", api.VerdictHold)
	set(96, api.PhaseTrial)
	check("by clock, equal", api.VerdictNone)
	b.arms = [2]arm{}
	check("restarted, no counts", api.VerdictNone)
	b.arms = [2]arm{{pulls: 99, outcomes: 99, payoff: 95}, {pulls: 39, outcomes: 39, payoff: 24}}
	check("restarted, counts of peers only", api.VerdictHold)
	b.arms[1].ownOutcomes = 10
	check("restarted, own counts", api.VerdictRollBack)
}

// A build that slows the backends of both arms alike keeps Z at zero. It is detected by comparison with the payoffs
// before the trial, and by whether payoffs recover while the trial is paused.
func TestBuildThatSlowsAllBackends(t *testing.T) {
	b := newTestBalancer(0.5, nil)
	b.arms[0], b.arms[1] = arm{pulls: 90, outcomes: 90, payoff: 60}, arm{pulls: 30, outcomes: 30, payoff: 20}
	step := func(name string, payoff float64, wait time.Duration, paused bool, want api.Verdict) {
		t.Helper()
		b.now += wait
		for i := 0; i < 200; i++ {
			b.recentPayoff.Add(b.now, recentHalfLife, payoff)
		}
		if v := b.verdict(); v != want || b.trialPaused != paused {
			t.Errorf("%s: verdict %v, trial paused %v; want %v, %v", name, v, b.trialPaused, want, paused)
		}
	}
	for i := 0; i < 200; i++ {
		b.baselinePayoff.Add(b.now, baselineHalfLife, 1)
		b.baselineThroughput.Add(b.now, baselineHalfLife, 100)
	}
	step("degradation begins", 0.6, 0, false, api.VerdictNone)
	step("a second later", 0.6, time.Second, false, api.VerdictNone)
	step("three seconds later", 0.6, 2*time.Second, true, api.VerdictNone)
	step("persists during the pause", 0.6, 3*time.Second, false, api.VerdictNone)
	step("persists for more than ten seconds", 0.6, 5*time.Second, false, api.VerdictRollBack)
	b.degradedSince = b.now - 3*time.Second
	step("another degradation", 0.6, 0, true, api.VerdictNone)
	step("recovers during the pause", 1, 4*time.Second, false, api.VerdictRollBack)
	b.throughput.Add(b.now, 2*time.Second, 150)
	step("more throughput than before the trial", 0.6, 10*time.Second, false, api.VerdictNone)
}

// A build that degrades with the age of its backends is rolled back due to its oldest ones, even if many younger ones
// work well.
func TestDegradationWithAge(t *testing.T) {
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

// Fast error responses do not count as degradation of all backends, and a new build resets the detected degradation.
func TestNewBuildResetsDegradation(t *testing.T) {
	b := newTestBalancer(1, nil)
	early := b.addBackend(1, 1)
	x := b.addTransaction("x", "pure")
	for range 50 {
		b.addEvidence(x, &attempt{backend: early, startedAt: b.now}, api.AttemptEnded{Outcome: api.ErrorResponse})
	}
	if b.recentPayoff.Weight(b.now, recentHalfLife) != 0 {
		t.Error("error responses count as degradation")
	}
	b.trialPaused, b.degradesFleetUntil, b.rollout.Build = true, b.now+time.Minute, 3
	if b.switchTrialBuild(); b.trialPaused || b.degradesFleetUntil > b.now || b.verdict() == api.VerdictRollBack {
		t.Error("the degradation of the last build counts against the next one")
	}
}

// Error responses count separately from slowness: three in a hundred against none in a thousand roll a build back even
// if slow responses hide them in both means, and fewer prevent an advance. The same rate in both arms, or the errors of
// one bad backend of three, do not.
func TestErrorResponsesCountSeparately(t *testing.T) {
	b := newTestBalancer(0.5, map[string]any{"trial.control": "single"})
	set := func(early, trial, unhealthy float64) {
		b.backends, b.ordered, b.suspectUntil = map[api.BackendID]*backend{}, nil, 0
		b.arms = [2]arm{{pulls: 900}, {pulls: 300, ownOutcomes: 100}}
		b.addOutcomes(b.addBackend(3, 2), arm{outcomes: 100, payoff: 93, faults: trial})
		b.addOutcomes(b.addBackend(4, 2), arm{outcomes: 100, payoff: 93, faults: trial})
		b.addOutcomes(b.addBackend(5, 2), arm{outcomes: 100, payoff: 92, faults: trial + unhealthy})
		b.addOutcomes(b.addBackend(1, 1), arm{outcomes: 600, payoff: 558, faults: early / 2})
		b.addOutcomes(b.addBackend(2, 1), arm{outcomes: 600, payoff: 558, faults: early / 2})
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
	// Without a baseline backend, errors may be due to machines: more than 1% over all stages are required.
	for _, x := range []struct {
		faults, unhealthy float64
		separateStage     bool
		noBaseline        bool
		want              api.Verdict
	}{{5, 0, false, false, api.VerdictRollBack}, {5, 0, false, true, api.VerdictRollBack}, {1, 0, false, true,
		api.VerdictAdvance},
		{0, 8, true, false, api.VerdictRollBack}, {0, 8, true, true, api.VerdictNone}} {
		set(0, x.faults, x.unhealthy)
		if x.separateStage {
			b.backends[5].stage = 1
		}
		b.backends[1].listed, b.backends[2].listed = !x.noBaseline, !x.noBaseline
		if v := b.verdict(); v != x.want {
			t.Errorf("%+v: verdict %v", x, v)
		}
	}
}
