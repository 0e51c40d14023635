package dedup

import (
	"slices"
	"time"

	"github.com/mailru/easyjson"

	"sagelever/internal/control/quorum"
)

// MaxClockSkew is by how much the times of day of two agents may differ. One that differs by more may take an order that is sent
// again for a new one; nothing else depends on it.
const MaxClockSkew = 10 * time.Second

// ResendWindow is for how long an order that has no version may be the same order again: for as long as it may be resent, and
// for what the clocks of the agents that take it may differ.
func ResendWindow(confirmTimeout time.Duration) time.Duration { return confirmTimeout + MaxClockSkew }

// MaxAppliedOrders bounds the orders that a register remembers beyond the one that it holds.
const MaxAppliedOrders = 16

// AppliedOrder is an order that was taken.
type AppliedOrder struct {
	Order     string `json:"o"`
	AppliedMs int64  `json:"t"` // Unix milliseconds at the agent that took it
}

// AppliedOrders is the note of a register that orders without versions change: the ones taken lately, the newest last.
//
//easyjson:json
type AppliedOrders struct {
	Orders []AppliedOrder `json:"l"`
}

func ReadAppliedOrders(current quorum.Value) AppliedOrders {
	applied := AppliedOrders{}
	if current.Annotation == "" || easyjson.Unmarshal([]byte(current.Annotation), &applied) != nil {
		return AppliedOrders{}
	}
	return applied
}

// Contains tells whether an order was taken within a term before now, by clocks that may differ both ways.
func (l AppliedOrders) Contains(order string, now time.Time, window time.Duration) bool {
	return slices.ContainsFunc(l.Orders, func(t AppliedOrder) bool {
		return t.Order == order && withinWindow(t, now, window)
	})
}

// With adds an order; those beyond the term and those that are too many are forgotten.
func (l AppliedOrders) With(order string, now time.Time, window time.Duration) AppliedOrders {
	kept := slices.DeleteFunc(slices.Clone(l.Orders), func(t AppliedOrder) bool {
		return t.Order == order || !withinWindow(t, now, window)
	})
	kept = append(kept, AppliedOrder{order, now.UnixMilli()})
	return AppliedOrders{kept[max(0, len(kept)-MaxAppliedOrders):]}
}

func withinWindow(applied AppliedOrder, now time.Time, window time.Duration) bool {
	age := now.Sub(time.UnixMilli(applied.AppliedMs))
	return age < window && age > -window
}

func (l AppliedOrders) Encode() string {
	data, _ := easyjson.Marshal(l) // texts and whole numbers only: it cannot fail
	return string(data)
}

// ApplyOnce makes a change that an order without a version asks for, unless the same order was taken within the term: then it is
// the same order again, and changes nothing, whatever came after it.
func ApplyOnce(order string, now time.Time, window time.Duration, change quorum.UpdateFunc) quorum.UpdateFunc {
	return func(current quorum.Value) quorum.Value {
		applied := ReadAppliedOrders(current)
		if applied.Contains(order, now, window) {
			return current
		}
		next := change(current)
		if next == current {
			return current
		}
		next.Annotation = applied.With(order, now, window).Encode()
		return next
	}
}
