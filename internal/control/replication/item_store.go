// Package lore is what agents know of one another and of the appliances: items, each with a version of its own, that any
// agent takes and that copies merge item by item. Each source numbers what it tells first; an agent pulls what it lacks by a
// vector of these numbers, one for each source, from whichever agent it asks. It is pure.
package replication

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
	OriginIndex int    `json:"o,omitempty"`
	Sequence    uint64 `json:"q,omitempty"`
}

// Supersedes tells whether an item prevails over one that is held under its key. Two members may give a lease one version, as
// when an agent moves in the moment in which its lease lapses: then one that is held prevails over one that has ended, and
// else the later text, so that all copies come to the same.
func (it Item) Supersedes(other Item) bool {
	if it.Version != other.Version || it.Body == other.Body || !strings.HasPrefix(it.Key, LeaseKey) {
		return it.Version > other.Version
	}
	lease, ok := ReadLease(it)
	otherLease, otherOK := ReadLease(other)
	if !ok || !otherOK || lease.Ended == otherLease.Ended {
		return it.Body > other.Body
	}
	return otherLease.Ended
}

// Kinds of items, by the beginnings of their keys.
const (
	BackendKey      = "app/"   // an appliance's life, by its id
	LeaseKey        = "lease/" // an agent's lease, by node and role
	ReleaseTallyKey = "trial/" // what one agent has seen of a release, by service and agent
	RegisterKey     = "reg/"   // a register whose value is chosen
)

// Vector is how far someone has come: for each source, the number up to which nothing is lacking.
type Vector map[string]uint64

// storedItem is an item as a feed holds it.
type storedItem struct {
	item          Item
	localSequence uint64 // under which it became new here
	origin        string
	sequence      uint64 // under which its origin told it
}

// Covers tells whether one that has come so far has come as far as another.
func (v Vector) Covers(other Vector) bool {
	for origin, sequence := range other {
		if v[origin] < sequence {
			return false
		}
	}
	return true
}

// ItemStore is what one source knows.
type ItemStore struct {
	Source        string // the source and its life, by which the version before numbers
	Origin        string // the same, short, as it goes with every pull: the source's name, a point, and its life
	localSequence uint64
	items         map[string]*storedItem
	vector        Vector
}

// NewItemStore begins an empty source. A life numbers anew: what the one before has told and lost is not claimed by this one.
// Its first number is told to nobody: a vector that has it says that its owner has heard this life, though it lacks nothing.
func NewItemStore(source, origin string) *ItemStore {
	return &ItemStore{Source: source, Origin: origin, items: map[string]*storedItem{}, vector: Vector{origin: 1}}
}

// LocalSequence is the number of the newest item, in the order in which items became new here.
func (f *ItemStore) LocalSequence() uint64 { return f.localSequence }

// Vector is how far this feed has come.
func (f *ItemStore) Vector() Vector { return maps.Clone(f.vector) }

// OwnSequence is the number of the newest item that was told here first.
func (f *ItemStore) OwnSequence() uint64 { return f.vector[f.Origin] }

// Publish takes an item that is told here first; it tells whether it was new.
func (f *ItemStore) Publish(item Item) bool {
	if stored := f.items[item.Key]; stored != nil && !item.Supersedes(stored.item) {
		return false
	}
	f.recordOwn(item)
	return true
}

func (f *ItemStore) recordOwn(item Item) {
	f.vector[f.Origin]++
	f.store(item, f.Origin, f.vector[f.Origin])
}

// Receive takes an item as another agent has told it; it tells whether it was new.
func (f *ItemStore) Receive(item Item, origin string, sequence uint64) bool {
	stored := f.items[item.Key]
	if stored == nil || item.Supersedes(stored.item) {
		f.store(item, origin, sequence)
		return true
	}
	if stored.item.Version == item.Version && stored.item.Body == item.Body && origin > stored.origin && nodeOf(origin) == nodeOf(stored.origin) {
		f.store(stored.item, origin, sequence) // its source has told it anew in a later life: see Renew
	}
	return false
}

func nodeOf(origin string) string {
	node, _, _ := strings.Cut(origin, ".")
	return node
}

func (f *ItemStore) store(item Item, origin string, sequence uint64) {
	f.localSequence++
	item.OriginIndex, item.Sequence = 0, 0
	f.items[item.Key] = &storedItem{item: item, localSequence: f.localSequence, origin: origin, sequence: sequence}
}

// Advance notes that nothing is lacking up to these numbers, once all items that came with them are taken.
func (f *ItemStore) Advance(v Vector) {
	for origin, sequence := range v {
		if origin != f.Origin {
			f.vector[origin] = max(f.vector[origin], sequence)
		}
	}
}

// Retract takes back that what was told under some numbers was heard, as it is not there any more: whoever has it tells it
// again. What came later from the same life is told on as this feed's own: nothing here lies beyond the vector, or it
// could not be claimed when it is told, and where the life is over it never could.
func (f *ItemStore) Retract(lost Vector) {
	for origin, sequence := range lost {
		if reached, ok := f.vector[origin]; ok && reached >= sequence && origin != f.Origin {
			f.vector[origin] = sequence - 1
		}
	}
	f.republish(f.isBeyondVector)
}

