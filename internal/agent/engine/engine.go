// Package engine runs the policy of an agent in real time, whatever protocol brings the transactions.
//
// One goroutine owns the policy: it takes events from a queue, steps the policy with the time since the start, hands
// the returned actions out in order, and keeps the timers. The engine does no input or output, and nothing that it
// calls may block it.
package engine

import (
	"container/heap"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"runtime/debug"
	"time"

	"sagelever/internal/agent/api"
)

// ErrStopped is returned for a transaction that is handed in after the engine has stopped.
var ErrStopped = errors.New("the engine has stopped")

// DuplicateError is returned for a transaction whose id is that of one that is still open.
type DuplicateError struct{ ID api.TransactionID }

func (e *DuplicateError) Error() string { return fmt.Sprintf("transaction %s is open already", e.ID) }

// Policy decides: it takes one event at a time and returns the actions that answer it.
type Policy interface {
	Step(now time.Duration, event api.Event) []api.Action
}

// eventQueueSize is how many events may wait until those who bring more have to wait, too.
const eventQueueSize = 1024

// lateTimerThreshold is when a timer's lateness is worth a line in the log, at most one in lateTimerLogInterval. The
// policy keeps no more than a tick, some milliseconds, between its answer and the client's time-out.
const (
	lateTimerThreshold   = 3 * time.Millisecond
	lateTimerLogInterval = time.Second
)

// Engine owns one policy. Its fields below events belong to the goroutine of Run.
type Engine struct {
	startedAt time.Time
	policy    Policy
	execute   func(api.Action)
	logger    *slog.Logger
	events    chan queuedEvent
	stopped   chan struct{} // closed when Run has returned

	transactions      map[api.TransactionID]*Transaction
	timers            timerHeap
	lateTimerLoggedAt time.Time
	slowestStep       time.Duration // since the last line on a late timer
}

// queuedEvent is an event and what goes with it. Without an event it says that its transaction is closed.
type queuedEvent struct {
	event       api.Event
	queuedAt    time.Time
	transaction *Transaction // nil for events of no transaction
	accepted    chan error   // takes the result where a transaction is handed in
}

// New makes an engine for a policy whose time began at startedAt. Actions that belong to no transaction go to execute,
// which is called by the engine's goroutine and must return at once.
func New(startedAt time.Time, policy Policy, execute func(api.Action), logger *slog.Logger) *Engine {
	return &Engine{
		startedAt:    startedAt,
		policy:       policy,
		execute:      execute,
		logger:       logger,
		events:       make(chan queuedEvent, eventQueueSize),
		stopped:      make(chan struct{}),
		transactions: map[api.TransactionID]*Transaction{},
	}
}

// StartTime is the moment from which the policy's time runs.
func (e *Engine) StartTime() time.Time { return e.startedAt }

// Run serves the policy until the context ends. It is called once.
func (e *Engine) Run(ctx context.Context) {
	defer close(e.stopped)
	const noTimer = time.Hour
	alarm := time.NewTimer(noTimer)
	defer alarm.Stop()
	for {
		wait := noTimer
		if len(e.timers) > 0 {
			wait = time.Until(e.startedAt.Add(e.timers[0].at))
		}
		alarm.Reset(wait)
		select {
		case <-ctx.Done():
			return
		case queued := <-e.events:
			e.handle(queued)
		case <-alarm.C:
		}
		for len(e.timers) > 0 && e.timers[0].at <= time.Since(e.startedAt) {
			e.fire(heap.Pop(&e.timers).(timer))
		}
	}
}

// fire tells the policy that a timer is due.
func (e *Engine) fire(due timer) {
	late := time.Since(e.startedAt) - due.at
	if late > lateTimerThreshold && time.Since(e.lateTimerLoggedAt) > lateTimerLogInterval {
		e.lateTimerLoggedAt = time.Now()
		e.logger.Warn("late_timer", "by", late, "slowest_step", e.slowestStep, "waiting_events", len(e.events),
			"open", len(e.transactions))
		e.slowestStep = 0
	}
	e.step(api.TimerFired{Timer: due.id})
}

// Deliver hands the policy an event that belongs to no transaction.
func (e *Engine) Deliver(event api.Event) { e.post(queuedEvent{event: event}) }

// post queues an event; false says that the engine has stopped.
func (e *Engine) post(queued queuedEvent) bool {
	queued.queuedAt = time.Now()
	select {
	case e.events <- queued:
		return true
	case <-e.stopped:
		return false
	}
}

