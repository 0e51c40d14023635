package decide

import (
	"math"
	"slices"
	"testing"
	"time"

	"sagelever/agent"
	"sagelever/arms"
	"sagelever/gauge"
)

func near(t *testing.T, what string, got, want, by float64) {
	t.Helper()
	if math.Abs(got-want) > by {
		t.Errorf("%s: got %v, want %v", what, got, want)
	}
}

// For means p and 1-p the optimum is a half by symmetry; else α* must satisfy its own equation.
func TestOptimalProportion(t *testing.T) {
	near(t, "symmetric", arms.Optimal(0.9, 0.1), 0.5, 1e-6)
	near(t, "equal", arms.Optimal(0.7, 0.7), 0.5, 1e-9)
	for _, m := range [][2]float64{{0.99, 0.6}, {0.2, 0.9}, {0, 0.5}, {1, 0.5}, {1, 0}} {
		a := arms.Optimal(m[0], m[1])
		mid := a*m[0] + (1-a)*m[1]
		near(t, "equation", arms.Divergence(m[0], mid), arms.Divergence(m[1], mid), 1e-4)
	}
}

// An independent form of Z: log-likelihood of the arms apart less that of the arms together.
func TestStatistic(t *testing.T) {
	ll := func(s, n float64) float64 { p := s / n; return s*math.Log(p) + (n-s)*math.Log(1-p) }
	got := statistic(arm{n: 80, sum: 76}, arm{n: 20, sum: 12}, 0)
	near(t, "Z", got, ll(76, 80)+ll(12, 20)-ll(88, 100), 1e-6)
	near(t, "no outcomes", statistic(arm{n: 80, sum: 76}, arm{}, 0), 0, 0)
}

func TestTracking(t *testing.T) {
	b := bench(0.5, nil)
	b.arms[0], b.arms[1] = arm{picked: 100, n: 100, sum: 99}, arm{picked: 8, n: 8, sum: 8}
	if b.track() != 1 { // 8 < √108-1
		t.Error("an arm below √t-1 is not forced")
	}
	b.arms[0], b.arms[1] = arm{picked: 30, n: 30, sum: 15}, arm{picked: 70, n: 70, sum: 35}
	if b.track() != 0 { // w* is a half for equal means: the earlier arm is 20 behind
		t.Error("the arm furthest behind its share does not go")
	}
}

// The threshold is log(2·200·3/0.1) = 9.39; Z of 96/100 against 60/100, less the margin, is far above it, and
// of 96/100 against 88/100 below.
func TestVerdicts(t *testing.T) {
	b := bench(0.5, map[string]any{"trial.control": "single"})
	set := func(s1 float64, phase agent.Phase) {
		b.news.Phase = phase
		b.arms[0], b.arms[1] = arm{picked: 100, n: 100, sum: 96}, arm{picked: 100, n: 100, sum: s1, own: 50}
	}
	check := func(what string, want agent.Verdict) {
		t.Helper()
		if got := b.verdict(); got != want {
			t.Errorf("%s: verdict %v, want %v", what, got, want)
		}
	}
	set(60, agent.OnTrial)
	check("far behind", agent.Back)
	set(60, agent.Released)
	check("far behind, released", agent.Back)
	set(60, agent.GoingBack)
	check("going back already", agent.NoVote)
	set(95, agent.OnTrial)
	check("level, stage long started", agent.On)
	set(90, agent.OnTrial) // Z 1.4: above an eighth of the threshold, below a quarter
	check("a doubt", agent.NoVote)
	set(95, agent.OnTrial)
	check("a doubt just gone", agent.NoVote)
	b.now += 5 * time.Second
	check("a doubt long gone", agent.On)
	b.join(9, 2).Started = b.now - 2*time.Second
	check("level, machines just started", agent.NoVote)
	b.arms[1] = arm{picked: 9, n: 9, sum: 9, own: 9}
	b.now += 5 * time.Second
	check("too few trial outcomes", agent.NoVote)
	b.arms[1] = arm{picked: 39, n: 39, sum: 38, own: 39}
	check("enough for the first stage", agent.On)
	b.news.Stage = 1
	check("too few for the second stage", agent.NoVote)
	b.news.Stage = 0
	b.terms["trial.control"] = "clocked"
	set(83, agent.OnTrial) // Z 9.3: above half the threshold, with the margin 6.0: below the whole
	check("clock, behind", agent.Hold)
	set(96, agent.OnTrial)
	check("clock, level", agent.NoVote)
	b.arms = [2]arm{}
	check("restarted, no counts", agent.NoVote)
	b.arms = [2]arm{{picked: 99, n: 99, sum: 95}, {picked: 39, n: 39, sum: 24}}
	check("restarted, some counts heard", agent.Hold)
	b.arms[1].own = 10
	check("restarted, counts heard", agent.Back)
}

// A build that slows all machines alike leaves Z at nothing; payoffs before the trial tell, and whether the harm
// goes away while the trial gets nothing.
func TestBuildThatHarmsAll(t *testing.T) {
	b := bench(0.5, nil)
	b.arms[0], b.arms[1] = arm{picked: 90, n: 90, sum: 60}, arm{picked: 30, n: 30, sum: 20}
	step := func(what string, payoff float64, wait time.Duration, abstain bool, want agent.Verdict) {
		t.Helper()
		b.now += wait
		for i := 0; i < 200; i++ {
			b.lately.Add(b.now, latelyHalf, payoff)
		}
		if v := b.verdict(); v != want || b.abstain != abstain {
			t.Errorf("%s: verdict %v, abstains %v", what, v, b.abstain)
		}
	}
	for i := 0; i < 200; i++ {
		b.before.Add(b.now, parHalf, 1)
		b.paceWas.Add(b.now, parHalf, 100)
	}
	step("harm begins", 0.6, 0, false, agent.NoVote)
	step("a second later", 0.6, time.Second, false, agent.NoVote)
	step("three seconds later", 0.6, 2*time.Second, true, agent.NoVote)
	step("without the trial it stays", 0.6, 3*time.Second, false, agent.NoVote)
	step("for more than ten seconds", 0.6, 5*time.Second, false, agent.Back)
	b.harmSince = b.now - 3*time.Second
	step("another", 0.6, 0, true, agent.NoVote)
	step("without the trial it goes", 1, 4*time.Second, false, agent.Back)
	b.pace.Add(b.now, 2*time.Second, 150)
	step("more satisfied than before, a burst", 0.6, 10*time.Second, false, agent.NoVote)
}

