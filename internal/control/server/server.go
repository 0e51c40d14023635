// Package steward is the control plane of one machine: the sockets, the disk and the clock of a member of the core. What
// the member does is decided by replica.
package server

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

	"sagelever/internal/control/membership"
	"sagelever/internal/control/message"
	"sagelever/internal/control/replica"
	"sagelever/internal/control/storage"
	"sagelever/internal/rpc"
	"sagelever/internal/settings"
	"sagelever/internal/tcp"
)

const (
	tickInterval      = 250 * time.Millisecond
	listenUserTimeout = tcp.UserTimeout(1500 * time.Millisecond)
)

// Options of a steward.
type Options struct {
	Settings       *settings.Settings
	MembersPerZone int // members of the core in each zone, as the deploy file has it
	Log            *zap.Logger
	Now            func() time.Time // the time of day; time.Now where nil
	Dial           rpc.DialFunc     // how other agents are reached; nil: as usual
}

// Server is one member.
type Server struct {
	settings   *settings.Settings
	log        *zap.Logger
	now        func() time.Time
	target     membership.Target
	store      *storage.Store
	peerClient *http.Client
	self       message.Member

	mu               sync.Mutex
	replica          *replica.Replica
	lastCallID       uint64
	pendingCalls     map[uint64]chan replica.OutgoingResponse // of other members, until the disk has their answers
	pendingTasks     map[uint64]chan replica.Completion
	cancelPulls      map[string]context.CancelFunc // by address: ends a pull under way, so that the next begins
	nextTick         time.Time                     // when the machine wants to be called next
	updated          chan struct{}                 // closed when there is news
	wakeAt           time.Time                     // when it will be; zero where nothing is new
	unsavedRecords   map[string]string
	savedSequence    uint64 // how far the machine's knowledge has been noted on the disk
	savedAt          time.Time
	savedGenerations map[string]string // generations of other replicas' disks as noted
	contacts         []string          // control addresses of some members
	diskFailures     failureLog
	counters         counters
	pathCounters     map[string]*pathCounters // of the calls between agents
	operations       operationGroup
	configIndex      sharedIndex // of the configuration, for the check of calls
}

// New opens a steward's state. A disk that is empty though the system has run before is one that was lost.
func New(options Options) (*Server, error) {
	if options.Now == nil {
		options.Now = time.Now
	}
	cfg := options.Settings
	folder := cfg.DataDir
	if folder == "" {
		dir, err := os.MkdirTemp("", "controller")
		if err != nil {
			return nil, err
		}
		folder = dir
	}
	store, err := storage.Open(folder)
	if err != nil {
		return nil, err
	}
	server := &Server{settings: cfg, log: options.Log, now: options.Now, target: cfg.ControlGroup(options.MembersPerZone), store: store,
		peerClient: rpc.NewClient(options.Dial), self: message.Member{Node: cfg.Node, Zone: cfg.Zone, Addr: net.JoinHostPort(cfg.IP, cfg.PeerPort())},
		pendingCalls: map[uint64]chan replica.OutgoingResponse{}, pendingTasks: map[uint64]chan replica.Completion{}, cancelPulls: map[string]context.CancelFunc{}, updated: make(chan struct{}),
		unsavedRecords: map[string]string{}, savedGenerations: map[string]string{}, contacts: cfg.SeedAddresses, pathCounters: map[string]*pathCounters{}}
	server.diskFailures.log = options.Log
	if tolerable := (server.target.Size() - 1) / 2; server.target.MaxFailures > tolerable {
		options.Log.Warn("the core is too small for what it should withstand", zap.Int("members", server.target.Size()), zap.Int("shouldLose", server.target.MaxFailures), zap.Int("mayLose", tolerable))
		server.target.MaxFailures = tolerable
	}
	memory, err := server.loadMemory()
	if err != nil {
		return nil, errors.Wrap(err, "what is on the disk")
	}
	interval := cfg.RuleLimits.HeartbeatInterval
	server.replica = replica.New(replica.Config{Self: server.self, Source: cfg.Node + "@" + strconv.FormatInt(server.now().UnixNano(), 36), Target: server.target,
		InitialPeers: server.peerAddresses(cfg.SeedAddresses), Bootstrap: cfg.FreshStart && !store.Quarantined, RegionByZone: cfg.Zones, BackendTimeout: 2*interval + interval/2, Random: rand.Float64}, memory, server.now())
	server.log.Info("state read", zap.Int("registers", len(memory.Entries)), zap.Int("items", len(memory.Items)), zap.String("disk", memory.Identity.Disk),
		zap.Bool("acted", memory.Identity.Acting), zap.Uint64("epoch", memory.Identity.Active), zap.Int64("cut", store.TruncatedBytes), zap.Bool("putAside", store.Quarantined),
		zap.Int("core", server.target.Size()), zap.Int("mayLose", server.target.MaxFailures))
	return server, nil
}

