// Package lore is what agents know of one another and of the appliances: items, each with a version of its own, that any
// agent takes and that copies merge item by item. Each source numbers what it tells first; an agent pulls what it lacks by a
// vector of these numbers, one for each source, from whichever agent it asks. It is pure.
package lore

import (
	"maps"
	"slices"
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

// After tells whether an item prevails over one that is held under its key. Two members may give a lease one version, as
// when an agent moves in the moment in which its lease lapses: then one that is held prevails over one that has ended, and
// else the later text, so that all copies come to the same.
func (it Item) After(held Item) bool {
	if it.Version != held.Version || it.Body == held.Body || !strings.HasPrefix(it.Key, LeaseKey) {
		return it.Version > held.Version
	}
	a, ok := ReadLease(it)
	b, ok2 := ReadLease(held)
	if !ok || !ok2 || a.Ended == b.Ended {
		return it.Body > held.Body
	}
	return b.Ended
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

// Covers tells whether one that has come so far has come as far as another.
func (v Vector) Covers(other Vector) bool {
	for origin, n := range other {
		if v[origin] < n {
			return false
		}
	}
	return true
}

// Feed is what one source knows.
type Feed struct {
	Source string // the source and its life, by which the version before numbers
	Origin string // the same, short, as it goes with every pull: the source's name, a point, and its life
	seq    uint64
	slots  map[string]*slot
	vector Vector
}

// NewFeed begins an empty source. A life numbers anew: what the one before has told and lost is not claimed by this one.
// Its first number is told to nobody: a vector that has it says that its owner has heard this life, though it lacks nothing.
func NewFeed(source, origin string) *Feed {
	return &Feed{Source: source, Origin: origin, slots: map[string]*slot{}, vector: Vector{origin: 1}}
}

// Seq is the number of the newest item, in the order in which items became new here.
func (f *Feed) Seq() uint64 { return f.seq }

// Vector is how far this feed has come.
func (f *Feed) Vector() Vector { return maps.Clone(f.vector) }

// Own is the number of the newest item that was told here first.
func (f *Feed) Own() uint64 { return f.vector[f.Origin] }

// Merge takes an item that is told here first; it tells whether it was new.
func (f *Feed) Merge(it Item) bool {
	if s := f.slots[it.Key]; s != nil && !it.After(s.item) {
		return false
	}
	f.tell(it)
	return true
}

func (f *Feed) tell(it Item) {
	f.vector[f.Origin]++
	f.put(it, f.Origin, f.vector[f.Origin])
}

// Take takes an item as another agent has told it; it tells whether it was new.
func (f *Feed) Take(it Item, origin string, number uint64) bool {
	s := f.slots[it.Key]
	if s == nil || it.After(s.item) {
		f.put(it, origin, number)
		return true
	}
	if s.item.Version == it.Version && s.item.Body == it.Body && origin > s.origin && source(origin) == source(s.origin) {
		f.put(s.item, origin, number) // its source has told it anew in a later life: see Renew
	}
	return false
}

func source(origin string) string {
	name, _, _ := strings.Cut(origin, ".")
	return name
}

func (f *Feed) put(it Item, origin string, number uint64) {
	f.seq++
	it.From, it.Seq = 0, 0
	f.slots[it.Key] = &slot{item: it, seq: f.seq, origin: origin, number: number}
}

// Reach notes that nothing is lacking up to these numbers, once all items that came with them are taken.
func (f *Feed) Reach(v Vector) {
	for origin, n := range v {
		if origin != f.Origin {
			f.vector[origin] = max(f.vector[origin], n)
		}
	}
}

// Unclaim takes back that what was told under some numbers was heard, as it is not there any more: whoever has it tells it
// again. What came later from the same life is told on as this feed's own: nothing here lies beyond the vector, or it
// could not be claimed when it is told, and where the life is over it never could.
func (f *Feed) Unclaim(lost Vector) {
	for origin, n := range lost {
		if have, ok := f.vector[origin]; ok && have >= n && origin != f.Origin {
			f.vector[origin] = n - 1
		}
	}
	f.adopt(f.beyond)
}

// beyond tells whether an item lies beyond the vector.
func (f *Feed) beyond(s *slot) bool { return s.number > f.vector[s.origin] }

// adopt tells items anew as this feed's own; it tells how many.
func (f *Feed) adopt(wanted func(*slot) bool) int {
	keys := f.keys(wanted)
	for _, key := range keys {
		f.tell(f.slots[key].item)
	}
	return len(keys)
}

// Prune forgets how far it has come with lives that are over and of which nothing is left: whoever holds something of them
// tells it again.
func (f *Feed) Prune(live map[string]bool) {
	left := map[string]bool{f.Origin: true}
	for _, s := range f.slots {
		left[s.origin] = true
	}
	maps.DeleteFunc(f.vector, func(origin string, _ uint64) bool { return !left[origin] && !live[origin] })
}

// lives is of how many lives before of its own a source keeps items as they were told.
const lives = 2

// Renew tells anew what this source told in lives long before, so that vectors do not grow with lives.
func (f *Feed) Renew() (renewed int) {
	var own []string
	for _, s := range f.slots {
		if s.origin != f.Origin && source(s.origin) == source(f.Origin) && !slices.Contains(own, s.origin) {
			own = append(own, s.origin)
		}
	}
	slices.Sort(own)
	for _, origin := range own[:max(0, len(own)-lives)] {
		renewed += f.adopt(func(s *slot) bool { return s.origin == origin })
	}
	return renewed
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
func (f *Feed) Drop(key string) { delete(f.slots, key) }

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

// Only takes the place of all that was told here by others, but for what is kept, by what one has told who tells all:
// what it does not have was forgotten, or is told again by whoever has it.
func (f *Feed) Only(told map[string]bool, v Vector, kept func(Item) bool) (gone []string) {
	for k, s := range f.slots {
		if !told[k] && s.origin != f.Origin && !kept(s.item) {
			gone = append(gone, k)
		}
	}
	sort.Strings(gone)
	for _, k := range gone {
		f.Drop(k)
	}
	f.vector = Vector{f.Origin: f.vector[f.Origin]}
	f.Reach(v)
	f.adopt(f.beyond)
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
