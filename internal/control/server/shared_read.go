package server

import (
	"context"
	"sync"

	"sagelever/internal/control/config"
	"sagelever/internal/control/quorum"
	"sagelever/internal/control/replica"
)

// sharedRead lets concurrent callers share one quorum read of the same registers. A caller never gets the result of a
// read that began before the call, as that read may miss values that were acknowledged in between: all callers that
// arrive during a read share the next one. The zero value is ready to use.
type sharedRead struct {
	mu      sync.Mutex
	running bool
	next    *readCall // begins when the running read ends; nil if no caller waits
}

// readCall is one read. values and err may be read once done is closed. Callers must not modify values.
type readCall struct {
	done   chan struct{}
	values map[string]quorum.Value
	err    error
}

// readFunc reads registers.
type readFunc func(ctx context.Context) (map[string]quorum.Value, error)

// do returns the result of a read that begins after the call of do. It returns replica.ErrTooFewResponses if ctx ends
// first.
func (s *sharedRead) do(ctx context.Context, read readFunc) (map[string]quorum.Value, error) {
	call := s.join(read)
	select {
	case <-call.done:
		return call.values, call.err
	case <-ctx.Done():
		return nil, replica.ErrTooFewResponses
	}
}

// join returns the next read. It starts the read if none is in progress.
func (s *sharedRead) join(read readFunc) *readCall {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.next == nil {
		s.next = &readCall{done: make(chan struct{})}
	}
	call := s.next
	if !s.running {
		s.running = true
		s.next = nil
		go s.run(call, read)
	}
	return call
}

// run executes a read, and then each read that was requested in the meantime, with a timeout that is independent of the
// callers.
func (s *sharedRead) run(call *readCall, read readFunc) {
	for call != nil {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		call.values, call.err = read(ctx)
		cancel()
		close(call.done)
		call = s.takeNext()
	}
}

// takeNext returns the next read, or nil if no caller waits. It sets running accordingly.
func (s *sharedRead) takeNext() *readCall {
	s.mu.Lock()
	defer s.mu.Unlock()
	call := s.next
	s.next = nil
	s.running = call != nil
	return call
}

// readConfiguration reads all items of the configuration. Concurrent callers share a read.
func (s *Server) readConfiguration(ctx context.Context) (map[string]quorum.Value, error) {
	return s.configReads.do(ctx, func(ctx context.Context) (map[string]quorum.Value, error) {
		return s.readPrefix(ctx, config.KeyPrefix)
	})
}
