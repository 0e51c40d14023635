package ws

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"

	"sagelever/internal/agent/engine"
	"sagelever/match"
)

// Host is the agent that a server belongs to. httpagent.Agent is one.
type Host interface {
	Engine() *engine.Engine
	Judge() match.Judge                                        // the operator's rules, nil if there are none
	Deployment() match.Deployment                              // workloads and customers
	Timeouts(workload string) (timeout, maximum time.Duration) // a workload's, and the longest that any client may wait
	AnswerGrace() time.Duration                                // how late the rules let a final answer be
	TrackUpgraded(r *http.Request) (release func())            // counts a connection that was taken over from HTTP
	Stopping() <-chan struct{}                                 // closed when the agent has been told to stop
}

// Limits bound what clients' connections may have in memory.
type Limits struct {
	PerConnection int           // open transactions of one connection
	Total         int64         // open transactions of all connections
	MaxQueued     int           // messages that wait to be read by one client
	Heartbeat     time.Duration // between pings; a client that does not answer one within as long is closed
}

// DefaultLimits are for clients that are processes with some tens of callers each. One that is a hundred messages
// behind does not read.
var DefaultLimits = Limits{PerConnection: 64, Total: 4096, MaxQueued: 128, Heartbeat: 15 * time.Second}

// upgradeTimeout is how long an upgrade may take.
const upgradeTimeout = 2 * time.Second

// Server serves clients: it takes their messages for transactions.
type Server struct {
	host             Host
	backends         *BackendPool
	limits           Limits
	log              *slog.Logger
	openTransactions atomic.Int64

	mu      sync.Mutex
	clients map[*clientConn]bool
}

// NewServer makes a server, which is an http.Handler for upgrades. When the host stops, it tells all clients to go
// away.
func NewServer(host Host, backends *BackendPool, limits Limits, log *slog.Logger) *Server {
	s := &Server{host: host, backends: backends, limits: limits, log: log, clients: map[*clientConn]bool{}}
	go s.drainWhenStopping()
	return s
}

func (s *Server) drainWhenStopping() {
	<-s.host.Stopping()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.clients {
		go c.drain()
	}
}

// stopping reports whether the host has been told to stop.
func (s *Server) stopping() bool {
	select {
	case <-s.host.Stopping():
		return true
	default:
		return false
	}
}

// Load tells how many connections are open, and how many transactions.
func (s *Server) Load() (connections, transactions int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return int64(len(s.clients)), s.openTransactions.Load()
}

// ServeHTTP upgrades a connection, which is then served until it ends.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.stopping() {
		w.Header().Set("Connection", "close")
		w.Header().Set("Retry-After", "1")
		http.Error(w, "leaving", http.StatusServiceUnavailable)
		return
	}
	// Where the writer knows no deadline, the upgrade is not bounded.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(upgradeTimeout))
	socket, err := websocket.Accept(smallBufferWriter{w}, r, &websocket.AcceptOptions{
		Subprotocols:    []string{ClientProtocol},
		CompressionMode: websocket.CompressionDisabled,
	})
	if err != nil {
		return // Accept has answered
	}
	// By a goroutine of its own: net/http's has grown a large stack for the request, and would keep the request in memory.
	go s.serveConn(socket, r.RemoteAddr, s.host.TrackUpgraded(r))
}

// smallBufferWriter takes a connection over with small buffers: most connections wait, and net/http's buffers are 8
// KiB.
type smallBufferWriter struct{ http.ResponseWriter }

const smallBufferSize = 1 << 10 // some messages of the usual size; larger ones pass through it

// Unwrap is for http.ResponseController.
func (w smallBufferWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Hijack takes the connection over. What the client has sent right behind its request is read first.
func (w smallBufferWriter) Hijack() (net.Conn, *bufio.ReadWriter, error) {
	conn, buffered, err := http.NewResponseController(w.ResponseWriter).Hijack()
	if err != nil {
		return nil, nil, err
	}
	pending, err := buffered.Peek(buffered.Reader.Buffered())
	if err != nil {
		return nil, nil, fmt.Errorf("what was read ahead: %w", err)
	}
	all := io.MultiReader(bytes.NewReader(bytes.Clone(pending)), conn)
	in := bufio.NewReaderSize(all, max(smallBufferSize, len(pending)))
	if _, err := in.Peek(len(pending)); err != nil {
		return nil, nil, fmt.Errorf("what was read ahead: %w", err)
	}
	return conn, bufio.NewReadWriter(in, bufio.NewWriterSize(conn, smallBufferSize)), nil
}

// serveConn serves a connection until it ends and its transactions are over.
func (s *Server) serveConn(socket *websocket.Conn, peer string, release func()) {
	defer release()
	defer closeNow(socket)
	if socket.Subprotocol() != ClientProtocol {
		closeWith(socket, websocket.StatusProtocolError, "sub-protocol "+ClientProtocol+" is wanted")
		return
	}
	socket.SetReadLimit(maxHeadSize + MaxBodySize + 1)
	ctx, cancel := context.WithCancel(context.Background())
	c := &clientConn{server: s, socket: socket, peer: peer, ctx: ctx}
	s.add(c)
	defer s.remove(c)
	if s.stopping() { // since ServeHTTP has looked, and perhaps after all others were told to go away
		go c.drain()
	}
	stopHeartbeat := c.startHeartbeat()
	c.readLoop()
	cancel() // for what is open, the client has gone
	stopHeartbeat()
	c.inFlight.Wait()
	c.writers.Wait()
}

func (s *Server) add(c *clientConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.clients[c] = true
}

func (s *Server) remove(c *clientConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.clients, c)
}

// closeNow closes a connection at once.
func closeNow(socket *websocket.Conn) {
	_ = socket.CloseNow() // it fails only if it is closed already
}

// closeWith closes a connection with the closing handshake, if the peer takes part in it.
func closeWith(socket *websocket.Conn, status websocket.StatusCode, reason string) {
	_ = socket.Close(status, reason) // the connection is closed also if the handshake fails
}
