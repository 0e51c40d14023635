// Package replication replicates data that needs no consensus between controllers and proxies: the backends and
// proxies, the proxies' measurements of releases, and the chosen values of the quorum registers.
//
// The data consists of items, each with its own version. Every controller accepts items, and replicas merge them key by
// key, so that all replicas converge whatever the order in which items arrive. Each incarnation of a controller is an
// origin, which numbers the items that it publishes. A replica's version vector has, for each origin, the sequence
// number up to which the replica has received the origin's items. With it, the replica can pull the items that it lacks
// from any controller (anti-entropy by version vectors, as in Petersen et al., Flexible Update Propagation for Weakly
// Consistent Replication, SOSP 1997).
//
// The package does no I/O; the caller passes in the time.
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
	localSequence uint64 // position in the order in which this store has stored its items
	origin        string // the origin that has published the item
	sequence      uint64 // the sequence number that the origin has given it
}

// ItemStore holds the items and the version vector of a replica. It is not safe for concurrent use.
//
// Invariant: the vector covers every item, that is, no item has a sequence number above the vector's entry for its
// origin. The exception is while the items of a message are received, until Advance is called. Without the invariant,
// the vector that the replica sends with an item would not include the item.
type ItemStore struct {
	LegacySource  string // the replica and its incarnation, in the format of the previous protocol version
	Origin        string // the origin of published items: the replica's name, a period and its incarnation
	localSequence uint64
	items         map[string]*storedItem // by key
	vector        Vector
}

// NewItemStore returns an empty store. Each incarnation must have a new origin, whose sequence numbers start from the
// beginning, so that its vector does not include items that an earlier incarnation has published and lost. No item gets
// sequence number 1: a vector contains it if its replica has received the vector of the origin, even if the origin has
// not published any item.
func NewItemStore(source, origin string) *ItemStore {
	return &ItemStore{LegacySource: source, Origin: origin, items: map[string]*storedItem{}, vector: Vector{origin: 1}}
}

// LocalSequence returns the local sequence number of the item that was stored last.
func (s *ItemStore) LocalSequence() uint64 { return s.localSequence }

// Vector returns a copy of the replica's version vector.
func (s *ItemStore) Vector() Vector { return maps.Clone(s.vector) }

// OwnSequence returns the sequence number of the item that this store has published last.
func (s *ItemStore) OwnSequence() uint64 { return s.vector[s.Origin] }

// Publish stores a new item and publishes it under this store's origin, unless the store has an item with the key that
// the new one does not supersede. It reports whether it has stored the item.
func (s *ItemStore) Publish(item Item) bool {
	if stored := s.items[item.Key]; stored != nil && !item.Supersedes(stored.item) {
		return false
	}
	s.publishNext(item)
	return true
}

// publishNext stores an item under the next sequence number of this origin.
func (s *ItemStore) publishNext(item Item) {
	s.vector[s.Origin]++
	s.store(item, s.Origin, s.vector[s.Origin])
}

// Receive stores an item that another replica has sent, with the origin that published it and its sequence number,
// unless the store has an item with the key that the received one does not supersede. It reports whether it has stored
// the item. After all items of a message are received, the caller must call Advance with the message's vector.
func (s *ItemStore) Receive(item Item, origin string, sequence uint64) bool {
	stored := s.items[item.Key]
	if stored == nil || item.Supersedes(stored.item) {
		s.store(item, origin, sequence)
		return true
	}
	sameItem := stored.item.Version == item.Version && stored.item.Body == item.Body
	if sameItem && origin > stored.origin && nodeOf(origin) == nodeOf(stored.origin) {
		// A later incarnation of the origin has published the item again (see RepublishOldIncarnations).
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

// Advance raises the vector to the progress of another replica. It must be called after all items that were sent with
// this progress are received.
func (s *ItemStore) Advance(progress Vector) {
	for origin, sequence := range progress {
		if origin != s.Origin {
			s.vector[origin] = max(s.vector[origin], sequence)
		}
	}
}

// Retract lowers the vector below the given sequence numbers, whose items this replica has lost, so that any replica
// that has them will send them again. To keep the invariant, the store publishes later items of the same origins again
// under its own origin: their origins may no longer exist, and the vector might never reach these items again.
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

// republish publishes the matching items again under sequence numbers of this origin. It returns their number.
func (s *ItemStore) republish(match func(*storedItem) bool) int {
	keys := s.selectKeys(match)
	for _, key := range keys {
		s.publishNext(s.items[key].item)
	}
	return len(keys)
}

// Prune removes from the vector the origins that are not live and have no items in the store. If another replica has
// items of such an origin, it will send them again.
func (s *ItemStore) Prune(live map[string]bool) {
	kept := map[string]bool{s.Origin: true}
	for _, stored := range s.items {
		kept[stored.origin] = true
	}
	maps.DeleteFunc(s.vector, func(origin string, _ uint64) bool { return !kept[origin] && !live[origin] })
}

// keptIncarnations is the number of earlier incarnations of a store's own replica that it keeps as origins of items.
const keptIncarnations = 2

// RepublishOldIncarnations publishes again, under this store's origin, the items of this replica's earlier incarnations
// except the last keptIncarnations, so that vectors do not grow with every restart. It returns the number of items.
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

// selectKeys returns the keys of the matching items, in the order in which they were stored.
func (s *ItemStore) selectKeys(match func(*storedItem) bool) []string {
	var keys []string
	for key, stored := range s.items {
		if match(stored) {
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

// OriginOf returns the origin that has published the item with a key, and its sequence number, or zero values if there
// is no such item.
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

// Delete deletes an item from this store only. The deletion is not replicated, and the vector still covers the item.
func (s *ItemStore) Delete(key string) { delete(s.items, key) }

// Missing returns the items that a replica with the given progress lacks, in the order in which they were stored, and
// the origins to which their OriginIndex refers. It omits items of other origins with a local sequence number above
// maxLocalSequence: these arrived recently and are already being sent to every replica. match selects items;
// nil selects all.
func (s *ItemStore) Missing(
	progress Vector, maxLocalSequence uint64, match func(item Item) bool,
) (items []Item, origins []string) {
	missing := func(stored *storedItem) bool {
		if stored.sequence <= progress[stored.origin] {
			return false
		}
		if stored.origin != s.Origin && stored.localSequence > maxLocalSequence {
			return false
		}
		return match == nil || match(stored.item)
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

// Since returns the items with local sequence numbers above the given one, in order. It serves pulls of the previous
// protocol version. match selects items; nil selects all.
func (s *ItemStore) Since(localSequence uint64, match func(item Item) bool) []Item {
	keys := s.selectKeys(func(stored *storedItem) bool {
		return stored.localSequence > localSequence && (match == nil || match(stored.item))
	})
	items := make([]Item, len(keys))
	for i, key := range keys {
		items[i] = s.items[key].item
	}
	return items
}

// ReplaceReceived replaces the items of other origins by those of a complete response of another replica, which must
// have been received: it deletes the items whose keys are not in the response, except those that keep selects, and sets
// the vector to the response's progress. Items that the response lacks have been deleted there, or will be sent again
// by any replica that has them. It returns the deleted keys, sorted.
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
