// Package fakes plays what surrounds an agent, on loopback and by the project's own protocol pages: backends that can
// be told to misbehave, and discovery. They record what they have seen, so that a test can compare it with what clients
// were told.
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

// Behavior is how a backend behaves.
type Behavior int

// Behaviors.
const (
	Healthy    Behavior = iota
	Silent              // accepts connections and runs requests, and answers neither requests nor pings
	PingOnly            // answers pings, and runs requests without answering them
	Failing             // answers with an error
	Overloaded          // rejects requests before it looks at them
)

const (
	loopback     = "127.0.0.1:0"
	readLimit    = 1 << 20
	writeTimeout = time.Second
)

// Backend is a backend that speaks WebSocket. For comparing rates it answers plain HTTP, too.
type Backend struct {
	Name    string
	Address string
	server  *http.Server

	mu        sync.Mutex // guards the following
	behavior  Behavior
	latency   time.Duration
	conns     map[*websocket.Conn]bool
	runsByID  map[string]int
	lastRun   time.Time // when the last request that it ran came
	truncated int       // requests that were cut short, and not run
}

// NewBackend starts a healthy backend whose responses take a latency.
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

// serve serves until the server is closed.
func serve(server *http.Server, listener net.Listener) {
	_ = server.Serve(listener) // it always returns an error, which says that the server was closed
}

// Close ends the backend as a kill would: its connections break.
func (b *Backend) Close() {
	_ = b.server.Close() // it fails only if the listener is closed already
	b.BreakConnections()
}

// BreakConnections breaks all connections.
func (b *Backend) BreakConnections() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for conn := range b.conns {
		go closeNow(conn)
	}
}

func closeNow(conn *websocket.Conn) {
	_ = conn.CloseNow() // it fails only if it is closed already
}

// SetBehavior changes the behavior, and the latency of responses.
func (b *Backend) SetBehavior(behavior Behavior, latency time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.behavior, b.latency = behavior, latency
}

// Observed returns how often the backend ran each id, when the last request that it ran came, and how many requests
// were cut short.
func (b *Backend) Observed() (runs map[string]int, last time.Time, truncated int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return maps.Clone(b.runsByID), b.lastRun, b.truncated
}

// current returns the present behavior and latency.
func (b *Backend) current() (Behavior, time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.behavior, b.latency
}

// ServeHTTP upgrades a connection and serves it until it breaks.
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

// handle runs a request, by the behavior at this moment.
func (b *Backend) handle(conn *websocket.Conn, request ws.BackendRequest) {
	behavior, latency := b.current()
	response := ws.BackendResponse{
		Type:   "done",
		Send:   request.Send,
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
	_ = conn.Write(ctx, websocket.MessageBinary, response.Encode()) // the agent may have gone
}

// serveHTTP answers a plain request well, and does not record it.
func (b *Backend) serveHTTP(w http.ResponseWriter, r *http.Request) {
	_, latency := b.current()
	time.Sleep(latency)
	w.Header().Set("Server-Load", "queue=0")
	w.Write([]byte(r.Header.Get("Request-Id")))
}
