// Package relay is the data plane of one machine: it takes clients' requests, has sway decide where each goes, and carries
// it there and its answer back. What it knows it pulls from the core.
package relay

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"sagelever/boot"
	"sagelever/plan"
	"sagelever/steward"
	"sagelever/strand"
	"sagelever/sway"
)

const patience = strand.Patience(1500 * time.Millisecond)

// Options of a relay.
type Options struct {
	Settings *boot.Settings
	Log      *zap.Logger
	Dial     steward.Dial // how members of the core are reached; nil: as usual
}

// Relay is one edge agent.
type Relay struct {
	settings *boot.Settings
	log      *zap.Logger
	table    atomic.Pointer[plan.Table]
	trusted  atomic.Bool // the table was told whole by a sound source in this life
	leaving  atomic.Bool
	held     atomic.Int64 // bytes of bodies in memory
	room     int64        // for them
	mu       sync.Mutex   // guards sway
	sway     *sway.Sway
	sends    *http.Transport
	links    *links
	news     *news
	front    *front
	begun    time.Time
	dial     steward.Dial
	waits    chan struct{}  // told when a request begins to wait
	watch    func(*attempt) // told of each send as it begins; tests set it
	counts   counts
}

// New makes a relay.
func New(o Options) *Relay {
	r := &Relay{settings: o.Settings, dial: o.Dial, log: o.Log, begun: time.Now(), sway: sway.New(o.Settings, rand.Float64), waits: make(chan struct{}, 1)}
	memory := int64(o.Settings.Limits.RAMMb) << 20
	if memory <= 0 {
		memory = 256 << 20
	}
	r.room = memory / 4
	r.links = newLinks(strand.Terms{Longest: memory / 8}, func() { r.counts.dials.Add(1) })
	r.sends = &http.Transport{
		DisableCompression:     true,
		MaxIdleConnsPerHost:    64,
		MaxResponseHeaderBytes: 2 * strand.MostHeads,
		ReadBufferSize:         2 << 10,
		WriteBufferSize:        2 << 10,
		IdleConnTimeout:        idle,
		DialContext:            r.links.dial,
	}
	r.news = newNews(r)
	r.front = newFront(r)
	return r
}

const (
	dialTime = 600 * time.Millisecond // some times the way between regions and back, and a lost packet's second try not
	idle     = 4 * time.Second        // appliances close idle connections later than this unless they say otherwise
	beat     = 20 * time.Millisecond  // in which those who wait for a place are looked at, while there are some
	calm     = 12 * beat              // the same while there are none: each look wakes the process
	telling  = time.Second            // in which counts of a release are told
)

// Run serves until the context ends, and then as long as clients and what is under way need.
func (r *Relay) Run(ctx context.Context) error {
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	ready, err := patience.Listen(r.settings.Listens["readyCheck"])
	if err != nil {
		return errors.Wrap(err, "relay")
	}
	readySrv := &http.Server{Handler: http.HandlerFunc(r.serveReady), ReadHeaderTimeout: 3 * time.Second, IdleTimeout: 30 * time.Second}
	go readySrv.Serve(ready)
	if err := r.front.open(r.settings.Listens["front"]); err != nil {
		return errors.Wrap(err, "relay")
	}
	go r.news.run(work)
	go r.pace(work)
	r.log.Info("relay started", zap.String("node", r.settings.Node))
	<-ctx.Done()
	r.leaving.Store(true)
	r.news.announce(work)
	r.log.Info("leaving", zap.Duration("leeway", r.settings.Bounds.Leeway))
	r.front.close(work)
	r.news.end(work)
	stop()
	readySrv.Close()
	r.sends.CloseIdleConnections()
	r.links.sweep(time.Now().Add(2 * soon))
	r.counts.write(r.log)
	return nil
}

// pace looks at those who wait, and tells the counts of releases.
func (r *Relay) pace(ctx context.Context) {
	t := time.NewTicker(calm)
	defer t.Stop()
	told, counted, touch := time.Now(), time.Now(), true
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.waits:
			t.Reset(beat)
		case now := <-t.C:
			r.mu.Lock()
			r.links.sweep(now)
			r.sway.ServeAll(now)
			wait := r.sway.Waiting()
			asks := r.sway.Asks()
			covered := r.sway.Touch(now)
			r.mu.Unlock()
			if covered != touch {
				if touch = covered; touch {
					r.log.Info("the core's word covers what is sent")
				} else {
					r.log.Warn("no word of the core: appliances are asked themselves")
				}
			}
			r.put(asks)
			if wait {
				t.Reset(beat)
			} else {
				t.Reset(calm)
			}
			if now.Sub(told) > telling {
				told = now
				go r.news.tell(ctx)
			}
			if now.Sub(counted) > 10*time.Second {
				counted = now
				r.counts.write(r.log)
			}
		}
	}
}

func (r *Relay) ready() bool {
	t := r.table.Load()
	return t != nil && t.Items > 0 && !r.leaving.Load()
}

func (r *Relay) serveReady(w http.ResponseWriter, q *http.Request) {
	switch {
	case q.Method != http.MethodGet || q.URL.Path != "/api/ready":
		http.NotFound(w, q)
	case !r.ready():
		http.Error(w, "not ready", http.StatusServiceUnavailable)
	}
}

// counts are told in the log every so often, and nothing else of a request is.
type counts struct {
	taken, served, refused, failed, dials, again, waited, cut, asked, withheld atomic.Int64
	far, farBytes                                                              [3]atomic.Int64 // sends and their bytes: in the zone, the region, beyond
}

func (c *counts) write(log *zap.Logger) {
	if c.taken.Load() == 0 {
		return
	}
	log.Info("counts", zap.Int64("taken", c.taken.Load()), zap.Int64("served", c.served.Load()), zap.Int64("refused", c.refused.Load()),
		zap.Int64("failed", c.failed.Load()), zap.Int64("dials", c.dials.Load()), zap.Int64("again", c.again.Load()),
		zap.Int64("waited", c.waited.Load()), zap.Int64("cut", c.cut.Load()), zap.Int64("asked", c.asked.Load()), zap.Int64("withheld", c.withheld.Load()),
		zap.Int64s("sends", load(&c.far)), zap.Int64s("bytes", load(&c.farBytes)))
}

// Reload takes the first contacts of changed settings; all else is taken at the next start.
func (r *Relay) Reload(c *boot.Settings) { r.news.reload(c.FirstContacts) }

func load(x *[3]atomic.Int64) []int64 { return []int64{x[0].Load(), x[1].Load(), x[2].Load()} }
