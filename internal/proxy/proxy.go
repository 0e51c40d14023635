// Package proxy is the data plane of one machine. It accepts requests from clients, forwards each to a backend that the
// balancer selects, and forwards the response to the client.
//
// A request passes through serveClient, forward and send to a backend, and its response through respond to the client.
// Package retry decides which responses and retries an outcome allows; package balancer decides which backend receives
// a request.
//
// The proxy receives the configuration, the backends and the releases from the controllers by long polling (see
// subscription). The same pulls renew two leases: the membership lease, by which clients find the proxy, and the send
// lease. Without a valid send lease the proxy sends to a backend only if a health check confirms that the backend
// serves.
//
// Lock order: connPool.mu may be taken while Proxy.mu is held, but not vice versa. subscription.mu is never held
// together with either of them.
package proxy

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"sagelever/internal/control/routing"
	"sagelever/internal/proxy/balancer"
	"sagelever/internal/rpc"
	"sagelever/internal/settings"
	"sagelever/internal/tcp"
	"sagelever/internal/telemetry"
	"sagelever/internal/upstream"
)

const (
	// userTimeout is the TCP user timeout of every connection of the proxy.
	userTimeout = tcp.UserTimeout(1500 * time.Millisecond)

	// dialTimeout covers several round trips between regions, but not a second retransmission of a lost packet.
	dialTimeout = 600 * time.Millisecond

	// idleConnTimeout is shorter than the idle timeout of backends that do not announce one, so that the proxy closes
	// an idle connection before the backend does.
	idleConnTimeout = 4 * time.Second

	maxIdleConnsPerBackend = 64

	// transportBufferSize is the size in bytes of the read and the write buffer of a connection to a backend.
	transportBufferSize = 2 << 10

	// defaultMemoryLimit is the memory limit in bytes if the settings contain none.
	defaultMemoryLimit = 256 << 20

	// Body buffers may use a quarter of the memory limit, and a single response an eighth.
	bufferLimitDivisor      = 4
	maxResponseBytesDivisor = 8

	readyHeaderTimeout = 3 * time.Second
	readyIdleTimeout   = 30 * time.Second
)

// Options configures a Proxy.
type Options struct {
	Settings *settings.Settings
	Log      *zap.Logger
	Dial     rpc.DialFunc // opens connections to controllers; nil for plain TCP
}

// Proxy is the proxy of one machine. Create it with New and serve with Run.
type Proxy struct {
	settings  *settings.Settings
	log       *zap.Logger
	dial      rpc.DialFunc
	startedAt time.Time

	routingTable atomic.Pointer[routing.Table] // nil until a controller has sent a configuration
	authority    authority                     // whether the configuration is complete
	draining     atomic.Bool                   // the proxy is shutting down
	deadline     *shutdownDeadline

	bufferedBytes atomic.Int64 // size of the request and response bodies in memory
	bufferLimit   int64        // requests with a body are rejected while bufferedBytes is above this limit

	mu       sync.Mutex // guards balancer
	balancer *balancer.Balancer

	transport     *http.Transport // to backends
	connPool      *connPool
	subscription  *subscription
	listener      *listener
	requestQueued chan struct{} // wakes the ticker when a request is queued; capacity 1
	inFlight      inFlightRequests
	counters      counters

	onAttempt func(*http.Request, *attempt) // called when an attempt starts; only set by tests
}

// New returns a proxy. It opens no connections before Run.
func New(options Options) *Proxy {
	memoryLimit := int64(options.Settings.Resources.MemoryMB) << 20
	if memoryLimit <= 0 {
		memoryLimit = defaultMemoryLimit
	}
	p := &Proxy{
		settings:      options.Settings,
		dial:          options.Dial,
		log:           options.Log,
		startedAt:     time.Now(),
		balancer:      balancer.New(options.Settings, rand.Float64),
		bufferLimit:   memoryLimit / bufferLimitDivisor,
		requestQueued: make(chan struct{}, 1),
		deadline:      newShutdownDeadline(),
	}
	connOptions := upstream.Options{MaxResponseBytes: memoryLimit / maxResponseBytesDivisor}
	p.connPool = newConnPool(connOptions, func() { p.counters.dials.Add(1) })
	p.transport = newTransport(p.connPool)
	p.subscription = newSubscription(p)
	p.listener = newListener(http.HandlerFunc(p.serveClient))
	return p
}

