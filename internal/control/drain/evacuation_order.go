package drain

import (
	"slices"
	"time"

	"sagelever/internal/control/quorum"
)

// EvacuationArrival is a copy of an order on a zone as a controller has received it.
type EvacuationArrival struct {
	ID         string // unique among the arrivals of all controllers
	Withdrawal bool   // the order withdraws an evacuation
	ReceivedAt time.Time
	// Window is how long after an order another one can be a copy of it.
	Window time.Duration
}

// EvacuationBase is what an order on a zone is based on: the zone's registers as they were when the order was received.
type EvacuationBase struct {
	Sequence     uint64 // number of the last order
	Acknowledged uint64 // see ReadAcknowledged
}

// ReadEvacuationBase returns the base that the values of EvacuationKey and AcknowledgedKey are.
func ReadEvacuationBase(evacuation, acknowledged quorum.Value) EvacuationBase {
	base := EvacuationBase{Acknowledged: ReadAcknowledged(acknowledged)}
	base.Sequence = readOrderLog(evacuation, base.Acknowledged).Sequence
	return base
}

// SetEvacuation returns the update of a zone's evacuation register by an order with the given base. Orders are counted: a
// zone is evacuated until as many orders are withdrawn as were given.
//
// The update has no effect if other orders have changed the register since the base was read: they may have been given
// after this one, of which another copy was acknowledged, and must not be undone. EvacuationOvertaken reports this.
func SetEvacuation(base EvacuationBase, order EvacuationArrival) quorum.UpdateFunc {
	return func(current quorum.Value) quorum.Value {
		log := readOrderLog(current, base.Acknowledged)
		if group, _ := log.find(order.ID); group != nil {
			return current // an earlier attempt had an effect
		}
		copied := log.Sequence == base.Sequence+1 && log.last() != nil && log.last().Withdrawal == order.Withdrawal
		if log.Sequence != base.Sequence && !copied {
			return current
		}
		if copied || log.mayRepeat(order) {
			log.join(order.ID)
			return log.write(current, false)
		}
		if !log.accepts(order.Withdrawal) {
			return refuseEvacuation(current)
		}
		log.open(order)
		return log.write(current, true)
	}
}

// accepts reports whether an order can have an effect: there is something to withdraw, or not too much in force.
func (l orderLog) accepts(withdrawal bool) bool {
	if withdrawal {
		return l.ordersInForce(true) > 0
	}
	return l.ordersInForce(true) < maxEvacuationOrders
}

// refuseEvacuation returns the value of a register after an order that has no effect: a value that was written.
func refuseEvacuation(current quorum.Value) quorum.Value {
	if current.Version == 0 {
		return quorum.Value{Version: 1, Body: wordOff}
	}
	return current
}

// EvacuationOvertaken reports whether other orders have changed the register between the base of an order and the chosen
// value. A value that follows the base and is of the order's kind is the effect of the order, or of a copy of it.
func EvacuationOvertaken(base EvacuationBase, withdrawal bool, chosen quorum.Value) bool {
	log := readOrderLog(chosen, base.Acknowledged)
	switch log.Sequence {
	case base.Sequence:
		return false
	case base.Sequence + 1:
		return log.last().Withdrawal != withdrawal
	}
	return true
}

// RecordReceipt returns the update of an evacuation register that records whether the caller of an order has received
// the answer to an arrival.
func RecordReceipt(id string, received bool) quorum.UpdateFunc {
	return func(current quorum.Value) quorum.Value {
		log := readOrderLog(current, 0)
		if !log.setReceipt(id, received) {
			return current
		}
		return log.write(current, false)
	}
}

// AssumeReceipts returns the update of an evacuation register that decides without evidence whether answers were
// received. It is for arrivals whose controllers have recorded nothing for so long that they never will.
func AssumeReceipts(ids []string) quorum.UpdateFunc {
	return func(current quorum.Value) quorum.Value {
		log := readOrderLog(current, 0)
		if !slices.ContainsFunc(UnknownReceipts(current), func(id string) bool { return slices.Contains(ids, id) }) {
			return current
		}
		for i := range log.Groups {
			log.Groups[i] = log.Groups[i].assume(func(id string) bool { return slices.Contains(ids, id) })
		}
		return log.write(current, false)
	}
}

// UnknownReceipts returns the IDs of the arrivals whose receipts are pending.
func UnknownReceipts(evacuation quorum.Value) (ids []string) {
	for _, group := range readOrderLog(evacuation, 0).Groups {
		for _, arrival := range group.Arrivals {
			if arrival.Receipt == receiptUnknown {
				ids = append(ids, arrival.ID)
			}
		}
	}
	return ids
}

// RepeatedSince reports whether a copy of an order may have arrived since an earlier value of the register: an arrival of
// the group of the given one that the earlier value doesn't have.
func RepeatedSince(earlier, current quorum.Value, id string) bool {
	group, _ := readOrderLog(current, 0).find(id)
	if group == nil {
		return false
	}
	known := readOrderLog(earlier, 0)
	return slices.ContainsFunc(group.Arrivals, func(a arrival) bool {
		knownGroup, _ := known.find(a.ID)
		return knownGroup == nil
	})
}

// EarlierCopies returns the number of arrivals before the given one that may be copies of the same order.
func EarlierCopies(evacuation quorum.Value, id string) int {
	_, index := readOrderLog(evacuation, 0).find(id)
	return index
}

// LastOrderReceived reports whether an answer to the last order is recorded as received.
func LastOrderReceived(evacuation quorum.Value) bool {
	last := readOrderLog(evacuation, 0).last()
	return last != nil && last.count(answerReceived) > 0
}