func TestBallot(t *testing.T) {
	b := bench(0.5, map[string]any{"vote.life": 4 * time.Second, "vote.wait": time.Second})
	b.arms[0], b.arms[1] = arm{picked: 100, n: 100, sum: 96}, arm{picked: 100, n: 100, sum: 60, own: 50}
	step := func(what string, wait time.Duration, votes int) {
		t.Helper()
		b.now, b.actions = b.now+wait, nil
		if b.judge(); len(wanted[agent.Vote](b)) != votes {
			t.Errorf("%s: votes %v, want %d", what, wanted[agent.Vote](b), votes)
		}
	}
	step("first", 0, 1)
	step("not answered yet", 500*time.Millisecond, 0)
	b.hearNews(agent.TrialNews{ToVote: true, Answer: agent.TooMany})
	step("refused, pausing", 50*time.Millisecond, 0)
	step("refused, again", time.Second, 1)
	news := b.news
	news.ToVote = true
	b.hearNews(news)
	step("standing", time.Second, 0)
	step("renewed before it runs out", 2*time.Second, 1)
	b.hearNews(news)
	b.arms[1] = arm{picked: 100, n: 100, sum: 90, own: 50} // behind by more than half the threshold: neither on nor back
	step("withdrawn", 0, 1)
}

// A vote that came too late shows that our news is late: the next is for the stage after the one told, but not past
// the last, and then in turn, until there is news.
func TestGuessedStage(t *testing.T) {
	b := bench(0.5, map[string]any{"vote.life": 4 * time.Second, "vote.wait": time.Second})
	b.arms[0], b.arms[1] = arm{picked: 100, n: 100, sum: 96}, arm{picked: 100, n: 100, sum: 95, own: 50}
	next := func(stage agent.Stage, answer agent.TrialNews) {
		t.Helper()
		b.now, b.actions = b.now+time.Second/2, nil
		if b.judge(); !slices.Equal(wanted[agent.Vote](b), []agent.Vote{{Build: 2, Stage: stage, Verdict: agent.On}}) {
			t.Errorf("%v, want on at stage %d", wanted[agent.Vote](b), stage)
		}
		answer.ToVote = true
		b.hearNews(answer)
	}
	moot := agent.TrialNews{Answer: agent.Moot}
	next(0, moot)
	next(1, moot)
	next(0, moot)
	next(1, agent.TrialNews{Build: 2, Stage: 1, Cap: 0.5})
	b.now += 3 * time.Second
	next(1, moot)
	next(1, moot) // the last stage
}

// Where an older state is told after a newer one, decisions go by the newer, and both bind: the rules ask for the last.
func TestLateNewsBinds(t *testing.T) {
	b := bench(0.5, map[string]any{"trial.oneway": true})
	x, early, trial := b.hold("x", "pure"), b.join(1, 1), b.join(2, 2)
	x.Key = "k"
	b.hearNews(agent.TrialNews{Build: 2, Stage: 1, Phase: agent.GoingBack, Cap: 0})
	b.putOut(x, trial)
	b.ended(agent.Ended{ID: "x", Appliance: 2, Outcome: agent.Satisfied, Closed: true})
	y := b.hold("y", "pure")
	if y.Key = "k"; !b.legal(y, early) {
		t.Fatal("a key is bound to a build that goes back")
	}
	b.hearNews(agent.TrialNews{Build: 2, Cap: 0.1})
	if on, share := b.onTrial(2); !on || share != 0 || b.legal(y, early) || b.news.Phase != agent.GoingBack {
		t.Errorf("after late news: share %v, legal %v, %+v", share, b.legal(y, early), b.news)
	}
	b.hearNews(agent.TrialNews{Build: 2, Stage: 1, Phase: agent.Withdrawn})
	if !b.legal(y, early) {
		t.Error("late news still binds")
	}
}

// Rule 1: the answer comes a tick before the client's time is up, and nothing is sent after it.
func TestAnswerTimer(t *testing.T) {
	b := bench(0, nil)
	b.take(agent.Taken{ID: "x", Workload: "effectful", Left: 300 * time.Millisecond})
	if w := wanted[agent.Wake](b); len(w) == 0 || w[0].After != 295*time.Millisecond {
		t.Fatalf("timers %v, want one after 295 ms", w)
	}
	x := b.open["x"]
	b.putOut(x, b.join(1, 1))
	run(b, courses, &x.course, lastCall, x)
	if len(wanted[agent.BreakOff](b)) != 1 || len(wanted[agent.Defer](b)) != 0 {
		t.Errorf("an effectful send is out: %v, want one break-off", b.actions)
	}
	b.actions = nil
	b.ended(agent.Ended{ID: "x", Outcome: agent.Fault})
	if len(b.actions) > 0 {
		t.Errorf("after the answer: %v", b.actions)
	}
}

// Rule 2, by workload, after a fault that may have run.
func TestNoEffectTwice(t *testing.T) {
	for effect, sends := range map[agent.Workload]int{"pure": 1, "receipted": 1, "effectful": 0} {
		b := bench(0, nil)
		b.join(1, 1)
		x := b.hold("x", effect)
		b.putOut(x, b.join(2, 1))
		b.ended(agent.Ended{ID: "x", Appliance: 2, Outcome: agent.Fault})
		if n := len(wanted[agent.Send](b)); n != sends {
			t.Errorf("%s: %d further sends, want %d", effect, n, sends)
		}
	}
	b := bench(0, nil)
	x, a := b.hold("x", "receipted"), b.join(1, 1)
	x.ran, x.ranAt = b.now-1990*time.Millisecond, a
	if !b.legal(x, a) {
		t.Error("within the time repeats are known, the send is not legal")
	}
	x.ran -= 10 * time.Millisecond
	if b.legal(x, a) {
		t.Error("past the time repeats are known, the send is legal")
	}
	x.work.group, x.ran = "cell", b.now
	other := b.join(2, 1)
	if other.Group = 5; b.legal(x, other) {
		t.Error("a send outside the group is legal")
	}
}

// Rule 3: what drains or has left a full list gets nothing more.
func TestDrains(t *testing.T) {
	b := bench(0, nil)
	b.follow(agent.ListNews{Kind: agent.Whole, Entries: []agent.Appliance{{ID: 1, Build: 1}, {ID: 2, Build: 1}}})
	x := b.hold("x", "pure")
	b.follow(agent.ListNews{Kind: agent.Changes, Entries: []agent.Appliance{{ID: 1, Build: 1, Standing: agent.Draining}}})
	if a := b.choose(x); a == nil || a.ID != 2 {
		t.Errorf("chosen %v, want 2", a)
	}
	b.follow(agent.ListNews{Kind: agent.Whole, Entries: []agent.Appliance{{ID: 3, Build: 1, Standing: agent.Gone}}})
	if a := b.choose(x); a != nil {
		t.Errorf("chosen %v from an empty list", a.ID)
	}
}

