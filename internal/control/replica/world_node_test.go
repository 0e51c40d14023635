package replica

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"sagelever/internal/control/membership"
	"sagelever/internal/control/quorum"
	"sagelever/lore"
)

// node is a member: its process, its disk, its links.
type node struct {
	w         *world
	i         int
	place     int // the number of its zone
	me        Member
	m         *Replica
	life      int
	fresh     bool // its next start is the first of the whole system
	up        bool
	frozen    bool
	asleep    []func() // what has come while it was frozen
	skew      time.Duration
	back      []setBack
	cut       map[int]bool // messages from here to there are lost
	lost      bool         // its disk was lost, and it has not caught up since
	gone      bool         // for good, or until it returns with the disk that it had
	stale     string       // identity of a disk from the past that was put back: it must not count any more
	forNode   *node        // whose place it was begun to take, while that one still serves
	leaving   bool         // it was told to end
	notedAt   time.Time
	notBefore time.Time // it does not start
	toldAt    time.Time // when
	epoch     uint64    // the last that it was seen to go by
	contacts  []*node   // its first contacts
	earlier   []copied  // what its disk held earlier

	unsealed    quorum.Entry // for planted faults: what was taken out for a step
	wasSet      membership.Set
	wasIdentity Identity
	faking      bool

	slow    bool
	refuses bool

	disk      stored
	queue     []write
	calls     map[uint64]func(*Reply)
	nextNum   uint64
	dones     map[uint64]func(Done)
	waiting   []*pulling
	noted     uint64
	following map[string]bool // addresses of the members that are pulled
	before    Identity        // of the disk that was lost
}

// start begins a life with what the disk holds.
func (x *node) start() {
	if x.up || x.gone {
		return
	}
	w := x.w
	if w.now.Before(x.notBefore) {
		w.after(x.notBefore.Sub(w.now), x.start)
		return
	}
	x.life++
	w.log("start", x.i, x.disk.identity)
	x.up, x.frozen, x.asleep, x.queue, x.noted, x.epoch = true, false, nil, nil, 0, 0
	x.calls, x.dones, x.waiting, x.following = map[uint64]func(*Reply){}, map[uint64]func(Done){}, nil, map[string]bool{}
	was := Memory{Floor: x.disk.floor, Identity: x.disk.identity, Come: lore.Vector{}, Noted: x.disk.noted, Generations: maps.Clone(x.disk.generations)}
	was.Entries = slices.Collect(maps.Values(x.disk.entries))
	was.Items = slices.Collect(maps.Values(x.disk.items))
	maps.Copy(was.Come, x.disk.come)
	if w.planted == wipedCounts && was.Identity.Disk == "" && !x.fresh && x.before.Disk != "" {
		was.Identity = x.before
	}
	zones := map[string]string{}
	for i := range w.n {
		zones[fmt.Sprint("z", i)] = "r"
	}
	x.m = New(Config{Me: x.me, Source: fmt.Sprint(x.me.Node, "@", x.life), Target: membership.Target{PerZone: 1, Zones: w.n, Lose: w.f},
		Contacts: x.addresses(), Fresh: x.fresh, Zones: zones, Silence: 3 * time.Second, Luck: w.rng.Float64}, was, x.clock())
	x.fresh = false
	if w.planted == leaseForever {
		x.m.roll = lore.NewRoll(time.Hour, memory)
	}
	x.carry()
	for _, e := range w.relays {
		if e.grantor == x {
			e.renewed = w.now.Add(time.Second) // it hears from others within that what it has granted
		}
	}
	life := x.life
	var minute func()
	var copiedAt time.Time
	minute = func() {
		if x.up && x.life == life {
			x.step(x.m.Minute)
			x.note()
			if w.long && w.now.Sub(copiedAt) >= time.Second {
				copiedAt = w.now
				x.keepCopy()
			}
			w.after(250*time.Millisecond, minute)
		}
	}
	minute()
	x.find(life)
}

