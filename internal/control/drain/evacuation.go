package drain

import (
	"strconv"
	"strings"
	"time"

	"sagelever/internal/control/dedup"
	"sagelever/internal/control/quorum"
)

const (
	// EvacuationKeyPrefix begins the key of every register that tells whether a zone is evacuated.
	EvacuationKeyPrefix   = "zone/"
	acknowledgedKeyPrefix = "heard/"
)

// EvacuationKey returns the key of the register that tells whether a zone is evacuated.
func EvacuationKey(zone string) string { return EvacuationKeyPrefix + zone }

// AcknowledgedKey returns the key of the register that holds the highest version of the register of EvacuationKey whose
// order is known to have been acknowledged to the operator.
func AcknowledgedKey(zone string) string { return acknowledgedKeyPrefix + zone }

// EvacuationState is what the register of EvacuationKey says: how many orders to evacuate the zone are in force, and
// whether the last order withdrew one.
type EvacuationState struct {
	orders        int
	lastWithdrawn bool
}

// maxEvacuationOrders bounds the orders that are counted for one zone.
const maxEvacuationOrders = 1000

// Words of the body of the register of EvacuationKey, see ReadEvacuation.
const (
	wordOff       = "off"
	wordOn        = "on"
	wordWithdrawn = "back"
)

// ReadEvacuation reads a body: "off", "on", "on N" with the number of orders in force, or "on N back" if the last order
// withdrew one. The version before this one knows only the first two, and writes them.
func ReadEvacuation(body string) EvacuationState {
	words := strings.Fields(body)
	if len(words) == 0 || words[0] != wordOn {
		return EvacuationState{lastWithdrawn: true}
	}
	state := EvacuationState{orders: 1, lastWithdrawn: len(words) > 2}
	if len(words) > 1 {
		if orders, err := strconv.Atoi(words[1]); err == nil && orders > 0 {
			state.orders = orders
		}
	}
	return state
}

// InForce reports whether the zone is evacuated.
func (s EvacuationState) InForce() bool { return s.orders > 0 }

// encode is the inverse of ReadEvacuation. It writes what the version before this one can read where it can.
func (s EvacuationState) encode() string {
	switch {
	case s.orders == 0:
		return wordOff
	case s.lastWithdrawn:
		return wordOn + " " + strconv.Itoa(s.orders) + " " + wordWithdrawn
	case s.orders == 1:
		return wordOn
	}
	return wordOn + " " + strconv.Itoa(s.orders)
}

// SetEvacuation returns the update that orders the evacuation of a zone, or withdraws one such order. Orders add up: a
// zone is evacuated until as many are withdrawn as were given.
//
// An order has neither a name nor a body, so that a copy which an operator sends because the answer was lost looks like
// another order. It is taken for a copy if the last order was of the same kind and is not known to have been
// acknowledged. acknowledged is the version up to which orders are known to have been, see AcknowledgedKey.
func SetEvacuation(evacuate bool, acknowledged uint64) quorum.UpdateFunc {
	return func(current quorum.Value) quorum.Value {
		state := ReadEvacuation(current.Body)
		if current.Version == 0 && !evacuate {
			return quorum.Value{Version: 1, Body: wordOff}
		}
		if !state.accepts(evacuate) {
			return current
		}
		sameKind := state.lastWithdrawn == !evacuate
		if current.Version > 0 && sameKind && acknowledged != current.Version {
			return current
		}
		if evacuate {
			state.orders++
		} else {
			state.orders--
		}
		state.lastWithdrawn = !evacuate
		return quorum.Value{Version: current.Version + 1, Body: state.encode()}
	}
}

// accepts reports whether one more order can be counted, or one fewer.
func (s EvacuationState) accepts(evacuate bool) bool {
	if evacuate {
		return s.orders < maxEvacuationOrders
	}
	return s.orders > 0
}

// evacuationOrder stands for the last order in the annotation of the register of EvacuationKey: it records when that
// order was given.
const evacuationOrder = "word"

// SetEvacuationOnce is SetEvacuation for an order that is given now. An order can be a copy of the last one only within
// the window; after it, the last one counts as acknowledged.
func SetEvacuationOnce(evacuate bool, acknowledged uint64, now time.Time, window time.Duration) quorum.UpdateFunc {
	return func(current quorum.Value) quorum.Value {
		applied := dedup.ReadAppliedOrders(current)
		lastAcknowledged := acknowledged
		if len(applied.Orders) > 0 && !applied.Contains(evacuationOrder, now, window) {
			lastAcknowledged = current.Version
		}
		next := SetEvacuation(evacuate, lastAcknowledged)(current)
		if next.Version != current.Version {
			next.Annotation = dedup.AppliedOrders{}.With(evacuationOrder, now, window).Encode()
		}
		return next
	}
}

// Acknowledge returns the update of the register of AcknowledgedKey that records that the order which brought a version
// of the register of EvacuationKey was acknowledged.
func Acknowledge(version uint64) quorum.UpdateFunc {
	return func(current quorum.Value) quorum.Value {
		if ReadAcknowledged(current) >= version {
			return current
		}
		return quorum.Value{Version: current.Version + 1, Body: strconv.FormatUint(version, 10)}
	}
}

// ReadAcknowledged reads the register of AcknowledgedKey. It returns 0 if there is none.
func ReadAcknowledged(value quorum.Value) uint64 {
	version, _ := strconv.ParseUint(value.Body, 10, 64) // an empty register is version 0
	return version
}
