package rangesync

import (
	"slices"
	"sort"
)

// Index holds keys in order with their fingerprints, and sums up any range of them. Set, Remove and Summary take time that
// grows with the logarithm of the number of keys. It is a tree whose nodes know the sum of all below them. It is not safe
// for use by several goroutines at once.
type Index struct {
	root    *node
	history history
}

// Bounds on the size of a node: one that is larger is split, one that is smaller is joined with its neighbour.
const (
	maxNodeSize = 64
	minNodeSize = maxNodeSize / 4
)

// node is a leaf with entries, or an inner node with children.
type node struct {
	minKey   string // no key below is smaller, and every key of the neighbour before is; unused in a first child
	summary  Summary
	entries  []entry
	children []*node
}

type entry struct {
	key    string
	digest Digest
}

func (e entry) summary() Summary { return Summary{1, e.digest} }

// NewIndex is an empty index.
func NewIndex() *Index { return &Index{root: &node{}} }

// Len is the number of keys.
func (x *Index) Len() int { return x.root.summary.Count }

// Set adds a key or changes its fingerprint. Keys are valid UTF-8, as they go into messages.
func (x *Index) Set(key string, fingerprint Fingerprint) {
	e := entry{key, fingerprint.digest}
	before := x.root.set(e)
	x.history.record(change{key: key, before: before, after: e.summary()})
	if x.root.size() <= maxNodeSize {
		return
	}
	left := x.root
	right := left.split()
	x.root = &node{children: []*node{left, right}, summary: left.summary.add(right.summary)}
}

// Remove takes a key out; nothing happens where it is not there.
func (x *Index) Remove(key string) {
	x.root.remove(key)
	x.history = history{} // it tells what was held and still is, or is later
	if len(x.root.children) == 1 {
		x.root = x.root.children[0]
	}
}

// Summary sums up the entries in a range.
func (x *Index) Summary(r Range) Summary {
	upTo := x.root.summary
	if r.To != "" {
		upTo = x.root.summaryBefore(r.To)
	}
	return upTo.sub(x.root.summaryBefore(r.From))
}

// Keys lists the keys in a range in order, the first most of them.
func (x *Index) Keys(r Range, limit int) (keys []string) {
	x.each(r, func(key string) bool {
		if len(keys) == limit {
			return false
		}
		keys = append(keys, key)
		return true
	})
	return keys
}

// each goes through the keys in a range in order until it is told to stop.
func (x *Index) each(r Range, visit func(key string) (keepGoing bool)) {
	x.root.each(r, visit)
}

// size is the number of entries or children.
func (n *node) size() int { return len(n.entries) + len(n.children) }

// search is where a key stands among the entries of a leaf, or would be put.
func (n *node) search(key string) (position int, found bool) {
	position = sort.Search(len(n.entries), func(i int) bool { return n.entries[i].key >= key })
	return position, position < len(n.entries) && n.entries[position].key == key
}

// childIndex is the child in which a key stands, or would be put.
func (n *node) childIndex(key string) int {
	rest := n.children[1:]
	return sort.Search(len(rest), func(i int) bool { return rest[i].minKey > key })
}

// set puts an entry in its place and hands back what was there.
func (n *node) set(e entry) (before Summary) {
	if n.children == nil {
		return n.setInLeaf(e)
	}
	at := n.childIndex(e.key)
	child := n.children[at]
	before = child.set(e)
	n.summary = n.summary.sub(before).add(e.summary())
	if child.size() > maxNodeSize {
		n.children = slices.Insert(n.children, at+1, child.split())
	}
	return before
}

func (n *node) setInLeaf(e entry) (before Summary) {
	at, found := n.search(e.key)
	if found {
		before = n.entries[at].summary()
		n.entries[at].digest = e.digest
	} else {
		n.entries = slices.Insert(n.entries, at, e)
	}
	n.summary = n.summary.sub(before).add(e.summary())
	return before
}

func (n *node) remove(key string) {
	if n.children == nil {
		n.removeFromLeaf(key)
		return
	}
	at := n.childIndex(key)
	child := n.children[at]
	n.summary = n.summary.sub(child.summary)
	child.remove(key)
	n.summary = n.summary.add(child.summary)
	if child.size() < minNodeSize && len(n.children) > 1 {
		n.mergeChildren(max(at-1, 0))
	}
}

func (n *node) removeFromLeaf(key string) {
	at, found := n.search(key)
	if !found {
		return
	}
	n.summary = n.summary.sub(n.entries[at].summary())
	n.entries = slices.Delete(n.entries, at, at+1)
}

// mergeChildren puts two neighbouring children together, and splits them evenly where that is too much for one.
func (n *node) mergeChildren(at int) {
	left, right := n.children[at], n.children[at+1]
	left.entries = append(left.entries, right.entries...)
	left.children = append(left.children, right.children...)
	left.summary = left.summary.add(right.summary)
	if left.size() > maxNodeSize {
		n.children[at+1] = left.split()
		return
	}
	n.children = slices.Delete(n.children, at+1, at+2)
}

// split takes the upper half out into a node of its own. Both halves get arrays of their own: what is cut off would be
// kept in memory otherwise.
func (n *node) split() *node {
	right := &node{}
	if n.children == nil {
		half := len(n.entries) / 2
		right.entries = slices.Clone(n.entries[half:])
		n.entries = slices.Clone(n.entries[:half])
		right.minKey = right.entries[0].key
	} else {
		half := len(n.children) / 2
		right.children = slices.Clone(n.children[half:])
		n.children = slices.Clone(n.children[:half])
		right.minKey = right.children[0].minKey
	}
	right.summary = right.computeSummary()
	n.summary = n.summary.sub(right.summary)
	return right
}

func (n *node) computeSummary() (s Summary) {
	for _, e := range n.entries {
		s = s.add(e.summary())
	}
	for _, c := range n.children {
		s = s.add(c.summary)
	}
	return s
}

// summaryBefore sums up the entries with keys smaller than this.
func (n *node) summaryBefore(key string) (s Summary) {
	if n.children == nil {
		at, _ := n.search(key)
		for _, e := range n.entries[:at] {
			s = s.add(e.summary())
		}
		return s
	}
	at := n.childIndex(key)
	for _, c := range n.children[:at] {
		s = s.add(c.summary)
	}
	return s.add(n.children[at].summaryBefore(key))
}

// keyAt is the key with so many before it.
func (n *node) keyAt(rank int) string {
	if n.children == nil {
		return n.entries[rank].key
	}
	for _, c := range n.children {
		if rank < c.summary.Count {
			return c.keyAt(rank)
		}
		rank -= c.summary.Count
	}
	panic("rangesync: a rank beyond the last key")
}

func (n *node) each(r Range, visit func(key string) (keepGoing bool)) (keepGoing bool) {
	if n.children == nil {
		at, _ := n.search(r.From)
		for _, e := range n.entries[at:] {
			if r.endsBefore(e.key) || !visit(e.key) {
				return false
			}
		}
		return true
	}
	for _, c := range n.children[n.childIndex(r.From):] {
		if !c.each(r, visit) {
			return false
		}
	}
	return true
}
