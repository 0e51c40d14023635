// Package steward is the control plane of one machine: the sockets, the disk and the clock of a member of the core. What
// the member does is decided by replica.
package steward

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"sagelever/boot"
	"sagelever/internal/control/membership"
	"sagelever/internal/control/replica"
	"sagelever/strand"
	"sagelever/vault"
)

const (
	tick     = 250 * time.Millisecond
	patience = strand.Patience(1500 * time.Millisecond)
)

// Options of a steward.
type Options struct {
	Settings *boot.Settings
	PerZone  int // members of the core in each zone, as the deploy file has it
	Log      *zap.Logger
	Now      func() time.Time // the time of day; time.Now where nil
	Dial     Dial             // how other agents are reached; nil: as usual
}

// Steward is one member.
type Steward struct {
	settings *boot.Settings
	log      *zap.Logger
	now      func() time.Time
	core     membership.Target
	disk     *vault.Vault
	client   *http.Client
	me       replica.Member

	mu        sync.Mutex
	m         *replica.Replica
	call      uint64
	calls     map[uint64]chan replica.Answer // of other members, until the disk has their answers
	tasks     map[uint64]chan replica.Done
	pulls     map[string]context.CancelFunc // by address: ends a pull under way, so that the next begins
	due       time.Time                     // when the machine wants to be called next
	news      chan struct{}                 // closed when there is news
	wakes     time.Time                     // when it will be; zero where nothing is new
	notes     map[string]string
	noted     uint64 // how far the machine's knowledge has been noted on the disk
	notedAt   time.Time
	told      map[string]string // generations of other replicas' disks as noted
	contacts  []string          // control addresses of some members
	diskFails fails
	counts    counts
	byPath    map[string]*pathCount // of the calls between agents
	orders    flights
	index     sharedIndex // of the configuration, for the check of calls
}

// New opens a steward's state. A disk that is empty though the system has run before is one that was lost.
func New(o Options) (*Steward, error) {
	if o.Now == nil {
		o.Now = time.Now
	}
	c := o.Settings
	folder := c.DataFolder
	if folder == "" {
		dir, err := os.MkdirTemp("", "steward")
		if err != nil {
			return nil, err
		}
		folder = dir
	}
	disk, err := vault.Open(folder)
	if err != nil {
		return nil, err
	}
	s := &Steward{settings: c, log: o.Log, now: o.Now, core: c.Core(o.PerZone), disk: disk,
		client: Client(o.Dial), me: replica.Member{Node: c.Node, Zone: c.Zone, Addr: net.JoinHostPort(c.IP, c.Peer())},
		calls: map[uint64]chan replica.Answer{}, tasks: map[uint64]chan replica.Done{}, pulls: map[string]context.CancelFunc{}, news: make(chan struct{}),
		notes: map[string]string{}, told: map[string]string{}, contacts: c.FirstContacts, byPath: map[string]*pathCount{}}
	s.diskFails.log = o.Log
	if most := (s.core.Size() - 1) / 2; s.core.Lose > most {
		o.Log.Warn("the core is too small for what it should withstand", zap.Int("members", s.core.Size()), zap.Int("shouldLose", s.core.Lose), zap.Int("mayLose", most))
		s.core.Lose = most
	}
	was, err := s.remembered()
	if err != nil {
		return nil, errors.Wrap(err, "what is on the disk")
	}
	pulse := c.Bounds.Pulse
	s.m = replica.New(replica.Config{Me: s.me, Source: c.Node + "@" + strconv.FormatInt(s.now().UnixNano(), 36), Target: s.core,
		Contacts: s.peerAddresses(c.FirstContacts), Fresh: c.FreshStart && !disk.Aside, Zones: c.Zones, Silence: 2*pulse + pulse/2, Luck: rand.Float64}, was, s.now())
	s.log.Info("state read", zap.Int("registers", len(was.Entries)), zap.Int("items", len(was.Items)), zap.String("disk", was.Identity.Disk),
		zap.Bool("acted", was.Identity.Acting), zap.Uint64("epoch", was.Identity.Active), zap.Int64("cut", disk.Cut), zap.Bool("putAside", disk.Aside),
		zap.Int("core", s.core.Size()), zap.Int("mayLose", s.core.Lose))
	return s, nil
}

