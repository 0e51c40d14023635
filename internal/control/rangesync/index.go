package rangesync

// Index is an ordered set of keys with their fingerprints that can summarize any range of keys. Set, Remove and Summary
// take time logarithmic in the number of keys. An Index is not safe for concurrent use.
type Index struct {
	root    *node
	history history
}

// NewIndex returns an empty index.
func NewIndex() *Index { return &Index{root: &node{}} }

// Len returns the number of keys.
func (x *Index) Len() int { return x.root.summary.Count }

// Set adds a key or changes its fingerprint. The key must be valid UTF-8 because it may be sent in messages.
func (x *Index) Set(key string, fingerprint Fingerprint) {
	e := entry{key: key, digest: fingerprint.digest}
	before := x.root.set(e)
	x.history.record(change{key: key, before: before, after: e.summary()})
	if x.root.size() <= maxNodeSize {
		return
	}
	left := x.root
	right := left.split()
	x.root = &node{children: []*node{left, right}, summary: left.summary.add(right.summary)}
}

// Remove removes a key if it is present. It also clears the history, which is only valid as long as the replica never
// loses an entry.
func (x *Index) Remove(key string) {
	x.root.remove(key)
	x.history = history{}
	if len(x.root.children) == 1 {
		x.root = x.root.children[0]
	}
}

// Summary returns the summary of a range.
func (x *Index) Summary(r Range) Summary {
	beforeEnd := x.root.summary
	if r.To != "" {
		beforeEnd = x.root.summaryBefore(r.To)
	}
	return beforeEnd.sub(x.root.summaryBefore(r.From))
}

// Keys returns the first keys of a range in order, but not more than limit.
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

// each visits the keys of a range in order until visit returns false.
func (x *Index) each(r Range, visit func(key string) (keepGoing bool)) {
	x.root.each(r, visit)
}
