package lab

import (
	"time"

	"sagelever/agent"
)

// Platform moves builds through their stages by single votes: one 'on' moves on, one 'back' sends back.
type Platform struct {
	news    agent.TrialNews
	caps    []float64
	changed time.Duration
	Moves   []Move
	make    func(m *Machine) // what a machine of the build on trial is like
}

// Move is one change of the trial's state.
type Move struct {
	At    time.Duration
	Phase agent.Phase
	Stage agent.Stage
}

// Offer offers a build whose machines are as made: at the first stage a tenth of the machines runs it.
func (w *World) Offer(build agent.Build, made func(*Machine)) {
	p := &w.Platform
	p.make, p.caps = made, []float64{0.12, 0.42, 1}
	p.news = agent.TrialNews{Answer: agent.Counted, Build: build, Stage: 0, Cap: p.caps[0], Phase: agent.OnTrial}
	w.moved()
	w.stage()
}

// stage gives places to the build on trial, by its stage: a machine of the earlier build leaves for each that comes.
func (w *World) stage() {
	p := &w.Platform
	want := []float64{0.1, 0.35, 1}[p.news.Stage] * float64(len(w.Machines))
	have := 0
	for _, m := range w.Machines {
		if m.Build == p.news.Build {
			have++
		}
	}
	for i, m := range w.Machines {
		if float64(have) >= want {
			break
		}
		if m.Build != p.news.Build {
			w.Machines[i] = w.successor(p.news.Build)
			p.make(w.Machines[i])
			have++
		}
	}
	w.enlist()
}

// successor takes a machine's place; what the old one holds is worked off there.
func (w *World) successor(build agent.Build) *Machine {
	next := w.machine(0, build, w.Now)
	w.version++
	next.ID = agent.ApplianceID(100000 + w.version)
	return next
}

// enlist tells every agent of the list, half a second later at most.
func (w *World) enlist() {
	w.spread(func(n *Node) { n.tell(n.list(agent.Whole)) })
}

// spread does something for every agent, half a second later at most, if it has not died by then.
func (w *World) spread(do func(*Node)) {
	for _, n := range w.Nodes {
		n.later(time.Duration(w.dice.IntN(500))*time.Millisecond, func() { do(n) })
	}
}

// moved tells every agent of the trial's state.
func (w *World) moved() {
	p := &w.Platform
	p.changed = w.Now
	p.Moves = append(p.Moves, Move{w.Now, p.news.Phase, p.news.Stage})
	w.spread(func(n *Node) { n.tell(p.news) })
}

// vote takes one vote and answers it.
func (p *Platform) vote(w *World, n *Node, life int, v agent.Vote) {
	answer := agent.TrialNews{Answer: agent.Moot, ToVote: true}
	if v.Build == p.news.Build && v.Stage == p.news.Stage && (p.news.Phase == agent.OnTrial || p.news.Phase == agent.Released && v.Verdict == agent.Back) {
		switch {
		case v.Verdict == agent.Back:
			p.news.Phase, p.news.Cap = agent.GoingBack, 0
			for i, m := range w.Machines {
				if m.Build == p.news.Build {
					w.Machines[i] = w.successor(1)
				}
			}
			w.moved()
			w.enlist()
		case v.Verdict == agent.On && w.Now-p.changed > 4*time.Second && int(p.news.Stage) == len(p.caps)-1:
			p.news.Phase = agent.Released
			w.moved()
		case v.Verdict == agent.On && w.Now-p.changed > 4*time.Second:
			p.news.Stage++
			p.news.Cap = p.caps[p.news.Stage]
			w.moved()
			w.stage()
		}
		answer = p.news
		answer.ToVote = true
	}
	w.After(50*time.Millisecond, func() {
		if n.alive && n.life == life {
			n.tell(answer)
		}
	})
}
