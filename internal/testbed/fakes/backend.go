// Package fakes provides fakes of the services around an agent, on loopback: backends with configurable faults, and a
// discovery service. They implement the documented protocols. The backends record the requests that they execute, so
// that a test can compare them with the responses that clients received.
package fakes

import (
	"context"
	"maps"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/coder/websocket"

	"sagelever/internal/agent/ws"
)

// Behavior determines how a backend handles requests and pings.
type Behavior int

// The behaviors of a backend.
const (
	Healthy    Behavior = iota
	Silent              // accepts connections and executes requests, but responds neither to requests nor to pings
	PingOnly            // responds to pings, and executes requests without responding
	Failing             // executes requests and responds with an error
	Overloaded          // rejects requests without executing them
)

const (
	loopback     = "127.0.0.1:0"
	readLimit    = 1 << 20
	writeTimeout = time.Second
)

// Backend is a fake backend for WebSocket. It also serves plain HTTP, to compare the rates of both.
type Backend struct {
	Name    string
	Address string
	server  *http.Server

	mu        sync.Mutex // guards the following
	behavior  Behavior
	latency   time.Duration
	conns     map[*websocket.Conn]bool
	runsByID  map[string]int
	lastRun   time.Time // when the last executed request arrived
	truncated int       // incomplete requests, which were not executed
}

// NewBackend starts a healthy backend that delays each response by a latency.
func NewBackend(name string, latency time.Duration) (*Backend, error) {
	listener, err := net.Listen("tcp", loopback)
	if err != nil {
		return nil, err
	}
	b := &Backend{
		Name:     name,
		Address:  listener.Addr().String(),
		latency:  latency,
		conns:    map[*websocket.Conn]bool{},
		runsByID: map[string]int{},
	}
	b.server = &http.Server{Handler: b}
	go serve(b.server, listener)
	return b, nil
}

// serve accepts requests until the server is closed.
func serve(server *http.Server, listener net.Listener) {
	_ = server.Serve(listener) // always returns an error, which is ErrServerClosed after Close
}

// Close stops the backend abruptly, as a kill would, and closes its connections.
func (b *Backend) Close() {
	_ = b.server.Close() // fails only if the listener is already closed
	b.BreakConnections()
}

// BreakConnections closes all connections without a closing handshake.
func (b *Backend) BreakConnections() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for conn := range b.conns {
		go closeNow(conn)
	}
}

func closeNow(conn *websocket.Conn) {
	_ = conn.CloseNow() // fails only if the connection is already closed
}

// SetBehavior sets the behavior and the latency of responses.
func (b *Backend) SetBehavior(behavior Behavior, latency time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.behavior, b.latency = behavior, latency
}

// Observed returns how often the backend executed each request by its ID, when the last executed request arrived, and
// how many requests were incomplete.
func (b *Backend) Observed() (runs map[string]int, lastRun time.Time, truncated int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return maps.Clone(b.runsByID), b.lastRun, b.truncated
}

// current returns the current behavior and latency.
func (b *Backend) current() (Behavior, time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.behavior, b.latency
}

// ServeHTTP upgrades a connection to WebSocket and serves it until it is closed. It handles other requests as plain
// HTTP.
func (b *Backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get("Upgrade") == "" {
		b.serveHTTP(w, r)
		return
	}
	conn, err := websocket.Accept(w, r, &websocket.AcceptOptions{
		Subprotocols:   []string{ws.BackendProtocol},
		OnPingReceived: func(context.Context, []byte) bool { return b.answersPings() },
	})
	if err != nil {
		return
	}
	defer closeNow(conn)
	conn.SetReadLimit(readLimit)
	b.add(conn)
	defer b.remove(conn)
	for {
		_, message, err := conn.Read(context.Background())
		if err != nil {
			return
		}
		request, complete, err := ws.ParseBackendRequest(message)
		if err != nil || request.Type != "run" {
			continue
		}
		if !complete {
			b.countTruncated()
			continue
		}
		go b.handle(conn, request)
	}
}

func (b *Backend) answersPings() bool {
	behavior, _ := b.current()
	return behavior != Silent
}

func (b *Backend) add(conn *websocket.Conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.conns[conn] = true
}

func (b *Backend) remove(conn *websocket.Conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.conns, conn)
}

func (b *Backend) countTruncated() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.truncated++
}

func (b *Backend) countRun(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runsByID[id]++
	b.lastRun = time.Now()
}

// handle handles a request according to the current behavior.
func (b *Backend) handle(conn *websocket.Conn, request ws.BackendRequest) {
	behavior, latency := b.current()
	response := ws.BackendResponse{
		Type:   "done",
		Number: request.Number,
		Status: http.StatusOK,
		Load:   "queue=0",
		Body:   []byte(request.ID),
	}
	if behavior == Overloaded {
		response.Status, response.NotStarted, response.Body = http.StatusServiceUnavailable, true, nil
	} else {
		b.countRun(request.ID)
		if behavior == Failing {
			response.Status, response.Body = http.StatusInternalServerError, nil
		}
		time.Sleep(latency)
	}
	if behavior == PingOnly || behavior == Silent {
		return
	}
	ctx, stop := context.WithTimeout(context.Background(), writeTimeout)
	defer stop()
	_ = conn.Write(ctx, websocket.MessageBinary, response.Encode()) // fails if the agent has closed the connection
}

// serveHTTP responds to a plain HTTP request with success and does not record it.
func (b *Backend) serveHTTP(w http.ResponseWriter, r *http.Request) {
	_, latency := b.current()
	time.Sleep(latency)
	w.Header().Set("Server-Load", "queue=0")
	w.Write([]byte(r.Header.Get("Request-Id")))
}
