package lore

import (
	"slices"
	"time"
)

// Roll says who is there: leases granted here, agents heard of through their grantors, and appliances whose pulses come
// here. Its clock is handed in.
type Roll struct {
	term    time.Duration // of a lease
	memory  time.Duration // for which a lapsed agent still counts into n: it may be cut off, and sending
	granted map[string]time.Time
	awaited map[string]bool      // granted in a life before, and not renewed since
	seen    map[string]time.Time // when a lease was last known to be held, wherever granted
	zones   map[string]string
	pulsed  map[string]time.Time
}

// NewRoll begins an empty roll.
func NewRoll(term, memory time.Duration) *Roll {
	return &Roll{term: term, memory: memory, granted: map[string]time.Time{}, awaited: map[string]bool{}, seen: map[string]time.Time{},
		zones: map[string]string{}, pulsed: map[string]time.Time{}}
}

// Renew notes that an agent has called here, by its lease's key.
func (r *Roll) Renew(key, zone string, now time.Time) {
	r.granted[key], r.seen[key], r.zones[key] = now, now, zone
	delete(r.awaited, key)
}

// Expect notes a lease that was granted here in a life before: it may be held, so that it counts, and it lapses like any
// other; but nobody is sent there before it is renewed.
func (r *Roll) Expect(key, zone string, now time.Time) {
	if _, known := r.granted[key]; !known {
		r.Renew(key, zone, now)
		r.awaited[key] = true
	}
}

// Lapsed lists the leases granted here that ran out; each is told once.
func (r *Roll) Lapsed(now time.Time) (keys []string) {
	for k, at := range r.granted {
		if now.Sub(at) > r.term {
			keys = append(keys, k)
			delete(r.granted, k)
			delete(r.awaited, k)
		}
	}
	slices.Sort(keys)
	return keys
}

// Granted tells whether an agent holds a lease from here.
func (r *Roll) Granted(key string) bool { _, ok := r.granted[key]; return ok && !r.awaited[key] }

// Hold notes a lease that another agent grants; grantor tells whether that one is heard.
func (r *Roll) Hold(key, zone string, now time.Time) { r.seen[key], r.zones[key] = now, zone }

// Count is how many agents may be sending now, and how many of those stand in a zone. It forgets who has been gone for
// long, so that it does not grow with agents seen. It errs upwards: shares of what all may do together are divided by it.
func (r *Roll) Count(zone string, now time.Time) (all, here int) {
	for k, at := range r.seen {
		if now.Sub(at) > r.memory {
			delete(r.seen, k)
			delete(r.zones, k)
			continue
		}
		if all++; r.zones[k] == zone {
			here++
		}
	}
	return all, here
}

// Lately tells whether an agent may be sending now: whether it counts.
func (r *Roll) Lately(key string, now time.Time) bool {
	at, ok := r.seen[key]
	return ok && now.Sub(at) <= r.memory
}

// Pulsed notes a pulse that came here.
func (r *Roll) Pulsed(id string, now time.Time) { r.pulsed[id] = now }

// Unwatch forgets an appliance whose pulses go elsewhere, or that is gone.
func (r *Roll) Unwatch(id string) { delete(r.pulsed, id) }

// Silent lists the appliances whose pulses came here and have not come for so long; each is told once.
func (r *Roll) Silent(after time.Duration, now time.Time) (ids []string) {
	for id, at := range r.pulsed {
		if now.Sub(at) > after {
			ids = append(ids, id)
			delete(r.pulsed, id)
		}
	}
	slices.Sort(ids)
	return ids
}
