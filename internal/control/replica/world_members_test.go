package replica

import (
	"slices"
	"time"
)

// oldDisk is how old a disk has to be to be noticed when it is put back: its generation counts on once in generationSpan,
// is told in a pull within Heard, and is on the others' disks within another five seconds.
const oldDisk = generationSpan + Heard + 6*time.Second

// firstStart has the machines of a new system start in some order: as a rule within part of a second, else one of the first
// contacts comes late, or never, or all come in any order over some seconds.
func (w *world) firstStart() {
	x := w.nodes[w.rng.IntN(min(3, w.n))]
	switch w.rng.IntN(8) {
	case 0:
		x.notBefore, x.lost = w.now.Add(w.ms(500, 6000)), true
	case 1:
		x.gone = true
		w.after(w.ms(500, 6000), func() { w.newcomer(x.place, 0) })
	case 2:
		for _, y := range w.nodes {
			y.notBefore = w.now.Add(w.ms(0, 3000))
		}
	}
}

// change brings about a fault that concerns the set of members, or one that lasts.
func (w *world) change(kind int, x *node) {
	switch kind {
	case 14:
		w.replacePlanned(x)
	case 15:
		w.replaceUnplanned(x)
	case 16: // and a second loss right after, or in the midst
		if w.rng.IntN(2) == 0 {
			w.replacePlanned(x)
		} else {
			w.replaceUnplanned(x)
		}
		if w.rng.IntN(2) == 0 {
			w.trap = true
		} else {
			w.after(w.ms(0, 5000), w.second)
		}
	case 17:
		w.comeBack()
	case 18:
		w.oldDisk(x)
	case 19: // one way
		out := w.rng.IntN(2) == 0
		for i := range w.nodes {
			if out {
				x.cut[i] = true
			} else {
				w.nodes[i].cut[x.i] = true
			}
		}
		w.after(w.ms(500, 20000), w.join)
	case 20: // in two, by lot, for up to twenty seconds
		w.cutInTwo()
		length := w.ms(6000, 20000)
		w.cutUntil = w.now.Add(length)
		w.after(length, w.join)
	case 21: // all power, and the first contacts are others afterwards
		for _, y := range w.nodes {
			y.kill()
			y.contacts = w.someContacts()
			w.after(w.ms(300, 3000), y.start)
		}
	case 22, 23:
		w.eight()
	}
}

func (w *world) cutInTwo() {
	side := map[int]bool{}
	for i := range w.nodes {
		side[i] = w.rng.IntN(2) == 0
	}
	for i, y := range w.nodes {
		for k := range w.nodes {
			if side[i] != side[k] {
				y.cut[k] = true
			}
		}
	}
}

// second is a loss that comes soon after another.
func (w *world) second() {
	if !w.faulty {
		return
	}
	w.seen["second loss"]++
	x := w.some()
	switch w.rng.IntN(4) {
	case 0:
		x.kill()
		w.after(w.ms(50, 1500), x.start)
	case 1:
		x.wipe()
		w.after(w.ms(200, 1500), x.start)
	case 2:
		for i := range w.nodes {
			x.cut[i], w.nodes[i].cut[x.i] = true, true
		}
		w.after(w.ms(500, 6000), w.join)
	case 3:
		w.powerOfAPart()
	}
}

// amidChange brings about another loss, or a cut, when the next set is about to be accepted.
func (w *world) amidChange(s Send) {
	if !w.trap || !w.faulty || s.Path != AcceptPath || !onlyMembers(s.Ask) {
		return
	}
	w.trap = false
	if w.rng.IntN(2) == 0 {
		w.after(w.ms(0, 80), w.second)
		return
	}
	w.after(w.ms(0, 80), func() {
		if w.faulty {
			w.cutInTwo()
		}
	})
	w.after(w.ms(500, 6000), w.join)
}

// powerOfAPart ends about a third of all processes at one moment.
func (w *world) powerOfAPart() {
	for _, y := range w.nodes {
		if w.rng.IntN(3) == 0 {
			y.kill()
			w.after(w.ms(300, 900), y.start)
		}
	}
}

