package decide

import (
	"math"
	"slices"
	"time"

	"sagelever/agent"
)

// How the appliances are: health, rest, warmth, and what others are told of the sick.

// warmth is the least share of its capacity that an appliance has by its age.
func (b *Balancer) warmth(a *appliance) float64 {
	whole := term(b, "cold.time", time.Duration(0))
	if age := b.now - a.Started; age < whole {
		from := term(b, "cold.from", 1.0)
		return from + (1-from)*max(0, float64(age)/float64(whole))
	}
	return 1
}

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

// ready tells whether an appliance should be used while others are there too.
func (a *appliance) ready() bool { return a.health == fit || a.health == trying && a.out == 0 }

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
