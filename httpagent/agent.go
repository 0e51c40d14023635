// Package httpagent is the agent on sockets: it speaks the protocol with clients, appliances, discovery, the
// platform and other agents, and lets the module decide through package engine. Each file has one job. Several
// agents may run in one process; a program of a few lines reads a Station and calls New and Run.
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
	station  *Station
	log      *slog.Logger
	engine   *engine.Engine
	backends *backendClients
	control  *http.Transport // to discovery and the platform
	peers    *peerSocket
	lifetime context.Context // ends when the agent does

	ready            atomic.Bool // what it knew at the start has reached the module
	stopping         atomic.Bool // it has been told to stop
	openTransactions atomic.Int64
	counters         outcomeCounters
	clientConns      clientConns
	bodyBytes        atomic.Int64 // bytes of clients\' bodies held
	maxBodyBytes     int64
	badRequestLog    rateLimitedLog              // lines on clients that send what is no request
	rules            atomic.Pointer[match.Judge] // nil where the operator has none
	ruleErrorLog     rateLimitedLog              // lines on errors of rules
	endpoints        controlEndpoints
	updating         sync.Mutex   // lists come one at a time
	listVersion      atomic.Int64 // of the list
	watchWanted      atomic.Bool  // the module wants changes, where they come only when asked for
	watchRequested   chan struct{}

	mounts     map[string]http.Handler // other fronts, by path
	onBackends func([]BackendEndpoint)
	announced  map[api.BackendID]api.Backend // told to other fronts as up
	deployment match.Deployment
	upgraded   sync.WaitGroup // connections that other fronts have taken over
	stopped    chan struct{}  // closed when the agent has been told to stop
}

// reservedDescriptors is the descriptors kept for discovery, the platform, other agents and the log.
const reservedDescriptors = 40

// New makes an agent from a station that has been checked.
func New(station *Station) *Agent {
	log := station.Log
	if log == nil {
		log = slog.Default()
	}
	sockets := int64(station.Limits.Sockets)
	if sockets == 0 {
		sockets = 1 << 20
	} else if sockets < 4*reservedDescriptors {
		log.Warn("few_descriptors", "sockets", sockets)
		sockets = 4 * reservedDescriptors
	}
	memory := station.Limits.MemoryMB << 20
	if memory == 0 {
		memory = 512 << 20
	}
	dialTimeout := setting(station, "link.dial", time.Second)
	a := &Agent{station: station, log: log, deployment: station.Deployment(), stopped: make(chan struct{}), announced: map[api.BackendID]api.Backend{}, badRequestLog: rateLimitedLog{logger: log}, ruleErrorLog: rateLimitedLog{logger: log}, control: newPlainTransport(dialTimeout), watchRequested: make(chan struct{}, 1),
		backends: newBackendClients(dialTimeout, setting(station, "link.idle", time.Minute), sockets/2-reservedDescriptors/2, memory)}
	a.endpoints.current = endpointAddresses{station.Discovery, station.Platform.Address}
	a.endpoints.watchChanged, a.endpoints.streamChanged = make(chan struct{}, 1), make(chan struct{}, 1)
	a.maxBodyBytes = memory / 8 // as heads and answers may take several times that
	a.clientConns.hardLimit = int(sockets/2 - reservedDescriptors/2)
	a.clientConns.softLimit = a.clientConns.hardLimit / 2
	a.engine = engine.New(time.Now(), policy.New(uint64(station.Seed), station.deploymentSettings), a.execute, log)
	a.setRules(station.Rules)
	return a
}

// Run serves until the context ends, and then until what it has taken is answered.
func (a *Agent) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", a.station.Listen)
	if err != nil {
		return err
	}
	if a.station.PeerAt != "" {
		if a.peers, err = openPeerSocket(a.station, a.log); err != nil {
			listener.Close()
			return fmt.Errorf("peer_listen: %w", err)
		}
		defer a.peers.socket.Close()
	}
	lifetime, cancel := context.WithCancel(context.Background())
	defer cancel()
	a.lifetime = lifetime
	go a.engine.Run(lifetime)
	if err := a.loadInitialState(); err != nil {
		listener.Close()
		return err
	}
	if a.peers != nil {
		go a.peers.sendLoop(lifetime)
		go a.peers.receiveLoop(a.engine.Deliver)
	}
	go a.watchDiscovery(lifetime)
	go a.logCounters(lifetime)
	if a.station.Platform.Address != "" {
		go a.followPlatform(lifetime)
	}
	return a.serve(ctx, listener)
}

// loadInitialState hands the module what the station knew.
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
		news, err := parseRollout(a.station.Platform.News)
		if err != nil {
			return fmt.Errorf("platform.news: %w", err)
		}
		a.engine.Deliver(news)
	}
	a.ready.Store(true)
	a.log.Info("started", "name", a.station.Name, "listen", a.station.Listen, "discovery", setting(a.station, "discovery", "pushed"), "knows", a.listVersion.Load())
	return nil
}

// execute carries out an action that belongs to no transaction. It runs on the engine's goroutine and returns at once.
func (a *Agent) execute(action api.Action) {
	switch x := action.(type) {
	case api.CheckHealth:
		go a.checkHealth(a.lifetime, x.Backend)
	case api.CloseIdleConnections:
		if target := a.backends.get(x.Backend); target != nil {
			go target.transport.CloseIdleConnections()
		}
	case api.SendMessage:
		if a.peers != nil {
			a.peers.enqueue(x)
		}
	case api.CastVote:
		go a.submitVote(a.lifetime, x)
	case api.WatchBackends:
		if a.watchWanted.Swap(x.On) && x.On { // another beside the one that stands, which may bring nothing
			notify(a.endpoints.watchChanged)
			return
		}
		notify(a.watchRequested)
	case api.FetchBackends:
		go a.fetchBackends(a.lifetime)
	case api.LogLine:
		a.log.Info("module", "text", x.Text)
	default:
		a.log.Error("unknown_action", "action", fmt.Sprintf("%T", action))
	}
}