// Rule 4: three agents or three hundred that each keep their pace send, together, what a cold one can do.
func TestColdPace(t *testing.T) {
	for _, agents := range []int{3, 300} {
		n := 0
		for i := range agents {
			b := bench(0, nil)
			b.dice = uint64(i+1) * 0x9E3779B97F4A7C15
			for id := agent.ApplianceID(1); id <= 10; id++ {
				b.join(id, 1)
			}
			a := b.fleet[3]
			a.Started, a.credit, a.creditAt = b.now, b.luck(), b.now
			each := 100 / float64(agents) // 100 a second over all, 10 for each appliance
			b.demand.Add(b.now, demandHalf, each*demandHalf.Seconds()/math.Ln2)
			for range 100 {
				b.now += 10 * time.Millisecond
				b.demand.Add(b.now, demandHalf, each/100)
				if b.warmEnough(a) {
					a.credit--
					n++
				}
			}
		}
		if n < 4 || n > 9 { // 1.4 x 0.4 to 0.55 x 10 a second, by chance one or two more
			t.Errorf("%d agents: %d sends at a cold appliance in a second, want about 6", agents, n)
		}
	}
}

// Rule 5, sliding: two free, and half of the twenty taken within the window.
func TestExposure(t *testing.T) {
	b := bench(0.5, nil)
	x, a := b.hold("x", "pure"), b.join(1, 2)
	for i := 0; i < 20; i++ {
		b.takes.Add(b.now, time.Minute)
	}
	n := 0
	for ; b.legal(x, a) && n < 100; n++ {
		sends, _ := b.lane(2, x.work)
		sends.Add(b.now, time.Minute)
	}
	if n != 12 {
		t.Errorf("%d sends at the trial, want 12", n)
	}
	a.Build = 3 // not announced: the first stage's tenth
	if _, share := b.onTrial(3); share != 0.1 {
		t.Errorf("share %v for an unannounced build, want 0.1", share)
	}
	a.Build, b.news.Cap = 2, 0
	if b.now += 10 * time.Second; b.legal(x, a) {
		t.Error("a send at cap 0 is legal")
	}
	b.news.Cap, b.terms["trial.guarded"] = 1, 1.0
	if !b.legal(x, a) || b.legal(b.hold("y", "effectful"), a) {
		t.Error("a guarded stage must take pure sends and no others")
	}
}

// A key that the trial has answered goes to no earlier build until the trial is sent back.
func TestOneWayKeys(t *testing.T) {
	b := bench(1, map[string]any{"trial.oneway": true, "trial.allowance": 99.0})
	x, early, trial := b.hold("x", "pure"), b.join(1, 1), b.join(2, 2)
	x.Key = "k"
	b.putOut(x, trial)
	b.ended(agent.Ended{ID: "x", Appliance: 2, Outcome: agent.Satisfied, Closed: true})
	y := b.hold("y", "pure")
	if y.Key = "k"; b.legal(y, early) || !b.legal(y, trial) {
		t.Error("a bound key may go back")
	}
	for outcome, bound := range map[agent.Outcome]bool{agent.TimedOut: true, agent.CalledOff: true, agent.Cut: true, agent.Spoilt: true,
		agent.Fault: false, agent.Unfit: false, agent.Rejected: false, agent.Unreachable: false, agent.NotSent: false} {
		z := b.hold("z", "pure")
		z.Key = "other"
		b.putOut(z, trial)
		b.ended(agent.Ended{ID: "z", Appliance: 2, Outcome: outcome, Closed: true})
		if (b.oneWay("other") == 2) != bound {
			t.Errorf("after outcome %v the key is bound: %v", outcome, !bound)
		}
		delete(b.keys, "other")
	}
	w := b.hold("w", "pure")
	w.Key = "asked"
	b.putOut(w, trial)
	if b.oneWay("asked") != 0 {
		t.Error("a key is bound before an answer can be")
	}
	if b.now += unseen; b.oneWay("asked") != 2 {
		t.Error("a key is not bound though its answer may be written")
	}
	b.ended(agent.Ended{ID: "w", Appliance: 2, Outcome: agent.Fault})
	if b.oneWay("asked") != 0 || len(b.unsure) != 0 {
		t.Errorf("after a fault: bound to %d, %v", b.oneWay("asked"), b.unsure)
	}
	b.terms["trial.oneway"] = false // the deployment has no such rule
	v := b.hold("v", "pure")
	v.Key = "free"
	b.putOut(v, trial)
	if b.now += unseen; b.oneWay("free") != 0 {
		t.Error("a key is bound where no rule asks for it")
	}
	b.terms["trial.oneway"] = true
	if b.news.Phase = agent.GoingBack; !b.legal(y, early) {
		t.Error("a bound key may not go back though its build does")
	}
}

// Where only answers that were had bind, a slow send at the trial leaves its key free: its copy goes to the build
// that is known, and so does what was called off. Without this good builds of large fleets went back.
func TestOnlyAnswersHadBind(t *testing.T) {
	b := bench(1, map[string]any{"trial.oneway": true, "trial.unseen": false, "trial.allowance": 99.0})
	early, trial := b.join(1, 1), b.join(2, 2)
	b.join(3, 2)
	for outcome, bound := range map[agent.Outcome]bool{agent.Satisfied: true, agent.TimedOut: false,
		agent.CalledOff: false, agent.Cut: false} {
		x := b.hold("x", "pure")
		x.Key = "k"
		b.putOut(x, trial)
		if b.now += 2 * unseen; !b.legal(x, early) || b.choose(x) != early {
			t.Error("the copy of a slow send may not go to the earlier build")
		}
		b.ended(agent.Ended{ID: "x", Appliance: 2, Outcome: outcome, Closed: true})
		if (b.oneWay("k") == 2) != bound {
			t.Errorf("after outcome %v the key is bound: %v", outcome, !bound)
		}
		delete(b.keys, "k")
	}
}

