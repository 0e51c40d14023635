package replica

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/mailru/easyjson"

	"sagelever/internal/control/membership"
	"sagelever/internal/control/quorum"
	"sagelever/internal/sim/linear"
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
	places := map[string]bool{} // members, and those whose place they take
	for _, x := range append(slices.Clone(w.set.Members), w.set.Previous...) {
		places[x.Addr] = true
	}
	for key, version := range w.acked {
		holders, lacking := 0, map[uint64]int{}
		for _, x := range w.nodes {
			if x.gone || !places[x.me.Addr] {
				continue
			}
			if x.disk.entries[key].Value.Version >= version {
				holders++
			}
			if x.up && x.m.Acting() && !x.m.sealed() && x.m.Held(key).Value.Version < version {
				lacking[x.m.standing.set.Epoch]++
			}
		}
		if holders < w.n-w.f-lost-w.takingOver() {
			w.fail("version %d of %s was acknowledged, and stands on %d disks; %d are lost", version, key, holders, lost)
		}
		for epoch, k := range lacking {
			if k > w.sets[epoch].Lose {
				w.fail("version %d of %s was acknowledged, and %d members that count in epoch %d lack it", version, key, k, epoch)
			}
		}
	}
}

// takingOver is how many members do not act yet of which the one that had their place has left in order. Until they act there
// is a copy less, which takeover makes up for: of the members before at most Lose lack a value, and Lose+1 are asked. That no
// further loss takes one with it is for the reads and for those that count.
func (w *world) takingOver() (k int) {
	for _, member := range w.set.Members {
		y := w.byAddr(member.Addr)
		if y.forNode != nil && y.forNode.gone && !y.lost && !(y.up && y.m.Acting()) {
			k++
		}
	}
	return k
}

// acts takes up which set of members a replica goes by: there is one in each epoch.
func (w *world) acts(x *node) {
	s := &x.m.standing
	if s.set.Epoch == 0 {
		return
	}
	if x.stale != "" && x.stale != s.identity.Disk {
		x.stale = ""
		w.seen["old disk noticed"]++
	}
	if s.set.Epoch == x.epoch {
		return
	}
	x.epoch = s.set.Epoch
	was, known := w.sets[s.set.Epoch]
	if known && !slices.Equal(was.Members, s.set.Members) {
		w.fail("in epoch %d %s goes by the members %v, others by %v", s.set.Epoch, x.me.Node, s.set.Members, was.Members)
	}
	if known && len(was.Previous) > 0 {
		return
	}
	w.sets[s.set.Epoch] = s.set
	if s.set.Epoch > w.set.Epoch {
		w.seen["epoch"]++
		w.follow(s.set)
	}
}

// follow takes up a newer set. A newcomer counts as lost until it acts, but where it takes the place of one that leaves in
// order: that one may go only when it is not wanted any more.
func (w *world) follow(set membership.Set) {
	first, was := w.set.Epoch == 0, w.set
	w.set = set
	for _, member := range set.Members {
		y := w.byAddr(member.Addr)
		if !first && !was.Has(member) && (y.forNode == nil || y.forNode.gone || y.forNode.lost || was.Epoch+1 != set.Epoch) {
			y.lost = true
		}
	}
}

// tookPart checks who gives a word in a round: a member of the round's epoch, with its disk, that was not put back.
func (w *world) tookPart(x *node, disk string, s Send, r *Reply) {
	if r == nil || !r.OK || s.Ask.Epoch == 0 || s.Path != PreparePath && s.Path != AcceptPath && s.Path != ReadPath {
		return
	}
	if set := w.sets[s.Ask.Epoch]; !set.Has(Member{Node: x.me.Node, Disk: disk}) {
		w.fail("%s gives its word on %s in epoch %d, of which it is no member", x.me.Node, s.Path, s.Ask.Epoch)
	}
	if x.stale != "" && x.stale == disk {
		w.fail("%s gives its word on %s with a disk from the past", x.me.Node, s.Path)
	}
}

// stopped is when no agent sends any more, whatever happens: a pull that was under way at the acknowledgement has ended, its
// member has been held for sound by it, and the agent has had its leave by that. In calm it is 0.1 s: TestStopTogether.
const stopped = CoreWait + Heard + time.Second

// stopped looks whether an agent still has leave to send to an appliance whose leaving was acknowledged.
func (w *world) stopped(id string, acked time.Time) {
	if !w.emptied[id].Equal(acked) {
		return // its word stood with members that were killed
	}
	if late := acked.Add(stopped + w.slack(acked)).Sub(w.now); late > 0 {
		w.after(late, func() { w.stopped(id, acked) })
		return
	}
	for _, e := range w.relays {
		if p := e.phases[id]; e.up && (p == lore.Ready || p == lore.Silent) && e.leave.Holds(w.now) {
			w.fail("agent %d still sends to %s, %v after its leaving was acknowledged; it is told to be %s", e.i, id, w.now.Sub(acked), p)
		}
	}
}

// look asks a member where clients should go: nobody is sent to an agent whose lease ran out. A member hears of it from
// the grantor, which it may hear for the last time just before.
func (w *world) look() {
	x := w.some()
	if !x.up || x.frozen || !x.m.Sound(x.clock()) {
		return
	}
	x.claimed()
	for _, front := range x.m.Fronts(x.clock(), "z0", "r", 9) {
		for _, e := range w.relays {
			if since := w.now.Sub(e.renewed); e.name() == front && since > LeaseTerm+Heard+w.slack(e.renewed) {
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
	if len(w.set.Members) != w.n {
		return fmt.Sprint("the core has ", len(w.set.Members), " members")
	}
	for _, member := range w.set.Members {
		if x := w.byAddr(member.Addr); x.gone {
			return fmt.Sprintf("%s is gone, and still a member in epoch %d", x.me.Node, w.set.Epoch)
		}
	}
	for _, x := range w.nodes {
		if x.gone {
			continue
		}
		if !w.set.Has(x.m.standing.me) {
			if x.m.Acting() {
				return x.me.Node + " acts and is no member"
			}
			continue
		}
		if what := x.amiss(); what != "" {
			return what
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

// amiss is what has not healed at a member.
func (x *node) amiss() string {
	w := x.w
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
		return x.me.Node + " knows of no agent:" + x.leases()
	}
	if all, _ := x.m.roll.Count("z0", x.clock()); all < len(w.relays) {
		return fmt.Sprintf("%s counts %d agents", x.me.Node, all)
	}
	return ""
}

// leases are those that a replica knows of, and when it heard their grantors.
func (x *node) leases() (text string) {
	x.m.feed.Each(lore.LeaseKey, func(it lore.Item) {
		l, _ := lore.ReadLease(it)
		text += fmt.Sprintf(" %s version %d at %s ended %v, heard %v, granted %v;", l.Node, it.Version, l.Home, l.Ended, x.m.heardOf(l.Home, x.clock()), x.m.roll.Granted(it.Key))
	})
	return text
}

// linearizable checks that the orders and reads of each item can have come one after the other.
func (w *world) linearizable() {
	result, err := linear.Check(w.history, 0)
	switch {
	case err != nil:
		w.fail("the history is none: %v", err)
	case result.Verdict == linear.Violated:
		w.fail("not linearizable: %v", result)
	case result.Verdict == linear.Undecided:
		w.seen["undecided history"]++
	}
}
