package drain

import (
	"strconv"
	"strings"
	"time"

	"sagelever/internal/control/dedup"
	"sagelever/internal/control/quorum"
)

const (
	// EvacuationKeyPrefix is the prefix of the keys of registers that store the evacuation state of a zone.
	EvacuationKeyPrefix   = "zone/"
	acknowledgedKeyPrefix = "heard/"
)

// EvacuationKey returns the key of the register that stores the evacuation state of a zone.
func EvacuationKey(zone string) string { return EvacuationKeyPrefix + zone }

// AcknowledgedKey returns the key of the register that stores the highest acknowledged version of the zone's evacuation
// register: the order that set it is known to have been acknowledged to the operator.
func AcknowledgedKey(zone string) string { return acknowledgedKeyPrefix + zone }

// EvacuationState is the evacuation state of a zone: the number of evacuation orders in force, and whether the last
// order withdrew one.
type EvacuationState struct {
	orders        int
	lastWithdrawn bool
}

// maxEvacuationOrders bounds the number of evacuation orders in force for one zone.
const maxEvacuationOrders = 1000

// Words in the body of an evacuation register, see ReadEvacuation.
const (
	wordOff       = "off"
	wordOn        = "on"
	wordWithdrawn = "back"
)

// ReadEvacuation parses the body of an evacuation register: "off", "on", "on N" with the number of orders in force, or
// "on N back" if the last order withdrew one. The previous version of the software supports only the first two forms.
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

// encode is the inverse of ReadEvacuation. It uses a form that the previous version of the software supports if there
// is one.
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

// SetEvacuation returns the update that orders the evacuation of a zone, or withdraws one such order. Orders are
// counted: a zone is evacuated until as many orders are withdrawn as were given.
//
// An order has neither a name nor a body, so an order that an operator resends because the response was lost looks the
// same as a new one. It is treated as resent, and has no effect, if the last order was of the same kind and is not
// known to be acknowledged. acknowledged is the version up to which orders are known to be acknowledged, see
// AcknowledgedKey.
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

// accepts reports whether the number of orders can be increased or, for a withdrawal, decreased.
func (s EvacuationState) accepts(evacuate bool) bool {
	if evacuate {
		return s.orders < maxEvacuationOrders
	}
	return s.orders > 0
}

// evacuationOrder is the entry for the last order in the annotation of an evacuation register, which records when that
// order was given.
const evacuationOrder = "word"

// SetEvacuationOnce is SetEvacuation for an order given at the time now. An order can be a resent one only within the
// window after the last order; later, the last order counts as acknowledged.
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

// EvacuationBase is what an order on a zone is based on: the zone's registers as they were when the order was received.
type EvacuationBase struct {
	Version      uint64 // of the evacuation register
	Acknowledged uint64 // see ReadAcknowledged
}

// SetEvacuationFrom is SetEvacuationOnce for an order with the given base. It has no effect if another order has changed
// the register since: that order may have been given after this one, of which another copy was acknowledged, and must not
// be undone. EvacuationOvertaken tells this from an effect.
func SetEvacuationFrom(base EvacuationBase, evacuate bool, now time.Time, window time.Duration) quorum.UpdateFunc {
	update := SetEvacuationOnce(evacuate, base.Acknowledged, now, window)
	return func(current quorum.Value) quorum.Value {
		if current.Version != base.Version {
			return current
		}
		return update(current)
	}
}

// EvacuationOvertaken reports whether other orders have changed the register between the base of an order and the chosen
// value. A value that follows the base and is of the order's kind is the effect of the order, or of a copy of it.
func EvacuationOvertaken(base EvacuationBase, evacuate bool, chosen quorum.Value) bool {
	switch chosen.Version {
	case base.Version:
		return false
	case base.Version + 1:
		return ReadEvacuation(chosen.Body).lastWithdrawn == evacuate
	}
	return true
}

// Acknowledge returns the update of the register of AcknowledgedKey that records a version of the evacuation register
// as acknowledged. A lower version has no effect.
func Acknowledge(version uint64) quorum.UpdateFunc {
	return func(current quorum.Value) quorum.Value {
		if ReadAcknowledged(current) >= version {
			return current
		}
		return quorum.Value{Version: current.Version + 1, Body: strconv.FormatUint(version, 10)}
	}
}

// ReadAcknowledged decodes the register of AcknowledgedKey. It returns 0 for an empty register.
func ReadAcknowledged(value quorum.Value) uint64 {
	version, _ := strconv.ParseUint(value.Body, 10, 64) // an empty register means version 0
	return version
}