// Silent appliances are left in peace, tried with one send, and trusted again.
func TestHealth(t *testing.T) {
	b := bench(0, nil)
	a, other := b.join(1, 1), b.join(2, 1)
	b.demand.Add(b.now, demandHalf, 1000)
	b.putOut(b.hold("x", "pure"), a)
	b.now += time.Second
	b.heartbeat()
	if a.health != resting || a.ready() || !other.ready() {
		t.Errorf("a silent appliance is in state %v", a.health)
	}
	a.out = 0
	b.now += time.Second
	if b.heartbeat(); a.health != trying || !a.ready() {
		t.Errorf("after its rest it is in state %v", a.health)
	}
	y := b.hold("y", "pure")
	b.putOut(y, a)
	if a.ready() {
		t.Error("a second send goes to an appliance on trial of health")
	}
	b.ended(agent.Ended{ID: "y", Appliance: 1, Outcome: agent.Satisfied, Closed: true})
	if a.health != fit {
		t.Errorf("after an answer it is in state %v", a.health)
	}
}

// Rejections, machines that answer nothing and cold ones are no evidence; slow answers and faults are.
func TestEvidence(t *testing.T) {
	b := bench(1, nil)
	a, early := b.join(1, 2), b.join(2, 1)
	b.workload("pure").timesOn("").Add(b.now, parHalf, 0.05)
	feed := func(to *appliance, outcome agent.Outcome, after time.Duration, cold bool) arm {
		x := b.hold("x", "pure")
		b.arms = [2]arm{{n: 1, sum: 1}, {n: 1, sum: 1}}
		b.weigh(x, &send{to: to, at: b.now, cold: cold}, agent.Ended{Outcome: outcome, After: after})
		return b.arms[b.armOf(to)]
	}
	for _, c := range []struct {
		what    string
		to      *appliance
		outcome agent.Outcome
		after   time.Duration
		cold    bool
		n, sum  float64
	}{
		{"quick", a, agent.Satisfied, 100 * time.Millisecond, false, 2, 2},
		{"slow", a, agent.Satisfied, 300 * time.Millisecond, false, 2, 1.5},
		{"slow, earlier", early, agent.Satisfied, 300 * time.Millisecond, false, 2, 1.5},
		{"fault", a, agent.Fault, 0, false, 2, 1},
		{"cold fault", a, agent.Fault, 0, true, 1, 1},
		{"rejected", a, agent.Rejected, 0, false, 1, 1},
		{"unreachable", a, agent.Unreachable, 0, false, 1, 1},
		{"silent", a, agent.TimedOut, time.Second, false, 1, 1},
	} {
		if got := feed(c.to, c.outcome, c.after, c.cold); got.n != c.n || got.sum != c.sum {
			t.Errorf("%s: %v of %v, want %v of %v", c.what, got.sum, got.n, c.sum, c.n)
		}
	}
	early.listed, a.heard = false, b.now+1
	for _, outcome := range []agent.Outcome{agent.Satisfied, agent.TimedOut} {
		if got := feed(a, outcome, time.Second, false); got.sum != got.n {
			t.Errorf("late with no earlier machine left: outcome %v counts %v of %v", outcome, got.sum, got.n)
		}
	}
}

// Sends out are bounded by how quickly answers come; a transaction held too long is answered at once.
func TestBound(t *testing.T) {
	b := bench(0, map[string]any{"may.advise": true, "return.most": 500 * time.Millisecond})
	b.join(1, 1)
	b.flow(b.workload("pure"), "").most = 0
	x := b.hold("x", "pure")
	if run(b, courses, &x.course, taken, x); len(b.actions) != 0 || len(b.waiting) != 1 {
		t.Errorf("past the bound: %v", b.actions)
	}
	b.now += 126 * time.Millisecond
	b.pollHeld()
	if d := wanted[agent.Defer](b); len(d) != 1 || d[0].Wait <= 0 || d[0].Why != agent.Bounded || len(wanted[agent.Send](b)) != 0 {
		t.Errorf("held past a quarter of the goal: %v, want a deferral with advice", b.actions)
	}
	f := b.flow(b.workload("pure"), "")
	f.most, f.out = 40, 40
	for i := 0; i < 50; i++ {
		f.fill.Add(b.now, fillHalf, 1)
	}
	if b.heartbeat(); f.most >= 40 {
		t.Errorf("answers at the goal time leave the bound at %v", f.most)
	}
}

// One trial machine that fails everything is sick: its outcomes are taken out of its arm, and it rests.
func TestFailingMachine(t *testing.T) {
	b := bench(1, nil)
	a := b.join(1, 2)
	b.join(2, 1)
	b.arms[1], a.given = arm{n: 30, sum: 25}, arm{n: 10, sum: 5}
	for i := 0; i < 5; i++ {
		x := b.hold("x", "effectful")
		b.putOut(x, a)
		b.ended(agent.Ended{ID: "x", Appliance: 1, Outcome: agent.Fault})
	}
	if b.arms[1].n != 20 || b.arms[1].sum != 20 || a.health != resting {
		t.Errorf("counts %v, health %v; want 20 of 20 left and a rest", b.arms[1], a.health)
	}
}

// Counts that one agent tells stand at the hearer, by appliance; what is malformed is dropped whole or by part.
func TestTellAndHear(t *testing.T) {
	x, y := bench(1, map[string]any{"may.tell": true, "agents": 2.0}), bench(1, nil)
	for _, b := range []*Balancer{x, y} {
		b.join(1, 1)
		b.join(2, 2)
	}
	x.arms[1].own = 1
	x.demand.Add(x.now, demandHalf, 100)
	x.fleet[1].untold, x.fleet[2].untold = arm{n: 9, sum: 8.5}, arm{n: 4, sum: 1, faults: 2}
	x.tell()
	told := wanted[agent.Tell](x)
	if len(told) != 1 || told[0].To != 1 || x.untold() != 0 {
		t.Fatalf("told %v", told)
	}
	y.arms[1].n = 1
	for _, data := range [][]byte{told[0].Data, told[0].Data[:9], nil} {
		y.hear(agent.Heard{Data: data})
	}
	if y.arms[0].n != 9 || y.arms[1].n != 5 || y.fleet[1].given.sum != 8.5 || y.fleet[2].given.sum != 1 ||
		y.arms[1].faults != 2 || y.arms[0].faults != 0 {
		t.Errorf("heard %v, given %v and %v", y.arms, y.fleet[1].given, y.fleet[2].given)
	}
}

// A sick machine among four alike is no bad build; four machines that all do as badly are.
func TestSickMachineAmongMany(t *testing.T) {
	for _, sums := range [][4]float64{{49, 49, 49, 10}, {39, 39, 40, 39}} {
		b := bench(1, nil)
		for i, sum := range sums {
			b.join(agent.ApplianceID(i), 2).given = arm{n: 50, sum: sum}
		}
		b.arms = [2]arm{{n: 500, sum: 490}, {n: 200, sum: 157, own: 50}}
		want := agent.Back
		if sums[3] == 10 {
			want = agent.NoVote
		}
		if got := b.verdict(); got != want {
			t.Errorf("payoffs %v of 50: verdict %v, want %v", sums, got, want)
		}
	}
}

