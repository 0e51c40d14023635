// Package lore is what agents know of one another and of the appliances: items, each with a version of its own, that any
// agent takes and that copies merge item by item. A source numbers what is new to it; others pull what they lack by the
// number they have seen of each source. It is pure.
package lore

import (
	"sort"
	"strings"
)

// Item is one piece of knowledge. Of two with one key the higher version prevails.
type Item struct {
	Key     string `json:"k"`
	Version uint64 `json:"v"`
	Body    string `json:"b"`
}

// Kinds of items, by the beginnings of their keys.
const (
	AppKey   = "app/"   // an appliance's life, by its id
	LeaseKey = "lease/" // an agent's lease, by node and role
	TrialKey = "trial/" // what one agent has seen of a release, by service and agent
	RegKey   = "reg/"   // a register whose value is chosen
)

type slot struct {
	item Item
	seq  uint64
}

// Feed is one source's items in the order in which they became new to it.
type Feed struct {
	Source string // the source and its life: a new life numbers anew
	seq    uint64
	slots  map[string]*slot
}

// NewFeed begins an empty source.
func NewFeed(source string) *Feed { return &Feed{Source: source, slots: map[string]*slot{}} }

// Seq is the number of the newest item.
func (f *Feed) Seq() uint64 { return f.seq }

// Merge takes an item; it tells whether it was new.
func (f *Feed) Merge(it Item) bool {
	s := f.slots[it.Key]
	if s != nil && s.item.Version >= it.Version {
		return false
	}
	f.seq++
	if s == nil {
		s = &slot{}
		f.slots[it.Key] = s
	}
	s.item, s.seq = it, f.seq
	return true
}

// Get is the item of a key.
func (f *Feed) Get(key string) (Item, bool) {
	if s := f.slots[key]; s != nil {
		return s.item, true
	}
	return Item{}, false
}

// SeqOf is the number under which an item became new.
func (f *Feed) SeqOf(key string) uint64 {
	if s := f.slots[key]; s != nil {
		return s.seq
	}
	return 0
}

// Drop forgets an item.
func (f *Feed) Drop(key string) { delete(f.slots, key) }

// Since lists what is newer than a number, in order.
func (f *Feed) Since(seq uint64, wanted func(key string) bool) []Item {
	var found []*slot
	for k, s := range f.slots {
		if s.seq > seq && (wanted == nil || wanted(k)) {
			found = append(found, s)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].seq < found[j].seq })
	out := make([]Item, len(found))
	for i, s := range found {
		out[i] = s.item
	}
	return out
}

// Each calls with every item whose key begins so.
func (f *Feed) Each(prefix string, call func(Item)) {
	for k, s := range f.slots {
		if strings.HasPrefix(k, prefix) {
			call(s.item)
		}
	}
}
