package rangesync

import (
	"slices"
	"sort"
)

// Bounds on the size of a node: a larger one is split, a smaller one is merged with its neighbour.
const (
	maxNodeSize = 64
	minNodeSize = maxNodeSize / 4
)

// node is a node of a B+ tree: a leaf with entries or an inner node with children.
//
// Invariant: summary is the summary of all entries below the node.
type node struct {
	// minKey separates the node from its left neighbour: every key below the neighbour is less than minKey, and no key
	// below this node is. It is not used in the first child of a node.
	minKey   string
	summary  Summary
	entries  []entry // of a leaf, ordered by key
	children []*node // of an inner node, ordered by key
}

// entry is a key with its fingerprint.
type entry struct {
	key    string
	digest Digest
}

func (e entry) summary() Summary { return Summary{Count: 1, Digest: e.digest} }

// size returns the number of entries or children.
func (n *node) size() int { return len(n.entries) + len(n.children) }

// search returns the position of a key among the entries of a leaf, or the position at which it would be inserted.
func (n *node) search(key string) (position int, found bool) {
	position = sort.Search(len(n.entries), func(i int) bool { return n.entries[i].key >= key })
	return position, position < len(n.entries) && n.entries[position].key == key
}

// childIndex returns the index of the child that contains a key or into which it would be inserted.
func (n *node) childIndex(key string) int {
	separated := n.children[1:] // the children whose minKey is used
	return sort.Search(len(separated), func(i int) bool { return separated[i].minKey > key })
}

// set inserts or replaces an entry and returns the summary of the replaced entry, or zero if there was none.
func (n *node) set(e entry) (before Summary) {
	if n.children == nil {
		return n.setInLeaf(e)
	}
	index := n.childIndex(e.key)
	child := n.children[index]
	before = child.set(e)
	n.summary = n.summary.sub(before).add(e.summary())
	if child.size() > maxNodeSize {
		n.children = slices.Insert(n.children, index+1, child.split())
	}
	return before
}

func (n *node) setInLeaf(e entry) (before Summary) {
	position, found := n.search(e.key)
	if found {
		before = n.entries[position].summary()
		n.entries[position].digest = e.digest
	} else {
		n.entries = slices.Insert(n.entries, position, e)
	}
	n.summary = n.summary.sub(before).add(e.summary())
	return before
}

// remove removes an entry if it is present.
func (n *node) remove(key string) {
	if n.children == nil {
		n.removeFromLeaf(key)
		return
	}
	index := n.childIndex(key)
	child := n.children[index]
	n.summary = n.summary.sub(child.summary)
	child.remove(key)
	n.summary = n.summary.add(child.summary)
	if child.size() < minNodeSize && len(n.children) > 1 {
		n.mergeChildren(max(index-1, 0))
	}
}

func (n *node) removeFromLeaf(key string) {
	position, found := n.search(key)
	if !found {
		return
	}
	n.summary = n.summary.sub(n.entries[position].summary())
	n.entries = slices.Delete(n.entries, position, position+1)
}

// mergeChildren merges a child with its right neighbour, and splits the result evenly if it is too large.
func (n *node) mergeChildren(index int) {
	left, right := n.children[index], n.children[index+1]
	left.entries = append(left.entries, right.entries...)
	left.children = append(left.children, right.children...)
	left.summary = left.summary.add(right.summary)
	if left.size() > maxNodeSize {
		n.children[index+1] = left.split()
		return
	}
	n.children = slices.Delete(n.children, index+1, index+2)
}

// split moves the upper half of the node into a new node, which it returns. Both halves are copied to new arrays; a
// shared array would keep both halves in memory as long as either is used.
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

// computeSummary computes the summary from the entries and children.
func (n *node) computeSummary() (sum Summary) {
	for _, e := range n.entries {
		sum = sum.add(e.summary())
	}
	for _, child := range n.children {
		sum = sum.add(child.summary)
	}
	return sum
}

// summaryBefore returns the summary of the entries whose keys are less than the given one.
func (n *node) summaryBefore(key string) (sum Summary) {
	if n.children == nil {
		position, _ := n.search(key)
		for _, e := range n.entries[:position] {
			sum = sum.add(e.summary())
		}
		return sum
	}
	index := n.childIndex(key)
	for _, child := range n.children[:index] {
		sum = sum.add(child.summary)
	}
	return sum.add(n.children[index].summaryBefore(key))
}

// keyAt returns the key with the given rank, which is the number of smaller keys below the node. The rank must be less
// than the count of the node's summary.
func (n *node) keyAt(rank int) string {
	if n.children == nil {
		return n.entries[rank].key
	}
	for _, child := range n.children {
		if rank < child.summary.Count {
			return child.keyAt(rank)
		}
		rank -= child.summary.Count
	}
	panic("rangesync: rank out of range")
}

// each visits the keys of a range in order until visit returns false. It returns true if the walk must continue with
// the next node: visit has not returned false, and no key at or beyond the end of the range was reached.
func (n *node) each(r Range, visit func(key string) (keepGoing bool)) (keepGoing bool) {
	if n.children == nil {
		position, _ := n.search(r.From)
		for _, e := range n.entries[position:] {
			if r.endsBefore(e.key) || !visit(e.key) {
				return false
			}
		}
		return true
	}
	for _, child := range n.children[n.childIndex(r.From):] {
		if !child.each(r, visit) {
			return false
		}
	}
	return true
}