// A client's report stands for those that go unreported: one in four is, so four answers lose their payoff.
func TestComplaint(t *testing.T) {
	b := bench(1, map[string]any{"trial.complaints": 0.25})
	a := b.join(1, 2)
	b.arms[1], a.given = arm{n: 30, sum: 30}, arm{n: 10, sum: 10}
	b.complain(agent.Complaint{Appliance: 1, Age: time.Second})
	a.Started = b.now
	b.complain(agent.Complaint{Appliance: 1, Age: time.Second}) // of a machine that had this id before
	if b.arms[1].sum != 26 || a.given.sum != 6 {
		t.Errorf("payoffs %v and %v, want 26 and 6", b.arms[1].sum, a.given.sum)
	}
}

// A sparse agent gives the trial no more first sends than its machines' share, whatever the cap allows.
func TestTrialShareOfSparseAgent(t *testing.T) {
	b := bench(1, map[string]any{"trial.allowance": 1000.0})
	for id := agent.ApplianceID(1); id <= 20; id++ {
		b.join(id, 1).Build = 1 + agent.Build(id)/19 // two run the trial
	}
	trial := 0
	for range 100 {
		b.now += time.Second
		b.take(agent.Taken{ID: "x", Workload: "pure", Left: time.Second})
		if a := b.open["x"].sends[0].to; a.Build == 2 {
			trial++
		}
		b.ended(agent.Ended{ID: "x", Outcome: agent.Satisfied, Closed: true})
	}
	if trial < 7 || trial > 13 {
		t.Errorf("%d of 100 first sends at two machines of twenty, want about ten", trial)
	}
}

// One workload that waits everywhere shrinks its own bound and no other's.
func TestSlowWorkloadChokesItself(t *testing.T) {
	b := bench(0, nil)
	slow, quick := b.flow(b.workload("receipted"), ""), b.flow(b.workload("pure"), "")
	slow.most, quick.most, slow.out, quick.out = 40, 40, 20, 20
	for range 50 {
		b.now += beat
		slow.fill.Add(b.now, fillHalf, 2)
		quick.fill.Add(b.now, fillHalf, 0.2)
		b.heartbeat()
	}
	if slow.most > 20 || quick.most < 20 {
		t.Errorf("bounds %v and %v", slow.most, quick.most)
	}
}

// Where agents are many, few vote; the platform's counts move a sparse agent's verdict, and bad ones are dropped.
func TestTallies(t *testing.T) {
	terms := map[string]any{"agents": 300.0, "trial.control": "single", "tally.every": time.Second}
	for number, want := range map[float64]agent.Verdict{0: agent.Back, 200: agent.NoVote} {
		terms["number"] = number
		b := bench(1, terms)
		for id := agent.ApplianceID(1); id <= 20; id++ {
			b.join(id, 1+agent.Build(id)/19)
		}
		for range 20 {
			b.now += time.Second
			b.count(agent.Tally{Build: 1, Workload: "pure", Sends: 100, Failed: 2, Mean: 50 * time.Millisecond})
			b.count(agent.Tally{Build: 2, Workload: "pure", Sends: 10, Failed: 4, Mean: 50 * time.Millisecond})
			b.count(agent.Tally{Build: 2, Workload: "pure", Sends: 1, Failed: 9})
		}
		if got := b.verdict(); got != want || b.tallied(1, arm{}).n != 200 {
			t.Errorf("agent %v: verdict %v, want %v; trial %v", number, got, want, b.tallied(1, arm{}))
		}
	}
}

// A sick machine rests longer with an agent that comes by seldom.
func TestRestOfSparseAgent(t *testing.T) {
	b := bench(0, nil)
	a := b.join(1, 1)
	b.up = 20
	b.demand.Add(b.now, demandHalf, 2*demandHalf.Seconds()/math.Ln2) // two a second, each machine every ten
	if b.rest(a); (a.until - b.now).Round(time.Millisecond) != 5*time.Second {
		t.Errorf("rests for %v, want 5s", a.until-b.now)
	}
}

// A build that turns bad with its machines' age is blamed by the oldest ones, though many young ones do well.
func TestBlameByStage(t *testing.T) {
	b := bench(1, nil)
	for id := agent.ApplianceID(0); id < 12; id++ {
		a := b.join(id, 2)
		if a.given = (arm{n: 60, sum: 60}); id < 4 {
			a.given.sum = 45
		} else {
			a.stage = 1
		}
	}
	b.arms = [2]arm{{n: 600, sum: 597}, {n: 720, sum: 660, own: 50}}
	if b.news.Stage = 1; b.verdict() != agent.Back {
		t.Errorf("verdict %v, want back", b.verdict())
	}
}

// Quick faults of all builds are no harm to all, and what a build was blamed for ends with it.
func TestBlameEndsWithItsBuild(t *testing.T) {
	b := bench(1, nil)
	early := b.join(1, 1)
	x := b.hold("x", "pure")
	for range 50 {
		b.weigh(x, &send{to: early, at: b.now}, agent.Ended{Outcome: agent.Fault})
	}
	if b.lately.Weight(b.now, latelyHalf) != 0 {
		t.Error("faults count as harm to all")
	}
	b.abstain, b.blamedTill, b.news.Build = true, b.now+time.Minute, 3
	if b.newSubject(); b.abstain || b.blamedTill > b.now || b.verdict() == agent.Back {
		t.Error("the next build is blamed for the last one")
	}
}

// An id that comes back with another build, or after a restart, is a new machine: it owes nothing, nothing is known of
// its health, and what still ends at the old one binds no key and weighs for no build there.
func TestIdComesBack(t *testing.T) {
	b := bench(0.5, map[string]any{"trial.oneway": true})
	old := b.join(1, 1)
	old.health, old.streak = resting, 2
	x := b.hold("x", "pure")
	x.Key = "k"
	b.putOut(x, old)
	b.enlist(agent.ListNews{Kind: agent.Changes, Entries: []agent.Appliance{{ID: 1, Build: 2, Started: agent.LongAgo}}})
	a := b.fleet[1]
	if len(b.order) != 1 || b.order[0] != a || a.out != 0 || a.health != fit || a.streak != 0 || a.Build != 2 {
		t.Errorf("%d machines, the new one %+v", len(b.order), a)
	}
	b.ended(agent.Ended{ID: "x", Appliance: 1, Outcome: agent.Satisfied, After: time.Millisecond, Closed: true})
	if len(b.keys) != 0 || b.arms[1].n != 0 || a.out != 0 {
		t.Errorf("keys %v, the trial's outcomes %v, out %d", b.keys, b.arms[1].n, a.out)
	}
}