// Run serves until the context ends, and then for a while, so that callers find others.
func (s *Steward) Run(ctx context.Context) error {
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var servers []*http.Server
	for name, h := range map[string]http.Handler{
		net.JoinHostPort(s.settings.IP, s.settings.Peer()): s.inside(),
		s.settings.Listens["control"]:                      s.outside(),
		s.settings.Listens["directory"]:                    s.directory(),
	} {
		if name == "" {
			continue
		}
		l, err := patience.Listen(name)
		if err != nil {
			return errors.Wrap(err, "steward")
		}
		srv := &http.Server{Handler: h, ReadHeaderTimeout: 3 * time.Second, ReadTimeout: 10 * time.Second, IdleTimeout: 30 * time.Second, ErrorLog: zap.NewStdLog(s.log)}
		servers = append(servers, srv)
		go srv.Serve(l)
	}
	s.step(func(time.Time) {}) // what it was begun with
	go s.find(work)
	go func() {
		told := time.Now()
		for t := time.NewTicker(tick); ; {
			select {
			case now := <-t.C:
				s.step(s.m.Minute)
				s.note()
				if now.Sub(told) > 10*time.Second {
					told = now
					s.counts.write(s.log)
					for path, c := range s.byPath {
						s.log.Info("calls", zap.String("path", path), zap.Int64("calls", c.calls.Load()), zap.Int64("in", c.in.Load()), zap.Int64("out", c.out.Load()))
					}
				}
			case <-work.Done():
				t.Stop()
				return
			}
		}
	}()
	s.log.Info("steward started", zap.String("node", s.settings.Node))
	<-ctx.Done()
	s.step(func(now time.Time) { s.m.Leave(now) })
	s.handOver(work)
	end, cancel := context.WithTimeout(work, time.Second)
	defer cancel()
	for _, srv := range servers {
		srv.Shutdown(end)
	}
	stop()
	return s.disk.Close()
}

// handingOver bounds how long an ending member waits until its successor has taken its place: well within the time that the
// platform leaves a process after SIGTERM.
const handingOver = 2 * time.Second

// handOver goes on for a while where a successor is ready to take this member's place.
func (s *Steward) handOver(ctx context.Context) {
	end := time.NewTimer(min(handingOver, s.settings.Bounds.Leeway/2))
	defer end.Stop()
	poll := time.NewTicker(20 * time.Millisecond)
	defer poll.Stop()
	for s.handing() {
		select {
		case <-poll.C:
		case <-end.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

func (s *Steward) handing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.m.Handing(s.now())
}

// peerAddresses are where the agents at some control addresses are called by their peers: all machines of a system have the
// same ports.
func (s *Steward) peerAddresses(control []string) []string {
	var out []string
	for _, address := range control {
		if host, _, err := net.SplitHostPort(address); err == nil {
			out = append(out, net.JoinHostPort(host, s.settings.Peer()))
		}
	}
	return out
}

// counts are told in the log every so often.
type counts struct {
	pulses, pulls, lookups, rounds, calls atomic.Int64
	bytes                                 [3]atomic.Int64 // sent to other agents: in the zone, the region, beyond
}

func (c *counts) write(log *zap.Logger) {
	log.Info("counts", zap.Int64("pulses", c.pulses.Load()), zap.Int64("pulls", c.pulls.Load()), zap.Int64("lookups", c.lookups.Load()),
		zap.Int64("rounds", c.rounds.Load()), zap.Int64("calls", c.calls.Load()),
		zap.Int64s("bytes", []int64{c.bytes[0].Load(), c.bytes[1].Load(), c.bytes[2].Load()}))
}

// sentTo counts what goes to an agent of a zone.
func (s *Steward) sentTo(zone string, n int) {
	far := 2
	switch {
	case zone == s.me.Zone:
		far = 0
	case s.settings.Zones[zone] == s.settings.Region:
		far = 1
	}
	s.counts.bytes[far].Add(int64(n))
}

// fails counts failures of the disk and says when they begin and end.
type fails struct {
	mu  sync.Mutex
	n   int
	log *zap.Logger
}

func (f *fails) note(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err == nil {
		if f.n > 0 && f.log != nil {
			f.log.Info("the disk takes writes again", zap.Int("failed", f.n))
		}
		f.n = 0
		return
	}
	if f.n++; f.n == 1 && f.log != nil {
		f.log.Warn("the disk takes no writes", zap.Error(err))
	}
}

// Reload takes the first contacts of changed settings; all else is taken at the next start.
func (s *Steward) Reload(c *boot.Settings) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.contacts = c.FirstContacts
}
