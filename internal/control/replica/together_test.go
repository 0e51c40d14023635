package replica

import (
	"fmt"
	"testing"
	"time"

	"sagelever/ebb"
	"sagelever/lore"
)

// bench site's bound: an appliance goes on serving for so long after the acknowledgement.
const empty = 3 * time.Second

// twelve starts so many edge agents, two in each zone, each with its leave to send.
func (w *world) twelve() (edges []*edge) {
	for i := range 12 {
		e := &edge{w: w, i: 10 + i, home: i % w.n, near: i % w.n, leave: ebb.NewLeave(empty)}
		edges = append(edges, e)
		w.after(w.ms(0, 900), func() { e.start() })
	}
	w.run(w.now.Add(3 * time.Second))
	return edges
}

// lastSending is when the last of the agents may still have sent something new to an appliance: until it has heard that it
// is leaving, or its leave has run out.
func (w *world) lastSending(edges []*edge, id string, from time.Time) (last time.Time) {
	for end := from.Add(8 * time.Second); w.now.Before(end); w.run(w.now.Add(time.Millisecond)) {
		for _, e := range edges {
			if p := e.phases[id]; e.up && (p == lore.Ready || p == lore.Silent) && e.leave.Holds(w.now) {
				last = w.now
			}
		}
	}
	return last
}

// announce has an appliance say that it leaves to one member; it tells when that was acknowledged, zero if it was not within
// the second for which the appliance waits.
func (w *world) announce(x *node, id string, count int64) (acked time.Time) {
	begun := x.clock()
	w.say(x, id, lore.Emptying, count)
	for x.up && x.clock().Sub(begun) < 900*time.Millisecond {
		if x.m.Sound(x.clock()) && x.m.Spread(x.clock(), lore.AppKey+id, begun) {
			return w.now
		}
		w.run(w.now.Add(15 * time.Millisecond))
	}
	return time.Time{}
}

func (w *world) say(x *node, id, phase string, count int64) {
	x.step(func(now time.Time) {
		x.m.Pulse(now, id, &lore.Pulse{Service: "s", Address: "10.0.1.1:80", Zone: x.me.Zone, Version: "v1", Capacity: 3, Phase: phase, WarmLeft: "0ms", CallCount: count})
	})
}

func (w *world) cutOff(i int, from ...int) {
	for _, k := range from {
		w.nodes[i].cut[k], w.nodes[k].cut[i] = true, true
	}
}

// The stop is together: twelve agents in three regions 35 ms apart. All in touch stop within 300 ms of the acknowledgement;
// those whose member is cut off, or whose member had the word from one that is dead, within `empty`; and what only one agent
// can have heard is not acknowledged. docs/leaving.md has the arithmetic.
func TestStopTogether(t *testing.T) {
	for name, x := range map[string]struct {
		trouble func(w *world, edges []*edge) // in the moment before the word
		after   func(w *world)                // in the moment after the acknowledgement
		acked   bool
		within  time.Duration
	}{
		"all in touch": {acked: true, within: 300 * time.Millisecond},
		"the member that acknowledged it dies at once": {after: func(w *world) { w.nodes[0].kill() }, acked: true, within: 300 * time.Millisecond},
		"one link is cut": {trouble: func(w *world, _ []*edge) { w.cutOff(0, 5) }, acked: true, within: empty},
		"one member is cut off": {trouble: func(w *world, _ []*edge) { w.cutOff(5, 0, 1, 2, 3, 4) }, acked: true,
			within: Heard + 100*time.Millisecond}, // it is relied on until it has not heard the others for so long: 0.5 s more than empty
		"one member and its agents are cut off": {trouble: func(w *world, edges []*edge) {
			w.cutOff(5, 0, 1, 2, 3, 4)
			for _, e := range edges {
				e.cut = e.near == 5
			}
		}, acked: true, within: empty},
		"agents are cut off, and their members are not": {trouble: func(w *world, edges []*edge) {
			for _, e := range edges {
				e.cut = e.near >= 4
			}
		}, acked: true, within: empty},
		"two members hear it, and no more": {trouble: func(w *world, _ []*edge) { w.cutOff(0, 2, 3, 4, 5); w.cutOff(1, 2, 3, 4, 5) }},
	} {
		w := calm(35*time.Millisecond, 5*time.Millisecond)
		edges := w.twelve()
		w.say(w.nodes[0], "i1", lore.Ready, 1)
		w.run(w.now.Add(time.Second))
		for _, e := range edges {
			if e.phases["i1"] != lore.Ready || !e.leave.Holds(w.now) {
				t.Fatalf("%s: agent %d does not know it yet, or has no leave: %v", name, e.i, e.phases)
			}
		}
		if x.trouble != nil {
			x.trouble(w, edges)
		}
		said := w.now
		acked := w.announce(w.nodes[0], "i1", 2)
		if x.acked == acked.IsZero() {
			t.Errorf("%s: acknowledged after %v", name, acked.Sub(said))
		}
		if !x.acked {
			// It calls another, and the member that it called first dies: the word counts from then.
			w.nodes[0].kill()
			w.nodes[0].cut, w.nodes[1].cut = map[int]bool{}, map[int]bool{}
			for _, y := range w.nodes {
				clear(y.cut)
			}
			w.run(w.now.Add(4 * time.Second))
			if acked = w.announce(w.nodes[2], "i1", 2); acked.IsZero() {
				t.Fatalf("%s: the next does not acknowledge it either", name)
			}
			x.within = 300 * time.Millisecond
		}
		if x.after != nil {
			x.after(w)
		}
		last := w.lastSending(edges, "i1", w.now)
		took := time.Duration(0)
		if !last.IsZero() {
			took = last.Sub(acked)
		}
		t.Logf("%s: acknowledged after %v, the last may send until %v after that", name, acked.Sub(said), took)
		if took > x.within {
			t.Errorf("%s: an agent may send until %v after the acknowledgement, want %v", name, took, x.within)
		}
		if w.wrong != "" {
			t.Error(fmt.Sprint(name, ": ", w.wrong))
		}
	}
}
