// Package dedup recognizes operators' orders that carry no version when they are resent. Each register remembers, in
// the annotation of its value, which orders were applied to it lately. The clock is handed in; there is no I/O.
package dedup

import (
	"slices"
	"time"

	"github.com/mailru/easyjson"

	"sagelever/internal/control/quorum"
)

//go:generate go tool easyjson $GOFILE

// MaxClockSkew is by how much the clocks of two controllers may differ. Beyond it a controller may take an order that
// is resent for a new one; nothing else depends on it.
const MaxClockSkew = 10 * time.Second

// ResendWindow returns for how long an order without a version may be a copy of an earlier one: for as long as the
// protocol allows an operator to resend it, and for the skew of the clocks of the controllers that receive it.
func ResendWindow(confirmTimeout time.Duration) time.Duration { return confirmTimeout + MaxClockSkew }

// MaxAppliedOrders bounds the orders that a register remembers. Beyond it the oldest is forgotten.
const MaxAppliedOrders = 16

// AppliedOrder is an order that was applied to a register.
type AppliedOrder struct {
	Order     string `json:"o"`
	AppliedMs int64  `json:"t"` // Unix milliseconds, by the clock of the controller that applied it
}

// AppliedOrders is the annotation of a register: the orders applied to it lately, the newest last.
//
//easyjson:json
type AppliedOrders struct {
	Orders []AppliedOrder `json:"l"`
}

// ReadAppliedOrders reads the annotation of a register's current value. If there is none, or none that can be read,
// there are no orders.
func ReadAppliedOrders(current quorum.Value) AppliedOrders {
	applied := AppliedOrders{}
	if current.Annotation == "" || easyjson.Unmarshal([]byte(current.Annotation), &applied) != nil {
		return AppliedOrders{}
	}
	return applied
}

// Contains reports whether an order was applied within a window around now. The window extends to both sides, as the
// controller that applied the order may have a clock that is ahead.
func (a AppliedOrders) Contains(order string, now time.Time, window time.Duration) bool {
	return slices.ContainsFunc(a.Orders, func(applied AppliedOrder) bool {
		return applied.Order == order && applied.within(now, window)
	})
}

// With returns the orders with one more that is applied now, without those outside the window and without the oldest
// beyond MaxAppliedOrders.
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
	data, _ := easyjson.Marshal(a) // strings and integers always encode
	return string(data)
}

// ApplyOnce returns the update that an order without a version asks for, unless the same order was applied within the
// window: then it is taken for a copy and changes nothing, whatever was applied since.
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
