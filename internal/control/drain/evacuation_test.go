package drain

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sagelever/internal/control/dedup"
	"sagelever/internal/control/quorum"
)

// zoneLog is an evacuation register to which orders are applied.
type zoneLog struct {
	value        quorum.Value
	acknowledged quorum.Value
	now          time.Time
	window       time.Duration
	arrivals     int
}

func newZoneLog() *zoneLog {
	return &zoneLog{now: time.UnixMilli(1_000_000), window: dedup.ResendWindow(6 * time.Second)}
}

// order applies an order and returns the ID of its arrival.
func (z *zoneLog) order(withdrawal bool) (id string) {
	z.arrivals++
	id = fmt.Sprint("a", z.arrivals)
	base := ReadEvacuationBase(z.value, z.acknowledged)
	arrival := EvacuationArrival{ID: id, Withdrawal: withdrawal, ReceivedAt: z.now, Window: z.window}
	z.value = SetEvacuation(base, arrival)(z.value)
	return id
}

func (z *zoneLog) receive(id string) { z.value = RecordReceipt(id, true)(z.value) }

func (z *zoneLog) lose(id string) { z.value = RecordReceipt(id, false)(z.value) }

func (z *zoneLog) orders() int { return ReadEvacuation(z.value.Body).orders }

// An order within the window is treated as a resend of the last one, unless the answer to the last one is known to have
// been received.
func TestSetEvacuationAtWindowEdge(t *testing.T) {
	first := newZoneLog()
	first.lose(first.order(false))
	for _, tt := range []struct {
		name  string
		after time.Duration
		setUp func(zone *zoneLog)
		want  int
	}{
		{"an order resent within the window", first.window - time.Millisecond, func(*zoneLog) {}, 1},
		{"an order after the window", first.window, func(*zoneLog) {}, 2},
		{"an order after one whose answer was received", time.Second, func(z *zoneLog) { z.receive("a1") }, 2},
		{"an order after one without a time", time.Hour, func(z *zoneLog) {
			z.value = quorum.Value{Version: 1, Body: "on"} // written by a build that recorded no times
		}, 1},
		{"an order after one that an older build has recorded as acknowledged", time.Second, func(z *zoneLog) {
			z.value = quorum.Value{Version: 1, Body: "on"}
			z.acknowledged = Acknowledge(1)(quorum.Value{})
		}, 2},
	} {
		zone := *first
		tt.setUp(&zone)
		zone.now = zone.now.Add(tt.after)
		id := zone.order(false)
		if got := zone.orders(); got != tt.want {
			t.Errorf("%s: %d orders in force, want %d", tt.name, got, tt.want)
		}
		zone.receive(id)
		if got := zone.orders(); got != tt.want {
			t.Errorf("%s, after its answer: %d orders in force, want %d", tt.name, got, tt.want)
		}
	}
}

// While it is not known whether an evacuation is a repetition, the zone stays evacuated after one withdrawal. What becomes
// known later decides: also if the other controllers have to assume it.
func TestUnknownReceipts(t *testing.T) {
	for _, tt := range []struct {
		name   string
		settle func(zone *zoneLog, first, second string)
		want   int // orders in force after one withdrawal
	}{
		{"both received", func(z *zoneLog, first, second string) { z.receive(first); z.receive(second) }, 1},
		{"the first one lost", func(z *zoneLog, first, second string) { z.lose(first); z.receive(second) }, 0},
		{"assumed", func(z *zoneLog, first, second string) {
			z.value = AssumeReceipts([]string{first, second})(z.value)
		}, 0},
		{"assumed, then shown", func(z *zoneLog, first, second string) {
			z.value = AssumeReceipts([]string{first, second})(z.value)
			z.receive(first)
		}, 1},
		{"one known, one assumed", func(z *zoneLog, first, second string) {
			z.receive(first)
			z.value = AssumeReceipts([]string{second})(z.value)
		}, 1},
	} {
		zone := newZoneLog()
		first, second := zone.order(false), zone.order(false)
		zone.receive(zone.order(true))
		if got := zone.orders(); got != 1 {
			t.Errorf("%s: before, %d orders in force, want 1", tt.name, got)
		}
		tt.settle(zone, first, second)
		if got := zone.orders(); got != tt.want {
			t.Errorf("%s: %d orders in force, want %d: %s", tt.name, got, tt.want, zone.value.Annotation)
		}
		if ids := UnknownReceipts(zone.value); len(ids) > 0 {
			t.Errorf("%s: still unknown: %v", tt.name, ids)
		}
	}
}

// A withdrawal that repeats another one, or that had nothing to withdraw, does not withdraw a later evacuation, however late
// it becomes known that its answer was received.
func TestLateReceiptOfWithdrawal(t *testing.T) {
	zone := newZoneLog()
	zone.receive(zone.order(false))
	zone.order(false)
	withdrawals := []string{zone.order(true), zone.order(true), zone.order(true)}
	zone.order(false)
	for _, id := range withdrawals {
		zone.receive(id)
		if zone.orders() == 0 {
			t.Fatalf("the later evacuation is withdrawn by %s: %s", id, zone.value.Annotation)
		}
	}
}

// orderInProgress is an order of an operator that sends copies until it receives an answer.
type orderInProgress struct {
	withdrawal bool
	lostCopies int // copies that are still to be sent before the one whose answer is received
}

// receiptModel is a zone with three operators whose orders overlap. Answers are lost, and what has become of them is
// recorded in any order and at any time.
type receiptModel struct {
	t          *rapid.T
	zone       *zoneLog
	inForce    int // acknowledged evacuations, less the withdrawals that were sent
	unrecorded []func()
	operators  [3]*orderInProgress
}

