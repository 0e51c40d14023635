package decide

import (
	"math"
	"time"

	"sagelever/agent"
	"sagelever/arms"
)

// The build on trial: who may be exposed to it, what is counted of both builds, and the vote.

// onTrial tells whether the exposure rule holds for a build, and under which cap, by all states that bind.
func (b *Balancer) onTrial(build agent.Build) (trial bool, share float64) {
	share = 1
	for _, n := range b.states() {
		switch {
		case build < n.Build || build == n.Build && n.Phase == agent.Released:
		case build > n.Build: // not announced yet: as in the first stage
			trial, share = true, min(share, append(term(b, "trial.caps", []float64{0}), 0)[0])
		default:
			trial, share = true, min(share, n.Cap)
		}
	}
	return trial, share
}

// exposable is the exact check of the exposure rule for one more send. The window is stretched by two ticks
// for sends and cut by two for what was taken, so that its ends never fall against us.
func (b *Balancer) exposable(t *transaction, a *appliance) bool {
	trial, share := b.onTrial(a.Build)
	if !trial {
		return true
	}
	guarded := term(b, "trial.guarded", 0.0)
	early := guarded > 0 && (a.Build > b.news.Build || float64(b.news.Stage) < guarded)
	if share == 0 || early && t.work.effect != "pure" {
		return false
	}
	sends, takes := b.lane(a.Build, t.work)
	window, edge := b.window()
	used, took := sends.Count(b.now, window+edge), takes.Count(b.now, window-edge)
	return float64(used+1) <= term(b, "trial.allowance", 0.0)+share*float64(took)
}

const unseen = 100 * time.Millisecond // where an unseen answer counts, it does so 150 ms after its writing

// feared tells whether a key may count as answered by an answer that this agent never had. The simulator's
// wire counts those that it had; a network counts what was written, so a front on sockets fears, and so does
// any that says nothing. Fear is dear: a slow send binds its own key, its copy then only goes to the trial's
// few cold machines, and good builds look slow. It acts nowhere that the rule does not ask for it.
func (b *Balancer) feared() bool {
	return term(b, "trial.oneway", false) && term(b, "trial.unseen", true)
}

const demandHalf = 5 * time.Second // long enough that a burst does not pass for capacity

// sparse tells whether this agent sees each machine less than once a second: too little to tell its load.
func (b *Balancer) sparse() bool { return b.visit() > time.Second }

// loose tells whether the allowances add a fifth or more to what the first stage's cap gives this agent, or
// it is one of many: all would else spend their caps at the trial's few machines the moment these are listed.
func (b *Balancer) loose() bool {
	free, share := term(b, "trial.allowance", 0.0), append(term(b, "trial.caps", []float64{0}), 0)[0]
	if term(b, "trial.counts", "") == "per_lane" {
		free *= float64(len(b.work))
	}
	cap := share * b.rate(&b.demand) * term(b, "trial.window", time.Minute).Seconds()
	return b.sparse() && !b.byTally() || free > 0.2*cap
}

// byTally tells whether the platform's counts judge: own outcomes would tell more, but are too few.
func (b *Balancer) byTally() bool { return b.sparse() && term(b, "tally.every", time.Duration(0)) > 0 }

// weigh adds one outcome to its arm. Payoff is 1 for a send satisfied within four times what the earlier
// build took, before the trial began, for the same workload on the same kind of machine (within the goal
// where that is not known): a slow build shows there long before it misses goals. One answer in fifty takes
// that long by chance; at twice the work one in seven does.
func (b *Balancer) weigh(t *transaction, s *send, e agent.Ended) {
	w, i := t.work, b.armOf(s.to)
	par, ref := w.goal.Seconds(), w.timesOn(s.to.Kind)
	took, times := e.After.Seconds(), 4.0
	if told := e.Load["latency_ms"]; told > 0 && e.Outcome == agent.Satisfied {
		// A machine's own recent service time is the better measure: a mean without waiting, which a burst
		// leaves alone, so twice the usual is no chance.
		took, times = told/1000, 2
	}
	if ref.Weight(b.now, parHalf) > 0.1 {
		par = times * ref.Read(b.now, parHalf, 0, 0)
	}
	slow := took > par && (b.warmth(s.to) >= 1 || e.Outcome != agent.Satisfied) // warming up is no slowness
	silent := e.Outcome == agent.TimedOut || e.Outcome == agent.Cut || e.Outcome == agent.CalledOff
	switch {
	case s.to.failing(), s.cold, e.Outcome == agent.Spoilt, e.Outcome == agent.Unfit, !mayHaveRun(e.Outcome):
		return // sick and cold machines mislead, spoilt answers and unfit requests meet both builds
	case e.Outcome == agent.CalledOff && !slow, silent && s.to.heard < s.at:
		return // a machine that answers nothing is sick, whatever build it runs
	}
	if e.Outcome == agent.Satisfied {
		if i == 0 && b.arms[1].n == 0 {
			ref.Add(b.now, parHalf, took)
		}
		if !b.byTally() {
			b.served(1, 200*time.Millisecond)
		}
	}
	if e.Outcome != agent.Fault { // quick faults everywhere, as worthless requests get, slow no machine
		b.felt(unit(e.Outcome == agent.Satisfied && !slow), i == 0 && b.arms[1].n == 0)
	}
	// Arms are compared over the same time, else a burst or a slowdown of all would count against the one with
	// little traffic before: the earlier one counts from the trial's first outcome on, and what is lost to time
	// while both have machines. The last stage in place leaves the trial all the load, on cold machines.
	if slow = slow && b.stands(1-i); silent && !b.stands(1-i) {
		return
	}
	worth := 0.0
	if e.Outcome == agent.Satisfied {
		if worth = 1; slow { // half: load, cold machines and slower kinds make some slow, but none fail
			worth = 0.5
		}
	}
	b.own(s.to, worth, e.Outcome == agent.Fault)
}

