package ws

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/coder/websocket"

	"sagelever/internal/agent/api"
	"sagelever/internal/agent/connpool"
	"sagelever/internal/agent/transaction"
)

const (
	// fragmentSize is the number of bytes of a request in one fragment. Between fragments, a request can still be
	// aborted so that it never runs.
	fragmentSize = 4 << 10

	// fragmentTimeout limits writing one fragment, as a backend that does not read blocks all requests on its
	// connection.
	fragmentTimeout = time.Second
)

var (
	errNoConnection    = errors.New("no connection available")
	errBackendDraining = errors.New("backend is draining or not listed")
	errConnectionLost  = errors.New("connection lost")
	errWriteTimeout    = errors.New("backend does not read")
)

// OutcomeOf returns the outcome of an attempt. An attempt counts as never run only if that is certain.
func OutcomeOf(response BackendResponse, err error) api.Outcome {
	if err == nil {
		return responseOutcome(response)
	}
	neverRan := transaction.NeverRan(err)
	canceled := errors.Is(err, transaction.ErrCanceled)
	switch {
	case neverRan && (canceled || errors.Is(err, errBackendDraining) || errors.Is(err, errNoConnection)):
		return api.NotSent // caused by the agent, not by the backend
	case neverRan:
		return api.Unreachable
	case canceled:
		return api.Canceled
	case errors.Is(err, transaction.ErrTimedOut):
		return api.TimedOut
	}
	return api.ConnectionLost
}

// responseOutcome returns the outcome of an attempt that got a response.
func responseOutcome(response BackendResponse) api.Outcome {
	switch {
	case response.Status == http.StatusOK:
		return api.Succeeded
	case response.NotStarted:
		return api.Rejected
	case response.Status >= 400 && response.Status < 500:
		return api.InvalidRequest
	}
	return api.ErrorResponse
}

// Subscription is a subscription at a backend, which pushes messages after its response. It counts as a request in
// flight, so that its connection is not closed as idle, and is pinged when it is silent.
type Subscription struct {
	Done     <-chan struct{} // closed when the connection has ended
	Draining <-chan struct{} // closed when the backend begins to drain and the subscription should move to another one

	pool   *BackendPool
	conn   *backendConn
	number uint64
	once   sync.Once
	push   func(BackendResponse)
}

// Close ends the subscription and notifies the backend. It may be called more than once.
func (s *Subscription) Close() {
	s.once.Do(func() {
		s.conn.mu.Lock()
		delete(s.conn.subscriptions, s.number)
		s.conn.mu.Unlock()
		s.pool.notifyManager(s.conn, (*connpool.Pool).Release)
		go s.pool.cancel(s.conn, s.number)
	})
}

// Send sends a request to a backend and waits for the response, until ctx is canceled. Its errors are of type
// *transaction.AttemptError, and contain the cause of ctx after a cancellation.
func (p *BackendPool) Send(ctx context.Context, to api.BackendID, request BackendRequest) (BackendResponse, error) {
	c, draining, err := p.acquire(ctx, to)
	if err != nil {
		return BackendResponse{}, err
	}
	defer p.notifyManager(c, (*connpool.Pool).Release)
	return p.roundTrip(ctx, c, draining, c.register(&request, nil), request)
}

// Subscribe is like Send for a request whose response is followed by pushes until the subscription is closed. It calls
// push for each of them, also for those that arrive before Subscribe returns, from one goroutine at a time. push must
// not block.
func (p *BackendPool) Subscribe(
	ctx context.Context, to api.BackendID, request BackendRequest, push func(BackendResponse),
) (BackendResponse, *Subscription, error) {
	c, draining, err := p.acquire(ctx, to)
	if err != nil {
		return BackendResponse{}, nil, err
	}
	subscription := &Subscription{Done: c.closed, Draining: draining, pool: p, conn: c, push: push}
	responses := c.register(&request, subscription)
	response, err := p.roundTrip(ctx, c, draining, responses, request)
	if err != nil {
		subscription.Close()
		return BackendResponse{}, nil, err
	}
	return response, subscription, nil
}

// register assigns a number to a request and returns the channel for its response. subscription is nil if the request
// is not a subscription.
func (c *backendConn) register(request *BackendRequest, subscription *Subscription) <-chan BackendResponse {
	responses := make(chan BackendResponse, 1)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastNumber++
	request.Type = typeRun
	request.Number = c.lastNumber
	request.Size = len(request.Body)
	c.waiting[request.Number] = responses
	if subscription != nil {
		subscription.number = request.Number
		c.subscriptions[request.Number] = subscription
	}
	return responses
}

// roundTrip writes a request and waits for its response.
func (p *BackendPool) roundTrip(
	ctx context.Context, c *backendConn, draining <-chan struct{}, responses <-chan BackendResponse,
	request BackendRequest,
) (BackendResponse, error) {
	defer func() {
		c.mu.Lock()
		delete(c.waiting, request.Number)
		c.mu.Unlock()
	}()
	w := &requestWriter{ctx: ctx, conn: c, draining: draining}
	if err := w.write(p.ctx, request); err != nil {
		return BackendResponse{}, err
	}
	select {
	case response := <-responses:
		return response, nil
	case <-c.closed:
		select { // the response may have arrived just before
		case response := <-responses:
			return response, nil
		default:
			return BackendResponse{}, &transaction.AttemptError{Stage: transaction.Written, Cause: errConnectionLost}
		}
	case <-ctx.Done():
		go p.cancel(c, request.Number)
		return BackendResponse{}, &transaction.AttemptError{Stage: transaction.Written, Cause: context.Cause(ctx)}
	}
}