// someContacts are three machines at which a replica may ask, one of them a member; others may be gone or newcomers.
func (w *world) someContacts() []*node {
	var members []*node
	for _, member := range w.set.Members {
		if y := w.byAddr(member.Addr); !y.gone && !y.leaving {
			members = append(members, y)
		}
	}
	if len(members) == 0 {
		return w.nodes[:min(3, len(w.nodes))]
	}
	contacts := []*node{members[w.rng.IntN(len(members))]}
	for range 2 {
		if y := w.nodes[w.rng.IntN(len(w.nodes))]; !slices.Contains(contacts, y) {
			contacts = append(contacts, y)
		}
	}
	return contacts
}

// mayReplace tells whether a member's place may change hands now; each place has few, or the run gets long.
func (w *world) mayReplace(x *node) bool {
	return !x.gone && !x.leaving && w.set.Has(x.member()) && len(w.nodes) < w.n+4
}

// member is what the replica was when it was last up.
func (x *node) member() Member {
	member := x.me
	member.Disk = x.disk.identity.Disk
	return member
}

// newcomer is one more machine for a place, which starts after a while.
func (w *world) newcomer(place int, in time.Duration) *node {
	w.seen["newcomer"]++
	y := w.newNode(place)
	w.nodes = append(w.nodes, y)
	w.after(in, func() {
		y.contacts = w.someContacts()
		y.start()
	})
	return y
}

// replacePlanned has a new machine start beside the one that is to go, which is told to leave a while later.
func (w *world) replacePlanned(x *node) {
	if !w.mayReplace(x) {
		return
	}
	y := w.newcomer(x.place, w.ms(0, 500))
	y.forNode = x
	w.after(w.ms(500, 4000), func() { x.leave(0) })
}

// leave tells a member to end, which it does when it is not wanted any more, or after a while: then its disk is lost.
func (x *node) leave(told int) {
	w := x.w
	if x.gone || !x.leaving && !w.faulty {
		return
	}
	const patience = 2 * time.Second
	if x.up && !x.frozen && told != x.life {
		told = x.life
		x.step(x.m.Leave)
	}
	if !x.leaving {
		x.leaving, x.toldAt = true, w.now
	}
	inOrder := x.up && !x.frozen && !x.m.standing.member() && x.m.standing.confirmed && !x.m.Handing(x.clock())
	if inOrder {
		w.seen["left in order"]++
		x.end()
		return
	}
	if w.now.Sub(x.toldAt) >= patience && (x.lost || w.lostNow() < w.f) {
		x.end()
		x.losesDisk()
		return
	}
	w.after(20*time.Millisecond, func() { x.leave(told) })
}

// losesDisk counts the loss of a disk against whoever is to take the place of its replica and does not act yet: until then
// what this one held stands on as many disks less.
func (x *node) losesDisk() {
	for _, y := range x.w.nodes {
		if y.forNode == x && !(y.up && y.m.Acting()) {
			y.lost = true
		}
	}
}

// end ends a machine for good.
func (x *node) end() {
	x.w.log("gone", x.i)
	x.w.seen["gone"]++
	x.w.lastEnd = x.w.now
	x.kill()
	x.gone = true
}

// replaceUnplanned has a machine be gone, and a new one come.
func (w *world) replaceUnplanned(x *node) {
	if !w.mayReplace(x) || !x.lost && w.lostNow() >= w.f {
		return
	}
	x.end()
	w.newcomer(x.place, w.ms(500, 3000))
}

// comeBack has one that was gone return, with the disk that it had or an empty one.
func (w *world) comeBack() {
	var gone []*node
	for _, x := range w.nodes {
		if x.gone {
			gone = append(gone, x)
		}
	}
	if len(gone) == 0 {
		return
	}
	w.seen["come back"]++
	x := gone[w.rng.IntN(len(gone))]
	x.gone, x.leaving = false, false
	if w.rng.IntN(2) == 0 {
		x.before, x.disk, x.earlier, x.lost = x.disk.identity, emptyDisk(), nil, true
	}
	x.contacts = w.someContacts()
	w.log("comes back", x.i, x.disk.identity)
	x.start()
}

// oldDisk puts the disk of a member back as it was a while ago, while the member is down.
func (w *world) oldDisk(x *node) {
	if x.lost || x.gone || x.leaving || w.lostNow() >= w.f || !w.set.Has(x.member()) {
		return
	}
	x.kill()
	if x.putBack(oldDisk) {
		w.seen["old disk"]++
		w.log("old disk", x.i, x.disk.identity)
		x.losesDisk()
		x.lost, x.stale = true, x.disk.identity.Disk
	}
	w.after(w.ms(100, 1500), x.start)
}
