package rangesync

// history is the latest changes of an index, so that what it said of a range a while ago can be told again: two members
// mostly differ in what has just changed.
type history struct {
	entries []change // a ring once it is full
	oldest  int
}

// change is one of a key; before is nothing where the key is new.
type change struct {
	key           string
	before, after Summary
}

// historyCapacity is how many changes are kept: what a restarted member may lack after orders of hundreds of items, or half a
// minute of a hundred changes a second. It takes some 400 kB.
const historyCapacity = 4096

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

// walkBackward goes back through the changes in a range until it is told to stop.
func (h *history) walkBackward(r Range, visit func(c change) (keepGoing bool)) {
	for i := len(h.entries) - 1; i >= 0; i-- {
		c := h.entries[(h.oldest+i)%len(h.entries)]
		if r.Contains(c.key) && !visit(c) {
			return
		}
	}
}

// keysChangedSince lists the keys in a range that have changed since the index summed it up like this, if that is known. The latest
// come first.
func (x *Index) keysChangedSince(r Range, earlier Summary) (keys []string, known bool) {
	current := x.Summary(r)
	if current == earlier {
		return nil, true
	}
	listed := map[string]bool{}
	x.history.walkBackward(r, func(c change) bool {
		current = current.sub(c.after).add(c.before)
		if !listed[c.key] {
			listed[c.key] = true
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

// recentlyChangedKeys lists the keys in a range that have changed last, the first most of them.
func (x *Index) recentlyChangedKeys(r Range, limit int) (keys []string) {
	listed := map[string]bool{}
	x.history.walkBackward(r, func(c change) bool {
		if len(keys) >= limit {
			return false
		}
		if !listed[c.key] {
			listed[c.key] = true
			keys = append(keys, c.key)
		}
		return true
	})
	return keys
}
