package ws

import (
	"context"
	"sync"
	"time"
	"unicode/utf8"

	"github.com/coder/websocket"
)

const (
	goingAwayRetryMS = 1000             // delay in ms after which a client should reconnect after going_away
	flushInterval    = time.Millisecond // polling interval while waiting for queued messages to be written
)

// clientConn is one client's connection. An idle connection needs only a reading goroutine and a timer, as ten thousand
// connections may wait for pushes. A writing goroutine runs only while messages are queued.
type clientConn struct {
	server    *Server
	socket    *websocket.Conn
	peer      string          // the client's address
	ctx       context.Context // canceled when the connection ends
	inFlight  sync.WaitGroup  // open transactions and subscriptions
	drainOnce sync.Once

	mu       sync.Mutex                    // guards the following
	cancels  map[string]context.CancelFunc // of open transactions and subscriptions, by id
	draining bool                          // no transaction or subscription is started any more

	queueMu sync.Mutex // guards queue and writing
	queue   [][]byte   // messages not yet written
	writing bool       // writeLoop is running
	writers sync.WaitGroup
}

// readLoop reads and handles messages until the connection ends.
func (c *clientConn) readLoop() {
	for {
		kind, message, err := c.socket.Read(c.ctx)
		if err != nil {
			return
		}
		if kind == websocket.MessageText && !utf8.Valid(message) {
			closeWith(c.socket, websocket.StatusInvalidFramePayloadData, "text that is no UTF-8")
			return
		}
		request, err := parseClientRequest(message)
		switch {
		case err != nil:
			id := request.ID[:min(len(request.ID), maxIDLength)]
			c.enqueue(ClientMessage{Type: typeError, ID: id, Error: err.Error()})
		case request.Type == typeCancel:
			c.cancel(request.ID)
		default:
			c.startTransaction(request)
		}
	}
}

// cancel ends an open transaction or subscription as if the client had disconnected.
func (c *clientConn) cancel(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if cancel := c.cancels[id]; cancel != nil {
		cancel()
	}
}

// startHeartbeat sends a ping every Limits.Heartbeat until stop is called or the connection ends.
func (c *clientConn) startHeartbeat() (stop func()) {
	interval := c.server.limits.Heartbeat
	var mu sync.Mutex
	var timer *time.Timer
	mu.Lock() // keeps the timer's function waiting until timer is assigned
	defer mu.Unlock()
	timer = time.AfterFunc(interval, func() {
		c.ping()
		mu.Lock()
		defer mu.Unlock()
		if c.ctx.Err() == nil {
			timer.Reset(interval)
		}
	})
	return func() {
		mu.Lock()
		defer mu.Unlock()
		timer.Stop()
	}
}

// ping pings the client, and closes the connection if there is no pong.
func (c *clientConn) ping() {
	ctx, stop := context.WithTimeout(c.ctx, c.server.limits.Heartbeat)
	defer stop()
	if c.socket.Ping(ctx) != nil {
		closeNow(c.socket)
	}
}

// enqueue queues a message for writing. If the queue is full, as the client does not read, the connection is closed.
func (c *clientConn) enqueue(message ClientMessage) {
	c.queueMu.Lock()
	defer c.queueMu.Unlock()
	if c.ctx.Err() != nil {
		return
	}
	if len(c.queue) >= c.server.limits.MaxQueued {
		go closeWith(c.socket, websocket.StatusPolicyViolation, "too many messages wait to be read")
		return
	}
	c.queue = append(c.queue, message.Encode())
	if !c.writing {
		c.writing = true
		c.writers.Go(c.writeLoop)
	}
}

// writeLoop writes queued messages until the queue is empty.
func (c *clientConn) writeLoop() {
	for {
		message := c.dequeue()
		if message == nil {
			return
		}
		ctx, stop := context.WithTimeout(c.ctx, c.server.limits.Heartbeat)
		if c.socket.Write(ctx, websocket.MessageBinary, message) != nil {
			closeNow(c.socket) // ends readLoop, and with it the connection; writing the remaining messages fails immediately
		}
		stop()
	}
}

// dequeue returns the next message. If there is none, it returns nil, and enqueue starts another writeLoop for the next
// message.
func (c *clientConn) dequeue() []byte {
	c.queueMu.Lock()
	defer c.queueMu.Unlock()
	if len(c.queue) == 0 {
		c.queue, c.writing = nil, false
		return nil
	}
	message := c.queue[0]
	c.queue = c.queue[1:]
	return message
}

// flushed reports whether all messages have been written.
func (c *clientConn) flushed() bool {
	c.queueMu.Lock()
	defer c.queueMu.Unlock()
	return !c.writing
}

// drain sends going_away to the client, and closes the connection when its transactions have been answered.
func (c *clientConn) drain() { c.drainOnce.Do(c.goAway) }

func (c *clientConn) goAway() {
	c.mu.Lock()
	c.draining = true // before inFlight.Wait, which must not miss a transaction
	c.mu.Unlock()
	c.enqueue(ClientMessage{Type: typeGoingAway, RetryMS: goingAwayRetryMS})
	idle := make(chan struct{})
	go func() {
		defer close(idle)
		c.inFlight.Wait()
	}()
	select {
	case <-idle:
		for !c.flushed() && c.ctx.Err() == nil {
			time.Sleep(flushInterval)
		}
		closeWith(c.socket, websocket.StatusGoingAway, "")
	case <-c.ctx.Done():
	}
}
