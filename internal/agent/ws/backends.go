package ws

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/coder/websocket"

	"sagelever/internal/agent/api"
	"sagelever/internal/agent/connpool"
	"sagelever/internal/agent/transaction"
)

// BackendPool are the connections to appliances. Package pool decides about them; here it is carried out.
type BackendPool struct {
	startedAt   time.Time
	log         *slog.Logger
	path        string // where appliances take the upgrade
	dialTimeout time.Duration

	mu           sync.Mutex
	manager      *connpool.Pool
	conns        map[connpool.ConnID]*backendConn
	addresses    map[api.BackendID]string
	draining     map[api.BackendID]chan struct{} // closed when an appliance gets nothing new any more
	connsChanged chan struct{}                   // closed when a connection has come up or failed
	ctx          context.Context
}

// backendConn is one connection.
type backendConn struct {
	id        connpool.ConnID
	ws        *websocket.Conn // nil while it comes up
	writeTurn chan struct{}   // whose turn it is to write
	cancel    context.CancelFunc
	closed    chan struct{} // closed when it is of no use any more

	mu            sync.Mutex
	lastSend      uint64
	waiting       map[uint64]chan BackendResponse
	subscriptions map[uint64]*Subscription
}

// fragmentSize is how much of a message is written at a time: between two a send can still be cut so that it never
// runs.
const fragmentSize = 4 << 10

// fragmentTimeout is how long one fragment may take to be written. An appliance that does not read holds up all its
// sends.
const fragmentTimeout = time.Second

// NewBackendPool makes connections to appliances at a path, which end with ctx. Their pool keeps to bounds.
func NewBackendPool(ctx context.Context, path string, config connpool.Config, seed uint64, log *slog.Logger) *BackendPool {
	p := &BackendPool{startedAt: time.Now(), log: log, path: path, dialTimeout: config.DialTimeout, manager: connpool.New(config, seed), conns: map[connpool.ConnID]*backendConn{},
		addresses: map[api.BackendID]string{}, draining: map[api.BackendID]chan struct{}{}, connsChanged: make(chan struct{}), ctx: ctx}
	go p.tickLoop(config)
	return p
}

func (p *BackendPool) now() time.Duration { return time.Since(p.startedAt) }

// tickLoop lets the pool look at the time.
func (p *BackendPool) tickLoop(config connpool.Config) {
	ticker := time.NewTicker(max(min(config.ResponseTimeout, config.PingTimeout)/10, time.Millisecond))
	defer ticker.Stop()
	for {
		select {
		case <-p.ctx.Done():
			p.mu.Lock()
			for _, c := range p.conns {
				c.cancel()
			}
			p.mu.Unlock()
			return
		case <-ticker.C:
			p.mu.Lock()
			p.execute(p.manager.Tick(p.now()))
			p.mu.Unlock()
		}
	}
}

// BackendEndpoint is one line of the list of appliances.
type BackendEndpoint struct {
	ID        api.BackendID
	Address   string
	Available bool // may get sends
}

// Update takes up lines of the list. A new machine under an old id gets new connections.
func (p *BackendPool) Update(endpoints []BackendEndpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, endpoint := range endpoints {
		if old, known := p.addresses[endpoint.ID]; known && (!endpoint.Available || old != endpoint.Address) {
			p.drain(endpoint.ID)
		}
		if _, known := p.addresses[endpoint.ID]; endpoint.Available && !known {
			p.addresses[endpoint.ID], p.draining[endpoint.ID] = endpoint.Address, make(chan struct{})
			p.execute(p.manager.AddBackend(p.now(), endpoint.ID))
		}
	}
}

func (p *BackendPool) drain(id api.BackendID) {
	close(p.draining[id])
	delete(p.draining, id)
	delete(p.addresses, id)
	p.execute(p.manager.DrainBackend(p.now(), id))
}

