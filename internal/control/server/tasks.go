package server

import (
	"context"
	"time"

	"sagelever/internal/control/message"
	"sagelever/internal/control/quorum"
	"sagelever/internal/control/replica"
)

// callTimeout bounds an operation on behalf of a caller. Callers give up on a controller after a second.
const callTimeout = 900 * time.Millisecond

// handleRequest passes another controller's request to the replica and waits for the response. The replica responds
// only once the state that the response promises is durable.
func (s *Server) handleRequest(
	ctx context.Context, path string, request *message.PeerRequest,
) (*message.PeerResponse, error) {
	done := make(chan replica.OutgoingResponse, 1)
	s.step(func(now time.Time) {
		s.lastCallID++
		s.pendingCalls[s.lastCallID] = done
		s.replica.HandleRequest(now, s.lastCallID, path, request)
	})
	select {
	case outgoing := <-done:
		return outgoing.Response, outgoing.Err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// runTask starts a task of the replica, which is a proposal or a read that needs other members, and waits for its
// result. start starts the task, which the replica may abandon at the time until, and returns the task's ID. runTask
// returns replica.ErrTooFewResponses if ctx ends first.
func (s *Server) runTask(
	ctx context.Context, start func(now, until time.Time) uint64,
) (map[string]quorum.Value, error) {
	done := make(chan replica.Completion, 1)
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(callTimeout)
	}
	started := false
	s.step(func(now time.Time) {
		// The rest of the time is measured here, as the process may have been suspended on the way.
		timeout := time.Until(deadline)
		if timeout <= 0 {
			return
		}
		started = true
		id := start(now, now.Add(timeout))
		s.pendingTasks[id] = done
	})
	if !started {
		return nil, replica.ErrTooFewResponses
	}
	select {
	case completion := <-done:
		return completion.Values, completion.Err
	case <-ctx.Done():
		return nil, replica.ErrTooFewResponses
	}
}

// propose changes registers independently of one another and returns the chosen values.
func (s *Server) propose(
	ctx context.Context, changes map[string]quorum.UpdateFunc,
) (map[string]quorum.Value, error) {
	s.counters.proposals.Add(1)
	return s.runTask(ctx, func(now, until time.Time) uint64 { return s.replica.Write(now, until, changes) })
}

// proposeAtomic changes several registers by one decision that depends on all of them, and returns the chosen values.
func (s *Server) proposeAtomic(
	ctx context.Context, keys []string, decide quorum.DecideFunc,
) (map[string]quorum.Value, error) {
	s.counters.proposals.Add(1)
	return s.runTask(ctx, func(now, until time.Time) uint64 { return s.replica.WriteAtomic(now, until, keys, decide) })
}

// proposeOrHandOver is like proposeAtomic, for a change that may be handed over: it returns a *replica.ContendedError
// if another controller should propose the change.
func (s *Server) proposeOrHandOver(
	ctx context.Context, keys []string, decide quorum.DecideFunc,
) (map[string]quorum.Value, error) {
	s.counters.proposals.Add(1)
	return s.runTask(ctx, func(now, until time.Time) uint64 {
		return s.replica.WriteOrHandOver(now, until, keys, decide)
	})
}

// readPrefix reads the registers whose keys start with prefix. The values are at least as new as any value that was
// acknowledged before the call.
func (s *Server) readPrefix(ctx context.Context, prefix string) (map[string]quorum.Value, error) {
	return s.runTask(ctx, func(now, until time.Time) uint64 { return s.replica.Read(now, until, prefix) })
}

// readKeys reads the given registers, with the same guarantee as readPrefix.
func (s *Server) readKeys(ctx context.Context, keys []string) (map[string]quorum.Value, error) {
	return s.runTask(ctx, func(now, until time.Time) uint64 { return s.replica.ReadKeys(now, until, keys) })
}

// localValues reads the given registers from this replica only. Other members may have chosen newer values.
func (s *Server) localValues(keys []string) map[string]quorum.Value {
	s.mu.Lock()
	defer s.mu.Unlock()
	values := make(map[string]quorum.Value, len(keys))
	for _, key := range keys {
		values[key] = s.replica.Register(key).Value
	}
	return values
}

// localChosenValues is like localValues for values that are known to be chosen. ok is false if one of the registers has a
// value of which this is not known.
func (s *Server) localChosenValues(keys []string) (values map[string]quorum.Value, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	values = make(map[string]quorum.Value, len(keys))
	for _, key := range keys {
		entry := s.replica.Register(key)
		if !entry.Chosen && entry.Accepted != (quorum.ProposalNumber{}) {
			return nil, false
		}
		values[key] = entry.Value
	}
	return values, true
}

// requireQuorum returns replica.ErrNoQuorum if this member does not reach a majority. It can then neither confirm nor
// reject an operation, as the other members may have decided otherwise.
func (s *Server) requireQuorum() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.replica.HasQuorum(s.now()) {
		return replica.ErrNoQuorum
	}
	return nil
}
