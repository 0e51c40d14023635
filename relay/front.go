package relay

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"sagelever/plan"
)

// bound is what clients may send before the first configuration tells.
var bound = plan.Bound{Head: 16 << 10, Body: 1 << 20, HeadWait: 3 * time.Second, Quiet: 15 * time.Second}

// front listens for clients. Its server takes the limits when it is made, so that a change of them puts a new server on
// the same listener; the old one goes on with the connections that it has.
type front struct {
	r       *Relay
	l       net.Listener
	mu      sync.Mutex
	tap     *tap
	servers []*http.Server
	limits  plan.Bound
}

// tap hands a listener's connections to a server until it is turned off.
type tap struct {
	net.Listener
	conns chan net.Conn
	off   chan struct{}
	once  sync.Once
}

func (t *tap) Accept() (net.Conn, error) {
	select {
	case c := <-t.conns:
		return c, nil
	case <-t.off:
		return nil, net.ErrClosed
	}
}

func (t *tap) Close() error { t.once.Do(func() { close(t.off) }); return nil }

func newFront(r *Relay) *front { return &front{r: r} }

func (f *front) open(address string) error {
	l, err := patience.Listen(address)
	if err != nil {
		return err
	}
	f.l = l
	f.serve(bound)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				if errors.Is(err, net.ErrClosed) {
					return
				}
				time.Sleep(beat) // out of descriptors: some will come free
				continue
			}
			f.mu.Lock()
			t := f.tap
			f.mu.Unlock()
			select {
			case t.conns <- c:
			case <-t.off: // a new server has just taken over
				f.mu.Lock()
				t = f.tap
				f.mu.Unlock()
				select {
				case t.conns <- c:
				case <-t.off:
					c.Close()
				}
			}
		}
	}()
	return nil
}

// serve puts a server with these limits in front.
func (f *front) serve(b plan.Bound) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if b == f.limits || f.l == nil {
		return
	}
	f.limits = b
	old := f.tap
	f.tap = &tap{Listener: f.l, conns: make(chan net.Conn), off: make(chan struct{})}
	srv := &http.Server{Handler: f, ReadHeaderTimeout: b.HeadWait, IdleTimeout: b.Quiet, MaxHeaderBytes: int(min(b.Head, 1<<20)),
		ErrorLog: zap.NewStdLog(zap.NewNop())} // what clients do wrong is counted, not told line by line
	f.servers = append(f.servers, srv)
	go srv.Serve(f.tap)
	if old != nil {
		old.Close()
	}
}

// close ends the front in order: it goes on taking what comes while clients still have its address, then stops listening
// and lets what is under way finish.
func (f *front) close(ctx context.Context) {
	leeway := f.r.settings.Bounds.Leeway
	time.Sleep(min(leeway/3, 2*time.Second))
	ctx, cancel := context.WithTimeout(ctx, leeway*6/10)
	defer cancel()
	f.mu.Lock()
	servers := append([]*http.Server(nil), f.servers...)
	f.mu.Unlock()
	var wg sync.WaitGroup
	for _, srv := range servers {
		wg.Add(1)
		go func() { defer wg.Done(); srv.Shutdown(ctx) }()
	}
	f.l.Close()
	wg.Wait()
}
