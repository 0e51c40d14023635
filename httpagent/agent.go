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

	"sagelever/agent"
	"sagelever/decide"
	"sagelever/engine"
	"sagelever/match"
)

// Agent is one agent on sockets.
type Agent struct {
	station *Station
	log     *slog.Logger
	engine  *engine.Engine
	links   *links
	control *http.Transport // to discovery and the platform
	peers   *peers
	ctx     context.Context // ends when the agent does

	ready      atomic.Bool // what it knew at the start has reached the module
	leaving    atomic.Bool // it has been told to stop
	held       atomic.Int64
	account    account
	doors      doors
	bodies     atomic.Int64 // bytes of clients\' bodies held
	mostBodies int64
	bad        ration                      // lines on clients that send what is no request
	rules      atomic.Pointer[match.Judge] // nil where the operator has none
	troubled   ration                      // lines on errors of rules
	moved      moved
	listing    sync.Mutex   // lists come one at a time
	version    atomic.Int64 // of the list
	watching   atomic.Bool  // the module wants changes, where they come only when asked for
	subscribed chan struct{}

	mounted    map[string]http.Handler // other fronts, by path
	onList     func([]Place)
	placed     map[agent.ApplianceID]agent.Appliance // told to other fronts as up
	deployment match.Deployment
	guests     sync.WaitGroup // connections that other fronts have taken over
	left       chan struct{}  // closed when the agent has been told to stop
}

// reserve is the descriptors kept for discovery, the platform, other agents and the log.
const reserve = 40

// New makes an agent from a station that has been checked.
func New(s *Station) *Agent {
	log := s.Log
	if log == nil {
		log = slog.Default()
	}
	sockets := int64(s.Limits.Sockets)
	if sockets == 0 {
		sockets = 1 << 20
	} else if sockets < 4*reserve {
		log.Warn("few_descriptors", "sockets", sockets)
		sockets = 4 * reserve
	}
	memory := s.Limits.MemoryMB << 20
	if memory == 0 {
		memory = 512 << 20
	}
	dial := term(s, "link.dial", time.Second)
	a := &Agent{station: s, log: log, deployment: s.Deployment(), left: make(chan struct{}), placed: map[agent.ApplianceID]agent.Appliance{}, bad: ration{to: log}, troubled: ration{to: log}, control: plain(dial), subscribed: make(chan struct{}, 1),
		links: newLinks(dial, term(s, "link.idle", time.Minute), sockets/2-reserve/2, memory)}
	a.moved.at = addresses{s.Discovery, s.Platform.Address}
	a.moved.watch, a.moved.stream = make(chan struct{}, 1), make(chan struct{}, 1)
	a.mostBodies = memory / 8 // as heads and answers may take several times that
	a.doors.most = int(sockets/2 - reserve/2)
	a.doors.enough = a.doors.most / 2
	a.engine = engine.New(time.Now(), decide.New(uint64(s.Seed), s.terms), a.do, log)
	a.setRules(s.Rules)
	return a
}

// Run serves until the context ends, and then until what it has taken is answered.
func (a *Agent) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", a.station.Listen)
	if err != nil {
		return err
	}
	if a.station.PeerAt != "" {
		if a.peers, err = openPeers(a.station, a.log); err != nil {
			listener.Close()
			return fmt.Errorf("peer_listen: %w", err)
		}
		defer a.peers.socket.Close()
	}
	life, end := context.WithCancel(context.Background())
	defer end()
	a.ctx = life
	go a.engine.Run(life)
	if err := a.start(); err != nil {
		listener.Close()
		return err
	}
	if a.peers != nil {
		go a.peers.send(life)
		go a.peers.hear(a.engine.Tell)
	}
	go a.watch(life)
	go a.tellAccount(life)
	if a.station.Platform.Address != "" {
		go a.listen(life)
	}
	return a.serve(ctx, listener)
}

// start hands the module what the station knew.
func (a *Agent) start() error {
	if given(a.station.Known) {
		l, err := readList(a.station.Known, a.engine.Began())
		if err != nil {
			return fmt.Errorf("known: %w", err)
		}
		l.news.Kind = agent.Remembered
		a.enlist(l)
	}
	if given(a.station.Platform.News) {
		news, err := readNews(a.station.Platform.News)
		if err != nil {
			return fmt.Errorf("platform.news: %w", err)
		}
		a.engine.Tell(news)
	}
	a.ready.Store(true)
	a.log.Info("started", "name", a.station.Name, "listen", a.station.Listen, "discovery", term(a.station, "discovery", "pushed"), "knows", a.version.Load())
	return nil
}

// do carries out an action that belongs to no transaction. It runs on the engine's goroutine and returns at once.
func (a *Agent) do(action agent.Action) {
	switch x := action.(type) {
	case agent.Probe:
		go a.probe(a.ctx, x.Appliance)
	case agent.FreeLinks:
		if l := a.links.to(x.Appliance); l != nil {
			go l.transport.CloseIdleConnections()
		}
	case agent.Tell:
		if a.peers != nil {
			a.peers.tell(x)
		}
	case agent.Vote:
		go a.vote(a.ctx, x)
	case agent.Subscribe:
		if a.watching.Swap(x.On) && x.On { // another beside the one that stands, which may bring nothing
			nudge(a.moved.watch)
			return
		}
		nudge(a.subscribed)
	case agent.Fetch:
		go a.fetch(a.ctx)
	case agent.Log:
		a.log.Info("module", "text", x.Text)
	default:
		a.log.Error("unknown_action", "action", fmt.Sprintf("%T", action))
	}
}
