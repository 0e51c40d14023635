package balancer

import "time"

// tombstoneTTL is for how long a backend whose incarnation is over is remembered: as long as the controllers remember
// it, and longer than a controller that was cut off goes on reporting what it knew.
const tombstoneTTL = time.Minute

// tombstones holds when the incarnations of backends ended, by ID, so that no older update brings one back. Its zero
// value is empty and ready to use.
type tombstones map[string]time.Time

// add records that an incarnation is over, and drops expired entries.
func (t *tombstones) add(id string, now time.Time) {
	if *t == nil {
		*t = tombstones{}
	}
	for other, removedAt := range *t {
		if now.Sub(removedAt) >= tombstoneTTL {
			delete(*t, other)
		}
	}
	(*t)[id] = now
}

// has reports whether the incarnation ended less than tombstoneTTL ago.
func (t tombstones) has(id string, now time.Time) bool {
	removedAt, known := t[id]
	return known && now.Sub(removedAt) < tombstoneTTL
}
