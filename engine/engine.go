// Package engine runs the decision module in real time, whatever protocol brings the transactions. One goroutine
// owns the module: it takes events in, steps the module with the time since the start, hands the actions out in
// order and keeps the timers. It does no input or output, and nothing that it calls may block it.
package engine

import (
	"container/heap"
	"context"
	"fmt"
	"log/slog"
	"runtime/debug"
	"sync"
	"time"

	"sagelever/agent"
)

// Decider is the module: one event at a time in, the actions that answer it out.
type Decider interface {
	Step(now time.Duration, event agent.Event) []agent.Action
}

// Engine owns one module.
type Engine struct {
	began  time.Time
	decide Decider
	do     func(agent.Action)
	events chan item
	done   chan struct{}
	open   map[agent.TransactionID]*Transaction
	due    timers
	log    *slog.Logger

	toldLate time.Time
	slowest  time.Duration // step since the last line on a late timer
}

// tooLate is when a timer's lateness is worth a line, at most one a second: the module keeps no
// more than a tick, some milliseconds, between its last word and the client's.
const tooLate = 3 * time.Millisecond

// item is an event and what goes with it.
type item struct {
	event agent.Event
	at    time.Time
	of    *Transaction
	taken chan error // set where a transaction is handed in
}

// New makes an engine for a module whose life began at a moment. Actions that belong to no transaction go to do,
// which must return at once.
func New(began time.Time, decide Decider, do func(agent.Action), log *slog.Logger) *Engine {
	return &Engine{began: began, decide: decide, do: do, log: log, events: make(chan item, 1024), done: make(chan struct{}),
		open: map[agent.TransactionID]*Transaction{}}
}

// Began is the moment from which the module's time runs.
func (e *Engine) Began() time.Time { return e.began }

// Run serves the module until the context ends.
func (e *Engine) Run(ctx context.Context) {
	defer close(e.done)
	alarm := time.NewTimer(time.Hour)
	defer alarm.Stop()
	for {
		wait := time.Hour
		if len(e.due) > 0 {
			wait = time.Until(e.began.Add(e.due[0].at))
		}
		alarm.Reset(wait)
		select {
		case <-ctx.Done():
			return
		case it := <-e.events:
			e.handle(it)
		case <-alarm.C:
		}
		for len(e.due) > 0 && e.due[0].at <= time.Since(e.began) {
			next := heap.Pop(&e.due).(timer)
			if late := time.Since(e.began) - next.at; late > tooLate && time.Since(e.toldLate) > time.Second {
				e.toldLate = time.Now()
				e.log.Warn("late_timer", "by", late, "slowest_step", e.slowest, "waiting_events", len(e.events), "open", len(e.open))
				e.slowest = 0
			}
			e.step(agent.Due{Timer: next.id})
		}
	}
}

// Tell hands the module an event that belongs to no transaction.
func (e *Engine) Tell(event agent.Event) { e.post(item{event: event}) }

func (e *Engine) post(it item) bool {
	it.at = time.Now()
	select {
	case e.events <- it:
		return true
	case <-e.done:
		return false
	}
}

// Take hands the module a transaction, which gets its orders from then on and must be closed.
func (e *Engine) Take(taken agent.Taken) (*Transaction, error) {
	t := &Transaction{ID: taken.ID, engine: e, ready: make(chan struct{}, 1), over: make(chan struct{}),
		callOff: map[agent.SendNo]func(){}, off: map[agent.SendNo]bool{}}
	answer := make(chan error, 1)
	if !e.post(item{event: taken, of: t, taken: answer}) {
		return nil, fmt.Errorf("the engine has stopped")
	}
	select {
	case err := <-answer:
		return t, err
	case <-e.done:
		return nil, fmt.Errorf("the engine has stopped")
	}
}

func (e *Engine) handle(it item) {
	switch ev := it.event.(type) {
	case agent.Taken:
		if e.open[ev.ID] != nil {
			it.taken <- fmt.Errorf("transaction %s is open already", ev.ID)
			return
		}
		e.open[ev.ID] = it.of
		it.taken <- nil
		ev.Left -= time.Since(it.at) // what the queue took is gone for the client too
		if !e.step(ev) {
			it.of.order(agent.BreakOff{ID: ev.ID})
		}
	case agent.Ended:
		t := it.of
		if t.sends--; t.closed {
			ev.Closed = true
		}
		e.step(ev)
		e.release(t)
	case nil: // the transaction is over
		t := it.of
		t.closed = true
		for _, order := range t.Orders() {
			if send, ok := order.(agent.Send); ok {
				e.notSent(t, send)
			}
		}
		e.step(agent.ClientLeft{ID: t.ID})
		e.release(t)
	default:
		e.step(ev)
	}
}

