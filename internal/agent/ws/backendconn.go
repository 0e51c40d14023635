package ws

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/coder/websocket"

	"sagelever/internal/agent/connpool"
)

// pingTimeout limits waiting for a pong. It is longer than the ping timeout of the manager, which closes the
// connection.
const pingTimeout = 10 * time.Second

var errWrongProtocol = errors.New("backend does not support subprotocol " + BackendProtocol)

// backendConn is one multiplexed connection to a backend.
type backendConn struct {
	id        connpool.ConnID
	socket    *websocket.Conn // nil until the connection is established
	writeLock chan struct{}   // holds a value while a message is being written
	cancel    context.CancelFunc
	closed    chan struct{} // closed when the connection has ended

	mu            sync.Mutex                      // guards the following
	lastNumber    uint64                          // number of the last request
	waiting       map[uint64]chan BackendResponse // receives the response, by request number
	subscriptions map[uint64]*Subscription        // by request number
}

func newBackendConn(id connpool.ConnID, cancel context.CancelFunc) *backendConn {
	return &backendConn{
		id:            id,
		cancel:        cancel,
		writeLock:     make(chan struct{}, 1),
		closed:        make(chan struct{}),
		waiting:       map[uint64]chan BackendResponse{},
		subscriptions: map[uint64]*Subscription{},
	}
}

// serveConn opens a connection and reads messages until it ends.
func (p *BackendPool) serveConn(ctx context.Context, c *backendConn, address string) {
	defer c.cancel()
	defer close(c.closed)
	defer p.signalChange()
	socket, err := p.dial(ctx, address)
	if err != nil {
		p.connFailed(c)
		return
	}
	defer closeNow(socket)
	socket.SetReadLimit(maxHeadSize + maxResponseSize)
	p.mu.Lock()
	c.socket = socket
	p.execute(p.manager.Opened(p.now(), c.id))
	p.mu.Unlock()
	p.signalChange()
	for {
		_, message, err := socket.Read(ctx)
		if err != nil {
			p.connFailed(c)
			return
		}
		p.notifyManager(c, (*connpool.Pool).Received)
		response, err := parseBackendResponse(message)
		if err != nil { // the request is unknown, so any open one may have run
			p.log.Warn("spoilt_message", "address", address, "error", err)
			p.connFailed(c)
			return
		}
		c.deliver(response)
	}
}

// dial opens a connection to a backend and negotiates BackendProtocol.
func (p *BackendPool) dial(ctx context.Context, address string) (*websocket.Conn, error) {
	ctx, stop := context.WithTimeout(ctx, p.dialTimeout)
	defer stop()
	socket, _, err := websocket.Dial(ctx, "ws://"+address+p.path, &websocket.DialOptions{
		Subprotocols:    []string{BackendProtocol},
		CompressionMode: websocket.CompressionDisabled,
		HTTPClient:      &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
	})
	if err != nil {
		return nil, err
	}
	if socket.Subprotocol() != BackendProtocol {
		closeNow(socket)
		return nil, errWrongProtocol
	}
	return socket, nil
}

// deliver passes a response or a push to its request or subscription. Messages for unknown requests are dropped.
func (c *backendConn) deliver(response BackendResponse) {
	c.mu.Lock()
	waiting := c.waiting[response.Number]
	subscription := c.subscriptions[response.Number]
	if response.Type == typeDone {
		delete(c.waiting, response.Number)
	}
	c.mu.Unlock()
	switch {
	case response.Type == typePush && subscription != nil:
		subscription.push(response)
	case response.Type == typeDone && waiting != nil:
		waiting <- response
	}
}

// ping pings a backend and notifies the manager if there is a pong.
func (p *BackendPool) ping(c *backendConn) {
	ctx, cancel := context.WithTimeout(p.ctx, pingTimeout)
	defer cancel()
	if c.socket.Ping(ctx) == nil {
		p.notifyManager(c, (*connpool.Pool).Received)
	}
}
