package engine

import (
	"sync"

	"sagelever/internal/agent/api"
)

// Transaction is the engine's side of one transaction: what the policy wants done for it. Its methods may be called by
// any goroutine.
type Transaction struct {
	ID     api.TransactionID // as its client has chosen it
	engine *Engine
	ready  chan struct{}
	done   chan struct{}

	// These belong to the engine's goroutine.
	pendingAttempts int  // ordered and not ended
	closed          bool // the engine knows that it is over

	mu          sync.Mutex // guards the following
	actions     []api.Action
	nextAttempt api.AttemptNumber
	cancels     map[api.AttemptNumber]func()
	canceled    map[api.AttemptNumber]bool
}

func newTransaction(e *Engine, id api.TransactionID) *Transaction {
	return &Transaction{
		ID:       id,
		engine:   e,
		ready:    make(chan struct{}, 1),
		done:     make(chan struct{}),
		cancels:  map[api.AttemptNumber]func(){},
		canceled: map[api.AttemptNumber]bool{},
	}
}

func (t *Transaction) enqueue(action api.Action) {
	t.mu.Lock()
	t.actions = append(t.actions, action)
	t.mu.Unlock()
	select {
	case t.ready <- struct{}{}:
	default:
	}
}

// Ready receives a value when there are actions to take.
func (t *Transaction) Ready() <-chan struct{} { return t.ready }

// Done is closed when the transaction has been closed.
func (t *Transaction) Done() <-chan struct{} { return t.done }

// Actions takes the actions since the last call, in order: api.StartAttempt, api.DeferTransaction, api.FailTransaction.
func (t *Transaction) Actions() []api.Action {
	t.mu.Lock()
	defer t.mu.Unlock()
	actions := t.actions
	t.actions = nil
	return actions
}

// BeginAttempt numbers an attempt that is about to start. If the policy cancels it later, or has canceled it before,
// cancel is called, which must return at once.
func (t *Transaction) BeginAttempt(cancel func()) api.AttemptNumber {
	t.mu.Lock()
	defer t.mu.Unlock()
	number := t.nextAttempt
	t.nextAttempt++
	if t.canceled[number] {
		cancel()
	} else {
		t.cancels[number] = cancel
	}
	return number
}

// takeAttemptNumber numbers an attempt that will never start.
func (t *Transaction) takeAttemptNumber() api.AttemptNumber {
	t.mu.Lock()
	defer t.mu.Unlock()
	number := t.nextAttempt
	t.nextAttempt++
	return number
}

func (t *Transaction) cancelAttempt(number api.AttemptNumber) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if cancel := t.cancels[number]; cancel != nil {
		cancel()
	}
	t.canceled[number] = true
}

// EndAttempt reports how an attempt that has begun has ended. It is called exactly once for each.
func (t *Transaction) EndAttempt(ended api.AttemptEnded) {
	ended.Transaction = t.ID
	t.engine.post(queuedEvent{event: ended, transaction: t})
}

// Close says that the transaction is over: it has its final answer, or its client has left. Attempts that are still in
// flight end later. It is called exactly once.
func (t *Transaction) Close() {
	close(t.done)
	t.engine.post(queuedEvent{transaction: t})
}