// newTransport returns the HTTP transport to backends. It never decompresses, so that bodies are forwarded unchanged.
func newTransport(pool *connPool) *http.Transport {
	return &http.Transport{
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxIdleConnsPerBackend,
		MaxResponseHeaderBytes: 2 * upstream.MaxHeaderBytes,
		ReadBufferSize:         transportBufferSize,
		WriteBufferSize:        transportBufferSize,
		IdleConnTimeout:        idleConnTimeout,
		DialContext:            pool.dial,
	}
}

// Run serves until ctx ends. It then drains: it withdraws the client address from the membership lease, lets requests
// in flight finish within the shutdown grace period, answers those that do not, and releases the membership lease. Run
// returns an error only if it cannot listen on an address.
func (p *Proxy) Run(ctx context.Context) error {
	workCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	readyServer, err := p.startReadyServer()
	if err != nil {
		return errors.Wrap(err, "proxy")
	}
	defer func() { _ = readyServer.Close() }() // the process is about to exit
	if err := p.listener.open(p.settings.ListenAddresses["front"]); err != nil {
		return errors.Wrap(err, "proxy")
	}
	var loops sync.WaitGroup
	loops.Go(func() { p.subscription.run(workCtx) })
	loops.Go(func() { p.runTicker(workCtx) })
	p.log.Info("proxy started", zap.String("node", p.settings.Node))

	<-ctx.Done()
	p.draining.Store(true)
	p.subscription.announceLease(workCtx)
	p.log.Info("leaving", zap.Duration("grace", p.settings.RuleLimits.ShutdownGrace))
	p.listener.close(newShutdownSchedule(p.settings.RuleLimits.ShutdownGrace), p.deadline.pass)
	p.reportUnanswered(time.Now())
	p.subscription.releaseLease(workCtx)
	cancel()
	loops.Wait()
	p.transport.CloseIdleConnections()
	p.connPool.closeExpired(time.Now().Add(2 * preconnectTTL))
	p.counters.logTo(p.log)
	return nil
}

// Reload applies the seed addresses of changed settings. All other settings take effect at the next start.
func (p *Proxy) Reload(changed *settings.Settings) {
	p.subscription.addSeeds(changed.SeedAddresses)
}

// startReadyServer starts the server for the platform's readiness check and the metrics.
func (p *Proxy) startReadyServer() (*http.Server, error) {
	readyListener, err := userTimeout.Listen(p.settings.ListenAddresses["readyCheck"])
	if err != nil {
		return nil, err
	}
	server := &http.Server{
		Handler:           p.readyHandler(),
		ReadHeaderTimeout: readyHeaderTimeout,
		IdleTimeout:       readyIdleTimeout,
	}
	go func() { _ = server.Serve(readyListener) }() // returns http.ErrServerClosed after Close
	return server, nil
}

// ready reports whether the proxy has a configuration and is not shutting down.
func (p *Proxy) ready() bool {
	table := p.routingTable.Load()
	return table != nil && table.ItemCount > 0 && !p.draining.Load()
}

// readyHandler serves the readiness check and the metrics.
func (p *Proxy) readyHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/", p.serveReady)
	mux.Handle(telemetry.Path, p.metricsPage())
	return mux
}

func (p *Proxy) serveReady(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.Method != http.MethodGet || r.URL.Path != "/api/ready":
		http.NotFound(w, r)
	case !p.ready():
		http.Error(w, "not ready", http.StatusServiceUnavailable)
	}
}
