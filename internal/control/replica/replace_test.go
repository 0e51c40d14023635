package replica

import (
	"strings"
	"testing"
	"time"

	"sagelever/internal/control/membership"
	"sagelever/internal/control/quorum"
)

// until steps until something holds, for so long at most.
func (w *world) until(most time.Duration, holds func() bool) bool {
	for end := w.now.Add(most); w.now.Before(end); w.run(w.now.Add(time.Millisecond)) {
		if holds() {
			return true
		}
	}
	return holds()
}

// whole tells whether all members of the newest set act and hear the core.
func (w *world) whole(epoch uint64) bool {
	if w.set.Epoch < epoch || len(w.set.Members) != w.n {
		return false
	}
	for _, member := range w.set.Members {
		x := w.byAddr(member.Addr)
		if x.gone || !x.up || !x.m.Acting() || !x.m.Sound(x.clock()) {
			return false
		}
	}
	return true
}

// A planned replacement takes the place of a member that leaves, which ends once it is not wanted any more; it takes one of
// which nobody is left within Heard and sync_time. Orders go on before and after, and what was acknowledged stands.
func TestReplacement(t *testing.T) {
	for _, size := range sizes {
		for _, planned := range []bool{true, false} {
			w := calmOf(size[0], size[1], 35*time.Millisecond, 5*time.Millisecond)
			x, y := w.nodes[1], w.nodes[0]
			w.write(y, "item/routes/r", 1)
			var begun time.Time
			if planned {
				w.newcomer(x.place, 0).forNode = x
				w.run(w.now.Add(2 * time.Second))
				begun = w.now
				x.faultless(func() { x.leave(0) })
			} else {
				begun = w.now
				x.end()
				w.newcomer(x.place, 500*time.Millisecond)
			}
			if !w.until(Heard+4*time.Second, func() bool { return x.gone && w.whole(2) }) {
				t.Errorf("%d members, planned %v: not whole: %s", w.n, planned, w.amiss())
			}
			t.Logf("%d members, planned %v: whole after %v", w.n, planned, w.now.Sub(begun))
			w.write(y, "item/routes/r", 2)
			w.check()
			if w.wrong != "" {
				t.Errorf("%d members, planned %v: %s", w.n, planned, w.wrong)
			}
		}
	}
}

// faultless has something begin that is otherwise begun while faults go on.
func (x *node) faultless(do func()) {
	x.leaving, x.toldAt = true, x.w.now
	do()
}

// One member is gone for good. Another leaves, and its process is started again when the next set was decided and nobody has
// taken over: what it holds is wanted by those that take over, so it has to tell it.
func TestRemovedMemberRestartsBeforeTakeover(t *testing.T) {
	for _, size := range sizes {
		w := calmOf(size[0], size[1], 35*time.Millisecond, 5*time.Millisecond)
		w.write(w.nodes[0], "item/routes/r", 1)
		for i := range w.f {
			w.nodes[w.n-1-i].end()
		}
		x := w.nodes[1]
		w.newcomer(x.place, 0)
		w.run(w.now.Add(2 * time.Second))
		x.step(x.m.Leave)
		if !w.until(4*time.Second, func() bool { return w.set.Epoch == 2 }) {
			t.Fatalf("%d members: no next set", w.n)
		}
		x.kill()
		w.run(w.now.Add(100 * time.Millisecond))
		x.start()
		acting := func() bool {
			k := 0
			for _, y := range w.nodes {
				if y.up && y.m.Acting() && y.m.standing.set.Epoch == 2 {
					k++
				}
			}
			return k >= w.n-w.f
		}
		if !w.until(4*time.Second, acting) {
			t.Errorf("%d members: too few act in the next set", w.n)
		}
		if w.wrong != "" {
			t.Errorf("%d members: %s", w.n, w.wrong)
		}
	}
}

// A member that was removed comes back, with the disk that it had and with an empty one, while another has its place: it
// learns that and does nothing.
func TestRemovedMemberComesBack(t *testing.T) {
	for _, empty := range []bool{false, true} {
		w := calm(35*time.Millisecond, 5*time.Millisecond)
		x := w.nodes[1]
		x.end()
		w.newcomer(x.place, 0)
		if !w.until(Heard+4*time.Second, func() bool { return w.whole(2) }) {
			t.Fatal("not replaced")
		}
		x.gone = false
		if empty {
			x.disk = emptyDisk()
		}
		x.start()
		w.write(w.nodes[0], "item/routes/r", 3)
		w.run(w.now.Add(Heard + 4*time.Second))
		if w.set.Epoch != 2 || x.m.Acting() || x.m.Sound(x.clock()) {
			t.Errorf("empty %v: epoch %d, it acts: %v", empty, w.set.Epoch, x.m.Acting())
		}
		if x.m.standing.set.Epoch != 2 {
			t.Errorf("empty %v: it does not know of epoch 2", empty)
		}
		if w.wrong != "" {
			t.Errorf("empty %v: %s", empty, w.wrong)
		}
	}
}

