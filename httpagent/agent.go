// Package httpagent runs the agent over the network. It serves HTTP clients, forwards their requests to backends,
// watches discovery and the platform, and exchanges datagrams with other agents; package policy makes the decisions,
// driven by an engine. A program reads a Station with ReadStation and calls New and Run. The package has no global
// state and handles no signals, so several agents may run in one process.
package httpagent

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"sagelever/internal/agent/api"
	"sagelever/internal/agent/engine"
	"sagelever/internal/agent/policy"
	"sagelever/match"
)

// Agent is a load-balancing agent that serves and sends HTTP over the network.
type Agent struct {
	station    *Station
	deployment match.Deployment
	log        *slog.Logger
	engine     *engine.Engine
	backends   *backendClients
	control    *http.Transport // to discovery and the platform
	peers      *peerSocket     // nil if the station configures no peer address
	lifetime   context.Context // canceled when Run returns; set by Run
	counters   outcomeCounters

	ready    atomic.Bool   // the initial state has been delivered to the policy
	stopping atomic.Bool   // shutdown has begun
	stopped  chan struct{} // closed when shutdown begins

	// Clients.
	clientConns      clientConns
	openTransactions atomic.Int64
	bodyBytes        atomic.Int64 // request bodies held in memory
	maxBodyBytes     int64
	badRequestLog    rateLimitedLog              // requests rejected before they become a transaction
	rules            atomic.Pointer[match.Judge] // the operator's rules, nil if there are none
	ruleErrorLog     rateLimitedLog

	// Discovery and the platform.
	endpoints      controlEndpoints
	updating       sync.Mutex    // held while a backend list is applied
	listVersion    atomic.Int64  // version of the last list applied
	watchWanted    atomic.Bool   // the policy has requested a watch (used if changes are not pushed)
	watchRequested chan struct{} // signals that watchWanted was set

	// Other protocols on the same agent.
	mounts     map[string]http.Handler // by path
	onBackends func([]BackendEndpoint)
	announced  map[api.BackendID]api.Backend // last announced as available
	upgraded   sync.WaitGroup                // connections taken over by mounted protocols
}

const (
	reservedDescriptors = 40 // for discovery, the platform, other agents and the log
	minSockets          = 4 * reservedDescriptors
	unlimitedSockets    = 1 << 20   // used if the station sets no limit
	defaultMemory       = 512 << 20 // bytes, used if the station sets no limit

	// bodyMemoryShare limits request bodies to 1/8 of the memory, as headers and responses take several times that.
	bodyMemoryShare = 8
)

// New returns an agent for a station that has passed Check.
func New(station *Station) *Agent {
	log := station.Log
	if log == nil {
		log = slog.Default()
	}
	memory := station.Limits.MemoryMB << 20
	if memory == 0 {
		memory = defaultMemory
	}
	// Client and backend connections get half of the descriptors each.
	maxConns := socketLimit(station, log)/2 - reservedDescriptors/2
	dialTimeout := setting(station, "link.dial", time.Second)
	idleTimeout := setting(station, "link.idle", time.Minute)
	a := &Agent{
		station:        station,
		deployment:     station.Deployment(),
		log:            log,
		backends:       newBackendClients(dialTimeout, idleTimeout, maxConns, memory),
		control:        newPlainTransport(dialTimeout),
		stopped:        make(chan struct{}),
		maxBodyBytes:   memory / bodyMemoryShare,
		badRequestLog:  rateLimitedLog{logger: log},
		ruleErrorLog:   rateLimitedLog{logger: log},
		watchRequested: make(chan struct{}, 1),
		announced:      map[api.BackendID]api.Backend{},
	}
	a.endpoints.current = endpointAddresses{station.Discovery, station.Platform.Address}
	a.endpoints.watchChanged = make(chan struct{}, 1)
	a.endpoints.streamChanged = make(chan struct{}, 1)
	a.clientConns.hardLimit = int(maxConns)
	a.clientConns.softLimit = a.clientConns.hardLimit / 2
	a.engine = engine.New(time.Now(), policy.New(uint64(station.Seed), station.deploymentSettings), a.execute, log)
	a.setRules(station.Rules)
	return a
}

// socketLimit returns the number of descriptors that the agent may use.
func socketLimit(station *Station, log *slog.Logger) int64 {
	sockets := int64(station.Limits.Sockets)
	switch {
	case sockets == 0:
		return unlimitedSockets
	case sockets < minSockets:
		log.Warn("few_descriptors", "sockets", sockets)
		return minSockets
	}
	return sockets
}

// Run serves until ctx is canceled, then finishes all accepted transactions and returns. It must be called only once.
func (a *Agent) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", a.station.Listen)
	if err != nil {
		return err
	}
	var loops sync.WaitGroup
	defer loops.Wait()
	if a.station.PeerAt != "" {
		if a.peers, err = openPeerSocket(a.station, a.log); err != nil {
			listener.Close()
			return fmt.Errorf("peer_listen: %w", err)
		}
		defer a.peers.close()
	}
	lifetime, cancel := context.WithCancel(context.Background())
	defer cancel()
	a.lifetime = lifetime
	loops.Go(func() { a.engine.Run(lifetime) })
	if err := a.loadInitialState(); err != nil {
		listener.Close()
		return err
	}
	if a.peers != nil {
		loops.Go(func() { a.peers.sendLoop(lifetime) })
		loops.Go(func() { a.peers.receiveLoop(a.engine.Deliver) })
	}
	loops.Go(func() { a.watchDiscovery(lifetime) })
	loops.Go(func() { a.logCounters(lifetime) })
	if a.station.Platform.Address != "" {
		loops.Go(func() { a.followPlatform(lifetime) })
	}
	return a.serve(ctx, listener)
}

// loadInitialState delivers the station's backend list and rollout state to the policy.
func (a *Agent) loadInitialState() error {
	if present(a.station.Known) {
		known, err := parseBackendList(a.station.Known, a.engine.StartTime())
		if err != nil {
			return fmt.Errorf("known: %w", err)
		}
		known.update.Kind = api.UpdateCached
		a.applyList(known)
	}
	if present(a.station.Platform.News) {
		rollout, err := parseRollout(a.station.Platform.News)
		if err != nil {
			return fmt.Errorf("platform.news: %w", err)
		}
		a.engine.Deliver(rollout)
	}
	a.ready.Store(true)
	a.log.Info("started", "name", a.station.Name, "listen", a.station.Listen,
		"discovery", setting(a.station, "discovery", "pushed"), "knows", a.listVersion.Load())
	return nil
}

// execute performs an action that belongs to no transaction. It runs on the engine's goroutine and must not block; the
// goroutines that it starts are bounded by the agent's lifetime or a timeout.
func (a *Agent) execute(action api.Action) {
	switch action := action.(type) {
	case api.CheckHealth:
		go a.checkHealth(a.lifetime, action.Backend)
	case api.CloseIdleConnections:
		if target := a.backends.get(action.Backend); target != nil {
			go target.transport.CloseIdleConnections()
		}
	case api.SendMessage:
		if a.peers != nil {
			a.peers.enqueue(action)
		}
	case api.CastVote:
		go a.submitVote(a.lifetime, action)
	case api.WatchBackends:
		a.requestWatch(action.On)
	case api.FetchBackends:
		go a.fetchBackends(a.lifetime)
	case api.LogLine:
		a.log.Info("module", "text", action.Text)
	default:
		a.log.Error("unknown_action", "action", fmt.Sprintf("%T", action))
	}
}
