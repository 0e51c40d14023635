// Package httpagent is the agent on sockets. It speaks HTTP with clients and backends, follows discovery and the
// platform, exchanges datagrams with other agents, and lets package policy decide, by way of an engine. Each file has
// one job. Several agents may run in one process: a program reads a Station with ReadStation and calls New and Run.
// There is no global state and no signal handling.
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

// Agent is one agent on sockets.
type Agent struct {
	station    *Station
	deployment match.Deployment
	log        *slog.Logger
	engine     *engine.Engine
	backends   *backendClients
	control    *http.Transport // to discovery and the platform
	peers      *peerSocket     // nil if the station names no address for it
	lifetime   context.Context // ends when the agent does; set by Run
	counters   outcomeCounters

	ready    atomic.Bool   // what it knew at the start has reached the policy
	stopping atomic.Bool   // it has been told to stop
	stopped  chan struct{} // closed when it has been told to stop

	// Clients.
	clientConns      clientConns
	openTransactions atomic.Int64
	bodyBytes        atomic.Int64 // of clients' bodies in memory
	maxBodyBytes     int64
	badRequestLog    rateLimitedLog              // on requests that never become a transaction
	rules            atomic.Pointer[match.Judge] // nil if the operator has none
	ruleErrorLog     rateLimitedLog

	// Discovery and the platform.
	endpoints      controlEndpoints
	updating       sync.Mutex    // held while a list is applied
	listVersion    atomic.Int64  // of the last list applied
	watchWanted    atomic.Bool   // the policy wants changes, where they come only on request
	watchRequested chan struct{} // signals that watchWanted was set

	// Other protocols on the same agent.
	mounts     map[string]http.Handler // by path
	onBackends func([]BackendEndpoint)
	announced  map[api.BackendID]api.Backend // announced as available
	upgraded   sync.WaitGroup                // connections that have been taken over
}

const (
	reservedDescriptors = 40      // for discovery, the platform, other agents and the log
	unlimitedSockets    = 1 << 20 // where the station names no limit
	defaultMemory       = 512 << 20
	// clients' bodies may have an eighth of the memory, as headers and responses take several times that
	bodyMemoryShare = 8
)

// New makes an agent from a station that has been checked.
func New(station *Station) *Agent {
	log := station.Log
	if log == nil {
		log = slog.Default()
	}
	memory := station.Limits.MemoryMB << 20
	if memory == 0 {
		memory = defaultMemory
	}
	// Half of the descriptors are for clients, half for backends.
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

// socketLimit is how many descriptors the agent may use.
func socketLimit(station *Station, log *slog.Logger) int64 {
	sockets := int64(station.Limits.Sockets)
	switch {
	case sockets == 0:
		return unlimitedSockets
	case sockets < 4*reservedDescriptors:
		log.Warn("few_descriptors", "sockets", sockets)
		return 4 * reservedDescriptors
	}
	return sockets
}

// Run serves until the context ends, and then until all accepted transactions are answered. It is called once.
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

// loadInitialState hands the policy what the station knew of backends and the rollout.
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

// execute carries out an action that belongs to no transaction. The engine's goroutine calls it, so it returns at once;
// what takes time ends with the agent's lifetime or by a time-out.
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
