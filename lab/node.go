package lab

import (
	"fmt"
	"time"

	"sagelever/agent"
	"sagelever/decide"
)

// Node is one agent and its machine.
type Node struct {
	world  *World
	number int
	module *decide.Balancer
	began  time.Duration // of its life; the module's time runs from it
	life   int           // how often it has started
	alive  bool
	open   map[agent.TransactionID]*held
	sends  map[agent.TransactionID][]*send
}

// held is a transaction that an agent has.
type held struct {
	of    *Workload
	at    time.Duration
	until time.Duration
	done  bool
	runs  int
	again func(wait time.Duration) // the client comes again
}

// Start starts an agent from nothing.
func (n *Node) Start() {
	w := n.world
	n.life, n.alive, n.began = n.life+1, true, w.Now
	n.module = w.decider(n.number)
	n.open, n.sends = map[agent.TransactionID]*held{}, map[agent.TransactionID][]*send{}
	n.tell(n.list(agent.Whole))
	n.tell(w.Platform.news)
}

// Kill ends an agent: all that it held is gone.
func (n *Node) Kill() {
	n.alive = false
	for _, sends := range n.sends {
		for _, s := range sends {
			s.over = true
			if s.working {
				s.to.free(s)
			}
		}
	}
}

// later does something after a time, unless the agent has died by then.
func (n *Node) later(d time.Duration, do func()) {
	life := n.life
	n.world.After(d, func() {
		if n.alive && n.life == life {
			do()
		}
	})
}

// list is the list as discovery has it, in this agent's time.
func (n *Node) list(kind agent.ListKind) agent.ListNews {
	n.world.version++
	l := agent.ListNews{Kind: kind, Version: n.world.version}
	for _, m := range n.world.Machines {
		x := m.Appliance
		if x.Started != agent.LongAgo {
			x.Started -= n.began
		}
		l.Entries = append(l.Entries, x)
	}
	return l
}

// tell steps the module with an event and carries out what it orders.
func (n *Node) tell(e agent.Event) {
	w, life := n.world, n.life
	for _, a := range n.module.Step(w.Now-n.began, e) {
		switch a := a.(type) {
		case agent.Wake:
			n.later(a.After, func() { n.tell(agent.Due{Timer: a.Timer}) })
		case agent.Send:
			n.send(a)
		case agent.CallOff:
			if sends := n.sends[a.ID]; int(a.Send) < len(sends) {
				s := sends[a.Send]
				w.After(0, func() { s.callOff(agent.CalledOff) })
			}
		case agent.Defer:
			w.second().Deferred++
			w.second().Whys[a.Why]++
			if h := n.close(a.ID); h != nil && h.again != nil {
				h.again(max(a.Wait, 50*time.Millisecond))
			}
		case agent.BreakOff:
			w.second().BrokenOff++
			w.second().Whys[a.Why]++
			n.close(a.ID)
		case agent.Tell:
			for to, peer := range w.Nodes {
				if to != n.number && (a.All || to == int(a.To)) {
					w.second().Told++
					w.After(5*time.Millisecond, func() {
						if peer.alive {
							peer.tell(agent.Heard{From: agent.PeerNo(n.number), Data: a.Data})
						}
					})
				}
			}
		case agent.Log:
			w.Lines = append(w.Lines, fmt.Sprintf("%.2f agent %d: %s", w.Now.Seconds(), n.number, a.Text))
		case agent.Vote:
			w.second().Votes[a.Verdict]++
			w.After(100*time.Millisecond, func() { w.Platform.vote(w, n, life, a) })
		}
	}
}

// close gives a transaction its final answer.
func (n *Node) close(id agent.TransactionID) *held {
	h := n.open[id]
	if h == nil || h.done {
		n.world.Broken = append(n.world.Broken, fmt.Sprintf("agent %d answered %s twice", n.number, id))
		return nil
	}
	h.done = true
	delete(n.open, id)
	return h
}

// take hands the agent a transaction.
func (n *Node) take(of *Workload, again func(time.Duration)) {
	w := n.world
	w.asked++
	id := agent.TransactionID(fmt.Sprint("t", w.asked))
	n.open[id] = &held{of: of, at: w.Now, until: w.Now + of.Abandon, again: again}
	n.tell(agent.Taken{ID: id, Workload: of.Name, Left: of.Abandon, Key: agent.Key(fmt.Sprint(w.dice.IntN(5000)))})
}

// send carries a send to its machine.
func (n *Node) send(a agent.Send) {
	w, life := n.world, n.life
	var to *Machine
	for _, m := range w.Machines {
		if m.ID == a.Appliance {
			to = m
		}
	}
	no := agent.SendNo(len(n.sends[a.ID]))
	h := n.open[a.ID]
	if h == nil {
		w.Broken = append(w.Broken, fmt.Sprintf("agent %d sent %s after its answer", n.number, a.ID))
		return
	}
	s := &send{to: to, began: w.Now, work: time.Duration(w.dice.ExpFloat64() * float64(h.of.Work))}
	if h.of.Effect == "effectful" {
		s.runs = &h.runs
	}
	s.outcome = func(o agent.Outcome, load map[string]float64) {
		if !n.alive || n.life != life {
			return
		}
		w.second().Sends[o]++
		e := agent.Ended{ID: a.ID, Appliance: a.Appliance, Send: no, After: w.Now - s.began, Outcome: o, Load: load}
		if o == agent.Satisfied && !h.done {
			n.close(a.ID)
			e.Closed = true
			if w.Now-h.at <= h.of.Goal {
				w.second().InGoal++
				w.second().Earned += h.of.Payoff
			} else {
				w.second().Late++
			}
		} else if h.done {
			e.Closed = true
		}
		if h.runs > 1 {
			w.Broken = append(w.Broken, fmt.Sprintf("%s ran %d times", a.ID, h.runs))
		}
		n.tell(e)
	}
	n.sends[a.ID] = append(n.sends[a.ID], s)
	if to == nil {
		w.After(0, func() { s.callOff(agent.Unreachable) })
		return
	}
	w.After(w.Network, func() { to.take(s) })
	w.At(h.until, func() { s.callOff(agent.TimedOut) })
}

// client is somebody who asks, at any agent that is up, and comes again some times when deferred.
func (w *World) client(of *Workload, patience int) {
	w.second().Taken++
	w.second().Asked += of.Payoff
	var ask func(left int)
	ask = func(left int) {
		var up []*Node
		for _, n := range w.Nodes {
			if n.alive {
				up = append(up, n)
			}
		}
		if len(up) == 0 {
			w.second().Unanswered++
			return
		}
		var again func(time.Duration)
		if left > 0 {
			again = func(wait time.Duration) { w.After(wait, func() { ask(left - 1) }) }
		}
		up[w.dice.IntN(len(up))].take(of, again)
	}
	ask(patience)
}