// A spoilt answer comes from any machine alike: it blames no build, shows that the machine lives, may have run, and
// binds its key, as the answer was written.
func TestSpoiltAnswer(t *testing.T) {
	b := bench(0.5, map[string]any{"trial.oneway": true, "trial.allowance": 9.0})
	trial, other := b.join(2, 2), b.join(3, 2)
	trial.streak = 2
	for effect, want := range map[agent.Workload]agent.Action{"pure": agent.Send{ID: "pure", Appliance: other.ID},
		"effectful": agent.BreakOff{ID: "effectful", Why: agent.MayHaveRun}} {
		x := b.hold(agent.TransactionID(effect), effect)
		x.Key = agent.Key(effect)
		b.putOut(x, trial)
		b.ended(agent.Ended{ID: x.ID, Appliance: trial.ID, Outcome: agent.Spoilt, After: time.Millisecond})
		if !slices.Contains(b.actions, want) {
			t.Errorf("%s: %v, want %v", effect, b.actions, want)
		}
		b.actions = nil
		if b.oneWay(x.Key) != 2 {
			t.Errorf("%s: its key is not bound", effect)
		}
	}
	if b.arms[1].n != 0 || trial.streak != 0 || trial.health != fit {
		t.Errorf("outcomes %v, %+v", b.arms[1].n, trial)
	}
}

// News that comes late, by a vote's answer or an older stream, does not take the place of newer.
func TestOldNews(t *testing.T) {
	b := bench(0.5, nil)
	for _, x := range []struct {
		news agent.TrialNews
		old  bool
	}{{agent.TrialNews{Build: 2, Stage: 1}, false}, {agent.TrialNews{Build: 2}, true}, {agent.TrialNews{Build: 1, Phase: agent.Released}, true},
		{agent.TrialNews{Build: 2, Stage: 2, Phase: agent.Released}, false}, {agent.TrialNews{Build: 2, Stage: 2}, true},
		{agent.TrialNews{Build: 2, Stage: 2, Phase: agent.GoingBack}, false}, {agent.TrialNews{Build: 2, Stage: 2, Phase: agent.Released}, true},
		{agent.TrialNews{Build: 2, Stage: 2, Phase: agent.Withdrawn}, false}, {agent.TrialNews{Build: 3}, false}} {
		if b.hearNews(x.news); (b.news == x.news) == x.old {
			t.Errorf("after %+v: %+v", x.news, b.news)
		}
	}
}

// Nothing grows with what has passed through: after many transactions, keys, machines and builds none is left.
func TestNothingGrows(t *testing.T) {
	b := bench(0.5, map[string]any{"trial.oneway": true, "trial.control": "single"})
	now := b.now
	step := func(e agent.Event) []agent.Action { return b.Step(now, e) }
	for build := range agent.Build(20) {
		step(agent.TrialNews{Build: build + 3, Cap: 0.5})
		var list []agent.Appliance
		for i := range 6 {
			id := agent.ApplianceID(int(build)%3*6 + i)
			list = append(list, agent.Appliance{ID: id, Build: build + 2 + agent.Build(i%2), Started: now - time.Minute,
				Standing: agent.Standing(i % 5 / 4)}) // one drains, and is never told to be gone
		}
		step(agent.ListNews{Kind: agent.Whole, Entries: list})
		for i := range 200 {
			now += 5 * time.Millisecond
			id := agent.TransactionID(string(rune(1000*int(build) + i + 5000)))
			for _, a := range step(agent.Taken{ID: id, Workload: "pure", Key: agent.Key(id), Left: time.Second}) {
				if s, ok := a.(agent.Send); ok {
					step(agent.Ended{ID: id, Appliance: s.Appliance, Outcome: agent.Satisfied, After: time.Millisecond, Closed: true})
				}
			}
		}
	}
	now += 10 * time.Second
	for id := range b.timers {
		step(agent.Due{Timer: id})
	}
	step(agent.TrialNews{Build: 99, Cap: 0.5})
	step(agent.ListNews{Kind: agent.Whole})
	if len(b.open)+len(b.late)+len(b.waiting)+len(b.keys)+len(b.unsure)+len(b.fleet)+len(b.order) > 0 || len(b.exposure) > 1 || len(b.flows) > 1 ||
		len(b.timers) > 1 {
		t.Errorf("open %d, late %d, waiting %d, keys %d, fleet %d, order %d, exposure %d, flows %d, timers %d", len(b.open), len(b.late),
			len(b.waiting), len(b.keys), len(b.fleet), len(b.order), len(b.exposure), len(b.flows), len(b.timers))
	}
}

// Faults are told apart from slowness: three in a hundred against none in a thousand send a build back where slow
// answers hide them in both means, and hold 'on' back before. As many in both arms, or those of one sick machine among
// three, do not.
func TestFaultsCountApart(t *testing.T) {
	b := bench(0.5, map[string]any{"trial.control": "single"})
	set := func(early, trial, sick float64) {
		b.fleet, b.order, b.doubtTill = map[agent.ApplianceID]*appliance{}, nil, 0
		b.arms = [2]arm{{picked: 900}, {picked: 300, own: 100}}
		b.credit(b.join(3, 2), arm{n: 100, sum: 93, faults: trial})
		b.credit(b.join(4, 2), arm{n: 100, sum: 93, faults: trial})
		b.credit(b.join(5, 2), arm{n: 100, sum: 92, faults: trial + sick})
		b.credit(b.join(1, 1), arm{n: 600, sum: 558, faults: early / 2})
		b.credit(b.join(2, 1), arm{n: 600, sum: 558, faults: early / 2})
	}
	for _, x := range []struct {
		early, trial, sick float64
		want               agent.Verdict
	}{{0, 0, 0, agent.On}, {0, 1, 0, agent.NoVote}, {0, 5, 0, agent.Back}, {60, 5, 0, agent.On}, {0, 0, 6, agent.NoVote}} {
		if set(x.early, x.trial, x.sick); b.verdict() != x.want {
			t.Errorf("%+v: verdict %v", x, b.verdict())
		}
	}
	b.complain(agent.Complaint{Appliance: 3})
	if b.arms[1].faults != 6 {
		t.Errorf("%v faults after a complaint", b.arms[1].faults)
	}
	// With no earlier machine left, faults may be sick machines': a hundredth has to fail, over all stages together.
	for _, x := range []struct {
		faults, sick float64
		lone, alone  bool
		want         agent.Verdict
	}{{5, 0, false, false, agent.Back}, {5, 0, false, true, agent.Back}, {1, 0, false, true, agent.On},
		{0, 8, true, false, agent.Back}, {0, 8, true, true, agent.NoVote}} {
		set(0, x.faults, x.sick)
		if x.lone {
			b.fleet[5].stage = 1
		}
		b.fleet[1].listed, b.fleet[2].listed = !x.alone, !x.alone
		if v := b.verdict(); v != x.want {
			t.Errorf("%+v: verdict %v", x, v)
		}
	}
}

