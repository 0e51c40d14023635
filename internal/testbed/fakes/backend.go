// Package standin plays what stands around an agent, on loopback and from the project's own protocol pages: appliances
// that can be told to misbehave, and discovery. They note what they saw, so that a test can check it against what
// clients were told.
package fakes

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/coder/websocket"

	"sagelever/internal/agent/ws"
)

// Behavior is how an appliance behaves.
type Behavior int

const (
	Healthy    Behavior = iota
	Silent              // takes connections and messages, runs these, and answers neither them nor pings
	PingOnly            // answers pings and nothing else: what it reads it runs, and no answer comes
	Failing             // answers with an error
	Overloaded          // turns away unlooked-at
)

// Backend is an appliance that speaks WebSocket.
type Backend struct {
	Name    string
	Address string
	server  *http.Server

	mu        sync.Mutex
	behavior  Behavior
	latency   time.Duration
	conns     map[*websocket.Conn]bool
	runsByID  map[string]int // by id
	lastRun   time.Time      // when a message that it ran came in
	truncated int            // messages that were cut short, and not run
}

// NewBackend starts an appliance whose answers take some time.
func NewBackend(name string, latency time.Duration) (*Backend, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &Backend{Name: name, Address: listener.Addr().String(), latency: latency, conns: map[*websocket.Conn]bool{}, runsByID: map[string]int{}}
	b.server = &http.Server{Handler: b}
	go b.server.Serve(listener)
	return b, nil
}

// Close ends it, as a kill would: connections break.
func (b *Backend) Close() {
	b.server.Close()
	b.BreakConnections()
}

// BreakConnections breaks all its connections.
func (b *Backend) BreakConnections() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for c := range b.conns {
		go c.CloseNow()
	}
}

// SetBehavior changes its mood, and how long its answers take.
func (b *Backend) SetBehavior(behavior Behavior, latency time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.behavior, b.latency = behavior, latency
}

// Observed gives how often it ran each id, when the last one came, and how many messages were cut short.
func (b *Backend) Observed() (runs map[string]int, last time.Time, truncated int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	runs = map[string]int{}
	for id, n := range b.runsByID {
		runs[id] = n
	}
	return runs, b.lastRun, b.truncated
}

func (b *Backend) current() (Behavior, time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.behavior, b.latency
}

func (b *Backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get("Upgrade") == "" {
		b.serveHTTP(w, r)
		return
	}
	socket, err := websocket.Accept(w, r, &websocket.AcceptOptions{Subprotocols: []string{ws.BackendProtocol},
		OnPingReceived: func(context.Context, []byte) bool { m, _ := b.current(); return m != Silent }})
	if err != nil {
		return
	}
	defer socket.CloseNow()
	socket.SetReadLimit(1 << 20)
	b.mu.Lock()
	b.conns[socket] = true
	b.mu.Unlock()
	defer func() {
		b.mu.Lock()
		delete(b.conns, socket)
		b.mu.Unlock()
	}()
	for {
		_, message, err := socket.Read(context.Background())
		if err != nil {
			return
		}
		request, complete, err := ws.ParseBackendRequest(message)
		if err != nil || request.Type != "run" {
			continue
		}
		if !complete {
			b.mu.Lock()
			b.truncated++
			b.mu.Unlock()
			continue
		}
		go b.handle(socket, request)
	}
}

// handle carries a message out, in the mood of the moment.
func (b *Backend) handle(socket *websocket.Conn, request ws.BackendRequest) {
	behavior, latency := b.current()
	response := ws.BackendResponse{Type: "done", Send: request.Send, Status: http.StatusOK, Load: "queue=0", Body: []byte(request.ID)}
	switch behavior {
	case Overloaded:
		response.Status, response.NotStarted, response.Body = http.StatusServiceUnavailable, true, nil
	default:
		b.mu.Lock()
		b.runsByID[request.ID]++
		b.lastRun = time.Now()
		b.mu.Unlock()
		if behavior == Failing {
			response.Status, response.Body = http.StatusInternalServerError, nil
		}
		time.Sleep(latency)
	}
	if behavior == PingOnly || behavior == Silent {
		return
	}
	ctx, stop := context.WithTimeout(context.Background(), time.Second)
	defer stop()
	socket.Write(ctx, websocket.MessageBinary, response.Encode())
}

// serveHTTP serves HTTP, well and without notes: for comparing rates.
func (b *Backend) serveHTTP(w http.ResponseWriter, r *http.Request) {
	_, latency := b.current()
	time.Sleep(latency)
	w.Header().Set("Server-Load", "queue=0")
	w.Write([]byte(r.Header.Get("Request-Id")))
}
