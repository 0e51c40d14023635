// Package engine runs the policy of an agent in real time, independent of the protocol of the transactions.
//
// One goroutine owns the policy: it takes events from a queue, steps the policy with the time since the start,
// dispatches the returned actions in order, and manages the timers. The engine does no input or output, and its
// callbacks must not block.
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

// ErrStopped is returned by Begin after the engine has stopped.
var ErrStopped = errors.New("the engine has stopped")

// DuplicateError is returned by Begin if a transaction with the same ID is still open.
type DuplicateError struct{ ID api.TransactionID }

func (e *DuplicateError) Error() string { return fmt.Sprintf("transaction %s is open already", e.ID) }

// Policy makes the decisions. Step handles one event at a time and returns the resulting actions.
type Policy interface {
	Step(now time.Duration, event api.Event) []api.Action
}

// eventQueueSize is the number of events that may be queued before senders block.
const eventQueueSize = 1024

// A timer that fires later than lateTimerThreshold is logged, at most once in lateTimerLogInterval. The policy answers
// a tick, some milliseconds, before the client's timeout, so late timers cause late answers.
const (
	lateTimerThreshold   = 3 * time.Millisecond
	lateTimerLogInterval = time.Second
)

// Engine runs one policy. The fields from transactions on are used only by the goroutine of Run.
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
	slowestStep       time.Duration // since the last log line about a late timer
}

// queuedEvent is an event with its context. A nil event closes the transaction.
type queuedEvent struct {
	event       api.Event
	queuedAt    time.Time
	transaction *Transaction // nil for events of no transaction
	accepted    chan error   // receives the result of accepting a transaction
}

// New returns an engine for a policy whose time starts at startedAt. Actions that belong to no transaction are passed
// to execute, which is called by the engine's goroutine and must not block.
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

// StartTime returns the origin of the policy's time.
func (e *Engine) StartTime() time.Time { return e.startedAt }

// Run runs the policy until ctx is canceled. It must be called once.
func (e *Engine) Run(ctx context.Context) {
	defer close(e.stopped)
	const noTimer = time.Hour
	wakeup := time.NewTimer(noTimer)
	defer wakeup.Stop()
	for {
		wait := noTimer
		if len(e.timers) > 0 {
			wait = time.Until(e.startedAt.Add(e.timers[0].at))
		}
		wakeup.Reset(wait)
		select {
		case <-ctx.Done():
			return
		case queued := <-e.events:
			e.handle(queued)
		case <-wakeup.C:
		}
		for len(e.timers) > 0 && e.timers[0].at <= time.Since(e.startedAt) {
			e.fire(heap.Pop(&e.timers).(timer))
		}
	}
}

// fire passes a due timer to the policy and logs it if it is late.
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

// Deliver queues an event that belongs to no transaction.
func (e *Engine) Deliver(event api.Event) { e.post(queuedEvent{event: event}) }

// post queues an event. It returns false if the engine has stopped.
func (e *Engine) post(queued queuedEvent) bool {
	queued.queuedAt = time.Now()
	select {
	case e.events <- queued:
		return true
	case <-e.stopped:
		return false
	}
}

// Begin passes a transaction to the policy. The returned Transaction receives its actions and must be closed. Begin
// returns ErrStopped or a *DuplicateError if the transaction was not accepted.
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

// accept registers a transaction unless its ID is open, and passes it to the policy.
func (e *Engine) accept(event api.TransactionAccepted, queued queuedEvent) {
	if e.transactions[event.ID] != nil {
		queued.accepted <- &DuplicateError{event.ID}
		return
	}
	e.transactions[event.ID] = queued.transaction
	queued.accepted <- nil
	event.Timeout -= time.Since(queued.queuedAt) // the client's timeout includes the time in the queue
	if !e.step(event) {
		queued.transaction.enqueue(api.FailTransaction{Transaction: event.ID})
	}
}

// close closes a transaction. Attempts that have not begun by then end as NotSent.
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

// notSent ends an attempt of a closed transaction that has not begun.
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

// step steps the policy and dispatches its actions. It returns false if the policy panicked on the event.
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

// dispatch passes an action to its transaction, or to execute if it belongs to none.
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

// forward passes a final answer to its transaction unless that is closed.
func (e *Engine) forward(id api.TransactionID, answer api.Action) {
	if t := e.transactions[id]; t != nil && !t.closed {
		t.enqueue(answer)
	}
}