// A request that an appliance cannot use blames neither build nor machine, and is broken off at once: bad clients send
// hundreds that look like any other, and each used to be sent to one machine after the other.
func TestUnfitRequests(t *testing.T) {
	b := bench(0.5, nil)
	a := b.join(1, 2)
	b.join(2, 2)
	a.streak = 2
	for range 10 {
		x := b.hold("x", "pure")
		b.putOut(x, a)
		b.ended(agent.Ended{ID: "x", Appliance: 1, Outcome: agent.Unfit, After: time.Millisecond})
		if len(b.actions) != 1 || b.actions[0] != (agent.BreakOff{ID: "x", Why: agent.NotUsable}) || b.open["x"] != nil {
			t.Fatalf("actions %v", b.actions)
		}
	}
	if b.arms[1].n != 0 || a.faulty != 0 || a.streak != 0 || a.health != fit || a.out != 0 {
		t.Errorf("outcomes %v, %+v", b.arms[1].n, a)
	}
}

// A machine that most agents' sends fail at is sick, though this agent has seen none of them: it rests and is no evidence.
func TestSickMachineToldOf(t *testing.T) {
	b := bench(0.5, nil)
	sick, other := b.join(1, 2), b.join(2, 2)
	if b.learn(other, arm{n: 4, sum: 3, faults: 1}); b.arms[1].n != 4 || other.health != fit {
		t.Errorf("one fault in four: %v counted, health %v", b.arms[1].n, other.health)
	}
	b.learn(sick, arm{n: 2, sum: 0, faults: 2})
	if sick.health != fit {
		t.Error("two faults in a row make a machine sick")
	}
	b.learn(sick, arm{n: 4, sum: 0, faults: 4})
	if b.arms[1].n != 4 || sick.given.n != 0 || sick.health != resting {
		t.Errorf("%v counted, %v of the sick one's, health %v", b.arms[1].n, sick.given.n, sick.health)
	}
}

// Three agents must find a machine sick within half a second before one tells all; what is told to all is heeded, unless
// something has just come from there or half of all rest; a word that it is well ends the rest.
func TestSickMachinesCried(t *testing.T) {
	b := bench(0.5, map[string]any{"may.tell": true, "agents": 80.0, "number": 0.0})
	var all []*appliance
	for id := range agent.ApplianceID(6) {
		all = append(all, b.join(id+1, 1))
	}
	said := func(from agent.PeerNo, kind int, a *appliance) {
		b.hear(agent.Heard{From: from, Data: cryData(kind, []agent.ApplianceID{a.ID})})
		for id, f := range b.timers { // the turn of agent 0 comes at once
			delete(b.timers, id)
			f()
		}
	}
	a := all[0]
	said(1, 0, a)
	said(1, 0, a)
	said(2, 0, a)
	if b.now += cried + time.Millisecond; a.health != fit {
		t.Error("two are believed")
	}
	said(3, 0, a)
	said(1, 0, a)
	if a.health != fit {
		t.Error("what was said more than half a second ago counts")
	}
	said(2, 0, a)
	b.cry()
	if told := wanted[agent.Tell](b); a.health != resting || len(told) != 1 || !told[0].All || told[0].Data[0] != 2 {
		t.Fatalf("three: health %v, told %v", a.health, told)
	}
	b.actions = nil
	busy := all[5]
	for range 40 { // 5.5 a second, 440 by all, 73 at each machine: 37 in half a second, of which 19 make half
		b.demand.Add(b.now, demandHalf, 1)
	}
	for from := range agent.PeerNo(18) {
		said(from+10, 0, busy)
	}
	if busy.health != fit {
		t.Error("18 of 37 are believed")
	}
	if said(40, 0, busy); busy.health != resting {
		t.Error("half of those who send there are not believed")
	}
	b.cry()
	b.actions, b.demand = nil, gauge.Decaying{}
	busy.health = fit
	for _, from := range []agent.PeerNo{4, 5, 6} {
		said(from, 0, a)
	}
	if b.cry(); len(wanted[agent.Tell](b)) != 0 {
		t.Error("what all know is told again")
	}
	said(9, 1, a)
	if a.health != trying {
		t.Errorf("well again: health %v", a.health)
	}
	all[1].heard = b.now - 100*time.Millisecond
	if said(1, 2, all[1]); all[1].health != fit {
		t.Error("a machine that has just answered rests")
	}
	said(1, 2, all[2])
	said(1, 2, all[3])
	if said(1, 2, all[4]); all[3].health != resting || all[4].health != fit {
		t.Errorf("healths %v and %v, want half at rest and no more", all[3].health, all[4].health)
	}
	for _, noise := range [][]byte{{}, {0}, {0, 1, 2, 3}, {7, 0, 0, 0, 5}, {2, 9, 9, 9, 9}, {0, 0, 0, 0, 5, 1}} {
		if b.hear(agent.Heard{From: 1, Data: noise}); all[4].health != fit {
			t.Errorf("%v is believed", noise)
		}
	}
}

// What this agent finds is told to six, that a machine is well to all, and neither without leave to tell.
func TestCries(t *testing.T) {
	for _, c := range []struct {
		may      bool
		sick, ok int
	}{{true, 5, 1}, {false, 0, 0}} {
		b := bench(0.5, map[string]any{"may.tell": c.may, "agents": 80.0, "number": 3.0})
		a := b.join(1, 1)
		run(b, healths, &a.health, sick, a)
		b.cry()
		if n := len(wanted[agent.Tell](b)); n != c.sick {
			t.Errorf("may tell %v: sick told %d times", c.may, n)
		}
		b.actions, a.knownAt, a.health = nil, b.now, trying
		run(b, healths, &a.health, well, a)
		b.cry()
		if n := len(wanted[agent.Tell](b)); n != c.ok || a.knownAt != 0 {
			t.Errorf("may tell %v: well told %d times", c.may, n)
		}
	}
}

