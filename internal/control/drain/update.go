package drain

import (
	"slices"
	"strings"
	"time"

	"sagelever/internal/control/dedup"
	"sagelever/internal/control/quorum"
)

// Add returns the update that adds a drain to the register of its zone. It has no effect if the drain is already
// listed. It also removes the drains of backends that have ended; if maxPerZone drains are left, it has no effect.
func Add(added Drain, ended func(id string) bool, now time.Time) quorum.UpdateFunc {
	return func(current quorum.Value) quorum.Value {
		drains := ReadList(current)
		if slices.ContainsFunc(drains, added.SameTarget) {
			return current
		}
		drains = slices.DeleteFunc(slices.Clone(drains), func(d Drain) bool { return d.ID != "" && ended(d.ID) })
		if len(drains) >= maxPerZone {
			return current
		}
		added.StartedMs = now.UnixMilli()
		return encodeList(current, append(drains, added))
	}
}

// Remove returns the update that removes a drain from the register of its zone. It has no effect if the drain is not
// listed.
func Remove(removed Drain) quorum.UpdateFunc {
	return func(current quorum.Value) quorum.Value {
		drains := ReadList(current)
		remaining := slices.DeleteFunc(slices.Clone(drains), removed.SameTarget)
		if len(remaining) == len(drains) {
			return current
		}
		return encodeList(current, remaining)
	}
}

// Prefixes of the orders recorded in the register of a zone. The target's name follows.
const (
	orderBegin = "begin "
	orderEnd   = "end "
)

// AddRecorded is like Add, for an order that is based on a value of the register and gives way to later orders, see
// Overtaken. It also records the order in the register, so that AddedRecently recognizes a resent order even if the backend
// has ended and its drain was removed.
func AddRecorded(
	base quorum.Value, zone string, added Drain, ended func(id string) bool, now time.Time, window time.Duration,
) quorum.UpdateFunc {
	target := added.TargetName(zone)
	return ifNotOvertaken(base, target, recordOrder(orderBegin+target, now, window, Add(added, ended, now)))
}

// RemoveRecorded is like Remove, for an order that is based on a value of the register and gives way to later orders, see
// Overtaken. It also records the order in the register, so that RemovedRecently recognizes a resent order.
func RemoveRecorded(
	base quorum.Value, zone string, removed Drain, now time.Time, window time.Duration,
) quorum.UpdateFunc {
	target := removed.TargetName(zone)
	return ifNotOvertaken(base, target, recordOrder(orderEnd+target, now, window, Remove(removed)))
}

// recordOrder returns an update that applies another one and records the order in the register if the register changes.
func recordOrder(order string, now time.Time, window time.Duration, update quorum.UpdateFunc) quorum.UpdateFunc {
	return func(current quorum.Value) quorum.Value {
		next := update(current)
		if next.Version != current.Version {
			next.Annotation = dedup.ReadAppliedOrders(current).With(order, now, window).Encode()
		}
		return next
	}
}

// AddedRecently reports whether AddRecorded added a drain with a target name within the window.
func AddedRecently(registers map[string]quorum.Value, name string, now time.Time, window time.Duration) bool {
	return orderRecorded(registers, orderBegin+name, now, window)
}

// RemovedRecently reports whether RemoveRecorded removed a drain with a target name within the window.
func RemovedRecently(registers map[string]quorum.Value, name string, now time.Time, window time.Duration) bool {
	return orderRecorded(registers, orderEnd+name, now, window)
}

func orderRecorded(registers map[string]quorum.Value, order string, now time.Time, window time.Duration) bool {
	for key, value := range registers {
		isList := strings.HasPrefix(key, ListKeyPrefix)
		if isList && dedup.ReadAppliedOrders(value).Contains(order, now, window) {
			return true
		}
	}
	return false
}
