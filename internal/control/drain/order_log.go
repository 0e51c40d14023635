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
// like another order. Copies that carry the identity of the order are recognized by it (OrderIdentity). A caller that got no
// answer to a copy with an identity gets another one from the next controller. So each order ends with exactly one arrival
// whose answer its caller receives, and the number of orders is the number of answers received.
//
// Whether an arrival was repeated by a later one follows from the time between them (isRepeatTime). If it may have been, the
// arrival is in doubt: its receipt stays unknown for some time (DoubtfulOrders). Meanwhile it counts in favour of the
// evacuation: an evacuation that may be a second order counts, and a withdrawal that may be a second one does not. The last
// arrival of each kind counts as an order in any case.

// receipt is the state of the answer to an arrival.
type receipt int

// Stored values; they must not change.
const (
	receiptUnknown receipt = iota
	answerReceived
	answerLost
)

// arrival is an order that a controller has carried out and answered, or a copy of one under another identity.
type arrival struct {
	ID      string  `json:"i"` // unique; empty for an order that was recorded by a build without order logs
	Receipt receipt `json:"r,omitempty"`
	// Controller is the node that received the order. It is empty if the caller has not sent the identity, and for arrivals
	// that were recorded by a build without identities.
	Controller string `json:"c,omitempty"`
	// RepeatMs is the time since the previous arrival, in milliseconds, if this one may repeat it.
	RepeatMs int64 `json:"d,omitempty"`
	// Unidentified is set if the caller got no identity, so that the order was not carried out (NoteUnanswered).
	Unidentified bool `json:"u,omitempty"`
}

// arrivalGroup contains arrivals that may be copies of one order: each may repeat the one before.
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

	// keptGroups is the number of groups that a log keeps after they are settled, so that late copies are recognized.
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

// lastOf returns the index of the last group of a kind, or -1 if there is none.
func (l orderLog) lastOf(withdrawal bool) int {
	for i := len(l.Groups) - 1; i >= 0; i-- {
		if l.Groups[i].Withdrawal == withdrawal {
			return i
		}
	}
	return -1
}

// lastID returns the ID of the last arrival of a kind, or an empty string if there is none.
func (l orderLog) lastID(withdrawal bool) string {
	group := l.lastOf(withdrawal)
	if group < 0 {
		return ""
	}
	return l.Groups[group].lastArrival().ID
}

// lastArrival returns the last arrival of a group, which has at least one.
func (g arrivalGroup) lastArrival() *arrival { return &g.Arrivals[len(g.Arrivals)-1] }

// mayRepeat reports whether an order may repeat the last arrival of its kind, with the order log as the order's base.
func (l orderLog) mayRepeat(order EvacuationOrder) bool {
	index := l.lastOf(order.Withdrawal)
	if index < 0 || l.Groups[index].count(answerReceived) > 0 {
		return false
	}
	group := l.Groups[index]
	last := group.lastArrival()
	switch {
	case last.Controller == "" || order.Controller == "":
		return group.within(order)
	case last.Controller == order.Controller:
		return false // a caller without an answer turns to another controller
	case last.ID != order.Previous.ID:
		return true // it has just arrived
	}
	return isRepeatTime(order.Previous.Age, l.copies(order.Withdrawal), order.RoundTripTime)
}

// copies returns the number of arrivals up to the last one of a kind of which each may repeat the one before.
func (l orderLog) copies(withdrawal bool) (count int) {
	for i := len(l.Groups) - 1; i >= 0; i-- {
		group := l.Groups[i]
		if group.Withdrawal != withdrawal {
			continue
		}
		count += len(group.Arrivals)
		if group.Arrivals[0].RepeatMs == 0 {
			break
		}
	}
	return count
}

// within reports whether an order may be a copy of one in the group, as far as the clocks of the controllers tell.
func (g arrivalGroup) within(order EvacuationOrder) bool {
	age := order.ReceivedAt.Sub(time.UnixMilli(g.OpenedMs))
	return g.OpenedMs == 0 || (age < order.Window && age > -order.Window)
}

// arrivalOf returns the arrival that an order is. repeats is set if it may repeat the previous arrival of its kind.
func (l orderLog) arrivalOf(order EvacuationOrder, repeats bool) arrival {
	arrived := arrival{ID: order.ID, Controller: order.Controller}
	if !repeats {
		return arrived
	}
	arrived.RepeatMs = maxRepeatTime.Milliseconds()
	if order.Previous.ID != "" && order.Previous.ID == l.lastID(order.Withdrawal) {
		arrived.RepeatMs = min(arrived.RepeatMs, max(1, order.Previous.Age.Milliseconds()))
	}
	return arrived
}

