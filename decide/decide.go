// Package decide holds every decision of one agent, for all deployments. An adapter makes a Balancer with
// New (seed, and the terms of the deployment as a plain map of names to values), then calls Step with the
// time since that start and one event, and carries out the actions it gets back, in order. The interface
// (ids, events, actions) stands in package agent. Nothing here does input or output or shares state.
// Three tables (state, input, next state, effect) stand first; run reads them.
package decide

import (
	"sort"
	"time"

	"sagelever/agent"
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
