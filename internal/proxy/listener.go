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

// defaultLimits is what clients may send before the first configuration tells.
var defaultLimits = routing.RequestLimits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 1 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}

// listener listens for clients. Its server takes the limits when it is made, so that a change of them puts a new server on
// the same listener; the old one goes on with the connections that it has.
type listener struct {
	proxy       *Proxy
	tcpListener net.Listener
	mu          sync.Mutex
	current     *serverListener
	servers     []*http.Server
	limits      routing.RequestLimits
}

// serverListener hands a listener's connections to a server until it is turned off.
type serverListener struct {
	net.Listener
	conns     chan net.Conn
	done      chan struct{}
	closeOnce sync.Once
}

func (l *serverListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *serverListener) Close() error { l.closeOnce.Do(func() { close(l.done) }); return nil }

func newListener(proxy *Proxy) *listener { return &listener{proxy: proxy} }

func (l *listener) open(address string) error {
	tcpListener, err := userTimeout.Listen(address)
	if err != nil {
		return err
	}
	l.tcpListener = tcpListener
	l.applyLimits(defaultLimits)
	go func() {
		for {
			c, err := tcpListener.Accept()
			if err != nil {
				if errors.Is(err, net.ErrClosed) {
					return
				}
				time.Sleep(queueCheckInterval) // out of descriptors: some will come free
				continue
			}
			l.mu.Lock()
			current := l.current
			l.mu.Unlock()
			select {
			case current.conns <- c:
			case <-current.done: // a new server has just taken over
				l.mu.Lock()
				current = l.current
				l.mu.Unlock()
				select {
				case current.conns <- c:
				case <-current.done:
					c.Close()
				}
			}
		}
	}()
	return nil
}

// applyLimits puts a server with these limits in front.
func (l *listener) applyLimits(limits routing.RequestLimits) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if limits == l.limits || l.tcpListener == nil {
		return
	}
	l.limits = limits
	previous := l.current
	l.current = &serverListener{Listener: l.tcpListener, conns: make(chan net.Conn), done: make(chan struct{})}
	server := &http.Server{Handler: l, ReadHeaderTimeout: limits.HeaderTimeout, IdleTimeout: limits.IdleTimeout, MaxHeaderBytes: int(min(limits.MaxHeaderBytes, 1<<20)),
		ErrorLog: zap.NewStdLog(zap.NewNop())} // what clients do wrong is counted, not told line by line
	l.servers = append(l.servers, server)
	go server.Serve(l.current)
	if previous != nil {
		previous.Close()
	}
}

// close ends the front in order: it goes on taking what comes while clients still have its address, then stops listening
// and lets what is under way finish.
func (l *listener) close(ctx context.Context) {
	leeway := l.proxy.settings.RuleLimits.ShutdownGrace
	time.Sleep(min(leeway/3, 2*time.Second))
	ctx, cancel := context.WithTimeout(ctx, leeway*6/10)
	defer cancel()
	l.mu.Lock()
	servers := append([]*http.Server(nil), l.servers...)
	l.mu.Unlock()
	var wg sync.WaitGroup
	for _, server := range servers {
		wg.Add(1)
		go func() { defer wg.Done(); server.Shutdown(ctx) }()
	}
	l.tcpListener.Close()
	wg.Wait()
}