// join adds an arrival that may repeat the last one of its kind to the group of that one. If the group is full, it replaces
// the oldest arrival whose answer is not recorded as received.
func (l *orderLog) join(withdrawal bool, arrived arrival) {
	group := &l.Groups[l.lastOf(withdrawal)]
	if len(group.Arrivals) >= maxArrivals {
		oldest := slices.IndexFunc(group.Arrivals, func(a arrival) bool { return a.Receipt != answerReceived })
		group.Arrivals = slices.Delete(group.Arrivals, max(0, oldest), max(0, oldest)+1)
	}
	group.Arrivals = append(group.Arrivals, arrived)
}

// open adds an order that follows one of the other kind, or that does not repeat the last one. repeats is set if it may
// repeat the last arrival of its kind; otherwise that one was an order of its own.
func (l *orderLog) open(order EvacuationOrder, repeats bool) {
	arrived := l.arrivalOf(order, repeats)
	previous := l.lastOf(order.Withdrawal)
	if !repeats && previous >= 0 && l.Groups[previous].count(answerReceived) == 0 {
		l.Groups[previous].lastArrival().Receipt = answerReceived
	}
	l.Groups = append(l.Groups, arrivalGroup{
		Withdrawal: order.Withdrawal,
		OpenedMs:   order.ReceivedAt.UnixMilli(),
		Arrivals:   []arrival{arrived},
	})
	l.Sequence++
	l.Last = dedup.AppliedOrders{}.With(lastOrder, order.ReceivedAt, order.Window).Orders
}

// doubtful returns the arrivals of a group of which it is not known whether a later one has repeated them.
func (l orderLog) doubtful(group int) (doubtful []*arrival) {
	candidate := l.Groups[group]
	lastCounts := l.lastOfItsKind(group) && candidate.count(answerReceived) == 0
	for i := range candidate.Arrivals {
		isOrder := lastCounts && i == len(candidate.Arrivals)-1
		if candidate.Arrivals[i].Receipt == receiptUnknown && !isOrder {
			doubtful = append(doubtful, &candidate.Arrivals[i])
		}
	}
	return doubtful
}

// decide ends the doubt about the arrivals of a group. Both decisions end an evacuation: evacuations in doubt have been
// repeated, and withdrawals in doubt have not.
func (l orderLog) decide(group int) {
	if !l.Groups[group].Withdrawal {
		for _, arrival := range l.doubtful(group) {
			arrival.Receipt = answerLost
		}
		return
	}
	for i := range l.Groups[group].Arrivals {
		arrival := &l.Groups[group].Arrivals[i]
		if arrival.Receipt == receiptUnknown {
			arrival.Receipt = answerReceived
		}
	}
}

// repeatTime returns the time from the first evacuation order in doubt to the last arrival that may repeat it.
func (l orderLog) repeatTime() (total time.Duration) {
	previous := arrival{Receipt: answerReceived}
	for _, group := range l.Groups {
		if group.Withdrawal {
			continue
		}
		for _, next := range group.Arrivals {
			if previous.Receipt == receiptUnknown {
				total += time.Duration(next.RepeatMs) * time.Millisecond
			}
			previous = next
		}
	}
	return total
}

// find returns the arrival with an ID, or nil if the log does not have it.
func (l orderLog) find(id string) *arrival {
	for _, group := range l.Groups {
		index := slices.IndexFunc(group.Arrivals, func(a arrival) bool { return a.ID == id })
		if index >= 0 {
			return &group.Arrivals[index]
		}
	}
	return nil
}

// contains reports whether the order with an ID was carried out.
func (l orderLog) contains(id string) bool {
	found := l.find(id)
	return found != nil && !found.Unidentified
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
			l.Groups[0].assume()
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

// assume decides about the arrivals of a group whose receipts are unknown: the last one has received its answer, and the
// others have been repeated.
func (g arrivalGroup) assume() {
	for i := range g.Arrivals {
		current := &g.Arrivals[i]
		if current.Receipt != receiptUnknown {
			continue
		}
		current.Receipt = answerLost
		if i == len(g.Arrivals)-1 {
			current.Receipt = answerReceived
		}
	}
}