// count takes what the platform counted: payoffs and times as they were before the trial, then, while both
// builds have machines past their cold time, the arms' counts. Slow is twice the earlier time, as in weigh.
func (b *Balancer) count(e agent.Tally) {
	w, i, ok := b.workload(e.Workload), 0, float64(e.Sends-e.Failed)
	if e.Build == b.subject {
		i = 1
	}
	if e.Sends <= 0 || ok < 0 || !b.byTally() {
		return
	}
	good := 1.0
	if ref := w.tallied.Read(b.now, parHalf, 0, 0); ref > 0 { // up to twice may be load
		good = min(1, 2*ref/max(e.Mean.Seconds(), ref))
	}
	b.felt(good, i == 0 && !b.stands(1))
	b.served(ok, term(b, "tally.every", time.Duration(0))/2)
	begin := b.now - e.Age - term(b, "tally.every", time.Duration(0))
	switch x := &w.tally[i]; {
	case !b.stands(1) && i == 0:
		w.tallied.Add(b.now, parHalf, e.Mean.Seconds())
	case b.stands(0) && b.stands(1) && begin > b.stageStart()+coldFor:
		x.n, x.sum, x.time = x.n+float64(e.Sends), x.sum+ok, x.time+ok*e.Mean.Seconds()
	}
}

// tallied adds the platform's counts: half a payoff where a workload takes twice the other arm's time.
func (b *Balancer) tallied(i int, e arm) arm {
	for _, w := range b.work {
		x, y := w.tally[i], w.tally[1-i]
		e.n, e.sum = e.n+x.n, e.sum+x.sum
		if x.time*y.sum > 2*y.time*x.sum {
			e.sum -= x.sum / 2
		}
	}
	return e
}

// complain takes back the payoff of an answer that a client found wrong, and of those that went unreported.
func (b *Balancer) complain(e agent.Complaint) {
	if a := b.fleet[e.Appliance]; a != nil && b.now-e.Age >= a.Started {
		b.credit(a, arm{sum: -min(1/term(b, "trial.complaints", 1.0), a.given.sum)})
	}
}

const parHalf = 20 * time.Second // much longer than any burst

// track is D-Tracking to w*.
func (b *Balancer) track() int {
	if arms.Track(b.arms[0].counted(), b.arms[1].counted()) {
		return 1
	}
	return 0
}

const paceHalf, latelyHalf = 2 * time.Second, time.Second // shorter than a burst

// harmed is the exception for builds that slow all machines alike, which Z never blames: payoffs over both
// arms 0.15 below those before the trial, with no more satisfied a second than then, as in a burst. While it
// lasts the agent casts no 'on'. After two seconds it sends the trial nothing for four: harm that goes away
// with the trial's traffic is the build's, what stays the fleet's own, unless it outlasts ten seconds.
func (b *Balancer) harmed() (now, blamed bool) {
	gap := b.before.Read(b.now, parHalf, 0, 0) - b.lately.Read(b.now, latelyHalf, 0, 0)
	busier := b.pace.Read(b.now, paceHalf, 0, 0) > 1.1*b.paceWas.Read(b.now, parHalf, 0, 0)
	now = gap > 0.15 && !busier && b.lately.Weight(b.now, latelyHalf) > 6 && b.before.Weight(b.now, parHalf) > 1
	if b.abstain && gap < 0.08 {
		b.blamedTill = b.now + 5*time.Second
	}
	if !now {
		b.harmSince = b.now
	}
	since := b.now - b.harmSince
	b.abstain = since > 2*time.Second && since < 6*time.Second
	b.blamed = since > 10*time.Second || b.now < b.blamedTill
	return now, b.blamed
}

// evidence is an arm's counts and, of those, each stage's machines', without the worst quarter that came
// together: a bad build hurts all, sick ones are few. A build that hurts a quarter at most would pass.
func (b *Balancer) evidence(i int) (all arm, stages [8]arm) {
	all = b.arms[i]
	for s, group := range b.byStage(i) {
		for k, a := range group {
			if len(group) > 1 && 4*k < len(group) {
				all.add(a.given, -1)
			} else {
				stages[s].add(a.given, 1)
			}
		}
	}
	return b.tallied(i, all), stages
}

// behind tells whether the trial lags by more than a gap, with Z (extra added to its mean) above a bar.
func behind(early, trial arm, gap, extra, bar float64) bool {
	return trial.mean()+gap < early.mean() && statistic(early, trial, extra) > bar
}

