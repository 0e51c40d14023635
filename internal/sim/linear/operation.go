// Package linear checks histories of conditional writes and reads for linearizability (Herlihy and Wing 1990). A
// history is linearizable if each operation can be assigned a point in time between its call and its return such that a
// single versioned register that executes the operations in this order gives the same replies.
//
// The check is the search of Wing and Gong (1993) with the memoization of Lowe ("Testing for linearizability", 2017):
// each configuration, which is the set of linearized operations together with the resulting register value, is visited
// at most once. Items are independent and are checked one by one. The check has no side effects, and the number of
// configurations that it visits is limited.
package linear

import (
	"fmt"
	"time"

	"github.com/go-faster/errors"
)

// Kind is the kind of an operation.
type Kind int

// The kinds of operations.
const (
	Write Kind = iota
	Read
)

// Outcome is the result that an operation returned to its client.
type Outcome int

const (
	// Acknowledged is a 2xx: the write took effect, or the register already has a higher version or the same content. A
	// read that returned is acknowledged too.
	Acknowledged Outcome = iota
	// Rejected is a 409: the register has another content under the version of the write.
	Rejected
	// Unknown is any other outcome: the write may take effect at any time after its call, or never. Reads with this
	// outcome are ignored.
	Unknown
)

// Value is the content of a register. The zero value is that of an item that has never been written.
type Value struct {
	Version uint64
	Content string
	Deleted bool // the item was deleted under this version
}

func (v Value) String() string {
	switch {
	case v.Version == 0:
		return "nothing"
	case v.Deleted:
		return fmt.Sprintf("version %d, deleted", v.Version)
	}
	return fmt.Sprintf("version %d with %q", v.Version, v.Content)
}

// Operation is a write or a read of one item. All times are from the same clock.
type Operation struct {
	Client string // identifies the operation in reports
	Item   string
	Kind   Kind
	// Value is what a write sends or a read returns. A read that finds no item, because it was never written or has been
	// deleted, has the zero value.
	Value   Value
	Outcome Outcome
	Call    time.Duration
	Return  time.Duration // ignored if the outcome is unknown
}

func (o Operation) String() string {
	text := o.Client + " "
	switch {
	case o.Kind == Read:
		text += "reads " + o.Value.String()
	case o.Outcome == Acknowledged:
		text += "writes " + o.Value.String() + ", acknowledged"
	case o.Outcome == Rejected:
		text += "writes " + o.Value.String() + ", rejected"
	default:
		return fmt.Sprintf("%swrites %s, outcome unknown (from %v)", text, o.Value, o.Call)
	}
	return fmt.Sprintf("%s (%v to %v)", text, o.Call, o.Return)
}

// ErrInvalidHistory is returned for a history that cannot occur: an operation that returns before its call, a write
// without a version or a rejected read.
var ErrInvalidHistory = errors.New("invalid history")

func (o Operation) validate() error {
	switch {
	case o.Outcome != Unknown && o.Return < o.Call:
		return errors.Wrapf(ErrInvalidHistory, "%s: returned before its call", o)
	case o.Kind == Write && o.Value.Version == 0:
		return errors.Wrapf(ErrInvalidHistory, "%s: write without a version", o)
	case o.Kind == Read && o.Outcome == Rejected:
		return errors.Wrapf(ErrInvalidHistory, "%s: rejected read", o)
	}
	return nil
}

// effect is the result of executing an operation on a register with a given value.
type effect int

const (
	notAllowed   effect = iota // the register would have given another reply
	noEffect                   // the reply is consistent, and the register is unchanged
	setsRegister               // the reply is consistent, and the register takes the value of the operation
)

// effectOn returns the effect of the operation on a register with the given value.
func (o *Operation) effectOn(register Value) effect {
	if o.Kind == Read {
		return o.effectOfRead(register)
	}
	conflict := o.Value.Version == register.Version && o.Value != register
	switch {
	case o.Outcome == Rejected && conflict:
		return noEffect
	case o.Outcome == Rejected:
		return notAllowed
	case o.Value.Version > register.Version:
		return setsRegister
	case conflict && o.Outcome == Acknowledged:
		return notAllowed
	}
	return noEffect
}

func (o *Operation) effectOfRead(register Value) effect {
	foundNothing := o.Value == Value{}
	if o.Value == register || foundNothing && register.Deleted {
		return noEffect
	}
	return notAllowed
}

// isImpossibleAfter reports whether the operation can no longer be linearized once the register has the given value.
// The version of a register never decreases.
func (o *Operation) isImpossibleAfter(register Value) bool {
	switch {
	case o.Kind == Write && o.Outcome != Rejected:
		return false
	case o.Kind == Read && o.Value == Value{}:
		return false // the item may still be deleted
	case o.Value.Version < register.Version:
		return true
	}
	return o.Value.Version == register.Version && o.effectOn(register) == notAllowed
}
