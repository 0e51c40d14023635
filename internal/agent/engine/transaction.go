package engine

import (
	"sync"

	"sagelever/internal/agent/api"
)

// Transaction holds the policy's actions for one transaction. Its methods are safe for concurrent use.
type Transaction struct {
	ID     api.TransactionID // chosen by the client
	engine *Engine
	ready  chan struct{}
	done   chan struct{}

	// Used only by the engine's goroutine.
	pendingAttempts int  // requested by the policy and not ended
	closed          bool // the engine has processed Close

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

// Ready returns a channel that receives a value when actions are available.
func (t *Transaction) Ready() <-chan struct{} { return t.ready }

// Done returns a channel that is closed when the transaction is closed.
func (t *Transaction) Done() <-chan struct{} { return t.done }

// Actions returns the actions since the last call in order: api.StartAttempt, api.DeferTransaction,
// api.FailTransaction.
func (t *Transaction) Actions() []api.Action {
	t.mu.Lock()
	defer t.mu.Unlock()
	actions := t.actions
	t.actions = nil
	return actions
}

// BeginAttempt assigns a number to an attempt that is about to start. cancel is called if the policy cancels the
// attempt later or has already canceled it, and must not block.
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

// takeAttemptNumber assigns a number to an attempt that will never start.
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

// EndAttempt reports the outcome of an attempt. It must be called exactly once for each BeginAttempt.
func (t *Transaction) EndAttempt(ended api.AttemptEnded) {
	ended.Transaction = t.ID
	t.engine.post(queuedEvent{event: ended, transaction: t})
}

// Close closes the transaction after its final answer, or after the client disconnected. Attempts that are still in
// flight end later. It must be called exactly once.
func (t *Transaction) Close() {
	close(t.done)
	t.engine.post(queuedEvent{transaction: t})
}
