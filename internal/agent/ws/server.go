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

// Host is the agent that a server belongs to. httpagent.Agent implements it.
type Host interface {
	Engine() *engine.Engine
	Judge() match.Judge                                        // the operator's rules, nil if there are none
	Deployment() match.Deployment                              // workloads and customers
	Timeouts(workload string) (timeout, maximum time.Duration) // default of a workload, and the maximum for any client
	AnswerGrace() time.Duration                                // how long after its deadline a transaction may be answered
	TrackUpgraded(r *http.Request) (release func())            // registers a hijacked connection
	Stopping() <-chan struct{}                                 // closed when the shutdown of the agent begins
}

// Limits bound the resources that client connections may use.
type Limits struct {
	PerConnection int           // open transactions of one connection
	Total         int64         // open transactions of all connections
	MaxQueued     int           // messages queued for one client
	Heartbeat     time.Duration // interval of pings, and the time within which the client must answer one
}

// DefaultLimits are for clients that are processes with some tens of callers each. A client that is more than a hundred
// messages behind is assumed not to read.
var DefaultLimits = Limits{PerConnection: 64, Total: 4096, MaxQueued: 128, Heartbeat: 15 * time.Second}

// upgradeTimeout limits writing the response to an upgrade.
const upgradeTimeout = 2 * time.Second

// Server serves clients over WebSocket and runs their requests as transactions.
type Server struct {
	host             Host
	backends         *BackendPool
	limits           Limits
	log              *slog.Logger
	openTransactions atomic.Int64

	mu      sync.Mutex
	clients map[*clientConn]bool
}

// NewServer returns a server, which is an http.Handler for upgrades. When the host stops, the server sends going_away
// to all clients.
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

// stopping reports whether the shutdown of the host has begun.
func (s *Server) stopping() bool {
	select {
	case <-s.host.Stopping():
		return true
	default:
		return false
	}
}

// OpenCounts returns the number of open connections and the number of open transactions.
func (s *Server) OpenCounts() (connections, transactions int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return int64(len(s.clients)), s.openTransactions.Load()
}

// ServeHTTP upgrades a connection, which another goroutine then serves until it ends.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.stopping() {
		w.Header().Set("Connection", "close")
		w.Header().Set("Retry-After", "1")
		http.Error(w, "leaving", http.StatusServiceUnavailable)
		return
	}
	// If the ResponseWriter does not support deadlines, the upgrade is not limited.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(upgradeTimeout))
	socket, err := websocket.Accept(smallBufferWriter{w}, r, &websocket.AcceptOptions{
		Subprotocols:    []string{ClientProtocol},
		CompressionMode: websocket.CompressionDisabled,
	})
	if err != nil {
		return // Accept has sent an error response
	}
	// A new goroutine, because the one of net/http has a large stack and would keep the request in memory.
	go s.serveConn(socket, r.RemoteAddr, s.host.TrackUpgraded(r))
}

// smallBufferWriter hijacks connections with small buffers, as most connections are idle and net/http's buffers take
// 8 KiB.
type smallBufferWriter struct{ http.ResponseWriter }

const smallBufferSize = 1 << 10 // bytes; holds several messages of the usual size, larger ones bypass it

// Unwrap supports http.ResponseController.
func (w smallBufferWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Hijack hijacks the connection. Bytes that net/http has already read after the request are read first.
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

// serveConn serves a connection until it and its transactions have ended.
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
	if s.stopping() { // the shutdown may have begun after the check in ServeHTTP, and after drainWhenStopping
		go c.drain()
	}
	stopHeartbeat := c.startHeartbeat()
	c.readLoop()
	cancel() // open transactions end as with a disconnected client
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

// closeNow closes a connection without the closing handshake.
func closeNow(socket *websocket.Conn) {
	_ = socket.CloseNow() // fails only if the connection is already closed
}

// closeWith closes a connection with a closing handshake.
func closeWith(socket *websocket.Conn, status websocket.StatusCode, reason string) {
	_ = socket.Close(status, reason) // the connection is closed even if the handshake fails
}