// A change of members is accepted, and the one that goes and one that stays are cut off from the others before they hear that
// it was chosen. What the others then confirm no read of these two may miss, and it does where sealed members answer reads.
func TestSealedMembersAnswerNoReads(t *testing.T) {
	for planted, runs := range map[string]uint64{"": 100, noSealing: 400} {
		found := ""
		confirmed := 0
		for seed := uint64(0); seed < runs && found == ""; seed++ {
			w := newWorld(seed, 6, 1, planted)
			w.faulty = false
			w.run(w.now.Add(3 * time.Second))
			r, s := w.nodes[5], w.nodes[w.rng.IntN(5)]
			w.newcomer(r.place, 0)
			w.run(w.now.Add(2 * time.Second))
			r.step(r.m.Leave)
			w.until(4*time.Second, w.changing)
			w.run(w.now.Add(w.ms(0, 80)))
			for _, x := range w.nodes {
				if x != r && x != s {
					w.cutOff(x.i, r.i, s.i)
				}
			}
			w.run(w.now.Add(200 * time.Millisecond))
			writer := w.nodes[(s.i+1)%5]
			for range 3 {
				writer.orderItem("item/routes/r0", 7)
				w.run(w.now.Add(time.Second))
			}
			if w.acked["item/routes/r0"] == 7 {
				confirmed++
			}
			for range 3 {
				s.readAll()
				r.readAll()
				w.run(w.now.Add(300 * time.Millisecond))
			}
			if found = w.wrong; found != "" {
				t.Logf("%q: found by run %d: %s", planted, seed+1, found)
			}
		}
		if confirmed == 0 && found == "" {
			t.Errorf("%q: nothing was confirmed", planted)
		}
		if planted == "" && found != "" || planted != "" && !strings.Contains(found, "a read at") {
			t.Errorf("%q: found %q", planted, found)
		}
	}
}

// changing tells whether some disk has accepted a next set.
func (w *world) changing() bool {
	for _, x := range w.nodes {
		if x.disk.entries[membership.Key].Value.Version == 2 {
			return true
		}
	}
	return false
}

// Two of six lack what was confirmed, and a newcomer does. They hear of the next set and of nobody else: taking over from f
// of them they would act without it, and from f+1 they wait.
func TestTakeoverFromTooFew(t *testing.T) {
	for planted, by := range map[string]string{"": "", smallTakeover: "acknowledged"} {
		w := newWorld(1, 6, 2, planted)
		w.faulty = false
		w.run(w.now.Add(3 * time.Second))
		leaving := w.nodes[3]
		w.newcomer(leaving.place, 0)
		w.run(w.now.Add(2 * time.Second))
		w.cutOff(4, 0, 1, 2, 3)
		w.cutOff(5, 0, 1, 2, 3)
		w.cutOff(6, 0, 1, 2, 3)
		w.nodes[0].orderItem("item/routes/r0", 7)
		w.until(time.Second, func() bool { return w.acked["item/routes/r0"] == 7 })
		leaving.step(leaving.m.Leave)
		if !w.until(3*time.Second, func() bool { return w.set.Epoch == 2 }) || w.acked["item/routes/r0"] != 7 {
			t.Fatalf("%q: nothing was confirmed, or no set followed", planted)
		}
		w.run(w.now.Add(200 * time.Millisecond))
		told := w.nodes[0].m.standing.chosen
		for _, x := range []*node{w.nodes[4], w.nodes[5], w.nodes[6]} {
			x.step(func(now time.Time) { x.m.save(now, Save{Entries: x.m.learn(now, []quorum.Entry{told})}, nil) })
		}
		w.run(w.now.Add(2 * time.Second))
		w.check()
		if planted == "" && w.wrong != "" || !strings.Contains(w.wrong, by) || by != "" && w.wrong == "" {
			t.Errorf("%q: found %q", planted, w.wrong)
		}
	}
}
