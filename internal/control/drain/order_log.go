package drain

import (
	"slices"
	"time"

	"github.com/mailru/easyjson"

	"sagelever/internal/control/dedup"
	"sagelever/internal/control/quorum"
)

//go:generate go tool easyjson $GOFILE

// An order on a zone has neither a name nor a body, so that a retry, which an operator sends because it got no answer, looks
// like another order. They differ in that each order ends with exactly one answer that its caller receives. So the number of
// orders is the number of answers received. An arrival whose answer was lost is followed by a retry; until it arrives, the
// last group of each kind counts as an order.
//
// Whether an answer was received is determined afterwards (package delivery), so the log keeps the arrivals for which this
// is pending. Meanwhile they count in favour of the evacuation: an evacuation that may be a second order counts, and a
// withdrawal that may be a second one does not.

// receipt is the state of the answer to an arrival.
type receipt int

// Stored values; they must not change.
const (
	receiptUnknown receipt = iota
	answerReceived
	answerLost
)

// arrival is a copy of an order that a controller has carried out and answered.
type arrival struct {
	ID      string  `json:"i"` // unique; empty for an order that was recorded by a build without order logs
	Receipt receipt `json:"r,omitempty"`
}

// arrivalGroup contains arrivals that may be copies of one order: when each of them arrived, no answer to an earlier one was
// recorded as received.
type arrivalGroup struct {
	Withdrawal bool      `json:"w,omitempty"`
	OpenedMs   int64     `json:"t,omitempty"` // Unix milliseconds, by the clock of the controller; 0 if not known
	Arrivals   []arrival `json:"a"`
}

// orderLog is the annotation of an evacuation register: the last orders on the zone.
//
//easyjson:json
type orderLog struct {
	// Last is the time of the last group as builds without order logs read it, see dedup.AppliedOrders.
	Last []dedup.AppliedOrder `json:"l"`
	// Sequence increases with each group, and is at most the register's version.
	Sequence uint64 `json:"q,omitempty"`
	// Settled is the number of orders in force before the first group.
	Settled int            `json:"s,omitempty"`
	Groups  []arrivalGroup `json:"g,omitempty"`
}

// lastOrder is the entry for the last order in the annotation of an evacuation register.
const lastOrder = "word"

const (
	// maxArrivals bounds the arrivals in a log. Beyond it, the receipts of the oldest group are assumed.
	maxArrivals = 64

	// keptGroups is the number of groups that a log keeps after they are settled, as an assumption may have to be corrected.
	keptGroups = 4
)

// readOrderLog decodes the log of an evacuation register. acknowledged is the value of ReadAcknowledged, which applies if
// the value was written by a build without order logs.
func readOrderLog(current quorum.Value, acknowledged uint64) orderLog {
	var log orderLog
	if easyjson.Unmarshal([]byte(current.Annotation), &log) == nil && len(log.Groups) > 0 {
		return log
	}
	log = orderLog{Last: dedup.ReadAppliedOrders(current).Orders, Sequence: current.Version}
	if current.Version == 0 {
		return log
	}
	state := ReadEvacuation(current.Body)
	last := arrivalGroup{Withdrawal: state.lastWithdrawn, Arrivals: []arrival{{Receipt: answerLost}}}
	if acknowledged == current.Version {
		last.Arrivals[0].Receipt = answerReceived
	}
	if len(log.Last) > 0 {
		last.OpenedMs = log.Last[0].AppliedMs
	}
	log.Groups = []arrivalGroup{last}
	switch {
	case !state.lastWithdrawn:
		log.Settled = state.orders - 1
	case state.orders > 0:
		log.Settled = state.orders + 1
	}
	return log
}

// write returns the register's value with this log. A value with another body, or with another group than the current
// one, has a new version.
func (l orderLog) write(current quorum.Value, opensGroup bool) quorum.Value {
	l.compact()
	annotation, _ := easyjson.Marshal(l) // cannot fail: the fields are strings and integers
	next := quorum.Value{Version: current.Version, Body: l.state().encode(), Annotation: string(annotation)}
	if opensGroup || next.Body != current.Body {
		next.Version++
	}
	return next
}

// last returns the last group, or nil if the zone has had no order.
func (l orderLog) last() *arrivalGroup {
	if len(l.Groups) == 0 {
		return nil
	}
	return &l.Groups[len(l.Groups)-1]
}

// mayRepeat reports whether an arrival may be a copy of the last order: the last order is of the same kind, no answer to
// it is recorded as received, and it was given less than the window before or after the arrival.
func (l orderLog) mayRepeat(order EvacuationArrival) bool {
	last := l.last()
	return last != nil && last.Withdrawal == order.Withdrawal && last.count(answerReceived) == 0 && last.within(order)
}

// within reports whether an arrival may be a copy of one in the group, as far as times tell.
func (g arrivalGroup) within(order EvacuationArrival) bool {
	age := order.ReceivedAt.Sub(time.UnixMilli(g.OpenedMs))
	return g.OpenedMs == 0 || (age < order.Window && age > -order.Window)
}

// join adds an arrival to the last group. If the group is full, it replaces the oldest arrival whose answer is not recorded as
// received.
func (l *orderLog) join(id string) {
	last := l.last()
	if len(last.Arrivals) >= maxArrivals {
		oldest := slices.IndexFunc(last.Arrivals, func(a arrival) bool { return a.Receipt != answerReceived })
		last.Arrivals = slices.Delete(last.Arrivals, max(0, oldest), max(0, oldest)+1)
	}
	last.Arrivals = append(last.Arrivals, arrival{ID: id})
}

