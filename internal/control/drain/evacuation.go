package drain

import (
	"strconv"
	"strings"
	"time"

	"sagelever/internal/control/dedup"
	"sagelever/internal/control/quorum"
)

const (
	EvacuationKeyPrefix   = "zone/"
	acknowledgedKeyPrefix = "heard/"
)

// EvacuationKey is the register that says whether a zone is cleared out.
func EvacuationKey(zone string) string { return EvacuationKeyPrefix + zone }

// AcknowledgedKey is the register of the last version of a zone's register whose order is known to have had its answer.
func AcknowledgedKey(zone string) string { return acknowledgedKeyPrefix + zone }

// EvacuationState is a zone's register, read: orders that stand, and whether the last word withdrew one.
type EvacuationState struct {
	Orders        int
	lastWithdrawn bool
}

// maxEvacuationOrders bounds the orders that are counted for one zone.
const maxEvacuationOrders = 1000

// ReadEvacuation reads "off", "on", "on 2" or "on 1 back". The version before knows the first two, and writes them.
func ReadEvacuation(body string) EvacuationState {
	words := strings.Fields(body)
	if len(words) == 0 || words[0] != "on" {
		return EvacuationState{lastWithdrawn: true}
	}
	c := EvacuationState{Orders: 1, lastWithdrawn: len(words) > 2}
	if len(words) > 1 {
		if n, err := strconv.Atoi(words[1]); err == nil && n > 0 {
			c.Orders = n
		}
	}
	return c
}

func (c EvacuationState) encode() string {
	switch {
	case c.Orders == 0:
		return "off"
	case c.lastWithdrawn:
		return "on " + strconv.Itoa(c.Orders) + " back"
	case c.Orders == 1:
		return "on"
	}
	return "on " + strconv.Itoa(c.Orders)
}

// SetEvacuation orders a zone to be cleared out, or withdraws one such order. Orders add up: two that overlap stand until both are
// withdrawn. An order has neither a name nor a body, so that one which is sent again as its answer was lost looks like
// another; it is taken for the same while the last word was the same, and is not known to have had its answer: heard is the
// version up to which that is known.
func SetEvacuation(evacuate bool, acknowledged uint64) quorum.UpdateFunc {
	return func(current quorum.Value) quorum.Value {
		state := ReadEvacuation(current.Body)
		switch {
		case current.Version == 0 && !evacuate:
			return quorum.Value{Version: 1, Body: "off"}
		case state.Orders == 0 && !evacuate, state.Orders >= maxEvacuationOrders && evacuate:
			return current
		case current.Version > 0 && state.lastWithdrawn == !evacuate && acknowledged != current.Version:
			return current
		}
		if evacuate {
			state.Orders++
		} else {
			state.Orders--
		}
		state.lastWithdrawn = !evacuate
		return quorum.Value{Version: current.Version + 1, Body: state.encode()}
	}
}

// evacuationOrder is the note of a zone's register: when its last word was given.
const evacuationOrder = "word"

// SetEvacuationOnce is Clear for a word that was given at some time. A word can be the same one again only within the term: after it
// the last one counts as heard.
func SetEvacuationOnce(evacuate bool, acknowledged uint64, now time.Time, window time.Duration) quorum.UpdateFunc {
	return func(current quorum.Value) quorum.Value {
		applied := dedup.ReadAppliedOrders(current)
		if len(applied.Orders) > 0 && !applied.Contains(evacuationOrder, now, window) {
			acknowledged = current.Version
		}
		next := SetEvacuation(evacuate, acknowledged)(current)
		if next.Version != current.Version {
			next.Annotation = dedup.AppliedOrders{}.With(evacuationOrder, now, window).Encode()
		}
		return next
	}
}

// Acknowledge notes that the order which brought a version of a zone's register has had its answer.
func Acknowledge(version uint64) quorum.UpdateFunc {
	return func(current quorum.Value) quorum.Value {
		if ReadAcknowledged(current) >= version {
			return current
		}
		return quorum.Value{Version: current.Version + 1, Body: strconv.FormatUint(version, 10)}
	}
}

// ReadAcknowledged reads the register of AcknowledgedKey.
func ReadAcknowledged(v quorum.Value) uint64 {
	version, _ := strconv.ParseUint(v.Body, 10, 64) // none is 0
	return version
}