// acquire waits for a connection to a backend. It also returns a channel that is closed when the backend begins to
// drain.
func (p *BackendPool) acquire(ctx context.Context, to api.BackendID) (*backendConn, <-chan struct{}, error) {
	for {
		p.mu.Lock()
		decision, id, actions := p.manager.Acquire(p.now(), to)
		p.execute(actions)
		c, draining, changed := p.conns[id], p.draining[to], p.connsChanged
		p.mu.Unlock()
		switch {
		case decision == connpool.Use && c != nil:
			return c, draining, nil
		case decision == connpool.Reject && draining == nil:
			return nil, nil, &transaction.AttemptError{Stage: transaction.NotConnected, Cause: errBackendDraining}
		case decision != connpool.Wait:
			return nil, nil, &transaction.AttemptError{Stage: transaction.NotConnected, Cause: errNoConnection}
		}
		select {
		case <-changed:
		case <-draining:
			return nil, nil, &transaction.AttemptError{Stage: transaction.NotConnected, Cause: errBackendDraining}
		case <-ctx.Done():
			return nil, nil, &transaction.AttemptError{Stage: transaction.NotConnected, Cause: context.Cause(ctx)}
		}
	}
}

// requestWriter writes one request. Until the last fragment is written, the request is aborted if its attempt is
// canceled or the backend begins to drain. It then never runs, and the connection continues to serve the other
// requests.
type requestWriter struct {
	ctx      context.Context // of the attempt
	conn     *backendConn
	draining <-chan struct{}
}

// interrupted returns the error with which the request must be aborted, or nil.
func (w *requestWriter) interrupted() error {
	select {
	case <-w.ctx.Done():
		return &transaction.AttemptError{Stage: transaction.NotWritten, Cause: context.Cause(w.ctx)}
	case <-w.draining:
		return &transaction.AttemptError{Stage: transaction.NotWritten, Cause: errBackendDraining}
	case <-w.conn.closed:
		return &transaction.AttemptError{Stage: transaction.NotWritten, Cause: errConnectionLost}
	default:
		return nil
	}
}

// lockWrites waits until no other message is being written on the connection, and locks it for this request.
func (w *requestWriter) lockWrites() error {
	select {
	case w.conn.writeLock <- struct{}{}:
		return nil
	case <-w.ctx.Done():
	case <-w.draining:
	case <-w.conn.closed:
	}
	return w.interrupted()
}

// write writes a request. poolCtx is the context of the connection.
func (w *requestWriter) write(poolCtx context.Context, request BackendRequest) error {
	if err := w.lockWrites(); err != nil {
		return err
	}
	defer func() { <-w.conn.writeLock }()
	if err := w.interrupted(); err != nil {
		return err
	}
	// The write does not use the attempt's context, as canceling the context of a write closes the connection.
	writeCtx, cancel := context.WithCancel(poolCtx)
	defer cancel()
	timeout := time.AfterFunc(fragmentTimeout, cancel)
	defer timeout.Stop()
	message, err := w.conn.socket.Writer(writeCtx, websocket.MessageBinary)
	if err != nil {
		return &transaction.AttemptError{Stage: transaction.NotWritten, Cause: errConnectionLost}
	}
	if err := w.writeFragments(message, timeout, encodeMessage(request, request.Body)); err != nil {
		return err
	}
	if err := message.Close(); err != nil { // Close writes the empty last fragment: the request may have run from here on
		return &transaction.AttemptError{Stage: transaction.Written, Cause: fmt.Errorf("%w: %w", errConnectionLost, err)}
	}
	return nil
}

// writeFragments writes a message in fragments, each within fragmentTimeout.
func (w *requestWriter) writeFragments(message io.WriteCloser, timeout *time.Timer, rest []byte) error {
	for len(rest) > 0 {
		if err := w.interrupted(); err != nil {
			_ = message.Close() // the body is shorter than its declared size, so the request never runs
			return err
		}
		fragment := rest[:min(len(rest), fragmentSize)]
		timeout.Reset(fragmentTimeout)
		if _, err := message.Write(fragment); err != nil {
			return &transaction.AttemptError{Stage: transaction.NotWritten, Cause: fmt.Errorf("%w: %w", errWriteTimeout, err)}
		}
		rest = rest[len(fragment):]
	}
	return nil
}

// cancel notifies a backend that a response is no longer needed, unless the write takes longer than fragmentTimeout.
func (p *BackendPool) cancel(c *backendConn, number uint64) {
	ctx, stop := context.WithTimeout(p.ctx, fragmentTimeout)
	defer stop()
	select {
	case c.writeLock <- struct{}{}:
		defer func() { <-c.writeLock }()
		message := encodeMessage(BackendRequest{Type: typeCancel, Number: number}, nil)
		_ = c.socket.Write(ctx, websocket.MessageBinary, message) // best effort: it only saves the backend work
	case <-ctx.Done():
	case <-c.closed:
	}
}
