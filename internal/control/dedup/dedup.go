// Package dedup detects repeated orders. An order is a change that an operator requests, and resends if there is no
// answer. Orders without a version are detected as repeated by the orders that were recently applied to a register,
// which are stored in the annotation of its value.
//
// The package does no I/O; the caller passes in the time.
package dedup

import (
	"slices"
	"time"

	"github.com/mailru/easyjson"

	"sagelever/internal/control/quorum"
)

//go:generate go tool easyjson $GOFILE

// MaxClockSkew is the largest supported difference between the clocks of two controllers. If it is exceeded, a
// controller may apply a repeated order as a new one; nothing else depends on it.
const MaxClockSkew = 10 * time.Second

// ResendWindow returns how long after an order without a version an equal one counts as its repetition: the time for
// which the protocol allows an operator to resend the order, plus the clock skew of the controllers that receive it.
func ResendWindow(confirmTimeout time.Duration) time.Duration { return confirmTimeout + MaxClockSkew }

// MaxAppliedOrders is the number of orders that a register keeps. Beyond it, the oldest order is removed.
const MaxAppliedOrders = 16

// AppliedOrder is an order that was applied to a register.
type AppliedOrder struct {
	Order     string `json:"o"`
	AppliedMs int64  `json:"t"` // Unix milliseconds, by the clock of the controller that applied it
}

// AppliedOrders is the annotation of a register: the orders that were recently applied to it, the newest last.
//
//easyjson:json
type AppliedOrders struct {
	Orders []AppliedOrder `json:"l"`
}

// ReadAppliedOrders decodes the annotation of a register's current value. It returns no orders if the annotation is
// empty or invalid.
func ReadAppliedOrders(current quorum.Value) AppliedOrders {
	applied := AppliedOrders{}
	if current.Annotation == "" || easyjson.Unmarshal([]byte(current.Annotation), &applied) != nil {
		return AppliedOrders{}
	}
	return applied
}

// Contains reports whether an order was applied less than window before or after now. The time can be after now because
// the clock of the controller that applied the order may be ahead.
func (a AppliedOrders) Contains(order string, now time.Time, window time.Duration) bool {
	return slices.ContainsFunc(a.Orders, func(applied AppliedOrder) bool {
		return applied.Order == order && applied.within(now, window)
	})
}

// With returns the orders with one more that is applied now. It leaves out orders outside the window and the oldest
// orders beyond MaxAppliedOrders.
func (a AppliedOrders) With(order string, now time.Time, window time.Duration) AppliedOrders {
	kept := slices.DeleteFunc(slices.Clone(a.Orders), func(applied AppliedOrder) bool {
		return applied.Order == order || !applied.within(now, window)
	})
	kept = append(kept, AppliedOrder{Order: order, AppliedMs: now.UnixMilli()})
	excess := max(0, len(kept)-MaxAppliedOrders)
	return AppliedOrders{Orders: kept[excess:]}
}

func (a AppliedOrder) within(now time.Time, window time.Duration) bool {
	age := now.Sub(time.UnixMilli(a.AppliedMs))
	return age < window && age > -window
}

// Encode returns the orders as an annotation.
func (a AppliedOrders) Encode() string {
	data, _ := easyjson.Marshal(a) // cannot fail: the fields are strings and integers
	return string(data)
}

// ApplyOnce wraps the update of an order without a version. If the same order was applied within the window, the
// returned update treats the order as a repetition and changes nothing, regardless of the orders applied since.
func ApplyOnce(order string, now time.Time, window time.Duration, update quorum.UpdateFunc) quorum.UpdateFunc {
	return func(current quorum.Value) quorum.Value {
		applied := ReadAppliedOrders(current)
		if applied.Contains(order, now, window) {
			return current
		}
		next := update(current)
		if next == current {
			return current
		}
		next.Annotation = applied.With(order, now, window).Encode()
		return next
	}
}
