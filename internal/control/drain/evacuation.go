package drain

import (
	"strconv"
	"strings"

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
// register: the answer to the order that set it is known to have been received. Builds without an order log need it.
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
