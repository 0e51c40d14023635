package sway

import "time"

// endedMemory is for how long a life of an appliance that is over is remembered: as long as the core remembers it, and longer
// than a member that was cut off goes on telling what it knew.
const endedMemory = time.Minute

// ended remembers lives of appliances that are over, so that no older word brings one back.
type ended map[string]time.Time

func (e *ended) add(id string, now time.Time) {
	if *e == nil {
		*e = ended{}
	}
	for other, at := range *e {
		if now.Sub(at) >= endedMemory {
			delete(*e, other)
		}
	}
	(*e)[id] = now
}

func (e ended) has(id string, now time.Time) bool {
	at, known := e[id]
	return known && now.Sub(at) < endedMemory
}
