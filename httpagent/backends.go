package httpagent

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"sagelever/internal/agent/api"
	"sagelever/internal/upstream"
)

var errNoDescriptors = errors.New("no descriptor is left for a connection")

// backendClients holds one client per backend, and the limits that they share.
type backendClients struct {
	mu          sync.Mutex
	byID        map[api.BackendID]*backendClient
	dialTimeout time.Duration
	idleTimeout time.Duration // after which backends close an idle connection
	connOptions *upstream.Options

	maxConns    int64
	openConns   atomic.Int64 // established or being dialed
	dials       atomic.Int64 // since the counters were last logged
	failedDials atomic.Int64 // since the counters were last logged

	maxResponseSize  int64        // limit for one response, in bytes
	maxResponseBytes int64        // limit for all responses in memory, in bytes
	responseBytes    atomic.Int64 // reserved by responses being read or not yet released
}

// backendClient is the client of one backend. It has its own transport, so that its connections can be closed without
// affecting other backends.
type backendClient struct {
	address   string
	build     api.Build
	startedAt time.Duration
	transport *http.Transport
	pool      *backendClients
}

const (
	// readSettleTime is the minimum time between a response and the next request on the same connection: several times
	// the latency between two machines of one site.
	readSettleTime = time.Millisecond

	// One response may take 1/32 of the memory, all responses together 1/4. Backends send responses of several hundred
	// kilobytes although the protocol allows 64, and some declare gigabytes.
	responseMemoryShare     = 32
	allResponsesMemoryShare = 4

	maxIdleConnsPerBackend  = 1 << 16 // effectively no limit: every open connection may be idle
	transportReadBufferSize = 1 << 10 // small, because upstream.Conn does its own read-ahead
)

func newBackendClients(dialTimeout, idleTimeout time.Duration, maxConns, memory int64) *backendClients {
	clients := &backendClients{
		byID:             map[api.BackendID]*backendClient{},
		dialTimeout:      dialTimeout,
		idleTimeout:      idleTimeout,
		maxConns:         maxConns,
		maxResponseSize:  memory / responseMemoryShare,
		maxResponseBytes: memory / allResponsesMemoryShare,
	}
	clients.connOptions = &upstream.Options{
		MaxResponseBytes: clients.maxResponseSize,
		ReuseDelay:       readSettleTime,
		OnClose:          func() { clients.openConns.Add(-1) },
	}
	return clients
}

// update adds, replaces and removes clients according to a list. A backend whose address, build or start time has
// changed gets a new client with new connections, so that late bytes of the previous process are not taken for
// responses.
func (c *backendClients) update(list *backendList) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, entry := range list.update.Backends {
		address, gone := list.addresses[entry.ID], entry.State == api.StateGone
		if old := c.byID[entry.ID]; !gone && old != nil && old.serves(entry, address) {
			continue
		}
		c.remove(entry.ID)
		if !gone {
			c.byID[entry.ID] = &backendClient{
				address:   address,
				build:     entry.Build,
				startedAt: entry.Started,
				transport: c.newTransport(),
				pool:      c,
			}
		}
	}
	if list.update.Kind == api.UpdateIncremental {
		return
	}
	for id := range c.byID {
		if _, listed := list.addresses[id]; !listed {
			c.remove(id)
		}
	}
}

// serves reports whether the client connects to the same process as the entry.
func (c *backendClient) serves(entry api.Backend, address string) bool {
	return c.address == address && c.build == entry.Build && c.startedAt == entry.Started
}

// remove deletes a client and closes its idle connections; those in use are closed when they become idle. The caller
// must hold mu.
func (c *backendClients) remove(id api.BackendID) {
	if old := c.byID[id]; old != nil {
		old.transport.CloseIdleConnections()
		delete(c.byID, id)
	}
}

func (c *backendClients) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, client := range c.byID {
		client.transport.CloseIdleConnections()
	}
}

// get returns the client of a backend, or nil if the backend is not listed.
func (c *backendClients) get(id api.BackendID) *backendClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.byID[id]
}

// newTransport returns the transport of one backend. It closes idle connections after 7/8 of the backend's idle
// timeout, so that no request is sent on a connection that the backend is closing.
func (c *backendClients) newTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: c.dialTimeout, KeepAlive: -1}
	return &http.Transport{
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxIdleConnsPerBackend,
		MaxResponseHeaderBytes: 2 * upstream.MaxHeaderBytes, // not reached: upstream.Conn enforces a lower limit
		ReadBufferSize:         transportReadBufferSize,
		IdleConnTimeout:        c.idleTimeout - c.idleTimeout/8,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			return c.dial(ctx, dialer, network, address)
		},
	}
}

// dial opens a connection. At the connection limit it first closes idle connections of all backends, and returns
// errNoDescriptors if that does not free one.
func (c *backendClients) dial(ctx context.Context, dialer *net.Dialer, network, address string) (net.Conn, error) {
	if c.openConns.Add(1) > c.maxConns {
		c.closeIdle()
	}
	if c.openConns.Load() > c.maxConns {
		c.openConns.Add(-1)
		return nil, errNoDescriptors
	}
	c.dials.Add(1)
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		c.failedDials.Add(1)
		c.openConns.Add(-1)
		return nil, err
	}
	return upstream.NewConn(conn.(*net.TCPConn), c.connOptions), nil
}