// apply makes a change, and checks that no evacuation ends before its withdrawal is sent, and that a value with the same
// version has the same body.
func (m *receiptModel) apply(change func()) {
	before := m.zone.value
	change()
	after := m.zone.value
	if before.Version == after.Version && before.Body != after.Body {
		m.t.Fatalf("version %d: %s and %s", before.Version, before.Body, after.Body)
	}
	if m.inForce > 0 && m.zone.orders() == 0 {
		m.t.Fatalf("%d orders are in force: %s %s", m.inForce, after.Body, after.Annotation)
	}
}

// send sends the next copy of an operator's order.
func (m *receiptModel) send(operator int) {
	order := m.operators[operator]
	var id string
	m.apply(func() { id = m.zone.order(order.withdrawal) })
	if order.lostCopies > 0 {
		order.lostCopies--
		m.unrecorded = append(m.unrecorded, func() { m.zone.lose(id) })
		return
	}
	m.unrecorded = append(m.unrecorded, func() { m.zone.receive(id) })
	m.operators[operator] = nil
	if !order.withdrawal {
		m.inForce++
	}
}

// step records what has become of an answer, or sends a copy of a new order or of one in progress.
func (m *receiptModel) step() {
	if len(m.unrecorded) > 0 && rapid.Bool().Draw(m.t, "record") {
		i := rapid.IntRange(0, len(m.unrecorded)-1).Draw(m.t, "which")
		m.apply(m.unrecorded[i])
		m.unrecorded = slices.Delete(m.unrecorded, i, i+1)
		return
	}
	operator := rapid.IntRange(0, len(m.operators)-1).Draw(m.t, "operator")
	if m.operators[operator] == nil {
		order := &orderInProgress{lostCopies: rapid.IntRange(0, 2).Draw(m.t, "lost copies")}
		order.withdrawal = m.inForce > 0 && rapid.Bool().Draw(m.t, "withdrawal")
		m.operators[operator] = order
		if order.withdrawal {
			m.inForce--
		}
	}
	m.send(operator)
}

// finish ends all orders and records what has become of all answers.
func (m *receiptModel) finish() {
	for operator := range m.operators {
		for m.operators[operator] != nil {
			m.send(operator)
		}
	}
	for _, record := range m.unrecorded {
		m.apply(record)
	}
}

// For any orders of several operators, lost answers, and times at which these become known: no acknowledged evacuation ends
// before its withdrawal is sent, and once all is known, the zone is evacuated if and only if an order is in force.
func TestReceiptsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := &receiptModel{t: t, zone: newZoneLog()}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			model.step()
		}
		model.finish()
		annotation := model.zone.value.Annotation
		if got := model.zone.orders() > 0; got != (model.inForce > 0) {
			t.Fatalf("%d orders are in force, evacuated: %v: %s", model.inForce, got, annotation)
		}
		if log := readOrderLog(model.zone.value, 0); len(log.Groups) > keptGroups+1 {
			t.Fatalf("everything is known, and %d groups are kept: %s", len(log.Groups), annotation)
		}
	})
}

// The log of a zone is bounded, however many orders come without any record of their answers.
func TestOrderLogIsBounded(t *testing.T) {
	zone := newZoneLog()
	for i := range 10 * maxArrivals {
		zone.order(i%3 == 2)
		if log := readOrderLog(zone.value, 0); log.arrivalCount() > maxArrivals+1 {
			t.Fatalf("after %d orders the log has %d arrivals", i+1, log.arrivalCount())
		}
	}
	repeated := newZoneLog()
	for range 10 * maxArrivals {
		repeated.order(false)
	}
	if log := readOrderLog(repeated.value, 0); log.arrivalCount() > maxArrivals {
		t.Fatalf("after one order that is always repeated the log has %d arrivals", log.arrivalCount())
	}
}

// An older build that changes the register loses its log. What it has written counts, and controllers go on from there.
func TestOrderLogAfterOlderBuild(t *testing.T) {
	zone := newZoneLog()
	id := zone.order(false)
	zone.receive(zone.order(false))
	zone.value = quorum.Value{Version: zone.value.Version + 1, Body: "on 2"}
	zone.acknowledged = Acknowledge(zone.value.Version)(quorum.Value{})
	zone.receive(id)
	if zone.orders() != 2 {
		t.Errorf("a receipt that the log does not have: %d orders, want 2", zone.orders())
	}
	zone.receive(zone.order(true))
	if zone.orders() != 1 {
		t.Errorf("a withdrawal: %d orders, want 1", zone.orders())
	}
	older := dedup.ReadAppliedOrders(zone.value)
	if !older.Contains(lastOrder, zone.now, zone.window) {
		t.Error("an older build does not find the time of the last order")
	}
}

// Bodies of the register in the forms of this version of the software and of the previous one.
func TestReadEvacuation(t *testing.T) {
	for body, want := range map[string]EvacuationState{
		"":          {orders: 0, lastWithdrawn: true},
		"off":       {orders: 0, lastWithdrawn: true},
		"on":        {orders: 1, lastWithdrawn: false},
		"on 3":      {orders: 3, lastWithdrawn: false},
		"on 2 back": {orders: 2, lastWithdrawn: true},
		"on x":      {orders: 1, lastWithdrawn: false},
		"odd":       {orders: 0, lastWithdrawn: true},
	} {
		if got := ReadEvacuation(body); got != want {
			t.Errorf("%q: %+v, want %+v", body, got, want)
		}
	}
}
