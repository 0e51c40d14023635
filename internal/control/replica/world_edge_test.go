package replica

import (
	"fmt"
	"strings"
	"time"

	"github.com/mailru/easyjson"

	"sagelever/ebb"
	"sagelever/internal/control/quorum"
	"sagelever/lore"
)

// edge is a relay: it pulls from one member, holds a lease, and never goes back.
type edge struct {
	w        *world
	i, home  int
	up       bool
	life     uint64
	come     lore.Vector
	values   map[string]quorum.Value
	renewed  time.Time // when a member last took its pull
	near     int       // the member of its own zone, to which it comes back
	cut      bool      // from all members
	leave    ebb.Leave
	versions map[string]uint64 // of appliances, as told
	phases   map[string]string // of appliances, as told
	grantor  *node             // which; one that comes back grants anew what it remembers, until it has run out
}

func (e *edge) name() string { return fmt.Sprint("e", e.i) }

func (e *edge) start() {
	if e.up {
		return
	}
	e.up = true
	e.life = uint64(e.w.now.UnixMilli())
	e.come, e.values, e.phases, e.versions = lore.Vector{}, map[string]quorum.Value{}, map[string]string{}, map[string]uint64{}
	e.pull(e.life)
}

func (e *edge) pull(life uint64) {
	w, y := e.w, e.w.nodes[e.home]
	if !e.up || e.life != life {
		return
	}
	p := wire(&Pull{From: Member{Node: e.name(), Zone: y.me.Zone}, Role: Edge, Wire: Wire, Come: e.come, WaitMs: ebb.Wait(empty).Milliseconds(), Front: e.name(), Life: life}, &Pull{})
	ended, asked := false, w.now
	again := func(wait time.Duration) {
		if !ended {
			ended = true
			w.after(wait, func() { e.pull(life) })
		}
	}
	w.after(w.ms(1, 4), func() {
		if e.cut {
			return
		}
		if !y.up {
			e.home = (e.home + 1) % len(w.nodes)
			again(100 * time.Millisecond)
			return
		}
		if !y.frozen {
			e.renewed, e.grantor = w.now, y
		}
		y.pulled(p, ebb.Wait(empty), func(n *News) {
			if !e.up || e.life != life || ended || e.cut {
				return
			}
			if n.Sound {
				e.leave.Heard(asked)
			}
			w.log("edge", e.i, "from", y.i, "whole", n.Whole, "sound", n.Sound, "come", n.Come, "items", len(n.Items), "asked", p.Come)
			if n.Whole {
				e.come = lore.Vector{}
			}
			for o, x := range n.Come {
				e.come[o] = max(e.come[o], x)
			}
			for _, o := range n.Drop {
				delete(e.come, o)
			}
			for _, it := range n.Items {
				if id, ok := strings.CutPrefix(it.Key, lore.AppKey); ok {
					if a, ok := lore.ReadApp(it); ok && it.Version > e.versions[id] { // as sway.Hear does
						e.phases[id], e.versions[id] = a.Phase, it.Version
					}
				}
				r := quorum.Entry{}
				if strings.HasPrefix(it.Key, lore.RegKey) && easyjson.Unmarshal([]byte(it.Body), &r) == nil && r.Value.Version > e.values[r.Key].Version {
					e.values[r.Key] = r.Value
				}
			}
			if !n.Sound {
				e.home = (e.home + 1) % len(w.nodes)
			}
			again(time.Millisecond)
		}, func() { again(100 * time.Millisecond) })
	})
	w.after(ebb.Wait(empty)+time.Second, func() {
		if !ended {
			e.home = (e.home + 1) % len(w.nodes)
		}
		again(0)
	})
}
