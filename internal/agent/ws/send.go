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
	// fragmentSize is how much of a request is written at a time. Between two fragments a request can still be abandoned
	// so that it never runs.
	fragmentSize = 4 << 10

	// fragmentTimeout is how long one fragment may take to be written. A backend that does not read holds up all requests
	// on its connection.
	fragmentTimeout = time.Second
)

var (
	errNoConnection    = errors.New("no connection can be had now")
	errBackendDraining = errors.New("the backend gets nothing new")
	errConnectionLost  = errors.New("the connection broke")
	errWriteTimeout    = errors.New("the backend does not read")
)

// OutcomeOf tells how an attempt ended. Only what is certain counts as never run.
func OutcomeOf(response BackendResponse, err error) api.Outcome {
	if err == nil {
		return responseOutcome(response)
	}
	neverRan := transaction.NeverRan(err)
	canceled := errors.Is(err, transaction.ErrCanceled)
	switch {
	case neverRan && (canceled || errors.Is(err, errBackendDraining) || errors.Is(err, errNoConnection)):
		return api.NotSent // the agent's doing, not the backend's
	case neverRan:
		return api.Unreachable
	case canceled:
		return api.Canceled
	case errors.Is(err, transaction.ErrTimedOut):
		return api.TimedOut
	}
	return api.ConnectionLost
}

// responseOutcome tells how an attempt ended that was answered.
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

// Subscription is what a backend pushes after it has answered. It counts as a request in flight, so that its connection
// neither passes for an idle one nor is taken for alive without a sign of it.
type Subscription struct {
	Done     <-chan struct{} // closed when the connection has ended
	Draining <-chan struct{} // closed when the backend gets nothing new: another one should be asked

	pool *BackendPool
	conn *backendConn
	send uint64
	once sync.Once
	push func(BackendResponse)
}

// Close ends the subscription and tells the backend. It may be called more than once.
func (s *Subscription) Close() {
	s.once.Do(func() {
		s.conn.mu.Lock()
		delete(s.conn.subscriptions, s.send)
		s.conn.mu.Unlock()
		s.pool.notifyManager(s.conn, (*connpool.Pool).Release)
		go s.pool.cancel(s.conn, s.send)
	})
}

// Send sends a request to a backend and waits for its response. It is given up when ctx ends, whose cause says why. Its
// errors are of type *transaction.AttemptError.
func (p *BackendPool) Send(ctx context.Context, to api.BackendID, request BackendRequest) (BackendResponse, error) {
	c, draining, err := p.acquire(ctx, to)
	if err != nil {
		return BackendResponse{}, err
	}
	defer p.notifyManager(c, (*connpool.Pool).Release)
	return p.roundTrip(ctx, c, draining, c.register(&request, nil), request)
}

// Subscribe is Send for a request whose response is followed by pushes, until the subscription is closed. What is
// pushed before the response has been read counts, too. push is called by one goroutine at a time and returns at once.
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

// register numbers a request on its connection and makes the channel for its response. The subscription is nil for a
// request that is not followed by pushes.
func (c *backendConn) register(request *BackendRequest, subscription *Subscription) <-chan BackendResponse {
	responses := make(chan BackendResponse, 1)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastSend++
	request.Type = typeRun
	request.Send = c.lastSend
	request.Size = len(request.Body)
	c.waiting[request.Send] = responses
	if subscription != nil {
		subscription.send = request.Send
		c.subscriptions[request.Send] = subscription
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
		delete(c.waiting, request.Send)
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
		select { // it may have come just before
		case response := <-responses:
			return response, nil
		default:
			return BackendResponse{}, &transaction.AttemptError{Stage: transaction.Written, Cause: errConnectionLost}
		}
	case <-ctx.Done():
		go p.cancel(c, request.Send)
		return BackendResponse{}, &transaction.AttemptError{Stage: transaction.Written, Cause: context.Cause(ctx)}
	}
}

// acquire waits for a connection to a backend. It also gives the channel that is closed when the backend drains.
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

// requestWriter writes one request. Until its last fragment is written the request can be abandoned, when it is given
// up or its backend drains: it then never runs, and the connection goes on carrying the others.
type requestWriter struct {
	ctx      context.Context // of the attempt
	conn     *backendConn
	draining <-chan struct{}
}

// interrupted returns the error of a request that is to be abandoned, nil if it is not.
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

// takeTurn waits until no other message is being written on the connection.
func (w *requestWriter) takeTurn() error {
	select {
	case w.conn.writeTurn <- struct{}{}:
		return nil
	case <-w.ctx.Done():
	case <-w.draining:
	case <-w.conn.closed:
	}
	return w.interrupted()
}

// write writes a request. poolCtx ends the connection.
func (w *requestWriter) write(poolCtx context.Context, request BackendRequest) error {
	if err := w.takeTurn(); err != nil {
		return err
	}
	defer func() { <-w.conn.writeTurn }()
	if err := w.interrupted(); err != nil {
		return err
	}
	// The context of the write is not the attempt's: its end would close the connection.
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
	if err := message.Close(); err != nil { // this writes the last fragment, an empty one: it may have run from here on
		return &transaction.AttemptError{Stage: transaction.Written, Cause: fmt.Errorf("%w: %w", errConnectionLost, err)}
	}
	return nil
}

// writeFragments writes a message, each fragment within the timeout.
func (w *requestWriter) writeFragments(message io.WriteCloser, timeout *time.Timer, rest []byte) error {
	for len(rest) > 0 {
		if err := w.interrupted(); err != nil {
			_ = message.Close() // what is written has fewer bytes than its head says, and never runs
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

// cancel tells a backend that nobody waits for a response any more, if that can be written soon.
func (p *BackendPool) cancel(c *backendConn, send uint64) {
	ctx, stop := context.WithTimeout(p.ctx, fragmentTimeout)
	defer stop()
	select {
	case c.writeTurn <- struct{}{}:
		defer func() { <-c.writeTurn }()
		message := encodeMessage(BackendRequest{Type: typeCancel, Send: send}, nil)
		_ = c.socket.Write(ctx, websocket.MessageBinary, message) // it only spares the backend work
	case <-ctx.Done():
	case <-c.closed:
	}
}
