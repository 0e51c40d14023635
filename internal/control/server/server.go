// Package server runs a controller: it connects a replica of the control group to the network, the disk and the clock.
//
// Package replica implements the decisions of the controller as a state machine without I/O: the server passes it
// requests, the time and the results of disk writes (step), and processes its output (applyOutput). One mutex,
// Server.mu, guards the replica and all state that must change together with it. No code waits for the network or the
// disk while it holds this mutex.
//
// A controller listens on up to three addresses:
//
//   - peer: the other controllers and the proxies (peerHandler),
//   - control: backends and operators (apiHandler),
//   - directory: clients that look up proxies (lookupHandler).
package server

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"sagelever/internal/control/membership"
	"sagelever/internal/control/message"
	"sagelever/internal/control/replica"
	"sagelever/internal/control/storage"
	"sagelever/internal/rpc"
	"sagelever/internal/settings"
)

// Options configure a controller.
type Options struct {
	Settings       *settings.Settings
	MembersPerZone int // number of controllers in each zone, from the deploy file
	Log            *zap.Logger
	Now            func() time.Time // the wall clock; time.Now if nil
	Dial           rpc.DialFunc     // opens connections to other controllers; nil for plain TCP
}

// Server is a controller. Create it with New and start it with Run.
type Server struct {
	settings   *settings.Settings
	log        *zap.Logger
	now        func() time.Time
	target     membership.Target
	store      *storage.Store
	peerClient *http.Client
	self       message.Member

	mu            sync.Mutex // guards the fields up to the next blank line
	replica       *replica.Replica
	lastCallID    uint64
	pendingCalls  map[uint64]chan replica.OutgoingResponse // calls of other controllers, by call ID
	pendingTasks  map[uint64]chan replica.Completion       // of this controller, by operation ID
	cancelPulls   map[string]context.CancelFunc            // cancels the pull in progress from a member, by address
	nextTick      time.Time                                // when the next scheduled Tick is due; zero if none is
	updated       chan struct{}                            // closed and replaced to wake waiting pulls
	wakeAt        time.Time                                // when updated will be closed; zero if not scheduled
	saved         savedState
	seedAddresses []string // control addresses of controllers that are asked for the list of members
	knownOrders   knownOrders

	diskFailures failureLog
	counters     counters
	resources    resourceMonitor
	peerCalls    peerCallLog
	pathCounters map[string]*pathCounters // by path of the peer port; filled before the server listens
	operations   operationGroup
	orderOffers  orderOffers
	configIndex  sharedIndex
	configReads  sharedRead
}

// New opens the controller's data directory and restores the replica from it. An empty directory is treated as a lost
// disk, unless the settings specify that the whole system starts for the first time.
func New(options Options) (*Server, error) {
	if options.Now == nil {
		options.Now = time.Now
	}
	dir, err := dataDir(options.Settings)
	if err != nil {
		return nil, err
	}
	store, err := storage.Open(dir)
	if err != nil {
		return nil, err
	}
	server := newServer(options, store)
	persisted, err := loadState(store, &server.saved)
	if err != nil {
		return nil, errors.Wrap(err, "load persisted state")
	}
	server.replica = replica.New(server.replicaConfig(), persisted, server.now())
	server.knownOrders.observe(time.Now(), persisted.Entries)
	server.logLoadedState(persisted)
	return server, nil
}

// dataDir returns the configured data directory, or a new temporary directory if none is configured.
func dataDir(cfg *settings.Settings) (string, error) {
	if cfg.DataDir != "" {
		return cfg.DataDir, nil
	}
	return os.MkdirTemp("", "controller")
}