// find keeps a pull going to each member, and asks the first contacts until this one hears most members.
func (x *node) find(life int) {
	w := x.w
	if !x.up || x.life != life {
		return
	}
	for _, member := range x.m.Members() {
		if !x.following[member.Addr] {
			x.following[member.Addr] = true
			x.follow(w.byAddr(member.Addr).i, life, w.ms(0, 60))
		}
	}
	if !x.fresh && x.m.Epoch() == 0 && len(x.contacts) > 0 && !slices.ContainsFunc(x.contacts, func(y *node) bool { return y != x && !y.gone }) {
		x.contacts = w.someContacts() // all that it was told of are gone before it met one: an operator tells it others
	}
	if !x.frozen && !x.m.Sound(x.clock()) {
		for _, y := range x.contacts {
			if y != x {
				x.meet(y.i, life)
			}
		}
	}
	w.after(250*time.Millisecond, func() { x.find(life) })
}

// meet asks a contact who the members are.
func (x *node) meet(i, life int) {
	w := x.w
	asked := x.m.Ask(x.clock(), Member{Addr: w.nodes[i].me.Addr})
	p := wire(asked, &Pull{})
	w.carryTo(x.i, i, func() {
		if y := w.nodes[i]; y.up {
			y.pulled(p, 0, func(n *News) {
				w.carryTo(i, x.i, func() {
					if x.up && x.life == life {
						x.step(func(now time.Time) { x.m.Told(now, Member{}, asked, n) })
					}
				})
			}, func() {})
		}
	})
}

// addresses are those of its first contacts.
func (x *node) addresses() (addresses []string) {
	for _, y := range x.contacts {
		addresses = append(addresses, y.me.Addr)
	}
	return addresses
}

func (x *node) clock() time.Time { return x.w.now.Add(x.skew) }

// step runs a step unless the process is down; a frozen one takes it when it thaws.
func (x *node) step(do func(now time.Time)) {
	if !x.up {
		return
	}
	if x.frozen {
		life := x.life
		x.asleep = append(x.asleep, func() {
			if x.life == life {
				x.step(do)
			}
		})
		return
	}
	w := x.w
	if w.planted == noSealing && x.m.under(reading) {
		w.plantBefore(x, Send{Path: ReadPath, Ask: &Ask{Epoch: x.m.Epoch()}})
	}
	do(x.clock())
	w.plantAfter(x)
	x.carry()
}

func (x *node) carry() {
	w, life := x.w, x.life
	w.plantStep(x)
	w.acts(x)
	out := x.m.Take()
	for _, s := range out.Saves {
		number := s.Number
		then := func(err error) {
			x.step(func(now time.Time) { x.m.Saved(now, number, err) })
		}
		if w.planted == wordBeforeSync {
			word := then
			then = nil
			w.after(0, func() { word(nil) })
		}
		x.queue = append(x.queue, write{save: &s, then: then})
	}
	if w.planted == olderOverNewer && len(x.queue) > 1 && w.rng.IntN(2) == 0 {
		k := len(x.queue)
		x.queue[k-1].save, x.queue[k-2].save = x.queue[k-2].save, x.queue[k-1].save
	}
	if len(out.Saves) > 0 {
		x.syncIn(life)
	}
	for _, l := range out.Lines {
		w.log(x.i, "says", l.Text, l.With)
	}
	for _, s := range out.Sends {
		w.log(x.i, "to", s.To.Node, s.Path, s.Ask.Ballot, s.Ask.Keys, s.Ask.Values)
		x.send(s)
	}
	for _, a := range out.Answers {
		w.log(x.i, "answers", a.Reply, a.Err)
		if call := x.calls[a.Call]; call != nil {
			delete(x.calls, a.Call)
			call(a.Reply)
		}
	}
	for _, d := range out.Done {
		w.log(x.i, "done", d)
		if done := x.dones[d.Number]; done != nil {
			delete(x.dones, d.Number)
			done(d)
		}
	}
	for _, member := range out.Call {
		x.meet(w.byAddr(member.Addr).i, life)
	}
	if len(out.Gone) > 0 {
		x.queue = append(x.queue, write{gone: out.Gone})
	}
	if out.News >= 0 {
		w.after(out.News, func() {
			if x.up && x.life == life && !x.frozen {
				x.serveWaiting()
			}
		})
	}
	if due := x.m.Due(); !due.IsZero() {
		w.after(max(0, due.Sub(x.clock())), func() {
			if x.up && x.life == life {
				x.step(x.m.Tick)
			}
		})
	}
}
