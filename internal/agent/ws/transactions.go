package ws

import (
	"context"
	"time"

	"sagelever/internal/agent/api"
	"sagelever/internal/agent/transaction"
)

// limitRetryMS is the delay in ms after which a client should retry after reaching a limit.
const limitRetryMS = 100

// startTransaction starts a transaction or a subscription for a client's request, or rejects or defers it.
func (c *clientConn) startTransaction(request ClientRequest) {
	server := c.server
	accepted, err := server.accept(request, c.peer)
	if err != nil {
		c.reject(request, err.Error())
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cancels[request.ID] != nil {
		c.reject(request, "the id is open")
		return
	}
	if c.draining || len(c.cancels) >= server.limits.PerConnection || server.openTransactions.Load() >= server.limits.Total {
		// The request has not been accepted, so it is safe to retry.
		c.enqueue(ClientMessage{Type: typeDeferred, ID: request.ID, RetryMS: limitRetryMS})
		return
	}
	ctx, cancel := context.WithCancel(c.ctx)
	if c.cancels == nil {
		c.cancels = map[string]context.CancelFunc{}
	}
	c.cancels[request.ID] = cancel
	server.openTransactions.Add(1)
	c.inFlight.Go(func() {
		defer server.openTransactions.Add(-1)
		defer c.close(request.ID)
		if request.Type == typeSubscribe {
			c.subscribe(ctx, request, accepted)
		} else {
			c.runTransaction(ctx, request, accepted)
		}
	})
}

// reject sends the reason why a request does not become a transaction.
func (c *clientConn) reject(request ClientRequest, reason string) {
	c.enqueue(ClientMessage{Type: typeError, ID: request.ID, Error: reason})
}

// close removes a transaction that has ended.
func (c *clientConn) close(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancels[id]()
	delete(c.cancels, id)
}

// runTransaction runs a transaction until its final answer. ctx is canceled when the client disconnects or cancels the
// transaction.
func (c *clientConn) runTransaction(ctx context.Context, request ClientRequest, accepted api.TransactionAccepted) {
	server := c.server
	deadline := time.Now().Add(accepted.Timeout)
	err := transaction.Run(server.host.Engine(), accepted, transaction.Handler{
		Send: func(ctx context.Context, action api.StartAttempt) transaction.AttemptResult {
			return server.runAttempt(ctx, request, action, deadline)
		},
		Respond:     func(result transaction.Result) { c.respond(request, result) },
		ClientGone:  ctx.Done(),
		AnswerGrace: server.host.AnswerGrace(),
	})
	if err != nil {
		c.reject(request, err.Error())
	}
}

// respond sends the final answer to the client.
func (c *clientConn) respond(request ClientRequest, result transaction.Result) {
	message := ClientMessage{ID: request.ID}
	switch result.State {
	case transaction.Succeeded:
		message.Type = typeSatisfied
		message.ContentType = result.Response.ContentType
		message.Body = result.Response.Body
	case transaction.Deferred:
		message.Type = typeDeferred
		message.RetryMS = float64(result.RetryAfter) / float64(time.Millisecond)
	case transaction.DeadlineExceeded:
		c.server.log.Error("overdue", "transaction", request.ID)
		message.Type = typeBrokenOff
	case transaction.Failed:
		message.Type = typeBrokenOff
	default: // the client has disconnected
		return
	}
	c.enqueue(message)
}

// runAttempt sends one attempt of a transaction to a backend.
func (s *Server) runAttempt(
	ctx context.Context, request ClientRequest, action api.StartAttempt, deadline time.Time,
) transaction.AttemptResult {
	remaining := time.Until(deadline)
	if action.Timeout > 0 {
		remaining = min(remaining, action.Timeout)
	}
	ctx, cancel := context.WithTimeoutCause(ctx, remaining, transaction.ErrTimedOut)
	defer cancel()
	response, err := s.backends.Send(ctx, action.Backend, BackendRequest{
		ID:          request.ID,
		Method:      request.Method,
		Path:        request.Path,
		Key:         request.Key,
		Header:      request.Header,
		LeftUS:      max(remaining.Microseconds(), 1),
		Idempotency: request.Idempotency,
		Body:        request.Body,
	})
	result := transaction.AttemptResult{Outcome: OutcomeOf(response, err)}
	if err == nil {
		result.Load = transaction.ParseLoadReport(response.Load)
		result.Response = &transaction.Response{
			ContentType: response.ContentType,
			Body:        response.Body,
			Release:     func() {},
		}
	}
	return result
}
