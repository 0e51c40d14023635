package replica

import (
	"fmt"
	"testing"
	"time"
)

// restore puts the last copy of a member's disk back, while the member is down, and starts it.
func (x *node) restore() (identity Identity) {
	x.kill()
	x.disk = x.earlier[len(x.earlier)-1].disk.copy()
	x.lost = true
	x.w.run(x.w.now.Add(200 * time.Millisecond))
	x.start()
	return x.disk.identity
}

// A disk that is older than generationSpan and the longest time between two pulls is noticed whenever it was copied, and gives
// no word; its replica is a member again, with another disk, within sync_time.
func TestOldDiskIsNoticed(t *testing.T) {
	const bound = generationSpan + CoreWait + time.Second + 500*time.Millisecond
	for step := range 10 {
		t.Run(fmt.Sprint(step), func(t *testing.T) {
			t.Parallel()
			w := calm(35*time.Millisecond, 5*time.Millisecond)
			w.run(w.now.Add(time.Duration(step) * generationSpan / 10))
			x := w.nodes[step%w.n]
			x.keepCopy()
			w.run(w.now.Add(bound))
			x.stale = x.disk.identity.Disk
			old := x.restore()
			back := w.now
			for !(x.m.Acting() && x.m.Sound(x.clock())) && w.now.Sub(back) < 4*time.Second {
				w.run(w.now.Add(20 * time.Millisecond))
			}
			if x.m.standing.identity.Disk == old.Disk {
				t.Errorf("a disk from %v ago, of generation %d, is not noticed", bound, old.Generation)
			}
			if !x.m.Acting() || !x.m.Sound(x.clock()) {
				t.Error("it does not act again within sync_time")
			}
			if w.wrong != "" {
				t.Error(w.wrong)
			}
		})
	}
}

// A younger one may pass for a disk that was never away: what is promised then is that its replica acts again and that the
// others go on, and nothing of what it had promised since.
func TestYoungDiskActsAgain(t *testing.T) {
	for _, age := range []time.Duration{0, time.Second, 5 * time.Second, 9 * time.Second, 13 * time.Second} {
		t.Run(fmt.Sprint(age), func(t *testing.T) {
			t.Parallel()
			w := calm(35*time.Millisecond, 5*time.Millisecond)
			x := w.nodes[3]
			w.run(w.now.Add(generationSpan))
			x.keepCopy()
			for version := uint64(1); w.now.Sub(x.earlier[0].at) < age; version++ {
				w.write(w.nodes[0], "item/routes/r", version)
			}
			if w.wrong != "" {
				t.Fatal(w.wrong)
			}
			w.lenient = true
			x.restore()
			back := w.now
			whole := func() bool {
				for _, y := range w.nodes {
					if !y.m.Acting() || !y.m.Sound(y.clock()) {
						return false
					}
				}
				return true
			}
			for !whole() && w.now.Sub(back) < 4*time.Second {
				w.run(w.now.Add(20 * time.Millisecond))
			}
			if !whole() {
				t.Error("not all act within sync_time")
			}
		})
	}
}
