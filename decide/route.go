package decide

import (
	"math"
	"time"

	"sagelever/agent"
)

// The course of a transaction: taken, placed, sent, sent again, given up.

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

const timesHalf = 5 * time.Second

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
