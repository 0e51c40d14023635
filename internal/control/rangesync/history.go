package rangesync

// historyCapacity is the number of changes that an index keeps. It covers what a replica misses during a restart:
// changes of hundreds of items, or 100 changes per second for half a minute. A full history takes about 400 kB.
const historyCapacity = 4096

// history holds the latest changes of an index, from which its earlier summaries can be computed.
type history struct {
	entries []change // a ring buffer once it is full
	oldest  int      // index of the oldest entry
}

// change is a change of one key.
type change struct {
	key    string
	before Summary // of the key alone; zero if the key was added
	after  Summary // of the key alone
}

// record appends a change. If the history is full, the change replaces the oldest one.
func (h *history) record(c change) {
	switch {
	case c.before == c.after:
	case len(h.entries) < historyCapacity:
		h.entries = append(h.entries, c)
	default:
		h.entries[h.oldest] = c
		h.oldest = (h.oldest + 1) % historyCapacity
	}
}

// walkBackward visits the changes of keys in a range, latest first, until visit returns false.
func (h *history) walkBackward(r Range, visit func(c change) (keepGoing bool)) {
	for i := len(h.entries) - 1; i >= 0; i-- {
		c := h.entries[(h.oldest+i)%len(h.entries)]
		if r.Contains(c.key) && !visit(c) {
			return
		}
	}
}

// keysChangedSince returns the keys in a range that have changed since the range had an earlier summary, latest change
// first. known is false if the history does not reach back to that summary.
func (x *Index) keysChangedSince(r Range, earlier Summary) (keys []string, known bool) {
	current := x.Summary(r)
	if current == earlier {
		return nil, true
	}
	seen := map[string]bool{}
	x.history.walkBackward(r, func(c change) bool {
		current = current.sub(c.after).add(c.before)
		if !seen[c.key] {
			seen[c.key] = true
			keys = append(keys, c.key)
		}
		known = current == earlier
		return !known
	})
	if !known {
		return nil, false
	}
	return keys, true
}

// recentlyChangedKeys returns at most limit keys of a range that have changed, latest change first.
func (x *Index) recentlyChangedKeys(r Range, limit int) (keys []string) {
	seen := map[string]bool{}
	x.history.walkBackward(r, func(c change) bool {
		if len(keys) >= limit {
			return false
		}
		if !seen[c.key] {
			seen[c.key] = true
			keys = append(keys, c.key)
		}
		return true
	})
	return keys
}
