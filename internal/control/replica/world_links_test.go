package replica

import (
	"slices"
	"time"

	"github.com/mailru/easyjson"
)

// carryTo brings something from one member to another, or loses it.
func (w *world) carryTo(from, to int, do func()) bool {
	x := w.nodes[from]
	if x.cut[to] || w.faulty && w.rng.IntN(25) == 0 {
		return false
	}
	wait := w.ms(1, 40)
	if w.wait != nil {
		wait = w.wait(from, to)
	}
	if w.faulty && w.rng.IntN(20) == 0 {
		wait = w.ms(40, 900)
	}
	w.after(wait, do)
	return true
}

// send carries a message and its reply; nil comes back where either is lost.
func (x *node) send(s Send) {
	w, life, to := x.w, x.life, x.w.byAddr(s.To.Addr)
	ended := false
	back := func(r *Reply) {
		if !ended && x.up && x.life == life {
			ended = true
			r = x.w.plantReply(s, r)
			x.step(func(now time.Time) { x.m.Replied(now, s.Number, r) })
		}
	}
	to, asked := w.plantAsk(to, s)
	deliver := func() {
		to.step(func(now time.Time) {
			to.nextNum++
			disk := to.m.standing.me.Disk
			to.calls[to.nextNum] = func(r *Reply) {
				w.sent++
				if r != nil {
					w.measure(r)
				}
				w.tookPart(to, disk, s, r)
				w.carryTo(to.i, x.i, func() { back(r) })
			}
			w.plantBefore(to, asked)
			to.m.Asked(now, to.nextNum, asked.Path, asked.Ask)
			w.plantAfter(to)
		})
	}
	w.sent++
	w.measure(s.Ask)
	w.amidChange(s)
	w.carryTo(x.i, to.i, deliver)
	if w.faulty && w.rng.IntN(15) == 0 { // once more, later
		w.after(w.ms(0, 500), func() { w.carryTo(x.i, to.i, deliver) })
	}
	w.after(4*time.Second, func() { back(nil) })
}

func (w *world) byAddr(addr string) *node {
	for _, x := range w.nodes {
		if x.me.Addr == addr {
			return x
		}
	}
	panic(addr)
}

// follow pulls one member's news again and again.
func (x *node) follow(to, life int, wait time.Duration) {
	w := x.w
	w.after(wait, func() {
		if !x.up || x.life != life {
			return
		}
		y := w.nodes[to]
		if !slices.ContainsFunc(x.m.Members(), func(m Member) bool { return m.Addr == y.me.Addr }) {
			delete(x.following, y.me.Addr)
			return
		}
		if x.frozen || x.m.Hold(x.clock(), y.me) {
			x.follow(to, life, 10*time.Millisecond)
			return
		}
		asked := x.m.Ask(x.clock(), y.me)
		p := wire(asked, &Pull{})
		wait := time.Duration(p.WaitMs) * time.Millisecond
		ended := false
		failed := func() {
			if !ended {
				ended = true
				x.follow(to, life, 250*time.Millisecond)
			}
		}
		lost := func() { w.after(1500*time.Millisecond, failed) } // the connection's patience
		if !w.carryTo(x.i, to, func() {
			if !y.up {
				w.after(w.ms(1, 40), failed)
				return
			}
			y.pulled(p, wait, func(n *News) {
				if !w.carryTo(to, x.i, func() {
					if !ended && x.up && x.life == life {
						ended = true
						if b, _ := easyjson.Marshal(n); x.i == w.to {
							w.handed += len(b)
						}
						w.measure(n)
						x.step(func(now time.Time) { x.m.Told(now, y.me, asked, n) })
						x.follow(to, life, 0)
					}
				}) {
					lost()
				}
			}, failed)
		}) {
			lost()
		}
		w.after(wait+time.Second, failed)
	})
}

// pulling is a pull that waits for news.
type pulling struct {
	at    *Waiting
	reply func(*News) // nil once it is answered
	gone  func()      // the process that was asked has ended
}

// pulled serves a pull.
func (x *node) pulled(p *Pull, wait time.Duration, reply func(*News), gone func()) {
	w, life := x.w, x.life
	x.step(func(now time.Time) {
		q := &pulling{x.m.Pulled(now, p), reply, gone}
		x.waiting = append(x.waiting, q)
		w.after(wait, func() {
			if x.up && x.life == life && !x.frozen {
				x.answer(q, true)
			}
		})
	})
	if x.up && !x.frozen {
		x.serveWaiting()
	}
}

func (x *node) answer(q *pulling, ended bool) {
	if q.reply == nil {
		return
	}
	if n, ready := x.m.Answer(x.clock(), q.at); ready || ended {
		reply := q.reply
		q.reply = nil
		reply(x.w.told(n))
	}
}

func (x *node) serveWaiting() {
	for _, q := range x.waiting {
		x.answer(q, false)
	}
	x.waiting = slices.DeleteFunc(x.waiting, func(q *pulling) bool { return q.reply == nil })
}

// wire has a message go through its words.
func wire[T easyjson.Unmarshaler](in easyjson.Marshaler, out T) T {
	b, err := easyjson.Marshal(in)
	if err == nil {
		err = easyjson.Unmarshal(b, out)
	}
	if err != nil {
		panic(err)
	}
	return out
}

// measure notes the length of a message, where a test wants to know it.
func (w *world) measure(message easyjson.Marshaler) {
	if w.measures {
		b, _ := easyjson.Marshal(message)
		w.biggest = max(w.biggest, len(b))
	}
}