// newServer returns a server that is complete except for its replica.
func newServer(options Options, store *storage.Store) *Server {
	cfg := options.Settings
	return &Server{
		settings:   cfg,
		log:        options.Log,
		now:        options.Now,
		target:     feasibleTarget(controlGroupTarget(cfg, options.MembersPerZone), options.Log),
		store:      store,
		peerClient: rpc.NewClient(options.Dial),
		self: message.Member{
			Node: cfg.Node,
			Zone: cfg.Zone,
			Addr: net.JoinHostPort(cfg.IP, cfg.PeerPort()),
		},
		pendingCalls:  map[uint64]chan replica.OutgoingResponse{},
		pendingTasks:  map[uint64]chan replica.Completion{},
		cancelPulls:   map[string]context.CancelFunc{},
		updated:       make(chan struct{}),
		saved:         newSavedState(),
		seedAddresses: cfg.SeedAddresses,
		diskFailures:  failureLog{log: options.Log},
		peerCalls:     peerCallLog{log: options.Log},
		pathCounters:  map[string]*pathCounters{},
		knownOrders:   newKnownOrders(),
	}
}

// feasibleTarget limits the number of failures to tolerate to a minority of the group.
func feasibleTarget(target membership.Target, log *zap.Logger) membership.Target {
	tolerable := (target.Size() - 1) / 2
	if target.MaxFailures <= tolerable {
		return target
	}
	log.Warn("control group too small for the configured failure tolerance",
		zap.Int("members", target.Size()),
		zap.Int("configuredFailures", target.MaxFailures),
		zap.Int("maxFailures", tolerable))
	target.MaxFailures = tolerable
	return target
}

func (s *Server) replicaConfig() replica.Config {
	interval := s.settings.RuleLimits.HeartbeatInterval
	return replica.Config{
		Self:           s.self,
		Source:         s.settings.Node + "@" + strconv.FormatInt(s.now().UnixNano(), 36),
		Target:         s.target,
		InitialPeers:   s.peerAddresses(s.settings.SeedAddresses),
		Bootstrap:      s.settings.FreshStart && !s.store.Quarantined,
		RegionByZone:   s.settings.Zones,
		BackendTimeout: 2*interval + interval/2,
		Random:         rand.Float64,
	}
}

func (s *Server) logLoadedState(persisted replica.PersistedState) {
	s.log.Info("state loaded",
		zap.Int("registers", len(persisted.Entries)),
		zap.Int("undecided", s.undecidedCount()),
		zap.Int("items", len(persisted.Items)),
		zap.String("diskID", persisted.Identity.DiskID),
		zap.Bool("wasActing", persisted.Identity.EverActive),
		zap.Uint64("epoch", persisted.Identity.ActiveEpoch),
		zap.Int64("truncatedBytes", s.store.TruncatedBytes),
		zap.Bool("quarantined", s.store.Quarantined),
		zap.Int("members", s.target.Size()),
		zap.Int("maxFailures", s.target.MaxFailures))
}

// Reload applies the seed addresses of changed settings. All other settings take effect at the next start.
func (s *Server) Reload(cfg *settings.Settings) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seedAddresses = cfg.SeedAddresses
}

// peerAddresses converts control addresses to peer addresses. All machines of a system use the same ports. Malformed
// addresses are skipped.
func (s *Server) peerAddresses(controlAddresses []string) []string {
	var addresses []string
	for _, address := range controlAddresses {
		host, _, err := net.SplitHostPort(address)
		if err != nil {
			continue
		}
		addresses = append(addresses, net.JoinHostPort(host, s.settings.PeerPort()))
	}
	return addresses
}

// controlAddress returns the address at which a member serves backends and operators. All machines of a system use the
// same ports. The address is empty if the member's address is malformed or this controller has no control address.
func (s *Server) controlAddress(member message.Member) string {
	_, port, err := net.SplitHostPort(s.settings.ListenAddresses["control"])
	if err != nil {
		return ""
	}
	host, _, err := net.SplitHostPort(member.Addr)
	if err != nil {
		return ""
	}
	return net.JoinHostPort(host, port)
}

// controlGroupTarget returns the size of the control group and the number of failures that it must survive, given the
// number of controllers that the deploy file places in each zone.
func controlGroupTarget(cfg *settings.Settings, membersPerZone int) membership.Target {
	return membership.Target{
		MembersPerZone: membersPerZone,
		Zones:          len(cfg.Zones),
		MaxFailures:    cfg.ToleratedDiskLosses(membersPerZone),
	}
}
