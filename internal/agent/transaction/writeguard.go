package transaction

import (
	"context"
	"sync"
)

// WriteGuard guards the writes of one attempt: none starts after the transaction has its final answer.
type WriteGuard struct {
	mu     sync.Mutex // held during a write
	ctx    context.Context
	cancel context.CancelCauseFunc
}

// Do calls write unless the attempt has been canceled, and reports whether it called it. A nil guard always calls it.
func (g *WriteGuard) Do(write func()) bool {
	if g == nil {
		write()
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ctx.Err() != nil {
		return false
	}
	write()
	return true
}

// close cancels the attempt and waits for a write in progress, which the cancellation ends. No write follows.
func (g *WriteGuard) close() {
	g.cancel(ErrCanceled)
	g.mu.Lock()
	defer g.mu.Unlock()
}

type writeGuardKey struct{}

// WriteGuardFrom returns the guard of the attempt that ctx belongs to. For any other context it returns a guard that
// prevents writes after the context has ended.
func WriteGuardFrom(ctx context.Context) *WriteGuard {
	if guard, ok := ctx.Value(writeGuardKey{}).(*WriteGuard); ok {
		return guard
	}
	return &WriteGuard{ctx: ctx}
}
