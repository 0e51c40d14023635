package drain

import (
	"sagelever/internal/control/dedup"
	"sagelever/internal/control/quorum"
)

// ifNotOvertaken returns an update that applies another one, for an order on a target that is based on a value of its
// zone's register. It has no effect if a later order on the same target may have been carried out since: that order may
// have been given after this one, of which another copy was acknowledged, and must not be undone. Overtaken tells this from
// an effect.
func ifNotOvertaken(base quorum.Value, target string, update quorum.UpdateFunc) quorum.UpdateFunc {
	return func(current quorum.Value) quorum.Value {
		if Overtaken(base, current, target) {
			return current
		}
		return update(current)
	}
}

// Overtaken reports whether an order on a target may have been carried out between two values of its zone's register.
// Every change of the register records its order, and the register keeps the latest ones. If it doesn't keep as many as it
// has changed since, nothing is known of the others.
func Overtaken(base, current quorum.Value, target string) bool {
	if current.Version == base.Version {
		return false
	}
	changes := current.Version - base.Version
	orders := dedup.ReadAppliedOrders(current).Orders
	if current.Version < base.Version || changes > uint64(len(orders)) {
		return true
	}
	for _, applied := range orders[len(orders)-int(changes):] {
		if applied.Order == orderBegin+target || applied.Order == orderEnd+target {
			return true
		}
	}
	return false
}
