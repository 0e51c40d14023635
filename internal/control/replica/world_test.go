package replica

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"sagelever/ebb"
	"sagelever/internal/control/membership"
	"sagelever/internal/sim/linear"
)

// world steps a whole core in one process by a seed: members with disks, edge agents, appliances, operators. Messages are
// lost, doubled, late and out of order; members are killed, frozen, cut one way, wiped; power is lost with what was not
// synced, torn; disks are slow and refuse; clocks stand apart. What must hold is checked as it goes, and once the faults end.
type world struct {
	rng     *rand.Rand
	now     time.Time
	events  events
	n, f    int
	nodes   []*node
	relays  []*edge
	faulty  bool // faults go on
	planted string
	wrong   string
	trace   bool
	wait    func(from, to int) time.Duration // in a calm core: how long a message takes
	sync    time.Duration                    // and a sync
	sent    int                              // messages of rounds, and their replies
	syncs   int
	to      int // whose news are counted
	handed  int // their bytes

	acked    map[string]uint64    // by register: the newest version that was acknowledged
	read     map[string]uint64    // and the newest that a read has told
	content  map[string]string    // by register and version: what was told as chosen
	decided  map[string]string    // by service and number: the phase that was told
	versions map[string]uint64    // by register: the last version an operator has sent
	emptied  map[string]time.Time // by appliance: when its word was acknowledged that it is leaving
	said     map[string]time.Time // and when it was said, for these
	leaving  map[string]bool
	kills    []time.Time       // of the last two members
	counts   map[string]uint64 // by appliance: its calls
	homes    map[string]int    // by appliance: the member it calls
	acks     int
	heals    time.Duration

	set      membership.Set            // the newest that is known to be chosen, to whomever
	sets     map[uint64]membership.Set // by epoch
	history  []linear.Operation        // orders and reads of items
	taken    map[string]string         // by item and version: the content that was confirmed
	lastEnd  time.Time                 // of a machine, for good
	cutUntil time.Time                 // no cut ends before
	long     bool                      // it is long enough for old disks
	lenient  bool                      // a disk too young to be noticed was put back: nothing is promised but that all act again
	seen     map[string]int            // how often a run came to something
	trap     bool                      // the next change of members meets another loss
	measures bool
	biggest  int // bytes of the longest message
}

type event struct {
	at  time.Time
	seq int
	do  func()
}

type events struct {
	list []event
	seq  int
}

func (e *events) Len() int { return len(e.list) }
func (e *events) Less(i, j int) bool {
	a, b := e.list[i], e.list[j]
	return a.at.Before(b.at) || a.at.Equal(b.at) && a.seq < b.seq
}
func (e *events) Swap(i, j int) { e.list[i], e.list[j] = e.list[j], e.list[i] }
func (e *events) Push(x any)    { e.list = append(e.list, x.(event)) }
func (e *events) Pop() any {
	x := e.list[len(e.list)-1]
	e.list = e.list[:len(e.list)-1]
	return x
}

func (w *world) after(d time.Duration, do func()) {
	w.events.seq++
	heap.Push(&w.events, event{w.now.Add(d), w.events.seq, do})
}

func (w *world) ms(from, to int) time.Duration {
	return time.Duration(from+w.rng.IntN(to-from+1)) * time.Millisecond
}

func newWorld(seed uint64, n, f int, planted string) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 11)), now: time.Unix(1_000_000, 0), n: n, f: f, planted: planted, faulty: true,
		acked: map[string]uint64{}, read: map[string]uint64{}, content: map[string]string{}, decided: map[string]string{},
		versions: map[string]uint64{}, emptied: map[string]time.Time{}, kills: make([]time.Time, 2), leaving: map[string]bool{}, counts: map[string]uint64{}, homes: map[string]int{},
		sets: map[uint64]membership.Set{}, taken: map[string]string{}, said: map[string]time.Time{}, seen: map[string]int{}}
	for i := range n {
		x := w.newNode(i)
		x.fresh = true
		w.nodes = append(w.nodes, x)
		w.after(w.ms(0, 300), func() { x.start() })
	}
	for _, x := range w.nodes {
		x.contacts = w.nodes[:min(3, n)]
	}
	for i := range 3 {
		e := &edge{w: w, i: i, home: i % n, leave: ebb.NewLeave(empty)}
		w.relays = append(w.relays, e)
		w.after(w.ms(300, 900), func() { e.start() })
	}
	return w
}

// newNode is one more machine in a place of the core, with an empty disk; its name and address follow from how many there were.
func (w *world) newNode(place int) *node {
	i := len(w.nodes)
	me := Member{Node: fmt.Sprint("m", i), Zone: fmt.Sprint("z", place), Addr: fmt.Sprint("10.0.0.", i, ":7")}
	return &node{w: w, i: i, place: place, me: me, cut: map[int]bool{}, disk: emptyDisk(), skew: w.ms(0, 600) - 300*time.Millisecond}
}

// some is a machine that is not gone for good, by lot.
func (w *world) some() *node {
	for {
		if x := w.nodes[w.rng.IntN(len(w.nodes))]; !x.gone {
			return x
		}
	}
}

func (w *world) fail(text string, args ...any) {
	if w.wrong == "" && !w.lenient {
		w.wrong = fmt.Sprintf("after %v: ", w.now.Sub(time.Unix(1_000_000, 0))) + fmt.Sprintf(text, args...)
	}
}

func (w *world) log(args ...any) {
	if w.trace {
		fmt.Println(append([]any{w.now.Sub(time.Unix(1_000_000, 0))}, args...)...)
	}
}

// run steps until a time.
func (w *world) run(until time.Time) {
	for w.wrong == "" && w.events.Len() > 0 && !w.events.list[0].at.After(until) {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
	}
	w.now = until
}
