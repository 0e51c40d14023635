package lab

import (
	"time"

	"sagelever/agent"
)

// Machine is an appliance: some cores, each with one send at a time, and a queue.
type Machine struct {
	agent.Appliance
	Slow  float64 // times the work
	Fails float64 // share of what it does that ends in a fault

	world  *World
	busy   int
	queue  []*send
	frozen time.Duration // until when it stands still
	stood  time.Duration // how long it has stood still, up to frozen
}

// send is one send of an agent at a machine.
type send struct {
	to      *Machine
	of      *Node
	began   time.Duration
	work    time.Duration
	end     time.Duration // when its work ends, if the machine does not stand still
	stood   time.Duration // of the machine, when end was worked out
	working bool
	over    bool // it has an outcome, or is called off
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
	if age := m.world.Now - m.Started; age < 4*time.Second {
		return 0.4 + 0.6*float64(age)/float64(4*time.Second)
	}
	return 1
}

// take gets a send that has arrived.
func (m *Machine) take(s *send) {
	switch {
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
	for len(m.queue) > 0 && m.busy < m.world.Cores {
		next := m.queue[0]
		m.queue = m.queue[1:]
		if !next.over {
			m.begin(next)
		}
	}
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
