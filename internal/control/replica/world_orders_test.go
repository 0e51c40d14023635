package replica

import (
	"errors"
	"fmt"
	"time"

	"sagelever/internal/control/quorum"
	"sagelever/internal/sim/linear"
	"sagelever/lore"
	"sagelever/plan"
)

// order has an operator or an agent ask some member for something.
func (w *world) order() {
	x := w.some()
	if !x.up || x.frozen || !x.m.Sound(x.clock()) && w.rng.IntN(4) > 0 { // one that does not hear most may ask as well
		return
	}
	write := func(key string, change quorum.Change) {
		x.step(func(now time.Time) {
			x.dones[x.m.Write(now, now.Add(900*time.Millisecond), map[string]quorum.Change{key: change})] = func(d Done) {
				if d.Err != nil {
					return
				}
				w.acks++
				w.chosen(key, d.Values[key])
				w.acked[key] = max(w.acked[key], d.Values[key].Version)
				w.check()
			}
		})
	}
	switch k := w.rng.IntN(12); {
	case k < 4: // an item of the configuration; two operators may use one version
		key := plan.Key(plan.Routes, fmt.Sprint("r", w.rng.IntN(3)))
		if w.rng.IntN(4) > 0 {
			w.versions[key] += 1 + uint64(w.rng.IntN(3))
		}
		x.orderItem(key, max(1, w.versions[key]))
	case k < 5:
		write(plan.ClearedKey("z1"), plan.Clear(w.rng.IntN(2) == 0, 0))
	case k < 6:
		write(plan.ReleaseKey("s"), plan.Begin(fmt.Sprint("v", w.rng.IntN(3)), time.Second, x.clock()))
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
		if w.planted == decisionsMerged {
			change = func(held quorum.Value) quorum.Value {
				r, ok := plan.ReadRelease(held)
				if !ok || r.Number != number {
					return held
				}
				return plan.Decide(number, phase)(plan.Begin("other", time.Second, x.clock())(quorum.Value{Version: held.Version}))
			}
		}
		write(plan.ReleaseKey("s"), change)
	case k < 10:
		x.readAll()
	default:
		w.appliance()
	}
}

// orderItem has an operator send an item with a content of his own.
func (x *node) orderItem(key string, version uint64) {
	w := x.w
	sent := quorum.Value{Version: version, Body: fmt.Sprint("by ", x.i, " ", w.rng.Uint32()), Gone: w.rng.IntN(8) == 0}
	if sent.Gone {
		sent.Body = "" // an item that is dropped has no content
	}
	order := map[string]quorum.Value{key: sent}
	at := w.began(linear.Operation{Name: x.me.Node, Item: key, Kind: linear.Write, Value: linear.Value{Version: version, Content: sent.Body, Gone: sent.Gone}})
	x.step(func(now time.Time) {
		x.dones[x.m.WriteTogether(now, now.Add(900*time.Millisecond), []string{key}, plan.Settle(order))] = func(d Done) {
			if d.Err != nil {
				return
			}
			w.acks++
			held := d.Values[key]
			w.chosen(key, held)
			w.acked[key] = max(w.acked[key], held.Version)
			var conflict *plan.Conflict
			switch err := plan.Outcome(d.Values, order); {
			case err == nil:
				w.confirmed(key, sent)
				w.ended(at, linear.Confirmed)
			case errors.As(err, &conflict) && held.Version == version: // one that came too late besides fits no moment of a plain register
				w.ended(at, linear.Refused)
			}
			w.check()
		}
	})
}

// eight has as many orders sent at once under one version, each with another content.
func (w *world) eight() {
	key := plan.Key(plan.Routes, fmt.Sprint("r", w.rng.IntN(3)))
	w.versions[key]++
	for range 8 {
		if x := w.some(); x.up && !x.frozen {
			w.after(w.ms(0, 3), func() { x.orderItem(key, w.versions[key]) })
		}
	}
}

// readAll has a member read all registers.
func (x *node) readAll() {
	w := x.w
	least := map[string]uint64{}
	for key, v := range w.acked {
		least[key] = max(v, w.read[key])
	}
	var items []int
	for i := range 3 {
		items = append(items, w.began(linear.Operation{Name: x.me.Node, Item: plan.Key(plan.Routes, fmt.Sprint("r", i)), Kind: linear.Read}))
	}
	x.step(func(now time.Time) {
		w.plantBefore(x, Send{Path: ReadPath, Ask: &Ask{Epoch: x.m.Epoch()}})
		defer w.plantAfter(x)
		x.dones[x.m.Read(now, now.Add(900*time.Millisecond), "")] = func(d Done) {
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
			for _, at := range items {
				if v := d.Values[w.history[at].Item]; !v.Gone {
					w.history[at].Value = linear.Value{Version: v.Version, Content: v.Body}
				}
				w.ended(at, linear.Confirmed)
			}
		}
	})
}

// began notes an operation on an item; until it has ended there is no clear answer.
func (w *world) began(o linear.Operation) (at int) {
	o.Begin, o.Outcome = w.now.Sub(time.Unix(1_000_000, 0)), linear.Unknown
	w.history = append(w.history, o)
	return len(w.history) - 1
}

func (w *world) ended(at int, as linear.Outcome) {
	w.history[at].End, w.history[at].Outcome = w.now.Sub(time.Unix(1_000_000, 0)), as
}

// confirmed checks that of two contents under one version one at most is confirmed.
func (w *world) confirmed(key string, v quorum.Value) {
	at, text := fmt.Sprint(key, " ", v.Version), fmt.Sprint(v.Gone, v.Body)
	if was, ok := w.taken[at]; ok && was != text {
		w.fail("%s was confirmed with two contents: %s and %s", at, was, text)
	}
	w.taken[at] = text
}

// appliance has one call a member: it pulses, says that it is leaving, or signs off.
func (w *world) appliance() {
	id := fmt.Sprint("i", w.rng.IntN(4))
	x := w.nodes[w.homes[id]]
	if !x.up || x.frozen || !x.m.Sound(x.clock()) {
		w.homes[id] = w.some().i
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
	life, tries, begun, said := x.life, 0, x.clock(), w.now
	var ask func()
	ask = func() {
		if tries++; tries > 60 || !x.up || x.life != life || x.frozen {
			return
		}
		if x.m.Spread(x.clock(), lore.AppKey+id, begun) || w.planted == removalAlone {
			at := w.now
			w.emptied[id], w.said[id] = at, said
			w.log("emptying acked", id, count, x.i)
			w.after(stopped+clockSlack, func() { w.stopped(id, at) })
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
