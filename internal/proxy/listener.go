package proxy

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"sagelever/internal/control/routing"
	"sagelever/internal/graceful"
	"sagelever/internal/tcp"
)

const (
	// acceptRetryDelay is the pause after a failed accept. Accept fails while the process has no file descriptor left.
	acceptRetryDelay = 20 * time.Millisecond

	// maxHeaderLimit bounds the configurable maximum size of a request header, in bytes.
	maxHeaderLimit = 1 << 20
)

// defaultLimits apply until the first configuration arrives.
var defaultLimits = routing.RequestLimits{
	MaxHeaderBytes: 16 << 10,
	MaxBodyBytes:   1 << 20,
	HeaderTimeout:  3 * time.Second,
	IdleTimeout:    15 * time.Second,
}

// listener accepts connections from clients and hands them to the current http.Server. The limits of an http.Server are
// fixed when it starts, so changed limits start a new server; the previous one keeps its existing connections.
type listener struct {
	handler     http.Handler
	tcpListener net.Listener
	acceptDone  chan struct{} // closed when the accept loop has ended

	mu      sync.Mutex
	current *serverListener // listener of the newest server
	servers []*http.Server
	limits  routing.RequestLimits // limits of the newest server
	closing bool                  // no further server is started
}

// serverListener is the net.Listener of one http.Server. Accept returns the connections passed to offer until the
// listener is closed.
type serverListener struct {
	net.Listener
	conns     chan net.Conn
	done      chan struct{}
	closeOnce sync.Once
}

// offer hands a connection to the server. It returns false if the listener is closed.
func (l *serverListener) offer(conn net.Conn) bool {
	select {
	case l.conns <- conn:
		return true
	case <-l.done:
		return false
	}
}

// Accept implements net.Listener.
func (l *serverListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener. The TCP listener behind it stays open.
func (l *serverListener) Close() error {
	l.closeOnce.Do(func() { close(l.done) })
	return nil
}

func newListener(handler http.Handler) *listener {
	return &listener{handler: handler, acceptDone: make(chan struct{})}
}

// open starts to accept connections with the default limits.
func (l *listener) open(address string) error {
	tcpListener, err := userTimeout.Listen(address)
	if err != nil {
		return err
	}
	l.mu.Lock()
	l.tcpListener = tcp.CloseTrackingListener{Listener: tcpListener}
	l.mu.Unlock()
	l.applyLimits(defaultLimits)
	go l.acceptLoop()
	return nil
}

// acceptLoop accepts connections until the TCP listener is closed.
func (l *listener) acceptLoop() {
	defer close(l.acceptDone)
	for {
		conn, err := l.tcpListener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptRetryDelay)
			continue
		}
		l.handOver(conn)
	}
}

// handOver hands a connection to the current server. If that server was replaced in the meantime, the connection goes
// to its successor. If the successor is closed too, the proxy is shutting down and the connection is closed.
func (l *listener) handOver(conn net.Conn) {
	const maxOffers = 2
	for range maxOffers {
		if l.currentServer().offer(conn) {
			return
		}
	}
	conn.Close()
}

func (l *listener) currentServer() *serverListener {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.current
}

// applyLimits replaces the current server by one with the given limits, unless the limits are unchanged.
func (l *listener) applyLimits(limits routing.RequestLimits) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if limits == l.limits || l.tcpListener == nil || l.closing {
		return
	}
	l.limits = limits
	previous := l.current
	current := &serverListener{Listener: l.tcpListener, conns: make(chan net.Conn), done: make(chan struct{})}
	l.current = current
	server := l.newServer(limits)
	l.servers = append(l.servers, server)
	go func() { _ = server.Serve(current) }() // always returns an error once current is closed
	if previous != nil {
		_ = previous.Close() // always returns nil
	}
}

// newServer returns a server with the given limits.
func (l *listener) newServer(limits routing.RequestLimits) *http.Server {
	return &http.Server{
		Handler:           l.handler,
		ReadHeaderTimeout: limits.HeaderTimeout,
		IdleTimeout:       limits.IdleTimeout,
		MaxHeaderBytes:    int(min(limits.MaxHeaderBytes, maxHeaderLimit)),
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			applyIdleTimeout(conn, limits.IdleTimeout)
			return tcp.WithConn(ctx, conn)
		},
		ErrorLog: zap.NewStdLog(zap.NewNop()), // malformed client requests are not logged
	}
}

// applyIdleTimeout lets a client read nothing for the idle timeout before its connection fails. The user timeout of the
// listener is shorter, as it serves to detect unreachable machines, and would cut off a response to a client that pauses.
func applyIdleTimeout(conn net.Conn, idleTimeout time.Duration) {
	tracked, ok := conn.(*tcp.CloseTrackingConn)
	if !ok || idleTimeout <= 0 {
		return
	}
	if socket, ok := tracked.Conn.(syscall.Conn); ok {
		_ = tcp.UserTimeout(idleTimeout).Apply(socket) // fails if the connection has ended
	}
}

// close shuts the listener down. For the time that the schedule calls notice it accepts connections, as clients still
// have the address. Then it stops listening and waits until the requests in flight are answered. It calls passDeadline
// at the shutdown deadline.
func (l *listener) close(schedule shutdownSchedule, passDeadline func()) {
	time.Sleep(schedule.notice)
	l.tcpListener.Close()
	<-l.acceptDone // each accepted connection now has a server
	graceful.Shutdown(l.finalServers(), schedule.requests, passDeadline)
}

// finalServers returns all servers, and prevents that another one is started.
func (l *listener) finalServers() []*http.Server {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closing = true
	return l.servers
}