// Run serves until the context ends, and then for a while, so that callers find others.
func (s *Server) Run(ctx context.Context) error {
	workCtx, cancelWork := context.WithCancel(context.WithoutCancel(ctx))
	defer cancelWork()
	var servers []*http.Server
	for address, handler := range map[string]http.Handler{
		net.JoinHostPort(s.settings.IP, s.settings.PeerPort()): s.peerHandler(),
		s.settings.ListenAddresses["control"]:                  s.apiHandler(),
		s.settings.ListenAddresses["directory"]:                s.lookupHandler(),
	} {
		if address == "" {
			continue
		}
		listener, err := listenUserTimeout.Listen(address)
		if err != nil {
			return errors.Wrap(err, "controller")
		}
		httpServer := &http.Server{Handler: handler, ReadHeaderTimeout: 3 * time.Second, ReadTimeout: 10 * time.Second, IdleTimeout: 30 * time.Second, ErrorLog: zap.NewStdLog(s.log)}
		servers = append(servers, httpServer)
		go httpServer.Serve(listener)
	}
	s.step(func(time.Time) {}) // what it was begun with
	go s.discoverMembers(workCtx)
	go func() {
		lastReport := time.Now()
		for ticker := time.NewTicker(tickInterval); ; {
			select {
			case now := <-ticker.C:
				s.step(s.replica.Maintain)
				s.saveItems()
				if now.Sub(lastReport) > 10*time.Second {
					lastReport = now
					s.counters.report(s.log)
					for path, counter := range s.pathCounters {
						s.log.Info("calls", zap.String("path", path), zap.Int64("calls", counter.calls.Load()), zap.Int64("in", counter.receivedBytes.Load()), zap.Int64("out", counter.sentBytes.Load()))
					}
				}
			case <-workCtx.Done():
				ticker.Stop()
				return
			}
		}
	}()
	s.log.Info("controller started", zap.String("node", s.settings.Node))
	<-ctx.Done()
	s.step(func(now time.Time) { s.replica.Leave(now) })
	s.awaitHandover(workCtx)
	shutdownCtx, cancel := context.WithTimeout(workCtx, time.Second)
	defer cancel()
	for _, httpServer := range servers {
		httpServer.Shutdown(shutdownCtx)
	}
	cancelWork()
	return s.store.Close()
}

// handoverTimeout bounds how long an ending member waits until its successor has taken its place: well within the time that the
// platform leaves a process after SIGTERM.
const handoverTimeout = 2 * time.Second

// awaitHandover goes on for a while where a successor is ready to take this member's place.
func (s *Server) awaitHandover(ctx context.Context) {
	deadline := time.NewTimer(min(handoverTimeout, s.settings.RuleLimits.ShutdownGrace/2))
	defer deadline.Stop()
	poll := time.NewTicker(20 * time.Millisecond)
	defer poll.Stop()
	for s.handoverPending() {
		select {
		case <-poll.C:
		case <-deadline.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

func (s *Server) handoverPending() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.replica.HandingOver(s.now())
}

// peerAddresses are where the agents at some control addresses are called by their peers: all machines of a system have the
// same ports.
func (s *Server) peerAddresses(controlAddresses []string) []string {
	var out []string
	for _, address := range controlAddresses {
		if host, _, err := net.SplitHostPort(address); err == nil {
			out = append(out, net.JoinHostPort(host, s.settings.PeerPort()))
		}
	}
	return out
}

// counters are told in the log every so often.
type counters struct {
	heartbeats, pulls, lookups, proposals, peerCalls atomic.Int64
	sentBytes                                        [3]atomic.Int64 // sent to other agents: in the zone, the region, beyond
}

func (c *counters) report(log *zap.Logger) {
	log.Info("counts", zap.Int64("pulses", c.heartbeats.Load()), zap.Int64("pulls", c.pulls.Load()), zap.Int64("lookups", c.lookups.Load()),
		zap.Int64("rounds", c.proposals.Load()), zap.Int64("calls", c.peerCalls.Load()),
		zap.Int64s("bytes", []int64{c.sentBytes[0].Load(), c.sentBytes[1].Load(), c.sentBytes[2].Load()}))
}

// countSent counts what goes to an agent of a zone.
func (s *Server) countSent(zone string, size int) {
	distance := 2
	switch {
	case zone == s.self.Zone:
		distance = 0
	case s.settings.Zones[zone] == s.settings.Region:
		distance = 1
	}
	s.counters.sentBytes[distance].Add(int64(size))
}

// failureLog counts failures of the disk and says when they begin and end.
type failureLog struct {
	mu       sync.Mutex
	failures int
	log      *zap.Logger
}

func (f *failureLog) record(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err == nil {
		if f.failures > 0 && f.log != nil {
			f.log.Info("the disk takes writes again", zap.Int("failed", f.failures))
		}
		f.failures = 0
		return
	}
	if f.failures++; f.failures == 1 && f.log != nil {
		f.log.Warn("the disk takes no writes", zap.Error(err))
	}
}

// Reload takes the first contacts of changed settings; all else is taken at the next start.
func (s *Server) Reload(cfg *settings.Settings) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.contacts = cfg.SeedAddresses
}
