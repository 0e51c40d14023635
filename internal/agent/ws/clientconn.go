package ws

import (
	"context"
	"sync"
	"time"
	"unicode/utf8"

	"github.com/coder/websocket"
)

const (
	goingAwayRetryMS = 1000             // when a client that is told to go away should return
	flushInterval    = time.Millisecond // between looks whether all messages are written
)

// clientConn is one client's connection. One that says nothing costs the goroutine that reads it and a timer: ten
// thousand of them wait for pushes. A goroutine that writes runs only while there is something to write.
type clientConn struct {
	server    *Server
	socket    *websocket.Conn
	peer      string          // the client's address
	ctx       context.Context // ends with the connection
	inFlight  sync.WaitGroup  // open transactions and subscriptions
	drainOnce sync.Once

	mu      sync.Mutex                    // guards cancels
	cancels map[string]context.CancelFunc // of open transactions and subscriptions, by id

	queueMu sync.Mutex // guards queue and writing
	queue   [][]byte   // messages that are not written yet
	writing bool
	writers sync.WaitGroup
}

// readLoop takes message after message until the connection ends.
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

// cancel ends an open transaction or subscription, as if its client had left.
func (c *clientConn) cancel(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if cancel := c.cancels[id]; cancel != nil {
		cancel()
	}
}

// startHeartbeat sends a ping every Limits.Heartbeat until it is stopped or the connection ends.
func (c *clientConn) startHeartbeat() (stop func()) {
	interval := c.server.limits.Heartbeat
	var mu sync.Mutex
	var timer *time.Timer
	mu.Lock() // the timer's function needs the timer
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

// ping closes the connection if its client does not answer.
func (c *clientConn) ping() {
	ctx, stop := context.WithTimeout(c.ctx, c.server.limits.Heartbeat)
	defer stop()
	if c.socket.Ping(ctx) != nil {
		closeNow(c.socket)
	}
}

// enqueue queues a message. A client that does not read is closed, so that its queue stays bounded.
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

// writeLoop writes what is queued, and ends when nothing is.
func (c *clientConn) writeLoop() {
	for {
		message := c.dequeue()
		if message == nil {
			return
		}
		ctx, stop := context.WithTimeout(c.ctx, c.server.limits.Heartbeat)
		if c.socket.Write(ctx, websocket.MessageBinary, message) != nil {
			closeNow(c.socket) // reading ends, and with it all else; what is queued fails as quickly
		}
		stop()
	}
}

// dequeue takes the next message. If there is none it returns nil, and another writeLoop is started for the next one.
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

// drain tells the client to go away, and closes the connection when its transactions are answered.
func (c *clientConn) drain() { c.drainOnce.Do(c.goAway) }

func (c *clientConn) goAway() {
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