// worse tells whether the trial is behind, as a whole or in the machines of one stage: a build may turn bad
// with its machines' age, and younger ones hide it.
func (b *Balancer) worse(margin, wall float64) bool {
	early, _ := b.evidence(0)
	trial, stages := b.evidence(1)
	for _, x := range append(stages[:], trial) {
		if behind(early, x, margin, margin, wall) || b.stands(0) && behind(early.sound(), x.sound(), 0, 0, wall) {
			return true
		}
	}
	return behind(early.sound(), trial.sound(), b.alone(), 0, wall)
}

// alone is the share of faults that counts by itself against a build with no earlier machine left beside it:
// machines that begin to fail would fail the earlier build as well, and would not be seen to. A third of the
// margin, and over all stages together, as one often has a lone machine: few on sick ones stay under it.
func (b *Balancer) alone() float64 {
	if b.stands(0) {
		return 0
	}
	return 0.01
}

// verdict is what the counts say of the build on trial. The threshold is log(2t·n/δ), δ 0.1: a wrong vote
// costs about as much as ten needless seconds of a trial. What other agents tell
// counts too: it shows sooner what is bad, and is there again after a restart. Only an agent with ten trial
// outcomes of its own votes, or a sparse one that has been told of four times that.
func (b *Balancer) verdict() agent.Verdict {
	early, trial := b.tallied(0, b.arms[0]), b.tallied(1, b.arms[1])
	t := max(early.picked+trial.picked, early.n+trial.n, 1)
	phase, wall := b.news.Phase, arms.Threshold(t, term(b, "agents", 1.0), 0.1)
	if b.subject != b.news.Build || phase == agent.GoingBack || phase == agent.Withdrawn {
		return agent.NoVote
	}
	harmed, blamed := b.harmed()
	if int(b.number()) >= b.hearers() {
		return agent.NoVote
	}
	const margin, least, wait = 0.03, 10, 3 * time.Second
	enough := trial.own >= least || b.sparse() && trial.n >= 4*least
	if blamed || enough && b.worse(margin, wall) {
		return agent.Back
	}
	// Fallback votes stop at a smaller doubt, as one moment of one agent moves a stage and the last leaves
	// nothing to compare with: an eighth, as good builds stay under it. But not for what would not matter.
	clocked, bar, gap := term(b, "trial.control", "") == "clocked", wall/8, margin/2
	if clocked {
		bar, gap = wall/2, 0
	}
	doubt := behind(early, trial, gap, 0, bar) || behind(early.sound(), trial.sound(), b.alone(), 0, bar)
	if doubt && enough { // a doubt that comes and goes would let one moment between decide
		b.doubtTill = b.now + wait
	}
	switch {
	case phase == agent.Released, clocked && !doubt:
		return agent.NoVote
	case clocked:
		return agent.Hold
	case b.small(), !enough, harmed, b.now < b.doubtTill, trial.n < least*math.Pow(float64(b.news.Stage+1), 2):
		// Each stage risks more, so an agent that has seen little of the trial by then leaves it to others.
		return agent.NoVote
	case trial.mean() > early.mean() && statistic(early, trial, 0) > wall, b.now > b.stageStart()+wait:
		return agent.On
	}
	return agent.NoVote
}

// small tells whether an agent is one among busier ones, by the platform's counts: those judge better.
func (b *Balancer) small() bool {
	counted := term(b, "tally.sample", 0.0) * float64(b.up) * term(b, "agents", 1.0)
	return b.byTally() && b.pace.Read(b.now, paceHalf, 0, 0) > counted
}

// judge keeps the agent's vote in step with its verdict: cast, changed, renewed and withdrawn.
func (b *Balancer) judge() {
	v, o := b.verdict(), &b.ballot
	stage := min(b.news.Stage+b.ahead, agent.Stage(len(term(b, "trial.caps", []float64{0}))-1))
	switch {
	case !b.told, b.now < o.notTill, o.state == asked && b.now-o.at <= term(b, "vote.wait", time.Second)+beat:
	case o.state == asked:
		run(b, votes, &o.state, lapse, o)
	case v == agent.NoVote && (o.state == silent || o.build != b.news.Build):
		*o = ballot{}
	case v != o.verdict, o.state == silent, o.build != b.subject, o.stage != stage:
		o.verdict, o.build, o.stage = v, b.subject, stage
		run(b, votes, &o.state, wish, o)
	case o.state == standing && v != agent.NoVote && b.now-o.at > term(b, "vote.life", time.Second)*6/10:
		run(b, votes, &o.state, lapse, o)
	}
}

// guess follows a vote that came too late, as news may be late by seconds: the next is for the stage after
// the one told, and so on in turn.
func (b *Balancer) guess(o *ballot) {
	b.ahead = 1 - b.ahead
	b.pause(o)
}

// pause spreads the next try, so that agents together stay within the calls that the platform takes.
func (b *Balancer) pause(o *ballot) {
	o.notTill = b.now + 100*time.Millisecond + time.Duration(b.roll(300))*time.Millisecond
}
