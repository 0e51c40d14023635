package ws

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"sagelever/internal/agent/api"
	"sagelever/internal/agent/connpool"
)

// BackendPool holds the connections to backends. Its manager, a connpool.Pool, decides when to dial, ping or
// close one, and BackendPool performs these actions.
type BackendPool struct {
	startedAt   time.Time
	log         *slog.Logger
	path        string // of the upgrade at backends
	dialTimeout time.Duration
	ctx         context.Context // closes all connections when canceled

	mu           sync.Mutex // guards the following
	manager      *connpool.Pool
	conns        map[connpool.ConnID]*backendConn
	addresses    map[api.BackendID]string
	draining     map[api.BackendID]chan struct{} // closed when the backend begins to drain
	connsChanged chan struct{}                   // closed and replaced when a connection has been established or has ended
}

// BackendEndpoint is the address and availability of a backend.
type BackendEndpoint struct {
	ID        api.BackendID
	Address   string
	Available bool // it may receive attempts
}

// NewBackendPool returns a pool of connections to backends, which accept the upgrade at path. All connections are
// closed when ctx is canceled.
func NewBackendPool(
	ctx context.Context, path string, config connpool.Config, seed uint64, log *slog.Logger,
) *BackendPool {
	p := &BackendPool{
		startedAt:    time.Now(),
		log:          log,
		path:         path,
		dialTimeout:  config.DialTimeout,
		ctx:          ctx,
		manager:      connpool.New(config, seed),
		conns:        map[connpool.ConnID]*backendConn{},
		addresses:    map[api.BackendID]string{},
		draining:     map[api.BackendID]chan struct{}{},
		connsChanged: make(chan struct{}),
	}
	go p.tickLoop(config)
	return p
}

// now returns the time for the manager, since the start of the pool.
func (p *BackendPool) now() time.Duration { return time.Since(p.startedAt) }

// tickLoop drives the timeouts of the manager until the context is canceled, and then closes all connections.
func (p *BackendPool) tickLoop(config connpool.Config) {
	const ticksPerTimeout = 10
	interval := min(config.ResponseTimeout, config.PingTimeout) / ticksPerTimeout
	ticker := time.NewTicker(max(interval, time.Millisecond))
	defer ticker.Stop()
	for {
		select {
		case <-p.ctx.Done():
			p.closeAll()
			return
		case <-ticker.C:
			p.mu.Lock()
			p.execute(p.manager.Tick(p.now()))
			p.mu.Unlock()
		}
	}
}

func (p *BackendPool) closeAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		c.cancel()
	}
}

// Update applies changes of the backend list. A backend whose address has changed gets new connections.
func (p *BackendPool) Update(endpoints []BackendEndpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, endpoint := range endpoints {
		address, known := p.addresses[endpoint.ID]
		if known && (!endpoint.Available || address != endpoint.Address) {
			p.drain(endpoint.ID)
			known = false
		}
		if endpoint.Available && !known {
			p.addresses[endpoint.ID] = endpoint.Address
			p.draining[endpoint.ID] = make(chan struct{})
			p.execute(p.manager.AddBackend(p.now(), endpoint.ID))
		}
	}
}

// drain stops new requests to a backend. The caller must hold mu.
func (p *BackendPool) drain(id api.BackendID) {
	close(p.draining[id])
	delete(p.draining, id)
	delete(p.addresses, id)
	p.execute(p.manager.DrainBackend(p.now(), id))
}

// execute performs actions of the manager. The caller must hold mu.
func (p *BackendPool) execute(actions []connpool.Action) {
	for _, action := range actions {
		c := p.conns[action.Conn]
		switch {
		case action.Kind == connpool.Dial:
			ctx, cancel := context.WithCancel(p.ctx)
			c = newBackendConn(action.Conn, cancel)
			p.conns[action.Conn] = c
			go p.serveConn(ctx, c, p.addresses[action.Backend])
		case c == nil: // the connection has already failed
		case action.Kind == connpool.Ping:
			go p.ping(c)
		case action.Kind == connpool.Close:
			delete(p.conns, action.Conn)
			c.cancel()
		}
	}
}

// managerEvent is a method of the manager that reports an event of a connection.
type managerEvent func(*connpool.Pool, time.Duration, connpool.ConnID) []connpool.Action

// notifyManager reports an event of a connection to the manager and performs the resulting actions.
func (p *BackendPool) notifyManager(c *backendConn, event managerEvent) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.execute(event(p.manager, p.now(), c.id))
}

// signalChange wakes the requests that wait in acquire.
func (p *BackendPool) signalChange() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.connsChanged)
	p.connsChanged = make(chan struct{})
}

// connFailed removes a connection whose dial has failed or that was lost.
func (p *BackendPool) connFailed(c *backendConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c.id)
	p.execute(p.manager.Failed(p.now(), c.id))
}

// Stats returns the manager's statistics. Open counts established connections and those being dialed.
func (p *BackendPool) Stats() connpool.Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	stats := p.manager.Stats
	stats.Open = len(p.conns)
	return stats
}