// open adds an arrival that is certainly not a copy of the last order. Orders of its kind that it can't be a copy of are
// orders of their own, also if no answer to them was received.
func (l *orderLog) open(order EvacuationArrival) {
	for i := range l.Groups {
		group := &l.Groups[i]
		if group.Withdrawal == order.Withdrawal && group.count(answerReceived) == 0 && !group.within(order) {
			group.Arrivals[len(group.Arrivals)-1].Receipt = answerReceived
		}
	}
	l.Groups = append(l.Groups, arrivalGroup{
		Withdrawal: order.Withdrawal,
		OpenedMs:   order.ReceivedAt.UnixMilli(),
		Arrivals:   []arrival{{ID: order.ID}},
	})
	l.Sequence++
	l.Last = dedup.AppliedOrders{}.With(lastOrder, order.ReceivedAt, order.Window).Orders
}

// find returns the group of an arrival and its index there, or nil if the log doesn't have it.
func (l orderLog) find(id string) (group *arrivalGroup, index int) {
	for i := range l.Groups {
		index = slices.IndexFunc(l.Groups[i].Arrivals, func(a arrival) bool { return a.ID == id })
		if index >= 0 {
			return &l.Groups[i], index
		}
	}
	return nil, 0
}

// setReceipt records what has become of the answer to an arrival. It reports whether the log has changed. That an answer
// was received can be shown, and replaces an earlier assumption that it was lost.
func (l *orderLog) setReceipt(id string, received bool) (changed bool) {
	group, index := l.find(id)
	if group == nil {
		return false
	}
	receipt := answerLost
	if received {
		receipt = answerReceived
	}
	current := group.Arrivals[index].Receipt
	if current == receipt || current == answerReceived {
		return false
	}
	group.Arrivals[index].Receipt = receipt
	return true
}

// ordersInForce returns the number of orders in force. If withUnknown is set, each evacuation that may be an order of its
// own counts.
func (l orderLog) ordersInForce(withUnknown bool) int {
	orders := l.Settled
	for i, group := range l.Groups {
		if group.Withdrawal {
			orders = max(0, orders-l.ordersIn(i, false))
		} else {
			orders += l.ordersIn(i, withUnknown)
		}
	}
	return orders
}

// ordersIn returns the number of orders that the arrivals of a group are. If withUnknown is set, each arrival counts that
// may be an order of its own.
func (l orderLog) ordersIn(group int, withUnknown bool) int {
	orders := l.Groups[group].count(answerReceived)
	if withUnknown {
		orders += l.Groups[group].count(receiptUnknown)
	}
	if orders == 0 && l.lastOfItsKind(group) {
		return 1
	}
	return orders
}

// lastOfItsKind reports whether no group of the same kind follows a group.
func (l orderLog) lastOfItsKind(group int) bool {
	return !slices.ContainsFunc(l.Groups[group+1:], func(later arrivalGroup) bool {
		return later.Withdrawal == l.Groups[group].Withdrawal
	})
}

// state returns the state that the log results in. Evacuations that may be orders of their own keep the zone evacuated,
// but are not counted, so that a build without order logs counts the same ones.
func (l orderLog) state() EvacuationState {
	state := EvacuationState{orders: l.ordersInForce(false)}
	if state.orders == 0 && l.ordersInForce(true) > 0 {
		state.orders = 1
	}
	last := l.last()
	state.lastWithdrawn = last == nil || last.Withdrawal
	return state
}

// compact removes the oldest groups, as long as they are settled, or there are too many arrivals.
func (l *orderLog) compact() {
	for len(l.Groups) > 1 {
		tooMany := l.arrivalCount() > maxArrivals
		if tooMany {
			l.Groups[0] = l.Groups[0].assume(func(string) bool { return true })
		}
		if !tooMany && (len(l.Groups) <= keptGroups || !l.settled(0)) {
			return
		}
		orders := l.ordersIn(0, false)
		if l.Groups[0].Withdrawal {
			orders = -orders
		}
		l.Settled = max(0, l.Settled+orders)
		l.Groups = l.Groups[1:]
	}
}

// settled reports whether nothing that follows can change the number of orders in a group.
func (l orderLog) settled(group int) bool {
	candidate := l.Groups[group]
	awaitsCopy := candidate.count(answerReceived) == 0 && l.lastOfItsKind(group)
	return candidate.count(receiptUnknown) == 0 && !awaitsCopy
}

func (l orderLog) arrivalCount() (count int) {
	for _, group := range l.Groups {
		count += len(group.Arrivals)
	}
	return count
}

func (g arrivalGroup) count(receipt receipt) (count int) {
	for _, arrival := range g.Arrivals {
		if arrival.Receipt == receipt {
			count++
		}
	}
	return count
}

// assume returns the group with unknown receipts of the selected arrivals replaced by assumptions. A caller without an
// answer sends its order again, so the answer to the last arrival has been received, and the others have been lost.
func (g arrivalGroup) assume(selected func(id string) bool) arrivalGroup {
	g.Arrivals = slices.Clone(g.Arrivals)
	for i := range g.Arrivals {
		current := &g.Arrivals[i]
		if current.Receipt != receiptUnknown || !selected(current.ID) {
			continue
		}
		current.Receipt = answerLost
		if i == len(g.Arrivals)-1 {
			current.Receipt = answerReceived
		}
	}
	return g
}
