package balancer

import "time"

// tombstoneTTL is how long the end of a backend's incarnation is recorded. It equals the retention at the controllers,
// and is longer than a partitioned controller continues to report its outdated state.
const tombstoneTTL = time.Minute

// tombstones records when the incarnations of backends ended, by ID, so that an older update does not add a backend
// again. Its zero value is empty and ready to use.
type tombstones map[string]time.Time

// add records that an incarnation has ended, and drops expired entries.
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

// has reports whether the incarnation ended within the last tombstoneTTL.
func (t tombstones) has(id string, now time.Time) bool {
	removedAt, known := t[id]
	return known && now.Sub(removedAt) < tombstoneTTL
}
