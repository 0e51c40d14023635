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

// connPool opens connections to backends for the transport and counts the open ones by destination. It keeps
// connections that were opened ahead of time until their first request; afterwards the transport manages them.
type connPool struct {
	dialer  *net.Dialer
	options upstream.Options
	onDial  func() // called for each connection that is dialed

	mu           sync.Mutex
	openCount    map[destination]int
	preconnected map[destination]*preconnection // at most one each
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
		openCount:    map[destination]int{},
		preconnected: map[destination]*preconnection{},
	}
}

// dial returns the connection that was opened ahead of time to a destination, or opens a new one. It has the signature
// of http.Transport.DialContext.
func (p *connPool) dial(ctx context.Context, network, hostPort string) (net.Conn, error) {
	target, err := parseDestination(hostPort)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	preconn := p.preconnected[target]
	delete(p.preconnected, target)
	p.mu.Unlock()
	if preconn != nil {
		if time.Now().Before(preconn.expiresAt) {
			return preconn.conn, nil
		}
		preconn.conn.Close()
	}
	return p.connect(ctx, network, target)
}

// connect opens a new connection.
func (p *connPool) connect(ctx context.Context, network string, target destination) (net.Conn, error) {
	p.onDial()
	conn, err := p.dialer.DialContext(ctx, network, target.address)
	if err != nil {
		return nil, err
	}
	p.adjustOpenCount(target, 1)
	options := p.options
	options.OnClose = func() { p.adjustOpenCount(target, -1) }
	return upstream.NewConn(conn.(*net.TCPConn), &options), nil
}

func (p *connPool) adjustOpenCount(target destination, delta int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.openCount[target] += delta
	if p.openCount[target] == 0 {
		delete(p.openCount, target)
	}
}

// preconnect opens a connection to each target that has no idle one. It does not wait for the dials, each of which ends
// within dialTimeout. closeExpired closes the connections that are not used.
func (p *connPool) preconnect(targets []balancer.PreconnectTarget) {
	for _, target := range targets {
		if !p.hasIdle(target) {
			go p.openPreconnection(destination{target.BackendID, target.Address})
		}
	}
}

// hasIdle reports whether there is a connection to the target that carries no request.
func (p *connPool) hasIdle(target balancer.PreconnectTarget) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := destination{target.BackendID, target.Address}
	return p.openCount[key] > target.InUse || p.preconnected[key] != nil
}

// openPreconnection opens a connection and keeps it for the next request to target.
func (p *connPool) openPreconnection(target destination) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	conn, err := p.connect(ctx, "tcp4", target)
	if err != nil {
		return // the first request to this backend handles its own dial error
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.preconnected[target] != nil {
		go conn.Close() // in a goroutine because OnClose takes the lock
		return
	}
	p.preconnected[target] = &preconnection{conn, time.Now().Add(preconnectTTL)}
}

// closeExpired closes the unused connections whose preconnectTTL has passed by now.
func (p *connPool) closeExpired(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for target, preconn := range p.preconnected {
		if now.After(preconn.expiresAt) {
			delete(p.preconnected, target)
			go preconn.conn.Close() // in a goroutine because OnClose takes the lock
		}
	}
}
