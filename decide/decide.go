// Package decide holds every decision of one agent, for all deployments. An adapter makes a Balancer with
// New (seed, and the terms of the deployment as a plain map of names to values), then calls Step with the
// time since that start and one event, and carries out the actions it gets back, in order. The interface
// (ids, events, actions) stands in package agent. Nothing here does input or output or shares state.
// Three tables (state, input, next state, effect) stand first; run reads them.
package decide

import (
	"math"
	"slices"
	"sort"
	"time"

	"sagelever/agent"
	"sagelever/arms"
)

var (
	courses []row[course, turn, *transaction]
	healths []row[health, symptom, *appliance]
	votes   []row[casting, reply, *ballot]
)

func init() {
	courses = []row[course, turn, *transaction]{
		{held, taken, held, (*Balancer).place},
		{held, poll, held, (*Balancer).place},
		{held, sent, out, nil},
		{out, sent, out, nil},
		{out, lost, held, (*Balancer).again},
		{out, lag, out, (*Balancer).copyOut},
		{out, begun, flowing, (*Balancer).dropCopies},
		{flowing, lost, over, (*Balancer).giveUp},
		{flowing, closed, over, (*Balancer).forget},
		{held, lastCall, over, (*Balancer).giveUp},
		{out, lastCall, over, (*Balancer).giveUp},
		{held, closed, over, (*Balancer).forget},
		{out, closed, over, (*Balancer).forget},
	}
	healths = []row[health, symptom, *appliance]{
		{fit, sick, resting, (*Balancer).rest},
		{resting, rested, trying, nil},
		{trying, sick, resting, (*Balancer).rest},
		{trying, well, fit, (*Balancer).recover},
		{fit, doubted, resting, nil},
		{trying, doubted, resting, nil},
		{resting, cleared, trying, nil},
	}
	votes = []row[casting, reply, *ballot]{
		{silent, wish, asked, (*Balancer).cast},
		{standing, wish, asked, (*Balancer).cast},
		{asked, counted, standing, nil},
		{asked, refused, silent, (*Balancer).pause},
		{asked, moot, silent, (*Balancer).guess},
		{asked, lapse, silent, nil},
		{standing, lapse, asked, (*Balancer).cast},
	}
}

const beat = 20 * time.Millisecond // a few ticks of the wire, far below any goal time

func (b *Balancer) heartbeat() {
	b.after(beat, b.heartbeat)
	for _, a := range b.order {
		// An appliance that owes answers and has given none for this long is taken for silent, whatever the
		// cause (hang, cut-off, crash): four times the usual time, but not under 300 ms, rides out pauses.
		if a.out > 0 && b.now-max(a.heard, a.asked) > max(4*b.usual(), 300*time.Millisecond) {
			run(b, healths, &a.health, sick, a)
		}
		if a.health == resting && b.now >= a.until {
			run(b, healths, &a.health, rested, a)
		}
	}
	for _, f := range b.flows {
		b.bound(f)
	}
	b.pollHeld()
	b.tell()
	b.cry()
	b.askAnew()
	b.judge()
}

// hearers is how many agents, from number 0, hear all counts and judge: every one where shares of all must
// stand for a vote, else six, of whom some live when half of all die.
func (b *Balancer) hearers() int {
	all := int(term(b, "agents", 1.0))
	shared := term(b, "may.tell", false) || term(b, "tally.every", time.Duration(0)) > 0
	if term(b, "trial.control", "") == "single" && shared {
		return min(all, 6)
	}
	return all
}

// tell sends what this agent has counted since it last told to those that judge by it. Twice a second is
// often against a stage; agents with little traffic tell less often, so that all cost a quarter of a full
// message a transaction at most. A lost message loses only evidence.
func (b *Balancer) tell() {
	hearers, size := b.hearers(), b.untold()
	quarter := float64(hearers*size) / 256 / 0.25 / b.rate(&b.demand)
	if !term(b, "may.tell", false) || size == 0 || (b.now-b.toldAt).Seconds() < max(0.5, quarter) {
		return
	}
	data := b.message()
	b.toldAt = b.now
	b.tellFirst(hearers, data)
}

// bound adapts how many sends of one flow (a workload of one customer) may be out. Time of answers against
// goals is held at 0.33: what is slower queues at the servers and is late for all, so fewer are let out; what
// is faster lets the bound grow, but not far past what is used. What waits everywhere but alone, one workload
// or customer, so chokes only itself. As many may always be out as answers at a sixth of the goal take.
func (b *Balancer) bound(f *flow) {
	if f.fill.Read(b.now, fillHalf, 0, 1) > 0.33 {
		f.most *= 0.97
	} else {
		f.most = min(f.most*1.03, 1.5*float64(f.out)+2*float64(len(b.order)))
	}
	f.most = max(f.most, b.rate(&f.demand)*f.work.goal.Seconds()/6)
}

