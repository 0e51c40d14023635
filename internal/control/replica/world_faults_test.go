package replica

import (
	"time"

	"sagelever/internal/control/membership"
)

// fault brings about one.
func (w *world) fault() {
	x := w.some()
	again := func(from, to int) { w.after(w.ms(from, to), x.start) }
	kind := w.rng.IntN(25)
	if w.long && w.rng.IntN(6) == 0 {
		kind = 18
	}
	w.log("fault", kind, x.i)
	switch kind {
	case 0, 1:
		x.kill()
		again(50, 1500)
	case 2:
		x.wipe()
		again(200, 1500)
	case 3: // everyone's power, and perhaps some disks
		for _, y := range w.nodes {
			y.kill()
			w.after(w.ms(300, 900), y.start)
		}
		for range w.rng.IntN(w.f + 1) {
			w.some().wipe()
		}
	case 4, 5:
		for i := range w.nodes {
			if w.rng.IntN(2) == 0 {
				x.cut[i] = true
			} else {
				w.nodes[i].cut[x.i] = true
			}
		}
		w.after(w.ms(200, 6000), w.join)
	case 6: // in two
		for _, y := range w.nodes {
			for i := range w.nodes {
				if (y.place < w.n/2) != (w.nodes[i].place < w.n/2) {
					y.cut[i] = true
				}
			}
		}
		w.after(w.ms(500, 6000), w.join)
	case 7:
		x.frozen = true
		w.after(w.ms(100, 4000), x.thaw)
	case 8:
		x.slow = true
		w.after(w.ms(500, 4000), func() { x.slow = false })
	case 9:
		x.refuses = true
		w.after(w.ms(500, 3000), func() { x.refuses = false })
	case 10:
		x.setClock(w.ms(0, 6000) - 3*time.Second) // until the faults end
	case 24:
		x.setClock(w.ms(0, 20000) - 10*time.Second)
	case 11, 12:
		e := w.relays[w.rng.IntN(len(w.relays))]
		e.up = false
		w.after(w.ms(100, 12000), e.start)
	case 13:
		for _, y := range w.nodes { // a herd
			if w.rng.IntN(3) > 0 {
				y.kill()
				w.after(w.ms(50, 900), y.start)
			}
		}
	default:
		w.change(kind, x)
	}
	w.check()
}

// setClock steps a clock to be so far from the world's.
func (x *node) setClock(skew time.Duration) {
	if skew < x.skew {
		x.back = append(x.back, setBack{x.w.now, x.skew - skew})
	}
	x.skew = skew
}

// setBack is a step of a clock back.
type setBack struct {
	at time.Time
	by time.Duration
}

// clockSlack is by how much clocks may be set back without a word on it.
const clockSlack = 3 * time.Second

// slack is by how much longer something may last by the clock of some member that was set back meanwhile.
func (w *world) slack(since time.Time) time.Duration {
	most := clockSlack
	for _, x := range w.nodes {
		sum := time.Duration(0)
		for _, b := range x.back {
			if b.at.After(since) {
				sum += b.by
			}
		}
		most = max(most, sum)
	}
	return most
}

func (x *node) thaw() {
	x.frozen = false
	asleep := x.asleep
	x.asleep = nil
	for _, do := range asleep {
		do()
	}
	if x.up {
		x.serveWaiting()
	}
}

func (w *world) join() {
	if w.now.Before(w.cutUntil) {
		return
	}
	for _, x := range w.nodes {
		x.cut = map[int]bool{}
	}
}

// play plays some seconds of orders and faults, then the end of all faults, and what must hold afterwards.
func (w *world) play(length time.Duration) {
	begun := w.now
	w.long = length > 25*time.Second
	w.run(begun.Add(2 * time.Second))
	for w.now.Before(begun.Add(length)) && w.wrong == "" {
		switch k := w.rng.IntN(20); {
		case k < 12:
			w.order()
		case k < 14:
			w.look()
		case k == 14:
			w.fault()
		}
		w.run(w.now.Add(w.ms(5, 120)))
	}
	w.endFaults()
	w.heal()
	if w.wrong == "" {
		w.linearizable()
	}
}

// endFaults has all faults end, and everything start that is not gone for good.
func (w *world) endFaults() {
	w.faulty, w.cutUntil = false, time.Time{}
	w.join()
	for _, x := range w.nodes {
		x.notBefore = time.Time{}
		x.refuses, x.slow = false, false
		x.setClock(w.ms(0, 600) - 300*time.Millisecond)
		x.thaw()
		x.start()
	}
	for _, e := range w.relays {
		e.start()
	}
}

// heal waits until all is whole: within sync_time, and what passes until a member that is gone is given up.
func (w *world) heal() {
	ended, within := w.now, 4*time.Second
	if w.toReplace() {
		within += Heard
	}
	for w.wrong == "" {
		w.run(w.now.Add(50 * time.Millisecond))
		what := w.amiss()
		if what == "" {
			w.heals = w.now.Sub(ended)
			return
		}
		if w.lastEnd.After(ended) { // one that was told to leave before has ended
			ended, within = w.lastEnd, 4*time.Second+Heard
		}
		if w.now.Sub(ended) > within {
			w.lenient = false
			w.fail("%v after the last fault %s", within, what)
		}
	}
}

// toReplace tells whether a member has to be given up for the core to have its full size: of the set in force, or of one
// that some disk has accepted.
func (w *world) toReplace() bool {
	sets := []membership.Set{w.set}
	for _, x := range w.nodes {
		if set, err := membership.Read(x.disk.entries[membership.Key].Value); !x.gone && err == nil && set.Epoch > w.set.Epoch {
			sets = append(sets, set)
		}
	}
	for _, set := range sets {
		if set.Epoch > 0 && len(set.Members) < w.n {
			return true
		}
		for _, member := range set.Members {
			if x := w.byAddr(member.Addr); x.gone || x.leaving {
				return true
			}
		}
	}
	return false
}
