package ws

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"sagelever/internal/agent/api"
	"sagelever/internal/agent/connpool"
)

// BackendPool has the connections to backends. Package connpool decides about them; here it is carried out.
type BackendPool struct {
	startedAt   time.Time
	log         *slog.Logger
	path        string // where backends take the upgrade
	dialTimeout time.Duration
	ctx         context.Context // ends all connections

	mu           sync.Mutex // guards the following
	manager      *connpool.Pool
	conns        map[connpool.ConnID]*backendConn
	addresses    map[api.BackendID]string
	draining     map[api.BackendID]chan struct{} // closed when a backend gets nothing new any more
	connsChanged chan struct{}                   // closed when a connection has come up or failed
}

// BackendEndpoint is where a backend is.
type BackendEndpoint struct {
	ID        api.BackendID
	Address   string
	Available bool // it may get attempts
}

// NewBackendPool makes connections to backends, which take the upgrade at a path. They end with ctx.
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

// now is the time as the manager counts it.
func (p *BackendPool) now() time.Duration { return time.Since(p.startedAt) }

// tickLoop lets the manager look for time-outs, and closes all connections in the end.
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

// Update takes up changes of the list. A backend that has another address is another one and gets new connections.
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

// drain ends new requests to a backend. The lock is held.
func (p *BackendPool) drain(id api.BackendID) {
	close(p.draining[id])
	delete(p.draining, id)
	delete(p.addresses, id)
	p.execute(p.manager.DrainBackend(p.now(), id))
}

// execute carries out what the manager wants. The lock is held.
func (p *BackendPool) execute(actions []connpool.Action) {
	for _, action := range actions {
		c := p.conns[action.Conn]
		switch {
		case action.Kind == connpool.Dial:
			ctx, cancel := context.WithCancel(p.ctx)
			c = newBackendConn(action.Conn, cancel)
			p.conns[action.Conn] = c
			go p.serveConn(ctx, c, p.addresses[action.Backend])
		case c == nil: // it has failed meanwhile
		case action.Kind == connpool.Ping:
			go p.ping(c)
		case action.Kind == connpool.Close:
			delete(p.conns, action.Conn)
			c.cancel()
		}
	}
}

// managerEvent is a method of the manager that takes an event of a connection.
type managerEvent func(*connpool.Pool, time.Duration, connpool.ConnID) []connpool.Action

// notifyManager tells the manager what has happened to a connection.
func (p *BackendPool) notifyManager(c *backendConn, event managerEvent) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.execute(event(p.manager, p.now(), c.id))
}

// signalChange wakes the requests that wait for a connection.
func (p *BackendPool) signalChange() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.connsChanged)
	p.connsChanged = make(chan struct{})
}

// connFailed takes up that a connection did not come up, or broke.
func (p *BackendPool) connFailed(c *backendConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c.id)
	p.execute(p.manager.Failed(p.now(), c.id))
}

// Stats returns the manager's counts, and as Open the connections that are up or coming up.
func (p *BackendPool) Stats() connpool.Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	stats := p.manager.Stats
	stats.Open = len(p.conns)
	return stats
}
