package relay

import (
	"context"
	"net"
	"sync"
	"time"

	"sagelever/strand"
	"sagelever/sway"
)

// links are the connections to appliances: how many are open to each, and those that were opened ahead and wait for a first
// request.
type links struct {
	dialer *net.Dialer
	terms  strand.Terms
	dials  func()

	mu    sync.Mutex
	open  map[string]int
	ready map[string]*waiting // one for each address at most
}

// soon is within what time a connection that was opened ahead is of use: what moves does so at once.
const soon = time.Second

type waiting struct {
	conn net.Conn
	till time.Time
}

func newLinks(terms strand.Terms, dials func()) *links {
	return &links{dialer: patience.Dialer(dialTime), terms: terms, dials: dials, open: map[string]int{}, ready: map[string]*waiting{}}
}

// dial gives a connection that was opened ahead, or opens one.
func (l *links) dial(ctx context.Context, network, address string) (net.Conn, error) {
	l.mu.Lock()
	w := l.ready[address]
	delete(l.ready, address)
	l.mu.Unlock()
	if w != nil {
		if time.Now().Before(w.till) {
			return w.conn, nil
		}
		w.conn.Close()
	}
	return l.connect(ctx, network, address)
}

func (l *links) connect(ctx context.Context, network, address string) (net.Conn, error) {
	l.dials()
	c, err := l.dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	l.count(address, 1)
	terms := l.terms
	terms.Closed = func() { l.count(address, -1) }
	return strand.NewConn(c.(*net.TCPConn), &terms), nil
}

func (l *links) count(address string, by int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open[address] += by; l.open[address] == 0 {
		delete(l.open, address)
	}
}

// ahead opens a connection to each that has none at rest.
func (l *links) ahead(list []sway.Ahead) {
	for _, x := range list {
		l.mu.Lock()
		rests := l.open[x.Address] > x.Out || l.ready[x.Address] != nil
		l.mu.Unlock()
		if rests {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), dialTime)
			defer cancel()
			c, err := l.connect(ctx, "tcp4", x.Address)
			if err != nil {
				return // the first request there will see it
			}
			l.mu.Lock()
			defer l.mu.Unlock()
			if l.ready[x.Address] != nil {
				go c.Close() // it is counted under the lock
				return
			}
			l.ready[x.Address] = &waiting{c, time.Now().Add(soon)}
		}()
	}
}

// sweep closes what was opened ahead and not used.
func (l *links) sweep(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for address, w := range l.ready {
		if now.After(w.till) {
			delete(l.ready, address)
			go w.conn.Close()
		}
	}
}
