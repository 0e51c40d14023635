package proxy

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"sagelever/internal/control/routing"
)

const (
	// maxDrainNotice bounds the time for which a draining proxy still accepts connections, because clients learn only
	// with a delay that they should go elsewhere.
	maxDrainNotice = 2 * time.Second

	// acceptRetryDelay is the pause after a failed accept. Accept fails while the process has no descriptor left.
	acceptRetryDelay = 20 * time.Millisecond

	// maxHeaderLimit bounds the configured size of a request's header.
	maxHeaderLimit = 1 << 20
)

// defaultLimits hold until the first configuration arrives.
var defaultLimits = routing.RequestLimits{
	MaxHeaderBytes: 16 << 10,
	MaxBodyBytes:   1 << 20,
	HeaderTimeout:  3 * time.Second,
	IdleTimeout:    15 * time.Second,
}

// listener accepts connections from clients. An http.Server takes its limits when it is made, so that changed limits
// put a new server in its place; the previous server keeps the connections that it has.
type listener struct {
	handler       http.Handler
	shutdownGrace time.Duration
	tcpListener   net.Listener
	acceptDone    chan struct{} // closed when the accept loop has ended

	mu      sync.Mutex
	current *serverListener // of the last of servers
	servers []*http.Server
	limits  routing.RequestLimits // of the last of servers
}

// serverListener is the net.Listener of one http.Server. It returns the connections that it is offered, until it is
// closed.
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

func newListener(handler http.Handler, shutdownGrace time.Duration) *listener {
	return &listener{handler: handler, shutdownGrace: shutdownGrace, acceptDone: make(chan struct{})}
}

// open starts to accept connections, with the default limits.
func (l *listener) open(address string) error {
	tcpListener, err := userTimeout.Listen(address)
	if err != nil {
		return err
	}
	l.mu.Lock()
	l.tcpListener = tcpListener
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

// handOver gives a connection to the current server. If that has just been replaced its successor gets the connection;
// if the successor is closed too the proxy is shutting down.
func (l *listener) handOver(conn net.Conn) {
	const tries = 2
	for range tries {
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

// applyLimits puts a server with the given limits in place of the current one, unless that has them already.
func (l *listener) applyLimits(limits routing.RequestLimits) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if limits == l.limits || l.tcpListener == nil {
		return
	}
	l.limits = limits
	previous := l.current
	current := &serverListener{Listener: l.tcpListener, conns: make(chan net.Conn), done: make(chan struct{})}
	l.current = current
	server := &http.Server{
		Handler:           l.handler,
		ReadHeaderTimeout: limits.HeaderTimeout,
		IdleTimeout:       limits.IdleTimeout,
		MaxHeaderBytes:    int(min(limits.MaxHeaderBytes, maxHeaderLimit)),
		ErrorLog:          zap.NewStdLog(zap.NewNop()), // malformed requests of clients are not worth a line each
	}
	l.servers = append(l.servers, server)
	go func() { _ = server.Serve(current) }() // always ends with an error, once current is closed
	if previous != nil {
		_ = previous.Close() // never fails
	}
}

// close shuts down in order: it accepts connections for a while longer, as clients still have the address, then stops
// listening and waits for requests in flight, both within the shutdown grace period.
func (l *listener) close(ctx context.Context) {
	time.Sleep(min(l.shutdownGrace/3, maxDrainNotice))
	ctx, cancel := context.WithTimeout(ctx, l.shutdownGrace*6/10)
	defer cancel()
	l.mu.Lock()
	servers := append([]*http.Server(nil), l.servers...)
	l.mu.Unlock()
	var shutdowns sync.WaitGroup
	for _, server := range servers {
		shutdowns.Go(func() { _ = server.Shutdown(ctx) }) // what is not finished then ends with the process
	}
	l.tcpListener.Close()
	shutdowns.Wait()
	<-l.acceptDone
}
