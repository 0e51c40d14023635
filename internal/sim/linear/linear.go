// Package linear checks that a history of orders and reads on items is linearizable: that each order and each read can be
// given one moment between its call and its answer, so that all of them one after the other, in the order of these moments,
// are what a single register with versions would have done.
//
// It is the search of Wing and Gong with Lowe's memory of what was tried: which operations have their place, and what the
// register then holds. Items are independent of one another and are checked one by one. The check is pure, and bounded by
// the number of configurations that it looks at.
package linear

import (
	"fmt"
	"time"

	"github.com/go-faster/errors"
)

// Kind tells an order from a read.
type Kind int

// The kinds of operations.
const (
	Write Kind = iota
	Read
)

// Outcome is how an operation was answered.
type Outcome int

const (
	// Confirmed is a 2xx: the order took effect, or a higher version prevails, or its own content stands already. A read
	// that was answered is confirmed too.
	Confirmed Outcome = iota
	// Refused is a 409: another content stands under the order's version.
	Refused
	// Unknown is no clear answer: the order may take effect at any moment after its call, or never. A read without an
	// answer tells nothing.
	Unknown
)

// Value is what a register holds. The zero value is that of an item that never was.
type Value struct {
	Version uint64
	Content string
	Gone    bool // the item was dropped under this version
}

func (v Value) String() string {
	switch {
	case v.Version == 0:
		return "nothing"
	case v.Gone:
		return fmt.Sprintf("version %d, dropped", v.Version)
	}
	return fmt.Sprintf("version %d with %q", v.Version, v.Content)
}

// Operation is an order or a read of one item. Moments are those of one clock.
type Operation struct {
	Name    string // for explanations: who called
	Item    string
	Kind    Kind
	Value   Value // what an order sends or a read tells; a read of the zero value: no such item, never there or dropped
	Outcome Outcome
	Begin   time.Duration // when it was called
	End     time.Duration // when it was answered; without a meaning where the outcome is unknown
}

func (o Operation) String() string {
	text := o.Name + " "
	switch {
	case o.Kind == Read:
		text += "reads " + o.Value.String()
	case o.Outcome == Confirmed:
		text += "orders " + o.Value.String() + ", confirmed"
	case o.Outcome == Refused:
		text += "orders " + o.Value.String() + ", refused"
	default:
		return fmt.Sprintf("%sorders %s, no clear answer (from %v)", text, o.Value, o.Begin)
	}
	return fmt.Sprintf("%s (%v to %v)", text, o.Begin, o.End)
}

// ErrHistory is a history that can't be one: an answer before its call, or an order without a version.
var ErrHistory = errors.New("not a history")

func (o Operation) validate() error {
	switch {
	case o.Outcome != Unknown && o.End < o.Begin:
		return errors.Wrapf(ErrHistory, "%s: answered before it was called", o)
	case o.Kind == Write && o.Value.Version == 0:
		return errors.Wrapf(ErrHistory, "%s: no version", o)
	case o.Kind == Read && o.Outcome == Refused:
		return errors.Wrapf(ErrHistory, "%s: a read is not refused", o)
	}
	return nil
}

// effect is what an operation does at one moment.
type effect int

const (
	illegal effect = iota // its answer does not fit this moment
	idle                  // it fits, and leaves the register as it is
	changes               // it fits, and its value is held from then on
)

// at tells what an operation does where a value is held.
func (o *Operation) at(held Value) effect {
	if o.Kind == Read {
		if o.Value == held || o.Value == (Value{}) && held.Gone {
			return idle
		}
		return illegal
	}
	conflict := o.Value.Version == held.Version && o.Value != held
	switch {
	case o.Outcome == Refused:
		if conflict {
			return idle
		}
		return illegal
	case o.Value.Version > held.Version:
		return changes
	case conflict && o.Outcome == Confirmed:
		return illegal
	}
	return idle
}

// never tells whether an operation fits no moment any more: what is held only goes on to higher versions.
func (o *Operation) never(held Value) bool {
	switch {
	case o.Kind == Read && o.Value == (Value{}):
		return false // the item may be dropped yet
	case o.Kind == Read || o.Outcome == Refused:
		return o.Value.Version < held.Version || o.Value.Version == held.Version && o.at(held) == illegal
	}
	return false
}
