package lab

import (
	"fmt"
	"slices"
	"time"

	"sagelever/agent"
)

// Machine is an appliance: some cores, each with one send at a time, and a queue.
type Machine struct {
	agent.Appliance
	Slow  float64 // times the work
	Fails float64 // share of what it does that ends in a fault
	Loses float64 // share of its answers that never arrive, or whose connection breaks under them
	Gone  bool    // it takes no connection

	world  *World
	busy   int
	queue  []*send
	frozen time.Duration // until when it stands still
	stood  time.Duration // how long it has stood still, up to frozen
	held   []*send       // on its cores
	pushes []push        // what came while it was cold
	fallen bool
}

// push is work that came to a cold machine.
type push struct{ at, work time.Duration }

// The rule on cold machines, as the terms tell it: within any fallTime, no more than fallTimes what it can do at the end
// of that time, and the slack of a few sends for chance.
const (
	coldTime  = 4 * time.Second
	coldFrom  = 0.4
	fallTime  = 1500 * time.Millisecond
	fallTimes = 2.0
	fallSlack = 500 * time.Millisecond
)

// pushed notes work that came to a cold machine, and whether it was too much.
func (m *Machine) pushed(work time.Duration) {
	now := m.world.Now
	if m.fallen || now-m.Started >= coldTime {
		return
	}
	for len(m.pushes) > 0 && now-m.pushes[0].at > fallTime {
		m.pushes = m.pushes[1:]
	}
	m.pushes = append(m.pushes, push{now, work})
	var sum time.Duration
	for _, p := range m.pushes {
		sum += p.work
	}
	can := time.Duration(fallTimes * float64(m.world.Cores) * m.warmth() * float64(fallTime))
	if m.fallen = sum > can+fallSlack; m.fallen {
		m.world.Broken = append(m.world.Broken, fmt.Sprintf("machine %d pushed over %v after its start: %v in %v", m.ID,
			now-m.Started, sum, fallTime))
	}
}

// send is one send of an agent at a machine.
type send struct {
	to      *Machine
	began   time.Duration
	work    time.Duration
	end     time.Duration // when its work ends, if the machine does not stand still
	stood   time.Duration // of the machine, when end was worked out
	working bool
	over    bool // it has an outcome, or is called off
	runs    *int // of its transaction, where it must not run twice
	outcome func(agent.Outcome, map[string]float64)
}

func (w *World) machine(i int, build agent.Build, started time.Duration) *Machine {
	return &Machine{Appliance: agent.Appliance{ID: agent.ApplianceID(1000 + i), Build: build, Kind: "std", Place: "home",
		Started: started, Share: 1}, Slow: 1, world: w}
}

// Pause has a machine stand still for a time: what it holds waits, and nothing is answered.
func (m *Machine) Pause(d time.Duration) {
	from := max(m.world.Now, m.frozen)
	m.frozen = from + d
	m.stood += d
}

// warmth is the share of its capacity that it has by its age.
func (m *Machine) warmth() float64 {
	if age := m.world.Now - m.Started; age < coldTime {
		return coldFrom + (1-coldFrom)*float64(age)/float64(coldTime)
	}
	return 1
}

// take gets a send that has arrived.
func (m *Machine) take(s *send) {
	if !m.Gone {
		m.pushed(s.work)
	}
	switch {
	case m.Gone:
		s.answer(agent.Unreachable)
	case m.busy < m.world.Cores:
		m.begin(s)
	case len(m.queue) < m.world.Queue:
		m.queue = append(m.queue, s)
	default:
		s.answer(agent.Rejected)
	}
}

func (m *Machine) begin(s *send) {
	m.busy++
	m.held = append(m.held, s)
	s.working = true
	s.stood = m.stood
	start := max(m.world.Now, m.frozen)
	s.end = start + time.Duration(float64(s.work)*m.Slow/m.warmth())
	m.world.At(s.end, func() { m.finish(s) })
}

// finish ends a send's work, unless the machine has stood still meanwhile.
func (m *Machine) finish(s *send) {
	if !s.working {
		return
	}
	if late := m.stood - s.stood; late > 0 {
		s.stood, s.end = m.stood, s.end+late
		m.world.At(s.end, func() { m.finish(s) })
		return
	}
	m.free(s)
	if s.runs != nil {
		*s.runs++
	}
	if lost := m.world.dice.Float64(); lost < m.Loses/2 {
		return // nobody hears of it: the agent gives up when its time is
	} else if lost < m.Loses {
		s.answer(agent.Cut)
		return
	}
	if m.world.dice.Float64() < m.Fails {
		s.answer(agent.Fault)
	} else {
		s.answer(agent.Satisfied)
	}
}

// free takes a send off its core, and the next one on.
func (m *Machine) free(s *send) {
	s.working = false
	m.busy--
	m.held = slices.DeleteFunc(m.held, func(x *send) bool { return x == s })
	for len(m.queue) > 0 && m.busy < m.world.Cores {
		next := m.queue[0]
		m.queue = m.queue[1:]
		if !next.over {
			m.begin(next)
		}
	}
}

// Lose ends a machine's life: what it holds breaks off, and it takes no more until it starts anew.
func (m *Machine) Lose() {
	m.Gone = true
	for _, s := range append(m.queue, m.held...) {
		s.working = false
		s.answer(agent.Cut)
	}
	m.queue, m.held, m.busy = nil, nil, 0
}

// Restart starts a machine that was lost: cold, and under the id it had.
func (m *Machine) Restart() {
	m.Gone, m.Started, m.frozen, m.pushes, m.fallen = false, m.world.Now, 0, nil, false
	m.world.enlist()
}

// answer sends an outcome back to the agent, which hears it a way later.
func (s *send) answer(o agent.Outcome) {
	if s.over {
		return
	}
	load := map[string]float64{"queue": float64(len(s.to.queue))}
	s.over = true
	s.to.world.After(s.to.world.Network, func() { s.outcome(o, load) })
}

// callOff ends a send for the agent's part: its work stops.
func (s *send) callOff(o agent.Outcome) {
	if s.over {
		return
	}
	s.over = true
	if s.working {
		s.to.free(s)
	}
	s.outcome(o, nil)
}
