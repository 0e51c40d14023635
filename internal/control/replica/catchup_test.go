package replica

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"sagelever/internal/control/quorum"
	"sagelever/internal/control/rangesync"
	"sagelever/plan"
)

// writeMany has a member take calls of so many items each until all of them have a version.
func (w *world) writeMany(t *testing.T, x *node, items, atOnce int, version uint64) {
	body := strings.Repeat("x", 300)
	for from := 0; from < items; from += atOnce {
		call := map[string]quorum.Value{}
		var keys []string
		for i := from; i < min(from+atOnce, items); i++ {
			key := plan.Key(plan.Routes, fmt.Sprint("many", i))
			call[key] = quorum.Value{Version: version, Body: fmt.Sprint(version, " ", i, " ", body)}
			keys = append(keys, key)
		}
		var done *Done
		x.step(func(now time.Time) {
			x.dones[x.m.WriteTogether(now, now.Add(time.Second), keys, plan.Settle(call))] = func(d Done) { done = &d }
		})
		for end := w.now.Add(2 * time.Second); done == nil && w.now.Before(end); {
			w.run(w.now.Add(5 * time.Millisecond))
		}
		if done == nil || done.Err != nil || plan.Outcome(done.Values, call) != nil {
			t.Fatalf("items %d to %d of version %d: %+v", from, from+atOnce, version, done)
		}
	}
}

// lacks is what a replica does not hold as chosen of so many items.
func (x *node) lacks(items int, version uint64) (lacking int) {
	for i := range items {
		if e := x.m.Held(plan.Key(plan.Routes, fmt.Sprint("many", i))); !e.Chosen || e.Value.Version < version {
			lacking++
		}
	}
	return lacking
}

// After thousands of changes a member that was away, one that lost its disk and a new one are whole within sync_time, and no
// message is longer than a page by much.
func TestManyChangesThenBack(t *testing.T) {
	const items, atOnce, versions = 800, 100, 5
	for name, come := range map[string]func(w *world, x *node) *node{
		"restarted": func(_ *world, x *node) *node { x.start(); return x },
		"with an empty disk": func(_ *world, x *node) *node {
			x.wipe()
			x.start()
			return x
		},
		"replaced": func(w *world, x *node) *node {
			x.end()
			return w.newcomer(x.place, 0)
		},
		"cut off": nil,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := calm(35*time.Millisecond, 5*time.Millisecond)
			x := w.nodes[5]
			w.writeMany(t, w.nodes[0], 20, 20, 1)
			if come == nil {
				w.cutOff(5, 0, 1, 2, 3, 4)
			} else {
				x.kill()
			}
			w.run(w.now.Add(Heard))
			for version := range uint64(versions) {
				w.writeMany(t, w.nodes[0], items, atOnce, version+2)
			}
			w.measures = true
			back, y := w.now, x
			if come == nil {
				w.join()
			} else {
				y = come(w, x)
			}
			whole := func() bool { return y.up && y.m.Acting() && y.m.Sound(y.clock()) && y.lacks(items, versions+1) == 0 }
			for !whole() && w.now.Sub(back) < 20*time.Second {
				w.run(w.now.Add(20 * time.Millisecond))
			}
			took := w.now.Sub(back)
			t.Logf("whole after %v, the longest message has %d bytes", took, w.biggest)
			if took > 4*time.Second || !whole() {
				t.Errorf("whole after %v: it lacks %d items", took, y.lacks(items, versions+1))
			}
			if most := rangesync.DefaultLimits.MessageBytes * 5 / 4; w.biggest > most {
				t.Errorf("a message of %d bytes, want %d at most", w.biggest, most)
			}
			if w.wrong != "" {
				t.Error(w.wrong)
			}
		})
	}
}
