package proxy

import (
	"context"
	"net"
	"sync"
	"time"

	"sagelever/internal/proxy/balancer"
	"sagelever/internal/upstream"
)

// connPool are the connections to appliances: how many are open to each, and those that were opened ahead and wait for a first
// request.
type connPool struct {
	dialer  *net.Dialer
	options upstream.Options
	onDial  func()

	mu           sync.Mutex
	openCount    map[string]int
	preconnected map[string]*preconnection // one for each address at most
}

// preconnectTTL is within what time a connection that was opened ahead is of use: what moves does so at once.
const preconnectTTL = time.Second

type preconnection struct {
	conn      net.Conn
	expiresAt time.Time
}

func newConnPool(options upstream.Options, onDial func()) *connPool {
	return &connPool{dialer: userTimeout.Dialer(dialTimeout), options: options, onDial: onDial, openCount: map[string]int{}, preconnected: map[string]*preconnection{}}
}

// dial gives a connection that was opened ahead, or opens one.
func (p *connPool) dial(ctx context.Context, network, address string) (net.Conn, error) {
	p.mu.Lock()
	ready := p.preconnected[address]
	delete(p.preconnected, address)
	p.mu.Unlock()
	if ready != nil {
		if time.Now().Before(ready.expiresAt) {
			return ready.conn, nil
		}
		ready.conn.Close()
	}
	return p.connect(ctx, network, address)
}

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
	if p.openCount[address] += delta; p.openCount[address] == 0 {
		delete(p.openCount, address)
	}
}

// preconnect opens a connection to each that has none at rest.
func (p *connPool) preconnect(hints []balancer.PreconnectTarget) {
	for _, hint := range hints {
		p.mu.Lock()
		hasSpare := p.openCount[hint.Address] > hint.InUse || p.preconnected[hint.Address] != nil
		p.mu.Unlock()
		if hasSpare {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
			defer cancel()
			conn, err := p.connect(ctx, "tcp4", hint.Address)
			if err != nil {
				return // the first request there will see it
			}
			p.mu.Lock()
			defer p.mu.Unlock()
			if p.preconnected[hint.Address] != nil {
				go conn.Close() // it is counted under the lock
				return
			}
			p.preconnected[hint.Address] = &preconnection{conn, time.Now().Add(preconnectTTL)}
		}()
	}
}

// closeExpired closes what was opened ahead and not used.
func (p *connPool) closeExpired(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, ready := range p.preconnected {
		if now.After(ready.expiresAt) {
			delete(p.preconnected, address)
			go ready.conn.Close()
		}
	}
}
