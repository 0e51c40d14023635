package server

import (
	"strings"
	"time"

	"sagelever/internal/control/drain"
	"sagelever/internal/control/quorum"
)

// knownOrders records when this controller first saw the last orders on each zone in its copy of the registers, by its own
// clock: the clocks of the controllers that received them may differ.
type knownOrders struct {
	seen map[zoneOrders]seenOrder
}

// zoneOrders are the orders of one kind on a zone.
type zoneOrders struct {
	zone       string
	withdrawal bool
}

type seenOrder struct {
	id string
	at time.Time
}

func newKnownOrders() knownOrders { return knownOrders{seen: map[zoneOrders]seenOrder{}} }

// observe notes changed registers. Registers other than those of evacuations are ignored.
func (k *knownOrders) observe(now time.Time, entries []quorum.Entry) {
	for _, entry := range entries {
		zone, ok := strings.CutPrefix(entry.Key, drain.EvacuationKeyPrefix)
		if !ok {
			continue
		}
		begun, withdrawn := drain.LastOrderIDs(entry.Value)
		k.note(now, zoneOrders{zone, false}, begun)
		k.note(now, zoneOrders{zone, true}, withdrawn)
	}
}

func (k *knownOrders) note(now time.Time, orders zoneOrders, id string) {
	if id != "" && k.seen[orders].id != id {
		k.seen[orders] = seenOrder{id, now}
	}
}

// last returns the last order of a kind on a zone, or the zero value if there is none.
func (k *knownOrders) last(now time.Time, orders zoneOrders) drain.KnownOrder {
	seen, known := k.seen[orders]
	if !known {
		return drain.KnownOrder{}
	}
	return drain.KnownOrder{ID: seen.id, Age: now.Sub(seen.at)}
}