// execute carries out what the pool wants. The lock is held.
func (p *BackendPool) execute(actions []connpool.Action) {
	for _, action := range actions {
		switch action.Kind {
		case connpool.Dial:
			ctx, cancel := context.WithCancel(p.ctx)
			c := &backendConn{id: action.Conn, cancel: cancel, writeTurn: make(chan struct{}, 1), closed: make(chan struct{}), waiting: map[uint64]chan BackendResponse{},
				subscriptions: map[uint64]*Subscription{}}
			p.conns[action.Conn] = c
			go p.serveConn(ctx, c, p.addresses[action.Backend])
		case connpool.Ping:
			if c := p.conns[action.Conn]; c != nil {
				go func() {
					ctx, cancel := context.WithTimeout(p.ctx, 10*time.Second) // the pool gives the link up long before
					defer cancel()
					if c.ws.Ping(ctx) == nil {
						p.notifyManager(c, (*connpool.Pool).Received)
					}
				}()
			}
		case connpool.Close:
			if c := p.conns[action.Conn]; c != nil {
				delete(p.conns, action.Conn)
				c.cancel()
			}
		}
	}
}

// notifyManager tells the pool what befell a connection, and wakes those who wait for one.
func (p *BackendPool) notifyManager(c *backendConn, event func(*connpool.Pool, time.Duration, connpool.ConnID) []connpool.Action) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.execute(event(p.manager, p.now(), c.id))
}

func (p *BackendPool) signalChange() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.connsChanged)
	p.connsChanged = make(chan struct{})
}

// serveConn opens a connection and reads it until it ends.
func (p *BackendPool) serveConn(ctx context.Context, c *backendConn, address string) {
	defer c.cancel()
	defer close(c.closed)
	defer p.signalChange()
	dialCtx, stop := context.WithTimeout(ctx, p.dialTimeout)
	ws, _, err := websocket.Dial(dialCtx, "ws://"+address+p.path, &websocket.DialOptions{Subprotocols: []string{BackendProtocol},
		CompressionMode: websocket.CompressionDisabled, HTTPClient: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}})
	stop()
	if err == nil && ws.Subprotocol() != BackendProtocol {
		ws.CloseNow()
		err = errors.New("the appliance does not speak " + BackendProtocol)
	}
	if err != nil {
		p.connFailed(c)
		return
	}
	ws.SetReadLimit(maxHeadSize + 16*MaxBodySize)
	p.mu.Lock()
	c.ws = ws
	p.execute(p.manager.Opened(p.now(), c.id))
	p.mu.Unlock()
	p.signalChange()
	defer ws.CloseNow()
	for {
		_, message, err := ws.Read(ctx)
		if err != nil {
			p.connFailed(c)
			return
		}
		p.notifyManager(c, (*connpool.Pool).Received)
		response, err := parseBackendResponse(message)
		if err != nil { // what is spoilt belongs to no send: all of them may have run
			p.log.Warn("spoilt_message", "address", address, "error", err)
			p.connFailed(c)
			return
		}
		c.mu.Lock()
		wait, subscription := c.waiting[response.Send], c.subscriptions[response.Send]
		if response.Type == "done" {
			delete(c.waiting, response.Send)
		}
		c.mu.Unlock()
		switch {
		case response.Type == "push" && subscription != nil:
			subscription.push(response)
		case response.Type == "done" && wait != nil:
			wait <- response
		}
	}
}

func (p *BackendPool) connFailed(c *backendConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c.id)
	p.execute(p.manager.Failed(p.now(), c.id))
}

// AttemptStage is how far a send had come when it ended without an answer.
type AttemptStage int

const (
	NotConnected AttemptStage = iota // no connection came up
	NotWritten                       // its last fragment was never handed on: it never ran
	Written                          // it may have run
)

// AttemptError says why a send has no answer, and how far it had come.
type AttemptError struct {
	Stage AttemptStage
	Cause error
}

func (e *AttemptError) Error() string { return fmt.Sprintf("reach %d: %v", e.Stage, e.Cause) }
func (e *AttemptError) Unwrap() error { return e.Cause }

