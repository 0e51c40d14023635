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

// backendClients holds a client for each backend, and what bounds them together.
type backendClients struct {
	mu          sync.Mutex
	byID        map[api.BackendID]*backendClient
	dialTimeout time.Duration
	idleTimeout time.Duration // after which backends close a connection
	connOptions *upstream.Options

	maxConns    int64
	openConns   atomic.Int64 // connections that are up or coming up
	dials       atomic.Int64 // since they were last logged
	failedDials atomic.Int64 // since they were last logged

	maxResponseSize  int64        // bytes of one response
	maxResponseBytes int64        // bytes of all responses in memory
	responseBytes    atomic.Int64 // of responses that are being read or not yet passed on
}

// backendClient is the client of one backend. Its transport is its own, so that its connections can be closed alone.
type backendClient struct {
	address   string
	build     api.Build
	startedAt time.Duration
	transport *http.Transport
	pool      *backendClients
}

const (
	// readSettleTime is some times what a network within one site takes from one machine to the next.
	readSettleTime = time.Millisecond

	// Responses of some hundred kilobytes come, though the protocol knows none above 64, and so do ones that announce
	// gigabytes: one response may have this part of the memory, and all together that one.
	responseMemoryShare     = 32
	allResponsesMemoryShare = 4

	maxIdleConnsPerBackend  = 1 << 16 // as many as are open
	transportReadBufferSize = 1 << 10 // small, as upstream.Conn reads ahead itself
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

// update takes up the addresses of a list. A backend with a new address, another build or another start is a new one
// and gets new connections: what the old one may still write answers none of its requests.
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

// serves reports whether the client is that of an entry.
func (c *backendClient) serves(entry api.Backend, address string) bool {
	return c.address == address && c.build == entry.Build && c.startedAt == entry.Started
}

// remove forgets a client; connections in use close when they are idle. The lock is held.
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

// get returns the client of a backend, nil if the backend is not listed.
func (c *backendClients) get(id api.BackendID) *backendClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.byID[id]
}

// newTransport makes the transport of one backend. It gives an idle connection up an eighth before the backend would
// close it, so that no request meets the close.
func (c *backendClients) newTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: c.dialTimeout, KeepAlive: -1}
	return &http.Transport{
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxIdleConnsPerBackend,
		MaxResponseHeaderBytes: 2 * upstream.MaxHeaderBytes, // upstream.Conn has bounded them
		ReadBufferSize:         transportReadBufferSize,
		IdleConnTimeout:        c.idleTimeout - c.idleTimeout/8,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			return c.dial(ctx, dialer, network, address)
		},
	}
}

// dial opens a connection if the limit on them allows it, for which it closes idle ones of other backends.
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
