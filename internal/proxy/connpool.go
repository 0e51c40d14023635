package proxy

import (
	"context"
	"net"
	"sync"
	"time"

	"sagelever/internal/proxy/balancer"
	"sagelever/internal/upstream"
)

// preconnectTTL is how long a connection that was opened ahead of time is kept for its first request. It is short
// because requests that move to another backend move immediately.
const preconnectTTL = time.Second

// connPool opens connections to backends for the transport and counts the open ones by address. It keeps connections
// that were opened ahead of time until their first request; afterwards the transport manages them.
type connPool struct {
	dialer  *net.Dialer
	options upstream.Options
	onDial  func() // called for each connection that is dialed

	mu           sync.Mutex
	openCount    map[string]int            // by address
	preconnected map[string]*preconnection // by address, at most one each
}

// preconnection is a connection that was opened ahead of time and has carried no request yet.
type preconnection struct {
	conn      net.Conn
	expiresAt time.Time
}

func newConnPool(options upstream.Options, onDial func()) *connPool {
	return &connPool{
		dialer:       userTimeout.Dialer(dialTimeout),
		options:      options,
		onDial:       onDial,
		openCount:    map[string]int{},
		preconnected: map[string]*preconnection{},
	}
}

// dial returns the connection that was opened ahead of time to address, or opens a new one. It has the signature of
// http.Transport.DialContext.
func (p *connPool) dial(ctx context.Context, network, address string) (net.Conn, error) {
	p.mu.Lock()
	preconn := p.preconnected[address]
	delete(p.preconnected, address)
	p.mu.Unlock()
	if preconn != nil {
		if time.Now().Before(preconn.expiresAt) {
			return preconn.conn, nil
		}
		preconn.conn.Close()
	}
	return p.connect(ctx, network, address)
}

// connect opens a new connection.
func (p *connPool) connect(ctx context.Context, network, address string) (net.Conn, error) {
	p.onDial()
	conn, err := p.dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	p.adjustOpenCount(address, 1)
	options := p.options
	options.OnClose = func() { p.adjustOpenCount(address, -1) }
	return upstream.NewConn(conn.(*net.TCPConn), &options), nil
}

func (p *connPool) adjustOpenCount(address string, delta int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.openCount[address] += delta
	if p.openCount[address] == 0 {
		delete(p.openCount, address)
	}
}

// preconnect opens a connection to each target that has no idle one. It does not wait for the dials, each of which ends
// within dialTimeout. closeExpired closes the connections that are not used.
func (p *connPool) preconnect(targets []balancer.PreconnectTarget) {
	for _, target := range targets {
		if !p.hasIdle(target) {
			go p.openPreconnection(target.Address)
		}
	}
}

// hasIdle reports whether there is a connection to the target that carries no request.
func (p *connPool) hasIdle(target balancer.PreconnectTarget) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.openCount[target.Address] > target.InUse || p.preconnected[target.Address] != nil
}

// openPreconnection opens a connection and keeps it for the next request to address.
func (p *connPool) openPreconnection(address string) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	conn, err := p.connect(ctx, "tcp4", address)
	if err != nil {
		return // the first request to this address handles its own dial error
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.preconnected[address] != nil {
		go conn.Close() // in a goroutine because OnClose takes the lock
		return
	}
	p.preconnected[address] = &preconnection{conn, time.Now().Add(preconnectTTL)}
}

// closeExpired closes the unused connections whose preconnectTTL has passed by now.
func (p *connPool) closeExpired(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, preconn := range p.preconnected {
		if now.After(preconn.expiresAt) {
			delete(p.preconnected, address)
			go preconn.conn.Close() // in a goroutine because OnClose takes the lock
		}
	}
}
