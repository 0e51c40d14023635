package replica

import (
	"fmt"
	"time"

	"sagelever/internal/control/quorum"
	"sagelever/lore"
	"sagelever/plan"
)

// order has an operator or an agent ask some member for something.
func (w *world) order() {
	x := w.nodes[w.rng.IntN(w.n)]
	if !x.up || x.frozen || !x.m.Sound(x.clock()) {
		return
	}
	until := x.clock().Add(900 * time.Millisecond)
	begin := func(start func(now time.Time) uint64, done func(Done)) {
		x.step(func(now time.Time) { x.dones[start(now)] = done })
	}
	write := func(key string, change quorum.Change, version uint64) {
		begin(func(now time.Time) uint64 { return x.m.Write(now, until, map[string]quorum.Change{key: change}) }, func(d Done) {
			if d.Err != nil {
				return
			}
			w.acks++
			w.chosen(key, d.Values[key])
			w.acked[key] = max(w.acked[key], version, d.Values[key].Version)
			w.check()
		})
	}
	switch k := w.rng.IntN(12); {
	case k < 4: // an item of the configuration; two operators may use one version
		key := plan.Key(plan.Routes, fmt.Sprint("r", w.rng.IntN(3)))
		if w.rng.IntN(4) > 0 {
			w.versions[key] += 1 + uint64(w.rng.IntN(3))
		}
		v := quorum.Value{Version: max(1, w.versions[key]), Body: fmt.Sprint("by ", x.i, " ", w.rng.Uint32()), Gone: w.rng.IntN(8) == 0}
		write(key, plan.Apply(v), v.Version)
	case k < 5:
		write(plan.ClearedKey("z1"), plan.Clear(w.rng.IntN(2) == 0, 0), 0)
	case k < 6:
		write(plan.ReleaseKey("s"), plan.Begin(fmt.Sprint("v", w.rng.IntN(3)), time.Second, x.clock()), 0)
	case k < 8: // two agents that see it differently
		number := uint64(1)
		if r, ok := plan.ReadRelease(x.m.Held(plan.ReleaseKey("s")).Value); ok {
			number = r.Number
		}
		phase := plan.Finished
		if w.rng.IntN(2) == 0 {
			phase = plan.Reverted
		}
		change := plan.Decide(number, phase)
		if w.planted == "two decisions merged" {
			change = func(held quorum.Value) quorum.Value {
				r, ok := plan.ReadRelease(held)
				if !ok || r.Number != number {
					return held
				}
				return plan.Decide(number, phase)(plan.Begin("other", time.Second, x.clock())(quorum.Value{Version: held.Version}))
			}
		}
		write(plan.ReleaseKey("s"), change, 0)
	case k < 10:
		least := map[string]uint64{}
		for key, v := range w.acked {
			least[key] = max(v, w.read[key])
		}
		begin(func(now time.Time) uint64 { return x.m.Read(now, until, "") }, func(d Done) {
			if d.Err != nil {
				return
			}
			for key, v := range d.Values {
				w.chosen(key, v)
			}
			for key, v := range least {
				if d.Values[key].Version < v {
					w.fail("a read at %s finds version %d of %s; %d was acknowledged or read before", x.me.Node, d.Values[key].Version, key, v)
				}
				w.read[key] = max(w.read[key], d.Values[key].Version)
			}
		})
	default:
		w.appliance()
	}
}

// appliance has one call a member: it pulses, says that it is leaving, or signs off.
func (w *world) appliance() {
	id := fmt.Sprint("i", w.rng.IntN(4))
	x := w.nodes[w.homes[id]]
	if !x.up || x.frozen || !x.m.Sound(x.clock()) {
		w.homes[id] = w.rng.IntN(w.n)
		return
	}
	if !w.emptied[id].IsZero() && id != "i0" {
		return // its word was acknowledged: no pulse of it gets through any more, but for one of them
	}
	w.counts[id]++
	count := w.counts[id]
	phase := lore.Ready
	if w.leaving[id] || w.rng.IntN(10) == 0 {
		phase = lore.Emptying
		w.leaving[id] = true
	}
	w.log("pulse", id, count, phase, x.i)
	x.step(func(now time.Time) {
		x.m.Pulse(now, id, &lore.Pulse{Service: "s", Address: "10.0.1.1:80", Zone: "z1", Version: "v1", Capacity: 3, Phase: phase, WarmLeft: "0ms", CallCount: int64(count)})
	})
	if phase != lore.Emptying {
		return
	}
	life, tries, begun := x.life, 0, x.clock()
	var ask func()
	ask = func() {
		if tries++; tries > 60 || !x.up || x.life != life || x.frozen {
			return
		}
		if x.m.Spread(x.clock(), lore.AppKey+id, begun) || w.planted == "a removal acknowledged alone" {
			at := w.now
			w.emptied[id] = at
			w.log("emptying acked", id, count, x.i)
			w.after(stopped, func() { w.stopped(id, at) })
			if w.faulty && w.rng.IntN(3) == 0 { // the member that gave its word dies with it
				w.after(w.ms(0, 4), x.kill)
				w.after(w.ms(300, 1500), x.start)
			}
			return
		}
		w.after(15*time.Millisecond, ask)
	}
	ask()
}
