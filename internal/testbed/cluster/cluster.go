package cluster

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"sagelever/internal/control/client"
	"sagelever/internal/control/server"
	"sagelever/internal/proxy"
	"sagelever/internal/rpc"
	"sagelever/internal/settings"
)

// Options of a house.
type Options struct {
	Proxies           int // relays, spread over the zones
	Backends          int // appliances, half of each service, spread over the zones
	Seed              uint64
	Load              float64       // of the room that all appliances have
	MeanWork          time.Duration // the mean of a run
	DrainTime         time.Duration // for which an appliance serves on after it has said that it leaves
	HeartbeatInterval time.Duration
	WarmUp            time.Duration // for which one that comes is cold
	ShutdownGrace     time.Duration // that a process has to end in
	ArrivalBound      time.Duration // after a notice within which new work may still arrive
	Fault             Fault
	Dir               string // for the stewards' state
	Logger            *zap.Logger
}

// regionByZone of the house: three regions of two, as the operators have.
var (
	zoneNames    = []string{"a1", "b1", "c1", "a2", "b2", "c2"}
	regionByZone = map[string]string{"a1": "a", "a2": "a", "b1": "b", "b2": "b", "c1": "c", "c2": "c"}
)

// Services of the house, and what they are asked for.
var Services = []string{"flags", "filings"}

// Cluster is a whole system.
type Cluster struct {
	options         Options
	subnet          string
	Ledger          *Ledger
	mu              sync.Mutex
	backendsStarted int
	operations      atomic.Int64 // what clients have wanted
	backends        map[string]*Backend
	nodes           map[string]*node // relays and stewards by name
	failures        chan error
}

type node struct {
	start  func() (run func(context.Context) error, err error)
	cancel context.CancelFunc
	done   chan struct{}
}

const (
	peerPort, lastSparePort                                 = 21300, 21301
	controlPort, directoryPort, listenerPort, readinessPort = "21302", "21303", "21304", "21305"
)

// clusterCount counts those of this process: each has loopback addresses of its own.
var clusterCount atomic.Uint32

// Start starts the stewards and the relays; no appliance serves yet.
func Start(options Options) (*Cluster, error) {
	c := &Cluster{options: options, Ledger: NewLedger(), backends: map[string]*Backend{}, nodes: map[string]*node{}, failures: make(chan error, 64),
		subnet: fmt.Sprintf("127.%d.%d.", 1+os.Getpid()%250, 100+clusterCount.Add(1)%150)}
	for i, zone := range zoneNames {
		if err := c.addNode(fmt.Sprint("steward-", zone), func() (func(context.Context) error, error) {
			controller, err := server.New(server.Options{Settings: c.nodeSettings(fmt.Sprint("core-", zone), i, zone), MembersPerZone: 1, Log: options.Logger, Dial: c.dialer(zone)})
			if err != nil {
				return nil, err
			}
			return controller.Run, nil
		}); err != nil {
			return c, err
		}
	}
	for i := range options.Proxies {
		zone := zoneNames[i%len(zoneNames)]
		if err := c.addNode(fmt.Sprint("relay-", i), func() (func(context.Context) error, error) {
			return proxy.New(proxy.Options{Settings: c.nodeSettings(fmt.Sprint("edge-", i), i, zone), Log: options.Logger, Dial: c.dialer(zone)}).Run, nil
		}); err != nil {
			return c, err
		}
	}
	return c, nil
}

// ip is an address of the house; the first ones are the machines'.
func (c *Cluster) ip(i int) string { return fmt.Sprint(c.subnet, 2+i) }

func (c *Cluster) controllerAddress(zone string) string {
	for i, name := range zoneNames {
		if name == zone {
			return net.JoinHostPort(c.ip(i), controlPort)
		}
	}
	return ""
}

// ControllerAddresses are the stewards' addresses.
func (c *Cluster) ControllerAddresses() (addresses []string) {
	for _, zone := range zoneNames {
		addresses = append(addresses, c.controllerAddress(zone))
	}
	return addresses
}

func (c *Cluster) nodeSettings(node string, i int, zone string) *settings.Settings {
	ip := c.ip(i)
	s := &settings.Settings{Node: node, IP: ip, Zone: zone, Region: regionByZone[zone], Zones: regionByZone, PeerPortRange: []int{peerPort, lastSparePort},
		ListenAddresses: map[string]string{"control": ip + ":" + controlPort, "directory": ip + ":" + directoryPort, "front": ip + ":" + listenerPort, "readyCheck": ip + ":" + readinessPort},
		SeedAddresses:   c.ControllerAddresses()[:3], FreshStart: true, DataDir: filepath.Join(c.options.Dir, node), FaultTolerance: settings.FaultTolerance{Hosts: 1, Zones: 1, Regions: 1}}
	s.RuleLimits = settings.RuleLimits{HeartbeatInterval: c.options.HeartbeatInterval, DrainTime: c.options.DrainTime, ShutdownGrace: c.options.ShutdownGrace, MaxTTL: 2 * time.Second, RetryPeriod: 10 * time.Second,
		RetryBudgetRatio: 0.2, MaxExtraRetries: 64, WarmUpLoadFactor: 1.5, WarmUpAllowance: 5, TrialErrorRatio: 0.1, TrialErrorAllowance: 50}
	return s
}

