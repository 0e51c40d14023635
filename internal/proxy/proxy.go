// Package relay is the data plane of one machine: it takes clients' requests, has sway decide where each goes, and carries
// it there and its answer back. What it knows it pulls from the core.
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
	"sagelever/internal/upstream"
)

const userTimeout = tcp.UserTimeout(1500 * time.Millisecond)

// Options of a relay.
type Options struct {
	Settings *settings.Settings
	Log      *zap.Logger
	Dial     rpc.DialFunc // how members of the core are reached; nil: as usual
}

// Proxy is one edge agent.
type Proxy struct {
	settings      *settings.Settings
	log           *zap.Logger
	routingTable  atomic.Pointer[routing.Table]
	synced        atomic.Bool // the table was told whole by a sound source in this life
	draining      atomic.Bool
	bufferedBytes atomic.Int64 // bytes of bodies in memory
	bufferLimit   int64        // for them
	mu            sync.Mutex   // guards sway
	balancer      *balancer.Balancer
	transport     *http.Transport
	connPool      *connPool
	subscription  *subscription
	listener      *listener
	startedAt     time.Time
	dial          rpc.DialFunc
	requestQueued chan struct{}                 // told when a request begins to wait
	onAttempt     func(*http.Request, *attempt) // told of each send as it begins; tests set it
	counters      counters
}

// New makes a relay.
func New(options Options) *Proxy {
	p := &Proxy{settings: options.Settings, dial: options.Dial, log: options.Log, startedAt: time.Now(), balancer: balancer.New(options.Settings, rand.Float64), requestQueued: make(chan struct{}, 1)}
	memoryLimit := int64(options.Settings.Resources.RAMMb) << 20
	if memoryLimit <= 0 {
		memoryLimit = 256 << 20
	}
	p.bufferLimit = memoryLimit / 4
	p.connPool = newConnPool(upstream.Options{MaxResponseBytes: memoryLimit / 8}, func() { p.counters.dials.Add(1) })
	p.transport = &http.Transport{
		DisableCompression:     true,
		MaxIdleConnsPerHost:    64,
		MaxResponseHeaderBytes: 2 * upstream.MaxHeaderBytes,
		ReadBufferSize:         2 << 10,
		WriteBufferSize:        2 << 10,
		IdleConnTimeout:        idleConnTimeout,
		DialContext:            p.connPool.dial,
	}
	p.subscription = newSubscription(p)
	p.listener = newListener(p)
	return p
}

const (
	dialTimeout         = 600 * time.Millisecond  // some times the way between regions and back, and a lost packet's second try not
	idleConnTimeout     = 4 * time.Second         // appliances close idle connections later than this unless they say otherwise
	queueCheckInterval  = 20 * time.Millisecond   // in which those who wait for a place are looked at, while there are some
	idleCheckInterval   = 12 * queueCheckInterval // the same while there are none: each look wakes the process
	tallyReportInterval = time.Second             // in which counts of a release are told
)

// Run serves until the context ends, and then as long as clients and what is under way need.
func (p *Proxy) Run(ctx context.Context) error {
	workCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	readyListener, err := userTimeout.Listen(p.settings.ListenAddresses["readyCheck"])
	if err != nil {
		return errors.Wrap(err, "proxy")
	}
	readyServer := &http.Server{Handler: http.HandlerFunc(p.serveReady), ReadHeaderTimeout: 3 * time.Second, IdleTimeout: 30 * time.Second}
	go readyServer.Serve(readyListener)
	if err := p.listener.open(p.settings.ListenAddresses["front"]); err != nil {
		return errors.Wrap(err, "proxy")
	}
	go p.subscription.run(workCtx)
	go p.runTicker(workCtx)
	p.log.Info("proxy started", zap.String("node", p.settings.Node))
	<-ctx.Done()
	p.draining.Store(true)
	p.subscription.announceLease(workCtx)
	p.log.Info("leaving", zap.Duration("leeway", p.settings.RuleLimits.ShutdownGrace))
	p.listener.close(workCtx)
	p.subscription.releaseLease(workCtx)
	cancel()
	readyServer.Close()
	p.transport.CloseIdleConnections()
	p.connPool.closeExpired(time.Now().Add(2 * preconnectTTL))
	p.counters.logTo(p.log)
	return nil
}

// runTicker looks at those who wait, and tells the counts of releases.
func (p *Proxy) runTicker(ctx context.Context) {
	ticker := time.NewTicker(idleCheckInterval)
	defer ticker.Stop()
	lastTallyReport, lastCountersLog, wasCovered := time.Now(), time.Now(), true
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.requestQueued:
			ticker.Reset(queueCheckInterval)
		case now := <-ticker.C:
			p.mu.Lock()
			p.connPool.closeExpired(now)
			p.balancer.DispatchAll(now)
			waiting := p.balancer.HasQueued()
			checks := p.balancer.TakeHealthChecks()
			covered := p.balancer.LeaseValid(now)
			p.mu.Unlock()
			if covered != wasCovered {
				if wasCovered = covered; wasCovered {
					p.log.Info("the core's word covers what is sent")
				} else {
					p.log.Warn("no word of the core: appliances are asked themselves")
				}
			}
			p.startHealthChecks(checks)
			if waiting {
				ticker.Reset(queueCheckInterval)
			} else {
				ticker.Reset(idleCheckInterval)
			}
			if now.Sub(lastTallyReport) > tallyReportInterval {
				lastTallyReport = now
				go p.subscription.reportTallies(ctx)
			}
			if now.Sub(lastCountersLog) > 10*time.Second {
				lastCountersLog = now
				p.counters.logTo(p.log)
			}
		}
	}
}

func (p *Proxy) ready() bool {
	table := p.routingTable.Load()
	return table != nil && table.ItemCount > 0 && !p.draining.Load()
}

func (p *Proxy) serveReady(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.Method != http.MethodGet || r.URL.Path != "/api/ready":
		http.NotFound(w, r)
	case !p.ready():
		http.Error(w, "not ready", http.StatusServiceUnavailable)
	}
}

// counters are told in the log every so often, and nothing else of a request is.
type counters struct {
	received, served, refused, failed, dials, retries, queued, aborted, healthChecks, withheld atomic.Int64
	sendsByDistance, bytesByDistance                                                           [3]atomic.Int64 // sends and their bytes: in the zone, the region, beyond
}

func (c *counters) logTo(log *zap.Logger) {
	if c.received.Load() == 0 {
		return
	}
	log.Info("counts", zap.Int64("taken", c.received.Load()), zap.Int64("served", c.served.Load()), zap.Int64("refused", c.refused.Load()),
		zap.Int64("failed", c.failed.Load()), zap.Int64("dials", c.dials.Load()), zap.Int64("again", c.retries.Load()),
		zap.Int64("waited", c.queued.Load()), zap.Int64("cut", c.aborted.Load()), zap.Int64("asked", c.healthChecks.Load()), zap.Int64("withheld", c.withheld.Load()),
		zap.Int64s("sends", loadAll(&c.sendsByDistance)), zap.Int64s("bytes", loadAll(&c.bytesByDistance)))
}

// Reload takes the first contacts of changed settings; all else is taken at the next start.
func (p *Proxy) Reload(changed *settings.Settings) {
	p.subscription.addControllers(changed.SeedAddresses)
}

func loadAll(values *[3]atomic.Int64) []int64 {
	return []int64{values[0].Load(), values[1].Load(), values[2].Load()}
}
