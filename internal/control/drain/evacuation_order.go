package drain

import (
	"slices"
	"time"

	"sagelever/internal/control/quorum"
)

// EvacuationOrder is an order on a zone as a controller has received it.
type EvacuationOrder struct {
	OrderIdentity
	Withdrawal bool // the order withdraws an evacuation
	ReceivedAt time.Time
	// Controller is the node that received the order. It is empty if the caller has not sent the identity itself.
	Controller string
	// Window is how long after an order without a controller another one can be a copy of it.
	Window time.Duration
	// Previous is the last order of the kind on the zone, as the controller knew it when the caller asked for the identity.
	Previous KnownOrder
	// RoundTripTime is the time of a trip to the most distant controller and back.
	RoundTripTime time.Duration
	// Acknowledged is the value of the register of AcknowledgedKey (ReadAcknowledged).
	Acknowledged uint64
}

// KnownOrder is an order that a controller knows from the register, and the time since it first saw it there.
type KnownOrder struct {
	ID  string
	Age time.Duration
}

// OrderSequence returns the number of the last order on a zone.
func OrderSequence(evacuation quorum.Value, acknowledged uint64) uint64 {
	return readOrderLog(evacuation, acknowledged).Sequence
}

// LastOrderIDs returns the IDs of the last evacuation order of a zone and of the last withdrawal. They are empty if there is
// none.
func LastOrderIDs(evacuation quorum.Value) (begun, withdrawn string) {
	log := readOrderLog(evacuation, 0)
	return log.lastID(false), log.lastID(true)
}

// SetEvacuation returns the update of a zone's evacuation register by an order. Orders are counted: a zone is evacuated until
// as many orders are withdrawn as were given. A copy that has the identity of an earlier one has no effect, and one that may
// repeat an order under another identity is kept until that is decided (DoubtfulOrders).
//
// The update has no effect if other orders have changed the register since the identity was given: they may have been given
// after this one, of which another copy was acknowledged, and must not be undone. EvacuationOvertaken reports this.
func SetEvacuation(order EvacuationOrder) quorum.UpdateFunc {
	return func(current quorum.Value) quorum.Value {
		log := readOrderLog(current, order.Acknowledged)
		if log.contains(order.ID) {
			return current
		}
		last := log.last()
		isLast := last != nil && last.Withdrawal == order.Withdrawal
		concurrent := log.Sequence == order.Base+1 && isLast
		if log.Sequence != order.Base && !concurrent {
			return current
		}
		if !order.Withdrawal && log.ordersInForce(true) >= maxEvacuationOrders {
			return current
		}
		if noted := log.find(order.ID); noted != nil { // the caller has got its identity after all
			noted.Unidentified, noted.Receipt = false, receiptUnknown
			return log.write(current, false)
		}
		repeats := concurrent || log.mayRepeat(order)
		if repeats && isLast {
			log.join(order.Withdrawal, log.arrivalOf(order, true))
			return log.write(current, false)
		}
		log.open(order, repeats)
		return log.write(current, true)
	}
}

// NoteUnanswered returns the update of a zone's evacuation register that notes an order whose caller has not got the identity
// that it was given. Such an order has no effect, but if it may repeat an earlier one, its own repetition repeats that one.
func NoteUnanswered(order EvacuationOrder) quorum.UpdateFunc {
	return func(current quorum.Value) quorum.Value {
		log := readOrderLog(current, order.Acknowledged)
		if log.Sequence != order.Base || log.find(order.ID) != nil || !log.mayRepeat(order) {
			return current
		}
		noted := log.arrivalOf(order, true)
		noted.Unidentified, noted.Receipt = true, answerLost
		log.join(order.Withdrawal, noted)
		return log.write(current, false)
	}
}

// EvacuationOvertaken reports whether an order had no effect on the chosen value of a zone's register because other orders
// have changed the register since the identity was given.
func EvacuationOvertaken(order EvacuationOrder, chosen quorum.Value) bool {
	log := readOrderLog(chosen, order.Acknowledged)
	return !log.contains(order.ID) && log.Sequence != order.Base
}

// doubtMargin is the time by which the second of two withdrawals may come later after the first than the second evacuation
// came after the first.
const doubtMargin = time.Second

// DoubtfulOrder is an order of which it is not known whether a later one has repeated it. It is decided (DecideDoubt) once it
// has been in doubt for the time Wait.
type DoubtfulOrder struct {
	ID   string
	Wait time.Duration
}

// DoubtfulOrders returns the orders on a zone that are in doubt and are to be decided. An evacuation in doubt counts, and is
// decided once a withdrawal has followed: two evacuations of equal length end as far apart as they begin, so the second
// withdrawal follows within that time if they are two orders. A withdrawal in doubt does not count; window is the time within
// which another one is expected if it was repeated.
func DoubtfulOrders(evacuation quorum.Value, window time.Duration) (orders []DoubtfulOrder) {
	log := readOrderLog(evacuation, 0)
	lastWithdrawal := log.lastOf(true)
	evacuationWait := log.repeatTime() + doubtMargin
	for i, group := range log.Groups {
		if !group.Withdrawal && i > lastWithdrawal {
			continue
		}
		wait := evacuationWait
		if group.Withdrawal {
			wait = window
		}
		for _, arrival := range log.doubtful(i) {
			orders = append(orders, DoubtfulOrder{arrival.ID, wait})
		}
	}
	return orders
}

// DecideDoubt returns the update of an evacuation register that decides about orders in doubt: evacuations have been repeated
// by a later one, and withdrawals have not. So a doubt delays the end of an evacuation, and does not prevent it.
func DecideDoubt(ids []string) quorum.UpdateFunc {
	return func(current quorum.Value) quorum.Value {
		log := readOrderLog(current, 0)
		decided := false
		for i := range log.Groups {
			isSelected := func(a *arrival) bool { return slices.Contains(ids, a.ID) }
			if slices.ContainsFunc(log.doubtful(i), isSelected) {
				log.decide(i)
				decided = true
			}
		}
		if !decided {
			return current
		}
		return log.write(current, false)
	}
}
