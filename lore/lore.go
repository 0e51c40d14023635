// Package lore is what agents know of one another and of the appliances: items, each with a version of its own, that any
// agent takes and that copies merge item by item. Each source numbers what it tells first; an agent pulls what it lacks by a
// vector of these numbers, one for each source, from whichever agent it asks. It is pure.
package lore

import (
	"maps"
	"sort"
	"strings"
)

// Item is one piece of knowledge. Of two with one key the higher version prevails.
type Item struct {
	Key     string `json:"k"`
	Version uint64 `json:"v"`
	Body    string `json:"b"`
	// Who told it first, and under which number: an index into the origins that go with a message, and not there in
	// messages of the version before.
	From int    `json:"o,omitempty"`
	Seq  uint64 `json:"q,omitempty"`
}

// Kinds of items, by the beginnings of their keys.
const (
	AppKey   = "app/"   // an appliance's life, by its id
	LeaseKey = "lease/" // an agent's lease, by node and role
	TrialKey = "trial/" // what one agent has seen of a release, by service and agent
	RegKey   = "reg/"   // a register whose value is chosen
)

// Vector is how far someone has come: for each source, the number up to which nothing is lacking.
type Vector map[string]uint64

// slot is an item as a feed holds it.
type slot struct {
	item   Item
	seq    uint64 // under which it became new here
	origin string
	number uint64 // under which its origin told it
}

// Feed is what one source knows.
type Feed struct {
	Source  string // the source and its life, by which the version before numbers
	Origin  string // the source, whatever its life
	seq     uint64
	slots   map[string]*slot
	vector  Vector
	dropped Vector // for each origin the highest number that was forgotten
}

// NewFeed begins an empty source. Its numbers begin above those of a life before, of which first must be an upper bound;
// Behind mends it where it is none.
func NewFeed(source, origin string, first uint64) *Feed {
	return &Feed{Source: source, Origin: origin, slots: map[string]*slot{}, vector: Vector{origin: first}, dropped: Vector{}}
}

// Seq is the number of the newest item, in the order in which items became new here.
func (f *Feed) Seq() uint64 { return f.seq }

// Vector is how far this feed has come.
func (f *Feed) Vector() Vector { return maps.Clone(f.vector) }

// Merge takes an item that is told here first; it tells whether it was new.
func (f *Feed) Merge(it Item) bool {
	if s := f.slots[it.Key]; s != nil && s.item.Version >= it.Version {
		return false
	}
	f.vector[f.Origin]++
	f.put(it, f.Origin, f.vector[f.Origin])
	return true
}

// Take takes an item as another agent has told it; it tells whether it was new.
func (f *Feed) Take(it Item, origin string, number uint64) bool {
	if s := f.slots[it.Key]; s != nil && s.item.Version >= it.Version {
		return false
	}
	f.put(it, origin, number)
	return true
}

func (f *Feed) put(it Item, origin string, number uint64) {
	f.seq++
	it.From, it.Seq = 0, 0
	f.slots[it.Key] = &slot{item: it, seq: f.seq, origin: origin, number: number}
}

// Reach notes that nothing is lacking up to these numbers, once all items that came with them are taken. Of its own
// numbers a feed knows best; Behind sees to those.
func (f *Feed) Reach(v Vector) {
	for origin, n := range v {
		if origin != f.Origin {
			f.vector[origin] = max(f.vector[origin], n)
		}
	}
}

// Behind guards against a source whose numbers fell below those of its life before, as when its time of day went back:
// others would hold its news for old. Whoever has come further than it has itself makes it number its own items anew.
func (f *Feed) Behind(v Vector) bool {
	seen, own := v[f.Origin], f.vector[f.Origin]
	if seen <= own {
		return false
	}
	f.vector[f.Origin] = seen
	for _, key := range f.keys(func(s *slot) bool { return s.origin == f.Origin }) {
		f.vector[f.Origin]++
		f.seq++
		f.slots[key].seq, f.slots[key].number = f.seq, f.vector[f.Origin]
	}
	return true
}

// keys lists those whose items are wanted, in the order in which they became new.
func (f *Feed) keys(wanted func(*slot) bool) []string {
	var out []string
	for k, s := range f.slots {
		if wanted(s) {
			out = append(out, k)
		}
	}
	sort.Slice(out, func(i, j int) bool { return f.slots[out[i]].seq < f.slots[out[j]].seq })
	return out
}

// Get is the item of a key.
func (f *Feed) Get(key string) (Item, bool) {
	if s := f.slots[key]; s != nil {
		return s.item, true
	}
	return Item{}, false
}

// Where says who told an item first, and under which number.
func (f *Feed) Where(key string) (origin string, number uint64) {
	if s := f.slots[key]; s != nil {
		return s.origin, s.number
	}
	return "", 0
}

// SeqOf is the number under which an item became new here.
func (f *Feed) SeqOf(key string) uint64 {
	if s := f.slots[key]; s != nil {
		return s.seq
	}
	return 0
}

// Drop forgets an item.
func (f *Feed) Drop(key string) {
	if s := f.slots[key]; s != nil {
		f.dropped[s.origin] = max(f.dropped[s.origin], s.number)
		delete(f.slots, key)
	}
}

// Beyond tells whether one that has come so far may hold what was forgotten here since: it has to be told all.
func (f *Feed) Beyond(v Vector) bool {
	for origin, n := range f.dropped {
		if v[origin] < n {
			return true
		}
	}
	return false
}

// Lacks lists what one that has come so far lacks, in order; origins go with it. Of what came from other sources only
// what was here by a number of this feed's: what came later is on its way to everyone already.
func (f *Feed) Lacks(v Vector, by uint64, wanted func(key string) bool) (items []Item, origins []string) {
	index := map[string]int{f.Origin: 0}
	origins = []string{f.Origin}
	for _, k := range f.keys(func(s *slot) bool {
		return s.number > v[s.origin] && (s.origin == f.Origin || s.seq <= by) && (wanted == nil || wanted(s.item.Key))
	}) {
		s := f.slots[k]
		if _, ok := index[s.origin]; !ok {
			index[s.origin] = len(origins)
			origins = append(origins, s.origin)
		}
		it := s.item
		it.From, it.Seq = index[s.origin], s.number
		items = append(items, it)
	}
	return items, origins
}

// Since lists what became new here after a number, in order: how the version before pulls.
func (f *Feed) Since(seq uint64, wanted func(key string) bool) []Item {
	keys := f.keys(func(s *slot) bool { return s.seq > seq && (wanted == nil || wanted(s.item.Key)) })
	out := make([]Item, len(keys))
	for i, k := range keys {
		out[i] = f.slots[k].item
	}
	return out
}

// Only forgets what one that has told all it has does not hold, though it has come further: it was forgotten there.
func (f *Feed) Only(told map[string]bool, v Vector) (gone []string) {
	for k, s := range f.slots {
		if !told[k] && s.origin != f.Origin && s.number <= v[s.origin] {
			gone = append(gone, k)
		}
	}
	sort.Strings(gone)
	for _, k := range gone {
		f.Drop(k)
	}
	return gone
}

// Each calls with every item whose key begins so.
func (f *Feed) Each(prefix string, call func(Item)) {
	for k, s := range f.slots {
		if strings.HasPrefix(k, prefix) {
			call(s.item)
		}
	}
}