const fillHalf = 400 * time.Millisecond // a few answers long, yet shorter than a burst

// pollHeld tries held transactions again, those with the most payoff for their work first.
func (b *Balancer) pollHeld() {
	again := b.waiting
	b.waiting = nil
	density := func(t *transaction) float64 {
		if term(b, "payoff.by", "") == "work" {
			return t.work.payoff
		}
		return t.work.payoff / b.mean(t.work).Seconds()
	}
	sort.SliceStable(again, func(i, j int) bool { return density(again[i]) > density(again[j]) })
	for _, t := range again {
		run(b, courses, &t.course, poll, t)
	}
}

// follow keeps the list. A drain or a departure holds from the moment it is told, without using the grace.
func (b *Balancer) follow(e agent.ListNews) {
	if e.Kind == agent.Unavailable {
		// A failed call to discovery is tried again after a second or two, spread by chance.
		wait := time.Second + time.Duration(b.roll(1000))*time.Millisecond
		b.after(wait, func() { b.do(agent.Subscribe{On: true}) })
		return
	}
	if e.Kind != agent.Remembered && len(e.Entries) > 0 {
		b.heeded, b.heededAt = true, b.now
	}
	b.enlist(e)
	b.newSubject()
}

// askAnew asks for changes again until some have come: discovery turns calls away that it has no time for; a
// watch on sockets then brings nothing. Once in the time after which an agent counts as told.
func (b *Balancer) askAnew() {
	if b.now >= b.askTill && !b.heeded && b.unheard() {
		b.askedAt, b.askTill = b.now, b.now+b.within()+time.Duration(b.luck()*float64(b.within())/2)
		b.do(agent.Subscribe{On: true})
	}
}

// askSoon has it ask within half of that time, by chance, at the start and where machines are gone; not again
// until as long after its last call or the last list, as all do so at once and discovery is short then.
func (b *Balancer) askSoon() {
	if half := b.within() / 2; b.now-max(b.heededAt, b.askedAt) >= half && b.askTill > b.now+half {
		b.heeded, b.askTill = false, b.now+time.Duration(b.luck()*float64(half))
	}
}

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

func (b *Balancer) legal(t *transaction, a *appliance) bool {
	if !a.listed || !b.told || a.Build < b.oneWay(t.Key) || !b.exposable(t, a) {
		return false
	}
	if t.ran >= 0 && t.work.effect == "receipted" {
		same := t.work.group == "all" || t.work.group == "zone" && a.Place == t.ranAt.Place ||
			t.work.group == "cell" && a.Group == t.ranAt.Group
		if !same || b.now-t.ran >= t.work.memory-term(b, "tick", beat) {
			return false
		}
	}
	return b.warmEnough(a)
}