// dialer plays the way between zones, by the address of the machine that is called.
func (c *Cluster) dialer(from string) rpc.DialFunc {
	netDialer := &net.Dialer{Timeout: time.Second}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := netDialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		host, _, _ := net.SplitHostPort(address)
		for i := range max(len(zoneNames), c.options.Proxies) {
			if c.ip(i) == host {
				if delay := zoneDelay(regionByZone, from, zoneNames[i%len(zoneNames)]); delay > 0 {
					return WithDelay(conn, delay), nil
				}
			}
		}
		return conn, nil
	}
}

func (c *Cluster) addNode(name string, start func() (func(context.Context) error, error)) error {
	c.mu.Lock()
	c.nodes[name] = &node{start: start}
	c.mu.Unlock()
	return c.StartNode(name)
}

// StartNode starts an agent that is not running.
func (c *Cluster) StartNode(name string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.nodes[name]
	run, err := n.start()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	n.cancel, n.done = cancel, done
	go func() {
		defer close(done)
		if err := run(ctx); err != nil && ctx.Err() == nil {
			c.failures <- fmt.Errorf("%s: %w", name, err)
		}
	}()
	return nil
}

// StopNode ends an agent in order, as a SIGTERM does.
func (c *Cluster) StopNode(name string) {
	c.mu.Lock()
	n := c.nodes[name]
	c.mu.Unlock()
	n.cancel()
	<-n.done
}

// RestartNode stops an agent in order and starts it again.
func (c *Cluster) RestartNode(name string) error {
	c.StopNode(name)
	return c.StartNode(name)
}

// Close ends all.
func (c *Cluster) Close() {
	c.mu.Lock()
	var wg sync.WaitGroup
	for _, n := range c.nodes {
		if n.cancel == nil {
			continue
		}
		n.cancel()
		wg.Add(1)
		go func() { defer wg.Done(); <-n.done }()
	}
	backends := make([]*Backend, 0, len(c.backends))
	for _, n := range c.backends {
		backends = append(backends, n)
	}
	c.mu.Unlock()
	for _, n := range backends {
		n.Kill()
	}
	wg.Wait()
}

// Err is an agent that has ended by itself; nil while there is none.
func (c *Cluster) Err() error {
	select {
	case err := <-c.failures:
		return err
	default:
		return nil
	}
}

// Operator is an operator.
func (c *Cluster) Operator() *client.Client { return client.New(c.ControllerAddresses()) }

// Configure brings in the services and their routes, and waits until every relay is ready.
func (c *Cluster) Configure(ctx context.Context) error {
	type item map[string]any
	var items []item
	put := func(kind, name string, body item) {
		items = append(items, item{"type": kind, "metadata": item{"name": name, "version": "00000001"}, "body": body})
	}
	for _, service := range Services {
		put("services", service, item{"checkPath": "/health", "maxLinks": 130, "warmUp": c.options.WarmUp.String(), "warmingRateS": 5})
		for path, kind := range map[string]string{"/look/": "harmless", "/change/": "risky"} {
			put("routes", service+path[:5], item{"host": service + ".example", "pathStart": path, "kind": kind, "giveUp": clientTimeout.String(), "target_time": "1s", "service": service, "tries": 3})
		}
	}
	put("limits", "", item{"headSizeBytes": 16384, "bodySizeBytes": 1 << 20, "headWait": "3s", "quiet": "15s"})
	body, err := json.Marshal(map[string]any{"putItems": map[string]any{"items": items}})
	if err != nil {
		return err
	}
	if err := c.Operator().Call(ctx, "settings.change", "", body, nil); err != nil {
		return err
	}
	for i := range c.options.Proxies {
		for !c.proxyReady(i) {
			select {
			case <-time.After(20 * time.Millisecond):
			case <-ctx.Done():
				return errors.New("not every relay became ready")
			}
		}
	}
	return nil
}

func (c *Cluster) proxyReady(i int) bool {
	resp, err := http.Get("http://" + net.JoinHostPort(c.ip(i), readinessPort) + "/api/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Backends are the appliances of a service that serve now.
func (c *Cluster) Backends(service string) (backends []*Backend) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, backend := range c.backends {
		if backend.Service == service && !backend.draining {
			backends = append(backends, backend)
		}
	}
	return backends
}
