package balancer

import "time"

// tombstoneTTL is for how long a life of an appliance that is over is remembered: as long as the core remembers it, and longer
// than a member that was cut off goes on telling what it knew.
const tombstoneTTL = time.Minute

// tombstones remembers lives of appliances that are over, so that no older word brings one back.
type tombstones map[string]time.Time

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

func (t tombstones) has(id string, now time.Time) bool {
	removedAt, known := t[id]
	return known && now.Sub(removedAt) < tombstoneTTL
}
