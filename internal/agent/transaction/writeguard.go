package transaction

import (
	"context"
	"sync"
)

// WriteGuard guards what is written for one attempt: once the attempt's transaction has its final answer, nothing is.
type WriteGuard struct {
	mu     sync.Mutex // held during a write
	ctx    context.Context
	cancel context.CancelCauseFunc
}

// Do calls write, unless the attempt has been given up, and reports whether it did. Without a guard it always does.
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

// close cancels the attempt and waits for a write that is under way, which the cancellation ends. None follows.
func (g *WriteGuard) close() {
	g.cancel(ErrCanceled)
	g.mu.Lock()
	defer g.mu.Unlock()
}

type writeGuardKey struct{}

// WriteGuardFrom is the guard of the attempt that a context was made for. For another context it is one that refuses
// writes once the context has ended.
func WriteGuardFrom(ctx context.Context) *WriteGuard {
	if guard, ok := ctx.Value(writeGuardKey{}).(*WriteGuard); ok {
		return guard
	}
	return &WriteGuard{ctx: ctx}
}
