package rangesync

// history is the latest changes of an index, so that what it said of a range a while ago can be told again: two members
// mostly differ in what has just changed.
type history struct {
	changes []change // a ring once it is full
	oldest  int
}

// change is one of a key; before is nothing where the key is new.
type change struct {
	key           string
	before, after Summary
}

// historySize is how many changes are kept: what a restarted member may lack after orders of hundreds of items, or half a
// minute of a hundred changes a second. It takes some 400 kB.
const historySize = 4096

func (h *history) note(c change) {
	switch {
	case c.before == c.after:
	case len(h.changes) < historySize:
		h.changes = append(h.changes, c)
	default:
		h.changes[h.oldest] = c
		h.oldest = (h.oldest + 1) % historySize
	}
}

// latest goes back through the changes in a range until it is told to stop.
func (h *history) latest(r Range, visit func(c change) (goOn bool)) {
	for i := len(h.changes) - 1; i >= 0; i-- {
		c := h.changes[(h.oldest+i)%len(h.changes)]
		if r.Contains(c.key) && !visit(c) {
			return
		}
	}
}

// since lists the keys in a range that have changed since the index summed it up like this, if that is known. The latest
// come first.
func (x *Index) since(r Range, then Summary) (keys []string, known bool) {
	now := x.Summary(r)
	if now == then {
		return nil, true
	}
	listed := map[string]bool{}
	x.history.latest(r, func(c change) bool {
		now = now.minus(c.after).plus(c.before)
		if !listed[c.key] {
			listed[c.key] = true
			keys = append(keys, c.key)
		}
		known = now == then
		return !known
	})
	if !known {
		return nil, false
	}
	return keys, true
}

// recent lists the keys in a range that have changed last, the first most of them.
func (x *Index) recent(r Range, most int) (keys []string) {
	listed := map[string]bool{}
	x.history.latest(r, func(c change) bool {
		if len(keys) >= most {
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