// Contradictory settings of the fleet lead to fewer words and no votes, never to a crash or a wider share.
func TestContradictorySettings(t *testing.T) {
	for name, c := range map[string]struct {
		agents, number float64
		told           int
	}{"no agents": {0, 0, 0}, "alone": {1, 0, 0}, "number out of range": {3, 400, 3}, "number below none": {80, -1, 6}} {
		b := bench(0.1, map[string]any{"may.tell": true, "agents": c.agents, "number": c.number, "trial.control": "single",
			"trial.allowance": 1.0})
		a, other := b.join(1, 2), b.join(2, 1)
		b.doubt(other, 7)
		run(b, healths, &a.health, sick, a)
		b.heartbeat()
		if told := wanted[agent.Tell](b); len(told) != c.told {
			t.Errorf("%s: told %d", name, len(told))
		}
		x := b.hold("x", "pure")
		b.takes.Add(b.now, time.Minute)
		if !b.exposable(x, a) {
			t.Errorf("%s: the first send to the trial is not let out", name)
		}
		b.putOut(x, a)
		if b.exposable(x, a) {
			t.Errorf("%s: a second send to the trial is let out", name)
		}
		b.arms = [2]arm{{picked: 900, n: 900, sum: 900}, {picked: 100, n: 100, sum: 10, own: 100}}
		if v := b.verdict(); c.number > 100 && v != agent.NoVote {
			t.Errorf("%s: verdict %v", name, v)
		}
	}
}

// A listed machine that takes no connection has the list asked for anew, spread by chance and not again soon.
func TestMachinesThatTakeNoConnection(t *testing.T) {
	b := bench(0.5, map[string]any{"discovery": "asked", "discovery.within": 9 * time.Second})
	a := b.join(1, 1)
	b.heeded, b.askTill = true, b.now+time.Minute // and the last list came long ago
	x := b.hold("x", "pure")
	b.putOut(x, a)
	b.ended(agent.Ended{ID: "x", Appliance: 1, Outcome: agent.Unreachable})
	at := b.askTill
	if b.heeded || at > b.now+4500*time.Millisecond {
		t.Error("asks for no list")
	}
	b.now = at
	b.askAnew()
	at = b.askTill
	for range 50 { // machines that take no connection are met ten times a second; discovery is short of time already
		b.now += 80 * time.Millisecond
		b.askSoon()
	}
	if b.askTill != at {
		t.Error("asks again within half of the time")
	}
	b.now += time.Second
	if b.askSoon(); b.askTill == at {
		t.Error("does not ask again later")
	}
}

// Discovery that is short of time turns calls away and the watch stands with nothing on it: agents ask at different moments,
// and again until a list has come; what was remembered at the start and an empty list are none.
func TestAsksUntilAListComes(t *testing.T) {
	first := map[time.Duration]bool{}
	for seed := range uint64(20) {
		b := New(seed*0x9e3779b97f4a7c15+12345, map[string]any{"discovery": "asked", "discovery.within": 9 * time.Second})
		b.Step(0, agent.ListNews{Kind: agent.Remembered, Entries: []agent.Appliance{{ID: 1}}})
		asked := len(wanted[agent.Subscribe](b))
		step := func(until time.Duration) {
			for ; b.now < until; b.now += beat {
				b.actions = nil
				b.askAnew()
				if n := len(wanted[agent.Subscribe](b)); n > 0 && asked == 0 {
					first[b.now/(100*time.Millisecond)] = true
				}
				asked += len(wanted[agent.Subscribe](b))
			}
		}
		if step(4600 * time.Millisecond); asked != 1 {
			t.Fatalf("asked %d times in 4.5 s", asked)
		}
		b.follow(agent.ListNews{Kind: agent.Changes})
		if step(40 * time.Second); asked < 3 || asked > 6 {
			t.Errorf("asked %d times in 40 s without an answer", asked)
		}
		b.follow(agent.ListNews{Kind: agent.Changes, Entries: []agent.Appliance{{ID: 2}}})
		was := asked
		if step(90 * time.Second); asked != was {
			t.Error("asks on once a list has come")
		}
	}
	if len(first) < 8 {
		t.Errorf("20 agents ask at %d moments", len(first))
	}
}

// A fleet of agents that see little would all spend their whole cap at the trial's few machines in the moment at which these
// are listed: 80 times what one may send at once. Each follows the machines' share from the first send on, spread by chance.
func TestSparseAgentsDoNotRushTheTrial(t *testing.T) {
	sent, most := 0, 0
	for seed := range uint64(80) {
		b := bench(0.12, map[string]any{"trial.window": 6 * time.Second, "trial.allowance": 3.0,
			"trial.caps": []float64{0.12, 0.42, 1}})
		b.dice = seed*0x9e3779b97f4a7c15 + 1
		for id := range agent.ApplianceID(60) {
			b.join(id+1, agent.Build(1+(id%10)/9)) // every tenth runs the build on trial
		}
		b.subject = 1
		b.newSubject()
		for range 170 {
			b.takes.Add(b.now-time.Second, time.Minute)
			b.demand.Add(b.now, demandHalf, 1) // 25 a second, for which the allowance alone is no rush
		}
		if !b.sparse() || b.rate(&b.demand) < 3/(0.2*0.12*6) {
			t.Fatal("not the agent that is meant")
		}
		mine := 0
		for i := range 12 {
			id := agent.TransactionID([]byte{byte(i)})
			b.take(agent.Taken{ID: id, Workload: "pure", Left: time.Second})
			if x := b.open[id]; x != nil && len(x.sends) > 0 && x.sends[0].to.Build == 2 {
				mine++
			}
		}
		sent, most = sent+mine, max(most, mine)
	}
	if sent < 40 || sent > 160 || most > 3 { // a tenth of 960 is 96
		t.Errorf("%d of 960 to the trial, %d of 12 by one agent", sent, most)
	}
}

// A front whose wire answers each call has it made once, at the start, as a failed one is told.
func TestAsksOnceWhereToldOfFailure(t *testing.T) {
	b := New(1, map[string]any{"discovery": "asked", "discovery.unsure": false})
	b.Step(0, agent.ListNews{Kind: agent.Remembered, Entries: []agent.Appliance{{ID: 1}}})
	asked := len(wanted[agent.Subscribe](b))
	for b.now < 30*time.Second {
		b.now += beat
		b.actions = nil
		b.askSoon()
		b.askAnew()
		asked += len(wanted[agent.Subscribe](b))
	}
	if asked != 1 {
		t.Errorf("asked %d times", asked)
	}
}