var (
	errNoConnection    = errors.New("no connection can be had now")
	errBackendDraining = errors.New("the appliance gets nothing new")
	errConnectionLost  = errors.New("the connection broke")
	errWriteTimeout    = errors.New("the appliance does not read")
)

// OutcomeOf is the module's word for how a send ended. Only what is certain counts as never run.
func OutcomeOf(response BackendResponse, err error) api.Outcome {
	var attempt *AttemptError
	switch {
	case err == nil && response.Status == http.StatusOK:
		return api.Succeeded
	case err == nil && response.NotStarted:
		return api.Rejected
	case err == nil && response.Status >= 400 && response.Status < 500:
		return api.InvalidRequest
	case err == nil:
		return api.ErrorResponse
	case errors.As(err, &attempt) && attempt.Stage < Written && (errors.Is(err, transaction.ErrCanceled) || errors.Is(err, errBackendDraining) || errors.Is(err, errNoConnection)):
		return api.NotSent // no blame on the appliance for what is ours
	case errors.As(err, &attempt) && attempt.Stage < Written:
		return api.Unreachable
	case errors.Is(err, transaction.ErrCanceled):
		return api.Canceled
	case errors.Is(err, transaction.ErrTimedOut):
		return api.TimedOut
	}
	return api.ConnectionLost
}

// Subscription is what an appliance pushes after it has answered. It counts as a send that is out, so that its
// connection is neither taken for one at rest nor believed to live without a sign of it.
type Subscription struct {
	Done     <-chan struct{} // closed when the connection has ended
	Draining <-chan struct{} // closed when the appliance gets nothing new: it should be asked of another

	pool *BackendPool
	conn *backendConn
	send uint64
	once sync.Once
	push func(BackendResponse)
}

// Close ends it, and tells the appliance.
func (s *Subscription) Close() {
	s.once.Do(func() {
		s.conn.mu.Lock()
		delete(s.conn.subscriptions, s.send)
		s.conn.mu.Unlock()
		s.pool.notifyManager(s.conn, (*connpool.Pool).Release)
		go s.pool.cancel(s.conn, s.send)
	})
}

// Send carries one message to an appliance and waits for its answer. It is given up when off ends, whose cause says
// why.
func (p *BackendPool) Send(ctx context.Context, to api.BackendID, request BackendRequest) (BackendResponse, error) {
	done, _, err := p.send(ctx, to, request, nil)
	return done, err
}

// Subscribe is Send for a message whose answer is followed by pushes. What is pushed before the answer has been read
// counts too. push is called by one goroutine at a time and returns at once.
func (p *BackendPool) Subscribe(ctx context.Context, to api.BackendID, request BackendRequest, push func(BackendResponse)) (BackendResponse, *Subscription, error) {
	return p.send(ctx, to, request, push)
}

func (p *BackendPool) send(ctx context.Context, to api.BackendID, request BackendRequest, push func(BackendResponse)) (_ BackendResponse, subscription *Subscription, err error) {
	c, draining, err := p.acquire(ctx, to)
	if err != nil {
		return BackendResponse{}, nil, err
	}
	responses := make(chan BackendResponse, 1)
	c.mu.Lock()
	c.lastSend++
	request.Type, request.Send, request.Size = "run", c.lastSend, len(request.Body)
	c.waiting[request.Send] = responses
	if push != nil {
		subscription = &Subscription{Done: c.closed, Draining: draining, pool: p, conn: c, send: request.Send, push: push}
		c.subscriptions[request.Send] = subscription
	}
	c.mu.Unlock()
	defer func() {
		switch { // one that is answered well goes on being out
		case subscription == nil:
			p.notifyManager(c, (*connpool.Pool).Release)
		case err != nil:
			subscription.Close()
			subscription = nil
		}
	}()
	response, err := p.roundTrip(ctx, c, draining, request, responses)
	return response, subscription, err
}