// warmth is the least share of its capacity that an appliance has by its age.
func (b *Balancer) warmth(a *appliance) float64 {
	whole := term(b, "cold.time", time.Duration(0))
	if age := b.now - a.Started; age < whole {
		from := term(b, "cold.from", 1.0)
		return from + (1-from)*max(0, float64(age)/float64(whole))
	}
	return 1
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

// paced tells whether one more send keeps an appliance below times this agent's even share. Its credit starts
// anywhere below one send, so that shares far below one add up, over hundreds of agents, to the whole and no
// more. A quarter of a second may be saved up.
func (b *Balancer) paced(a *appliance, times float64) bool {
	share := times * b.rate(&b.demand) / float64(max(b.up, 1)) // a second
	a.credit = min(a.credit+share*(b.now-a.creditAt).Seconds(), max(1, share/4))
	a.creditAt = b.now
	return a.credit >= 1
}

// warmEnough keeps a cold appliance from being pushed over by all agents together, none asking another: warm
// ones bear the even share, so even shares times the warmth add up to less than it can do. 1.4 as fleets run
// below 0.7 of their capacity if they can; never more than 0.7 of the multiple at which it falls.
func (b *Balancer) warmEnough(a *appliance) bool {
	warm := b.warmth(a)
	return warm >= 1 || b.paced(a, min(1.4, 0.7*term(b, "fall.multiple", 2.0))*warm)
}

// usual is the mean time of recent answers; a tenth of a second until there are some.
func (b *Balancer) usual() time.Duration {
	return time.Duration(b.times.Read(b.now, timesHalf, 0.1, 1) * float64(time.Second))
}

const timesHalf = 5 * time.Second

func (b *Balancer) mean(w *workload) time.Duration {
	prior := w.goal.Seconds() / 4 // goals are set a few times the usual time
	return time.Duration(w.all.Read(b.now, timesHalf, prior, 2) * float64(time.Second))
}

func (b *Balancer) take(e agent.Taken) {
	w := b.workload(e.Workload)
	t := &transaction{Taken: e, work: w, flow: b.flow(w, e.Customer), at: b.now, ran: -1}
	b.noteTaken(t)
	b.boundIn.Add(b.now, demandHalf, float64(min(b.oneWay(e.Key), 1)))
	// The trial gets three quarters of its cap, but no more than its machines' share and a third, else they look
	// slow from load; from agents that see too little to spread their sends by load the share alone, in a fleet
	// of such agents a fifth less; but the others never bear more than a seventh above theirs.
	_, share := b.onTrial(b.subject)
	part, spread := b.trialPart(), 1.3
	if b.small() {
		spread = 1
	} else if b.sparse() {
		spread = 0.8
	}
	b.ration = min(b.ration+max(min(0.75*share, spread*part), 1-1.15*(1-part)), 1.5)
	b.further.earned.Add(b.now, furtherHalf, b.furtherShare())
	// The answer timer runs out a tick before the client's time does, so that the answer is never late.
	b.after(e.Left-term(b, "tick", beat), func() {
		t.why = agent.TimeUp
		run(b, courses, &t.course, lastCall, t)
	})
	run(b, courses, &t.course, taken, t)
}

const furtherHalf = 10 * time.Second

// furtherShare is how many further sends each transaction taken earns: it follows how many of the recent
// ones succeeded, from 0.05 (to keep learning) to 0.3 (a retry storm must not double the load).
func (b *Balancer) furtherShare() float64 {
	tried := b.further.tried.Read(b.now, furtherHalf) + 4
	return 0.05 + 0.25*(b.further.won.Read(b.now, furtherHalf)+2)/tried
}

func (b *Balancer) mayFurther(t *transaction) bool {
	spare := b.further.earned.Read(b.now, furtherHalf) + 3 - b.further.tried.Read(b.now, furtherHalf)
	return spare > 0 && float64(len(t.sends)) < term(b, "sends.most", 1.0)
}

func (t *transaction) harmless() bool {
	return t.ran < 0 || t.work.effect == "pure" || t.work.effect == "receipted" && t.work.group == "all"
}

// again follows a send that failed: another where the workload and the budget allow it, else the answer.
func (b *Balancer) again(t *transaction) {
	t.why = agent.NoFurther
	if t.ran >= 0 && t.work.effect == "effectful" {
		t.why = agent.MayHaveRun
	}
	if t.why == agent.MayHaveRun || !b.mayFurther(t) {
		run(b, courses, &t.course, lastCall, t)
	} else {
		b.place(t)
	}
}

// copyOut sends a second copy of what takes longer than most do. Where no two may be out, the first is called
// off instead, if its appliance has answered nothing since: a busy one will answer.
func (b *Balancer) copyOut(t *transaction) {
	if !b.mayFurther(t) || len(b.waiting) > 0 || b.now-t.at > t.work.goal-b.mean(t.work)/2 {
		return
	}
	if first := t.sends[0]; !term(b, "may.copy", false) {
		if first.to.heard < first.at && term(b, "may.calloff", false) {
			b.do(agent.CallOff{ID: t.ID})
		}
		return
	}
	if a := b.choose(t); a != nil {
		b.sendTo(t, a)
	}
}

// place sends a held transaction, or keeps it while it could still be satisfied in time.
func (b *Balancer) place(t *transaction) {
	t.why = agent.Bounded
	if float64(t.flow.out) < t.flow.most {
		t.why = agent.NoAppliance
		if a := b.choose(t); a != nil {
			b.sendTo(t, a)
			return
		}
	}
	// A quarter of the goal is kept for waiting here at most: what starts later is late, and answered now.
	if b.now-t.at > min(t.work.goal/4, t.work.goal-b.mean(t.work)) {
		run(b, courses, &t.course, lastCall, t)
		return
	}
	b.waiting = append(b.waiting, t)
}

// choose picks the arm by D-Tracking and the server by two random choices.
func (b *Balancer) choose(t *transaction) *appliance {
	var ready, spare [2][]*appliance
	level := b.level()
	for _, a := range b.order {
		if t.uses(a) || !b.legal(t, a) {
			continue
		}
		// Few machines carry the trial at first: holding more than the others do, one would be slow from
		// load alone and be judged for it. A seventh more, so that the cap is still used.
		i := b.armOf(a)
		if a.ready() && (i == 0 || level <= 0 || a.out == 0 || b.burden(a) <= 1.15*level) {
			ready[i] = append(ready[i], a)
		} else {
			spare[i] = append(spare[i], a)
		}
	}
	pick := b.track()
	trial, share := b.onTrial(b.subject)
	unbound := t.Key != "" && term(b, "trial.oneway", false) && b.oneWay(t.Key) == 0
	// Half of the cap is kept for keys that the trial has answered; further sends go to the build that is known.
	if trial && (b.ration < 1 && b.loose() || unbound && b.boundIn.Read(b.now, demandHalf, 0, 0) > share/2) ||
		b.abstain || len(t.sends) > 0 && len(ready[0]) > 0 {
		pick = 0
	}
	for _, group := range [][]*appliance{ready[pick], ready[1-pick], spare[0], spare[1]} {
		if len(group) == 0 {
			continue
		}
		i := b.roll(len(group))
		if len(group) > 1 { // two different ones, the less burdened goes
			if j := (i + 1 + b.roll(len(group)-1)) % len(group); b.burden(group[j]) < b.burden(group[i]) {
				i = j
			}
		}
		return group[i]
	}
	return nil
}

// ready tells whether an appliance should be used while others are there too.
func (a *appliance) ready() bool { return a.health == fit || a.health == trying && a.out == 0 }

// burden is about how long one more send would take there, in the workload's usual times.
func (b *Balancer) burden(a *appliance) float64 {
	// A report's worth halves every half second: it is refreshed about as often.
	stale := math.Exp2(-float64(b.now-a.reported) / float64(500*time.Millisecond))
	slow := a.slowness.Read(b.now, max(3*time.Second, b.visit()), 1, 1) / b.warmth(a)
	return (1 + float64(a.out) + 0.5*a.backlog*stale) * slow
}

const coldFor = 3 * time.Second // the design's: what younger machines do is not counted

func (b *Balancer) sendTo(t *transaction, a *appliance) {
	b.noteSend(t, a)
	b.do(agent.Send{ID: t.ID, Appliance: a.ID})
	if t.work.effect != "effectful" && len(t.sends) == 1 {
		b.after(max(3*b.mean(t.work), 50*time.Millisecond), func() { run(b, courses, &t.course, lag, t) })
	}
	run(b, courses, &t.course, sent, t)
}

// giveUp answers at once: deferred where that is harmless, else broken off.
func (b *Balancer) giveUp(t *transaction) {
	t.noteRan()
	if t.harmless() {
		var wait time.Duration
		if term(b, "may.advise", false) {
			wait = min(b.usual(), term(b, "return.most", time.Duration(0)))
		}
		b.do(agent.Defer{ID: t.ID, Wait: wait, Why: t.why})
	} else {
		b.do(agent.BreakOff{ID: t.ID, Why: t.why})
	}
	b.forget(t)
}

func (b *Balancer) ended(e agent.Ended) {
	t, s := b.settle(e)
	if s == nil {
		return
	}
	b.observe(t, s, e)
	if mayHaveRun(e.Outcome) && (t.ran < 0 || s.at < t.ran) {
		t.ran, t.ranAt = s.at, s.to
	}
	binds := e.Outcome == agent.Satisfied || b.feared() && mayBeAnswered(e.Outcome)
	if t.Key != "" && term(b, "trial.oneway", false) && binds && s.to.Build >= b.oldest() {
		b.keys[t.Key] = max(b.keys[t.Key], s.to.Build)
	}
	switch satisfied := e.Outcome == agent.Satisfied; {
	case satisfied || e.Closed:
		if satisfied && e.Send > 0 && t.course != over {
			b.further.won.Add(b.now, furtherHalf, 1)
		}
		run(b, courses, &t.course, closed, t)
	case e.Outcome == agent.Unfit: // no appliance can use it: it is not sent again, nor is asking again harmless
		b.do(agent.BreakOff{ID: t.ID, Why: agent.NotUsable})
		run(b, courses, &t.course, closed, t)
	case t.out == 0:
		run(b, courses, &t.course, lost, t)
	}
	b.pollHeld()
}

// observe learns from one outcome: times, health, load and the evidence for an arm.
func (b *Balancer) observe(t *transaction, s *send, e agent.Ended) {
	a, w := s.to, t.work
	if e.Load != nil {
		a.backlog, a.reported = e.Load["queue"]+e.Load["inflight"], b.now
	}
	if answered(e.Outcome) {
		a.heard, a.streak = b.now, 0
	}
	full := min(e.After.Seconds()/w.goal.Seconds(), 2)
	switch e.Outcome {
	case agent.Satisfied:
		t.flow.fill.Add(b.now, fillHalf, full)
		a.faulty *= 0.8
		a.slowness.Add(b.now, max(3*time.Second, b.visit()), e.After.Seconds()/b.mean(w).Seconds())
		w.all.Add(b.now, timesHalf, e.After.Seconds())
		b.times.Add(b.now, timesHalf, e.After.Seconds())
		run(b, healths, &a.health, well, a)
	case agent.Fault, agent.Rejected, agent.Spoilt:
		if e.Outcome == agent.Rejected { // a full machine is as bad as an answer at the goal time
			t.flow.fill.Add(b.now, fillHalf, 1)
		}
		a.faulty = 0.8*a.faulty + 0.2
	case agent.TimedOut, agent.Unreachable, agent.Cut:
		if e.Outcome == agent.Unreachable {
			b.askSoon()
		}
		if a.streak++; e.Outcome == agent.TimedOut && a.health == fit {
			t.flow.fill.Add(b.now, fillHalf, full)
		}
	}
	if a.failing() {
		b.disown(a)
	}
	if a.failing() || a.streak >= 3 || a.health == trying && a.streak > 0 {
		run(b, healths, &a.health, sick, a)
	}
	b.weigh(t, s, e)
}

// learn takes what another tells of a machine: seen seldom, it shows no five faults in a row in time.
func (b *Balancer) learn(a *appliance, x arm) {
	old := math.Pow(0.8, x.n) // as much as the same outcomes would leave, had they been its own
	if a.faulty = old*a.faulty + (1-old)*x.faults/x.n; a.failing() {
		b.disown(a)
		run(b, healths, &a.health, sick, a)
		return
	}
	b.credit(a, x)
}

// rest is half a second, or half a visit up to five, doubled thrice at most: short against any trouble.
func (b *Balancer) rest(a *appliance) {
	a.until = b.now + min(max(500*time.Millisecond, b.visit()/2), 5*time.Second)<<min(a.rests, 3)
	a.rests, a.streak = a.rests+1, 0
	if !b.known(a) { // else all know
		b.cries[0] = append(b.cries[0], a.ID)
	}
	b.doubt(a, b.number())
}

const cried = 500 * time.Millisecond // some slow answers long: whoever finds a machine sick does so by then

// cry tells which machines this agent has found sick (0), to the first six agents, and which it has found
// well (1) or heard of from three (2), to all: else each agent finds out by a lost send of its own.
func (b *Balancer) cry() {
	for kind, ids := range b.cries {
		b.cries[kind] = nil
		switch {
		case len(ids) == 0 || !term(b, "may.tell", false):
		case kind != 0:
			b.do(agent.Tell{All: true, Data: cryData(kind, ids)})
		default:
			b.tellFirst(min(6, int(term(b, "agents", 1.0))), cryData(kind, ids))
		}
	}
}

// doubt takes one agent's word that a machine is sick. A slow answer passes for silence now and then, over a
// fleet many times a second; so within half a second as many must say it as half of the sends that all make
// there in that time, and three at least. The first to hear tells all.
func (b *Balancer) doubt(a *appliance, from agent.PeerNo) {
	a.criers = slices.DeleteFunc(a.criers, func(c crier) bool { return c.by == from || b.now-c.at > cried })
	sends := b.rate(&b.demand) * term(b, "agents", 1.0) / float64(max(b.up, 1)) * cried.Seconds()
	if a.criers = append(a.criers, crier{from, b.now}); float64(len(a.criers)) >= max(3, sends/2) {
		b.after(time.Duration(b.number())*beat, func() {
			if !b.known(a) {
				b.cries[2] = append(b.cries[2], a.ID)
				b.avoid(a)
			}
		})
	}
}

// avoid rests a machine on others' word, unless it has just answered here, or half of all would rest.
func (b *Balancer) avoid(a *appliance) {
	a.knownAt = b.now
	if b.now-a.heard > 150*time.Millisecond && 2*b.restful() < b.up {
		run(b, healths, &a.health, doubted, a)
		a.until = b.now + time.Second + time.Duration(b.roll(1000))*time.Millisecond // who found it tries first
	}
}

// failing tells whether most of the last few answers were faults; five in a row will do. Bad builds fail a
// third or one workload: a machine that fails most is sick itself, and does not count for its build.
func (a *appliance) failing() bool { return a.faulty >= 0.6 }

func (b *Balancer) recover(a *appliance) {
	if a.rests, a.faulty = 0, 0; a.knownAt > 0 { // all were told that it is sick
		a.knownAt, b.cries[1] = 0, append(b.cries[1], a.ID)
	}
}

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
