// Package replication spreads data that needs no consensus between controllers and proxies: which backends and proxies
// there are, what proxies have seen of releases, and the chosen values of the quorum's registers.
//
// The data are items, each with a version of its own. Any controller accepts items, and replicas merge them key by key,
// so that all converge whatever the order in which items arrive. Every origin, a controller's incarnation, numbers the
// items that it publishes. A replica pulls what it lacks by its version vector, which has the last number it knows of
// every origin, from whichever controller it asks (anti-entropy by version vectors, as in Petersen et al., Flexible
// Update Propagation for Weakly Consistent Replication, SOSP 1997).
//
// The package does no I/O; clocks are handed in.
package replication

import (
	"maps"
	"slices"
	"sort"
	"strings"
)

// storedItem is an item in a store.
type storedItem struct {
	item          Item
	localSequence uint64 // the store's own order, by which the item was stored
	origin        string
	sequence      uint64 // under which the origin has published it
}

// ItemStore is the items that a replica knows, and its progress. It is not safe for concurrent use.
//
// Invariant: no item is beyond the vector, that is, has a sequence above the vector's entry for its origin, except
// while the items of a message are received. Otherwise the replica could not claim to have the item when it passes it
// on.
type ItemStore struct {
	LegacySource  string // the replica and its incarnation, in the form by which the version before this one pulls
	Origin        string // the replica's name, a point and its incarnation: under this the store publishes
	localSequence uint64
	items         map[string]*storedItem // by key
	vector        Vector
}

// NewItemStore returns an empty store. Every incarnation is a new origin and numbers anew, so that it does not claim
// what an earlier one has published and lost. Number 1 goes to no item: a vector that has it tells that its owner has
// heard of the origin, even if it lacks nothing.
func NewItemStore(source, origin string) *ItemStore {
	return &ItemStore{LegacySource: source, Origin: origin, items: map[string]*storedItem{}, vector: Vector{origin: 1}}
}

// LocalSequence returns the local sequence number of the item that was stored last.
func (s *ItemStore) LocalSequence() uint64 { return s.localSequence }

// Vector returns a copy of the replica's progress.
func (s *ItemStore) Vector() Vector { return maps.Clone(s.vector) }

// OwnSequence returns the number of the item that this store has published last.
func (s *ItemStore) OwnSequence() uint64 { return s.vector[s.Origin] }

// Publish stores an item that enters the system here. It reports whether the item was new.
func (s *ItemStore) Publish(item Item) bool {
	if stored := s.items[item.Key]; stored != nil && !item.Supersedes(stored.item) {
		return false
	}
	s.publishNext(item)
	return true
}

// publishNext stores an item under the next number of this origin.
func (s *ItemStore) publishNext(item Item) {
	s.vector[s.Origin]++
	s.store(item, s.Origin, s.vector[s.Origin])
}

// Receive stores an item that another replica has sent, with the origin that published it and its number. It reports
// whether the item was new. When all items of a message are received, Advance must be called with its vector.
func (s *ItemStore) Receive(item Item, origin string, sequence uint64) bool {
	stored := s.items[item.Key]
	if stored == nil || item.Supersedes(stored.item) {
		s.store(item, origin, sequence)
		return true
	}
	same := stored.item.Version == item.Version && stored.item.Body == item.Body
	if same && origin > stored.origin && nodeOf(origin) == nodeOf(stored.origin) {
		// A later incarnation of the origin has published the item again, see RepublishOldIncarnations.
		s.store(stored.item, origin, sequence)
	}
	return false
}

// nodeOf returns the name of the replica in an origin.
func nodeOf(origin string) string {
	node, _, _ := strings.Cut(origin, ".")
	return node
}

func (s *ItemStore) store(item Item, origin string, sequence uint64) {
	s.localSequence++
	item.OriginIndex = 0
	item.Sequence = 0
	s.items[item.Key] = &storedItem{item: item, localSequence: s.localSequence, origin: origin, sequence: sequence}
}

// Advance records that nothing is lacking up to the progress of another replica, once all items that came with it are
// received.
func (s *ItemStore) Advance(progress Vector) {
	for origin, sequence := range progress {
		if origin != s.Origin {
			s.vector[origin] = max(s.vector[origin], sequence)
		}
	}
}

// Retract withdraws the claim to have the items with these numbers, because they were lost: any replica that has them
// will send them again. Later items of the same origins are published again by this store, to keep the invariant; their
// origins may have ended and would never bring the vector up to them again.
func (s *ItemStore) Retract(lost Vector) {
	for origin, sequence := range lost {
		if reached, ok := s.vector[origin]; ok && reached >= sequence && origin != s.Origin {
			s.vector[origin] = sequence - 1
		}
	}
	s.republish(s.isBeyondVector)
}

// isBeyondVector reports whether the vector does not cover an item.
func (s *ItemStore) isBeyondVector(stored *storedItem) bool {
	return stored.sequence > s.vector[stored.origin]
}

// republish publishes the wanted items under numbers of this origin. It returns how many there were.
func (s *ItemStore) republish(wanted func(*storedItem) bool) int {
	keys := s.selectKeys(wanted)
	for _, key := range keys {
		s.publishNext(s.items[key].item)
	}
	return len(keys)
}

