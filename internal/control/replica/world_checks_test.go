package replica

import (
	"fmt"
	"strings"
	"time"

	"github.com/mailru/easyjson"

	"sagelever/internal/control/quorum"
	"sagelever/lore"
	"sagelever/plan"
)

// told looks at what a member tells: what is told as chosen has one content, and a release one end.
func (w *world) told(n *News) *News {
	for _, it := range n.Items {
		if !strings.HasPrefix(it.Key, lore.RegKey) {
			continue
		}
		e := quorum.Entry{}
		if easyjson.Unmarshal([]byte(it.Body), &e) != nil || !e.Chosen {
			w.fail("%s is told, and not as chosen: %s", it.Key, it.Body)
		}
		w.chosen(e.Key, e.Value)
	}
	return wire(n, &News{})
}

func (w *world) chosen(key string, v quorum.Value) {
	at := fmt.Sprint(key, " ", v.Version)
	text := fmt.Sprint(v.Gone, v.Body)
	if was, ok := w.content[at]; ok && was != text {
		w.fail("%s was chosen with two contents: %s and %s", at, was, text)
	}
	w.content[at] = text
	if service, ok := strings.CutPrefix(key, plan.ReleaseKey("")); ok {
		if r, ok := plan.ReadRelease(v); ok && r.Phase != plan.InService {
			at := fmt.Sprint(service, " ", r.Number)
			if was, ok := w.decided[at]; ok && was != r.Phase {
				w.fail("release %s has two ends: %s and %s", at, was, r.Phase)
			}
			w.decided[at] = r.Phase
		}
	}
}

// check looks at the disks: what was acknowledged stands on so many that withstand can't lose it, and whichever members
// are asked, one of f+1 that count holds it.
func (w *world) check() {
	lost := w.lostNow()
	for key, version := range w.acked {
		holders, lacking := 0, map[uint64]int{}
		for _, x := range w.nodes {
			if x.disk.entries[key].Value.Version >= version {
				holders++
			}
			if x.up && x.m.Acting() && x.m.Held(key).Value.Version < version {
				lacking[x.m.standing.set.Epoch]++
			}
		}
		if holders < w.n-w.f-lost {
			w.fail("version %d of %s was acknowledged, and stands on %d disks; %d are lost", version, key, holders, lost)
		}
		for epoch, k := range lacking {
			if k > w.f {
				w.fail("version %d of %s was acknowledged, and %d members that count in epoch %d lack it", version, key, k, epoch)
			}
		}
	}
}

// stopped is when no agent sends any more, whatever happens: a pull that was under way at the acknowledgement has ended, its
// member has been held for sound by it, and the agent has had its leave by that. In calm it is 0.1 s: TestStopTogether.
const stopped = CoreWait + Heard + time.Second + 3*time.Second

// stopped looks whether an agent still has leave to send to an appliance whose leaving was acknowledged.
func (w *world) stopped(id string, acked time.Time) {
	if !w.emptied[id].Equal(acked) {
		return // its word stood with members that were killed
	}
	for _, e := range w.relays {
		if p := e.phases[id]; e.up && (p == lore.Ready || p == lore.Silent) && e.leave.Holds(w.now) {
			w.fail("agent %d still sends to %s, %v after its leaving was acknowledged", e.i, id, w.now.Sub(acked))
		}
	}
}

// look asks a member where clients should go: nobody is sent to an agent whose lease ran out. A member hears of it from
// the grantor, which it may hear for the last time just before.
func (w *world) look() {
	x := w.nodes[w.rng.IntN(w.n)]
	if !x.up || x.frozen || !x.m.Sound(x.clock()) {
		return
	}
	x.claimed()
	for _, front := range x.m.Fronts(x.clock(), "z0", "r", 9) {
		for _, e := range w.relays {
			if since := w.now.Sub(e.renewed); e.name() == front && since > LeaseTerm+Heard+3*time.Second {
				w.fail("%s sends clients to %s, which renewed its lease %v ago", x.me.Node, front, since)
			}
		}
	}
}

// claimed checks that a member claims all that it holds: what lies beyond its vector would be told again and again, or, when
// the life that told it is over, never be claimed by anyone.
func (x *node) claimed() {
	items, origins := x.m.feed.Lacks(nil, x.m.feed.Seq(), nil)
	come := x.m.feed.Vector()
	for _, it := range items {
		if origin := origins[it.From]; it.Seq > come[origin] {
			x.w.fail("%s holds %s under number %d of %s, and has come to %d", x.me.Node, it.Key, it.Seq, origin, come[origin])
		}
	}
}

// amiss is what has not healed yet.
func (w *world) amiss() string {
	for _, x := range w.nodes {
		x.claimed()
		switch {
		case !x.m.Acting():
			return x.me.Node + " does not act"
		case !x.m.Sound(x.clock()):
			return x.me.Node + " does not hear the core"
		case len(x.m.open) > 0:
			return x.me.Node + " holds values without a known end"
		}
		for key, version := range w.acked {
			if e := x.m.Held(key); !e.Chosen || e.Value.Version < version {
				return fmt.Sprintf("%s lacks version %d of %s: %+v", x.me.Node, version, key, e)
			}
		}
		for id := range w.emptied {
			it, _ := x.m.feed.Get(lore.AppKey + id)
			if a, ok := lore.ReadApp(it); !ok || a.Phase == lore.Ready || a.Phase == lore.Silent {
				return fmt.Sprintf("%s has not heard that %s is leaving: %+v", x.me.Node, id, it)
			}
		}
		if fronts := x.m.Fronts(x.clock(), "z0", "r", 9); len(fronts) == 0 {
			return x.me.Node + " knows of no agent"
		}
		if all, _ := x.m.roll.Count("z0", x.clock()); all < len(w.relays) {
			return fmt.Sprintf("%s counts %d agents", x.me.Node, all)
		}
	}
	for _, e := range w.relays {
		for key, version := range w.acked {
			if e.values[key].Version < version {
				return fmt.Sprintf("%s lacks version %d of %s", e.name(), version, key)
			}
		}
	}
	return ""
}