// isBeyondVector tells whether an item lies beyond the vector.
func (f *ItemStore) isBeyondVector(stored *storedItem) bool {
	return stored.sequence > f.vector[stored.origin]
}

// republish tells items anew as this feed's own; it tells how many.
func (f *ItemStore) republish(wanted func(*storedItem) bool) int {
	keys := f.selectKeys(wanted)
	for _, key := range keys {
		f.recordOwn(f.items[key].item)
	}
	return len(keys)
}

// Prune forgets how far it has come with lives that are over and of which nothing is left: whoever holds something of them
// tells it again.
func (f *ItemStore) Prune(live map[string]bool) {
	kept := map[string]bool{f.Origin: true}
	for _, stored := range f.items {
		kept[stored.origin] = true
	}
	maps.DeleteFunc(f.vector, func(origin string, _ uint64) bool { return !kept[origin] && !live[origin] })
}

// keptIncarnations is of how many lives before of its own a source keeps items as they were told.
const keptIncarnations = 2

// RepublishOldIncarnations tells anew what this source told in lives long before, so that vectors do not grow with lives.
func (f *ItemStore) RepublishOldIncarnations() (renewed int) {
	var past []string
	for _, stored := range f.items {
		if stored.origin != f.Origin && nodeOf(stored.origin) == nodeOf(f.Origin) && !slices.Contains(past, stored.origin) {
			past = append(past, stored.origin)
		}
	}
	slices.Sort(past)
	for _, origin := range past[:max(0, len(past)-keptIncarnations)] {
		renewed += f.republish(func(stored *storedItem) bool { return stored.origin == origin })
	}
	return renewed
}

// selectKeys lists those whose items are wanted, in the order in which they became new.
func (f *ItemStore) selectKeys(wanted func(*storedItem) bool) []string {
	var keys []string
	for key, stored := range f.items {
		if wanted(stored) {
			keys = append(keys, key)
		}
	}
	sort.Slice(keys, func(i, j int) bool { return f.items[keys[i]].localSequence < f.items[keys[j]].localSequence })
	return keys
}

// Get is the item of a key.
func (f *ItemStore) Get(key string) (Item, bool) {
	if stored := f.items[key]; stored != nil {
		return stored.item, true
	}
	return Item{}, false
}

// OriginOf says who told an item first, and under which number.
func (f *ItemStore) OriginOf(key string) (origin string, sequence uint64) {
	if stored := f.items[key]; stored != nil {
		return stored.origin, stored.sequence
	}
	return "", 0
}

// LocalSequenceOf is the number under which an item became new here.
func (f *ItemStore) LocalSequenceOf(key string) uint64 {
	if stored := f.items[key]; stored != nil {
		return stored.localSequence
	}
	return 0
}

// Delete forgets an item.
func (f *ItemStore) Delete(key string) { delete(f.items, key) }

// Missing lists what one that has come so far lacks, in order; origins go with it. Of what came from other sources only
// what was here by a number of this feed's: what came later is on its way to everyone already.
func (f *ItemStore) Missing(progress Vector, maxLocalSequence uint64, wanted func(key string) bool) (items []Item, origins []string) {
	originIndex := map[string]int{f.Origin: 0}
	origins = []string{f.Origin}
	for _, k := range f.selectKeys(func(stored *storedItem) bool {
		return stored.sequence > progress[stored.origin] && (stored.origin == f.Origin || stored.localSequence <= maxLocalSequence) && (wanted == nil || wanted(stored.item.Key))
	}) {
		stored := f.items[k]
		if _, ok := originIndex[stored.origin]; !ok {
			originIndex[stored.origin] = len(origins)
			origins = append(origins, stored.origin)
		}
		item := stored.item
		item.OriginIndex, item.Sequence = originIndex[stored.origin], stored.sequence
		items = append(items, item)
	}
	return items, origins
}

// Since lists what became new here after a number, in order: how the version before pulls.
func (f *ItemStore) Since(sequence uint64, wanted func(key string) bool) []Item {
	keys := f.selectKeys(func(stored *storedItem) bool {
		return stored.localSequence > sequence && (wanted == nil || wanted(stored.item.Key))
	})
	items := make([]Item, len(keys))
	for i, k := range keys {
		items[i] = f.items[k].item
	}
	return items
}

// ReplaceReceived takes the place of all that was told here by others, but for what is kept, by what one has told who tells all:
// what it does not have was forgotten, or is told again by whoever has it.
func (f *ItemStore) ReplaceReceived(received map[string]bool, progress Vector, keep func(Item) bool) (deleted []string) {
	for key, stored := range f.items {
		if !received[key] && stored.origin != f.Origin && !keep(stored.item) {
			deleted = append(deleted, key)
		}
	}
	sort.Strings(deleted)
	for _, key := range deleted {
		f.Delete(key)
	}
	f.vector = Vector{f.Origin: f.vector[f.Origin]}
	f.Advance(progress)
	f.republish(f.isBeyondVector)
	return deleted
}

// ForEach calls with every item whose key begins so.
func (f *ItemStore) ForEach(prefix string, call func(Item)) {
	for key, stored := range f.items {
		if strings.HasPrefix(key, prefix) {
			call(stored.item)
		}
	}
}
