package replica

import (
	"errors"
	"maps"
	"slices"
	"time"

	"sagelever/internal/control/quorum"
	"sagelever/lore"
)

// stored is what a disk holds for sure.
type stored struct {
	entries     map[string]quorum.Entry
	floor       quorum.Ballot
	identity    Identity
	generations map[string]Generation
	items       map[string]Kept
	come        lore.Vector
	noted       time.Time
}

// write is what was handed to the disk and is not synced.
type write struct {
	save  *Save
	items []Kept
	gone  []string
	come  lore.Vector
	at    time.Time
	then  func(err error)

	generations map[string]Generation
}

// stale is after how long something is noted again though nothing has changed, as the process does it.
const stale = 5 * time.Second

func emptyDisk() stored {
	return stored{generations: map[string]Generation{}, entries: map[string]quorum.Entry{}, items: map[string]Kept{}, come: lore.Vector{}}
}

func (d *stored) apply(x write, torn bool) {
	if x.save != nil {
		for _, e := range x.save.Entries {
			d.entries[e.Key] = e
		}
		if x.save.Floor != nil {
			d.floor = *x.save.Floor
		}
		if x.save.Identity != nil {
			d.identity = *x.save.Identity
		}
	}
	for i, k := range x.items {
		if torn && i > len(x.items)/2 {
			return
		}
		d.items[k.Item.Key] = k
	}
	if x.generations != nil && !torn {
		d.generations = x.generations
	}
	for _, k := range x.gone {
		delete(d.items, k)
	}
	if x.come != nil && !torn {
		d.come, d.noted = x.come, x.at
	}
}

// syncIn has the disk sync what it was handed, after a while.
func (x *node) syncIn(life int) {
	w, k := x.w, len(x.queue)
	took := w.ms(1, 12)
	if x.slow {
		took = w.ms(100, 3000)
	}
	if w.sync > 0 {
		took = w.sync
	}
	refused := x.refuses && w.faulty
	w.after(took, func() {
		if !x.up || x.life != life {
			return
		}
		k = min(k, len(x.queue))
		done := x.queue[:k:k]
		if k > 0 {
			w.syncs++
		}
		x.queue = x.queue[k:]
		for _, q := range done {
			w.log(x.i, "synced", refused, q.save, len(q.items), q.come)
			if !refused {
				x.disk.apply(q, false)
			}
		}
		w.check()
		for _, q := range done {
			if q.then != nil {
				if refused {
					q.then(errors.New("the disk refuses"))
				} else {
					q.then(nil)
				}
			}
		}
	})
}

// note notes what the machine wants kept.
func (x *node) note() {
	if x.frozen || x.refuses {
		return
	}
	items, come, seq := x.m.Keep(x.noted)
	if seq == x.noted && x.w.now.Sub(x.notedAt) < stale {
		return
	}
	x.noted, x.notedAt = seq, x.w.now
	x.queue = append(x.queue, write{items: items, come: come, at: x.clock(), generations: maps.Clone(x.m.Generations()), then: func(err error) {
		if err != nil {
			x.noted = 0
		}
	}})
}

// kill ends the process; of what was handed to the disk a beginning may have lasted, the last of it torn.
func (x *node) kill() {
	if !x.up {
		return
	}
	x.up = false
	// The word of an appliance stands with two members until all have heard of it and noted it.
	x.w.kills = append(x.w.kills[1:], x.w.now)
	for id, at := range x.w.emptied {
		if x.w.now.Sub(at) < 4*time.Second && !x.w.kills[0].Before(x.w.said[id]) {
			delete(x.w.emptied, id)
		}
	}
	k := x.w.rng.IntN(len(x.queue) + 1)
	for i, q := range x.queue[:k] {
		x.w.log(x.i, "killed, lasts", q.save, len(q.items), q.come)
		x.disk.apply(q, i == k-1 && q.save == nil)
	}
	x.queue = nil
	for _, q := range x.waiting {
		if q.reply != nil {
			x.w.after(x.w.ms(1, 40), q.gone)
		}
	}
	x.w.check()
}

func (x *node) wipe() {
	if x.lost || x.gone || x.w.lostNow() >= x.w.f {
		return
	}
	x.kill()
	x.before = x.disk.identity
	x.losesDisk()
	x.queue, x.disk, x.lost, x.earlier = nil, emptyDisk(), true, nil
}

// lostNow is how many places of the core have no disk that holds what was chosen, whoever is to blame.
func (w *world) lostNow() (k int) {
	if w.set.Epoch == 0 {
		for _, x := range w.nodes {
			if x.lost || x.gone || x.life == 0 {
				k++
				if slices.Contains(w.nodes[0].contacts, x) {
					return w.n // two of the three first contacts have to be there until the first set is decided
				}
			}
		}
		return k
	}
	k = w.n - len(w.set.Members)
	for _, member := range w.set.Members {
		x := w.byAddr(member.Addr)
		if x.lost && x.up && x.m.Acting() && x.m.standing.set.Epoch > 0 {
			x.lost = false
		}
		if x.lost || x.gone {
			k++
		}
	}
	return k
}

// copied is what a disk held at a time.
type copied struct {
	at   time.Time
	disk stored
}

func (d *stored) copy() stored {
	c := *d
	c.entries, c.generations, c.items, c.come = maps.Clone(d.entries), maps.Clone(d.generations), maps.Clone(d.items), maps.Clone(d.come)
	return c
}

// keepCopy keeps what the disk holds now; it is called from time to time.
func (x *node) keepCopy() {
	x.earlier = append(x.earlier, copied{x.w.now, x.disk.copy()})
}

// putBack replaces the disk of a member that is down by what it was so long ago, if it was in use then and since, and enough
// others have noted that it went on.
func (x *node) putBack(age time.Duration) bool {
	for i := len(x.earlier) - 1; i >= 0; i-- {
		c := x.earlier[i]
		if x.w.now.Sub(c.at) < age || c.disk.identity.Disk != x.disk.identity.Disk {
			continue
		}
		if !x.outdated(c.disk.identity) {
			return false
		}
		x.disk, x.earlier = c.disk.copy(), x.earlier[:i]
		return true
	}
	return false
}

// outdated tells whether so many other members have on their disks that a disk has gone on since, that whoever confirms it
// meets one of them. One that was cut off all the while may have told nobody.
func (x *node) outdated(identity Identity) bool {
	others, know := 0, 0
	for _, member := range x.w.set.Members {
		y := x.w.byAddr(member.Addr)
		if y == x {
			continue
		}
		others++
		if g := y.disk.generations[x.me.Node]; g.Disk == identity.Disk && g.Number > identity.Generation && !y.lost && !y.gone {
			know++
		}
	}
	return know+x.w.set.Witnesses() > others
}