// Prune drops from the vector the origins that are not live and of which no item is left. A replica that has one of
// their items will send it again.
func (s *ItemStore) Prune(live map[string]bool) {
	kept := map[string]bool{s.Origin: true}
	for _, stored := range s.items {
		kept[stored.origin] = true
	}
	maps.DeleteFunc(s.vector, func(origin string, _ uint64) bool { return !kept[origin] && !live[origin] })
}

// keptIncarnations is how many earlier incarnations of its own replica a store keeps as the origins of items.
const keptIncarnations = 2

// RepublishOldIncarnations publishes again what incarnations of this replica before the last keptIncarnations have
// published, so that vectors do not grow with every restart. It returns the number of items.
func (s *ItemStore) RepublishOldIncarnations() int {
	var origins []string
	for _, stored := range s.items {
		earlier := stored.origin != s.Origin && nodeOf(stored.origin) == nodeOf(s.Origin)
		if earlier && !slices.Contains(origins, stored.origin) {
			origins = append(origins, stored.origin)
		}
	}
	slices.Sort(origins)
	oldest := origins[:max(0, len(origins)-keptIncarnations)]
	republished := 0
	for _, origin := range oldest {
		republished += s.republish(func(stored *storedItem) bool { return stored.origin == origin })
	}
	return republished
}

// selectKeys returns the keys of the wanted items, in the order in which they were stored.
func (s *ItemStore) selectKeys(wanted func(*storedItem) bool) []string {
	var keys []string
	for key, stored := range s.items {
		if wanted(stored) {
			keys = append(keys, key)
		}
	}
	sort.Slice(keys, func(i, j int) bool { return s.items[keys[i]].localSequence < s.items[keys[j]].localSequence })
	return keys
}

// Get returns the item with a key, if there is one.
func (s *ItemStore) Get(key string) (Item, bool) {
	if stored := s.items[key]; stored != nil {
		return stored.item, true
	}
	return Item{}, false
}

// OriginOf returns which origin has published the item with a key, and under which number, or zero values if there is
// no such item.
func (s *ItemStore) OriginOf(key string) (origin string, sequence uint64) {
	if stored := s.items[key]; stored != nil {
		return stored.origin, stored.sequence
	}
	return "", 0
}

// LocalSequenceOf returns the local sequence number of the item with a key, or 0 if there is no such item.
func (s *ItemStore) LocalSequenceOf(key string) uint64 {
	if stored := s.items[key]; stored != nil {
		return stored.localSequence
	}
	return 0
}

// Delete deletes an item here. It is not replicated, and the vector still claims the item.
func (s *ItemStore) Delete(key string) { delete(s.items, key) }

// Missing returns the items that a replica with some progress lacks, in the order in which they were stored, and the
// origins that their OriginIndex refers to. Items of other origins are left out if their local sequence is above
// maxLocalSequence: they came later and are on their way to every replica already. wanted selects items by key; nil
// selects all.
func (s *ItemStore) Missing(
	progress Vector, maxLocalSequence uint64, wanted func(key string) bool,
) (items []Item, origins []string) {
	missing := func(stored *storedItem) bool {
		if stored.sequence <= progress[stored.origin] {
			return false
		}
		if stored.origin != s.Origin && stored.localSequence > maxLocalSequence {
			return false
		}
		return wanted == nil || wanted(stored.item.Key)
	}
	origins = []string{s.Origin}
	originIndex := map[string]int{s.Origin: 0}
	for _, key := range s.selectKeys(missing) {
		stored := s.items[key]
		if _, ok := originIndex[stored.origin]; !ok {
			originIndex[stored.origin] = len(origins)
			origins = append(origins, stored.origin)
		}
		item := stored.item
		item.OriginIndex = originIndex[stored.origin]
		item.Sequence = stored.sequence
		items = append(items, item)
	}
	return items, origins
}

// Since returns the items with local sequence numbers above a given one, in order. The version before this one pulls by
// it. wanted selects items by key; nil selects all.
func (s *ItemStore) Since(localSequence uint64, wanted func(key string) bool) []Item {
	keys := s.selectKeys(func(stored *storedItem) bool {
		return stored.localSequence > localSequence && (wanted == nil || wanted(stored.item.Key))
	})
	items := make([]Item, len(keys))
	for i, key := range keys {
		items[i] = s.items[key].item
	}
	return items
}

// ReplaceReceived replaces everything that came from other origins by a complete answer of another replica: it deletes
// the items whose keys the answer does not have, except those that keep selects, and adopts the answer's progress. What
// the answer lacks was deleted, or will be sent again by any replica that has it. It returns the deleted keys, sorted.
func (s *ItemStore) ReplaceReceived(
	received map[string]bool, progress Vector, keep func(Item) bool,
) (deleted []string) {
	for key, stored := range s.items {
		if !received[key] && stored.origin != s.Origin && !keep(stored.item) {
			deleted = append(deleted, key)
		}
	}
	sort.Strings(deleted)
	for _, key := range deleted {
		s.Delete(key)
	}
	s.vector = Vector{s.Origin: s.vector[s.Origin]}
	s.Advance(progress)
	s.republish(s.isBeyondVector)
	return deleted
}

// ForEach calls visit with every item whose key has a prefix, in no particular order.
func (s *ItemStore) ForEach(prefix string, visit func(Item)) {
	for key, stored := range s.items {
		if strings.HasPrefix(key, prefix) {
			visit(stored.item)
		}
	}
}