// roundTrip writes a message and waits for its answer.
func (p *BackendPool) roundTrip(ctx context.Context, c *backendConn, draining <-chan struct{}, request BackendRequest, responses <-chan BackendResponse) (BackendResponse, error) {
	defer func() {
		c.mu.Lock()
		delete(c.waiting, request.Send)
		c.mu.Unlock()
	}()
	if err := p.write(ctx, c, draining, request); err != nil {
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
			return BackendResponse{}, &AttemptError{Written, errConnectionLost}
		}
	case <-ctx.Done():
		go p.cancel(c, request.Send)
		return BackendResponse{}, &AttemptError{Written, context.Cause(ctx)}
	}
}

// acquire gets the connection that the pool gives a send, and the word that its appliance gets nothing new.
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
			return nil, nil, &AttemptError{NotConnected, errBackendDraining}
		case decision != connpool.Wait:
			return nil, nil, &AttemptError{NotConnected, errNoConnection}
		}
		select {
		case <-changed:
		case <-draining:
			return nil, nil, &AttemptError{NotConnected, errBackendDraining}
		case <-ctx.Done():
			return nil, nil, &AttemptError{NotConnected, context.Cause(ctx)}
		}
	}
}

// write writes a message by fragments. Until the last one has been handed on it can be cut, when it is called off or
// its appliance gets nothing new; it then never runs, and the connection goes on carrying the others.
func (p *BackendPool) write(ctx context.Context, c *backendConn, draining <-chan struct{}, request BackendRequest) error {
	interrupted := func() error {
		select {
		case <-ctx.Done():
			return &AttemptError{NotWritten, context.Cause(ctx)}
		case <-draining:
			return &AttemptError{NotWritten, errBackendDraining}
		case <-c.closed:
			return &AttemptError{NotWritten, errConnectionLost}
		default:
			return nil
		}
	}
	select {
	case c.writeTurn <- struct{}{}:
		defer func() { <-c.writeTurn }()
	case <-ctx.Done():
		return interrupted()
	case <-draining:
		return interrupted()
	case <-c.closed:
		return interrupted()
	}
	if err := interrupted(); err != nil {
		return err
	}
	writeCtx, cancel := context.WithCancel(p.ctx)
	defer cancel()
	timeout := time.AfterFunc(fragmentTimeout, cancel)
	defer timeout.Stop()
	w, err := c.ws.Writer(writeCtx, websocket.MessageBinary)
	if err != nil {
		return &AttemptError{NotWritten, errConnectionLost}
	}
	message := encodeMessage(request, request.Body)
	for rest := message; len(rest) > 0; {
		n := min(len(rest), fragmentSize)
		if err := interrupted(); err != nil {
			w.Close() // what is written has fewer bytes than it says, and never runs
			return err
		}
		if len(rest) == n {
			break
		}
		timeout.Reset(fragmentTimeout)
		if _, err := w.Write(rest[:n]); err != nil {
			return &AttemptError{NotWritten, fmt.Errorf("%w: %w", errWriteTimeout, err)}
		}
		rest = rest[n:]
		message = rest
	}
	timeout.Reset(fragmentTimeout)
	if _, err := w.Write(message); err != nil {
		return &AttemptError{NotWritten, fmt.Errorf("%w: %w", errWriteTimeout, err)}
	}
	if err := w.Close(); err != nil { // this hands on the last fragment, an empty one: from here on it may have run
		return &AttemptError{Written, fmt.Errorf("%w: %w", errConnectionLost, err)}
	}
	return nil
}

// cancel tells an appliance that nobody waits any more, if that can be written soon.
func (p *BackendPool) cancel(c *backendConn, send uint64) {
	ctx, stop := context.WithTimeout(p.ctx, fragmentTimeout)
	defer stop()
	select {
	case c.writeTurn <- struct{}{}:
		defer func() { <-c.writeTurn }()
		c.ws.Write(ctx, websocket.MessageBinary, encodeMessage(BackendRequest{Type: "cancel", Send: send}, nil))
	case <-ctx.Done():
	case <-c.closed:
	}
}

// Stats are the pool's counts, and how many connections are up or coming up.
func (p *BackendPool) Stats() connpool.Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	stats := p.manager.Stats
	stats.Open = len(p.conns)
	return stats
}