// notSent answers an order to send that came when the transaction was over.
func (e *Engine) notSent(t *Transaction, send agent.Send) {
	t.mu.Lock() // whoever holds the transaction may be numbering a send at this moment
	no := t.begun
	t.begun++
	t.mu.Unlock()
	t.sends--
	e.step(agent.Ended{ID: t.ID, Appliance: send.Appliance, Send: no, Closed: true, Outcome: agent.NotSent})
}

func (e *Engine) release(t *Transaction) {
	if t.closed && t.sends == 0 && e.open[t.ID] == t {
		delete(e.open, t.ID)
	}
}

// step steps the module and hands out its actions; false tells that the module broke.
func (e *Engine) step(event agent.Event) (ok bool) {
	defer func() {
		if p := recover(); p != nil {
			e.log.Error("module_panic", "input", fmt.Sprintf("%T", event), "panic", fmt.Sprint(p), "stack", string(debug.Stack()))
		}
	}()
	now := time.Since(e.began)
	actions := e.decide.Step(now, event)
	e.slowest = max(e.slowest, time.Since(e.began)-now)
	for _, a := range actions {
		switch a := a.(type) {
		case agent.Wake:
			heap.Push(&e.due, timer{time.Since(e.began) + a.After, a.Timer})
		case agent.Send:
			if t := e.open[a.ID]; t != nil {
				t.sends++
				if t.closed {
					e.notSent(t, a)
				} else {
					t.order(a)
				}
			}
		case agent.CallOff:
			if t := e.open[a.ID]; t != nil {
				t.cancel(a.Send)
			}
		case agent.Defer:
			e.order(a.ID, a)
		case agent.BreakOff:
			e.order(a.ID, a)
		default:
			e.do(a)
		}
	}
	return true
}

func (e *Engine) order(id agent.TransactionID, a agent.Action) {
	if t := e.open[id]; t != nil && !t.closed {
		t.order(a)
	}
}

// Transaction is the engine's side of one transaction: what the module wants done for it.
type Transaction struct {
	ID     agent.TransactionID
	engine *Engine
	ready  chan struct{}
	over   chan struct{}
	sends  int  // ordered and not ended; the engine's own
	closed bool // the engine knows that it is over

	mu      sync.Mutex
	orders  []agent.Action
	begun   agent.SendNo
	callOff map[agent.SendNo]func()
	off     map[agent.SendNo]bool
}

func (t *Transaction) order(a agent.Action) {
	t.mu.Lock()
	t.orders = append(t.orders, a)
	t.mu.Unlock()
	select {
	case t.ready <- struct{}{}:
	default:
	}
}

// Ready tells that there are orders.
func (t *Transaction) Ready() <-chan struct{} { return t.ready }

// Over is closed when the transaction has been closed.
func (t *Transaction) Over() <-chan struct{} { return t.over }

// Orders takes what the module has ordered since: Send, Defer and BreakOff, in order.
func (t *Transaction) Orders() []agent.Action {
	t.mu.Lock()
	defer t.mu.Unlock()
	orders := t.orders
	t.orders = nil
	return orders
}

// Begin numbers a send that is about to start. The module may call it off from then on, or may have done so before;
// callOff must return at once.
func (t *Transaction) Begin(callOff func()) agent.SendNo {
	t.mu.Lock()
	defer t.mu.Unlock()
	no := t.begun
	t.begun++
	if t.off[no] {
		callOff()
	} else {
		t.callOff[no] = callOff
	}
	return no
}

func (t *Transaction) cancel(no agent.SendNo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if f := t.callOff[no]; f != nil {
		f()
	}
	t.off[no] = true
}

// Ended reports how a send that has begun has ended: exactly once for each.
func (t *Transaction) Ended(ended agent.Ended) {
	ended.ID = t.ID
	t.engine.post(item{event: ended, of: t})
}

// Close tells that the transaction is over: it has its final answer or its client has left. Sends that are still
// out end later.
func (t *Transaction) Close() {
	close(t.over)
	t.engine.post(item{of: t})
}

type timer struct {
	at time.Duration
	id agent.TimerID
}

// timers is a heap: the next one first, those of one moment in the order in which they were set.
type timers []timer

func (t timers) Len() int { return len(t) }
func (t timers) Less(i, j int) bool {
	return t[i].at < t[j].at || t[i].at == t[j].at && t[i].id < t[j].id
}
func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)   { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	last := len(*t) - 1
	x := (*t)[last]
	*t = (*t)[:last]
	return x
}