// Begin hands the policy a transaction, which receives its actions from then on and must be closed. It returns
// ErrStopped or a *DuplicateError for one that was not taken.
func (e *Engine) Begin(accepted api.TransactionAccepted) (*Transaction, error) {
	t := newTransaction(e, accepted.ID)
	result := make(chan error, 1)
	if !e.post(queuedEvent{event: accepted, transaction: t, accepted: result}) {
		return nil, ErrStopped
	}
	select {
	case err := <-result:
		return t, err
	case <-e.stopped:
		return nil, ErrStopped
	}
}

func (e *Engine) handle(queued queuedEvent) {
	switch event := queued.event.(type) {
	case api.TransactionAccepted:
		e.accept(event, queued)
	case api.AttemptEnded:
		t := queued.transaction
		t.pendingAttempts--
		if t.closed {
			event.TransactionDone = true
		}
		e.step(event)
		e.removeIfDone(t)
	case nil:
		e.close(queued.transaction)
	default:
		e.step(event)
	}
}

// accept takes up a transaction, unless its id is open.
func (e *Engine) accept(event api.TransactionAccepted, queued queuedEvent) {
	if e.transactions[event.ID] != nil {
		queued.accepted <- &DuplicateError{event.ID}
		return
	}
	e.transactions[event.ID] = queued.transaction
	queued.accepted <- nil
	event.Timeout -= time.Since(queued.queuedAt) // the client has waited meanwhile
	if !e.step(event) {
		queued.transaction.enqueue(api.FailTransaction{Transaction: event.ID})
	}
}

// close takes up that a transaction is over. Attempts that nobody has started by then are not sent any more.
func (e *Engine) close(t *Transaction) {
	t.closed = true
	for _, action := range t.Actions() {
		if start, ok := action.(api.StartAttempt); ok {
			e.notSent(t, start)
		}
	}
	e.step(api.TransactionClosed{Transaction: t.ID})
	e.removeIfDone(t)
}

// notSent ends an attempt that was ordered when its transaction was already over.
func (e *Engine) notSent(t *Transaction, action api.StartAttempt) {
	number := t.takeAttemptNumber()
	t.pendingAttempts--
	e.step(api.AttemptEnded{Transaction: t.ID, Backend: action.Backend, Attempt: number, TransactionDone: true,
		Outcome: api.NotSent})
}

func (e *Engine) removeIfDone(t *Transaction) {
	if t.closed && t.pendingAttempts == 0 && e.transactions[t.ID] == t {
		delete(e.transactions, t.ID)
	}
}

// step steps the policy and hands out its actions. False says that the policy panicked; it goes on with the next event.
func (e *Engine) step(event api.Event) (ok bool) {
	defer func() {
		if p := recover(); p != nil {
			e.logger.Error("module_panic", "input", fmt.Sprintf("%T", event), "panic", fmt.Sprint(p),
				"stack", string(debug.Stack()))
		}
	}()
	now := time.Since(e.startedAt)
	actions := e.policy.Step(now, event)
	e.slowestStep = max(e.slowestStep, time.Since(e.startedAt)-now)
	for _, action := range actions {
		e.dispatch(action)
	}
	return true
}

// dispatch hands one action to the transaction that it belongs to, or to execute.
func (e *Engine) dispatch(action api.Action) {
	switch a := action.(type) {
	case api.SetTimer:
		heap.Push(&e.timers, timer{time.Since(e.startedAt) + a.After, a.Timer})
	case api.StartAttempt:
		if t := e.transactions[a.Transaction]; t != nil {
			t.pendingAttempts++
			if t.closed {
				e.notSent(t, a)
			} else {
				t.enqueue(a)
			}
		}
	case api.CancelAttempt:
		if t := e.transactions[a.Transaction]; t != nil {
			t.cancelAttempt(a.Attempt)
		}
	case api.DeferTransaction:
		e.forward(a.Transaction, a)
	case api.FailTransaction:
		e.forward(a.Transaction, a)
	default:
		e.execute(a)
	}
}

// forward hands a final answer to its transaction, unless that is over.
func (e *Engine) forward(id api.TransactionID, answer api.Action) {
	if t := e.transactions[id]; t != nil && !t.closed {
		t.enqueue(answer)
	}
}
