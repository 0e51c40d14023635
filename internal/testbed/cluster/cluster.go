// Package cluster runs a whole load balancer in one process, on loopback: controllers, proxies, backends that speak the
// protocol, clients and an operator, with network delays between the zones.
//
// A Ledger records what backends executed and what clients received, and is checked at the end: no request may be lost,
// executed twice, sent to a backend too late after its removal, or aborted.
package cluster

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
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

// Options configure a cluster.
type Options struct {
	Proxies           int // spread over the zones
	Backends          int // half of each service, spread over the zones
	Seed              uint64
	Load              float64       // as a share of the total capacity of all backends
	MeanWork          time.Duration // mean execution time of a request
	DrainTime         time.Duration // for which a backend still serves after its drain was acknowledged
	HeartbeatInterval time.Duration
	WarmUp            time.Duration // warm-up time of a backend that starts
	RequestTimeout    time.Duration // of the routes; 0: that of the cluster's own clients
	ShutdownGrace     time.Duration // within which a process must exit after SIGTERM
	ArrivalBound      time.Duration // how long new requests may still arrive after a removal is acknowledged
	Fault             Fault         // to inject; empty: none
	MaxLinks          int           // connections that a backend accepts, further ones are reset; 0: no limit
	LogLevel          string        // of processes; empty: the program's own
	Dir               string        // for the controllers' state, and the files of processes
	Logger            *zap.Logger
	// Binary is the path of the load balancer's program. If it is set, each node runs as a separate process, which logs
	// to a file and has no added network delay; otherwise the nodes run in this process.
	Binary string
}

// The zones of a cluster: three regions with two zones each.
var (
	zoneNames    = []string{"a1", "b1", "c1", "a2", "b2", "c2"}
	regionByZone = map[string]string{"a1": "a", "a2": "a", "b1": "b", "b2": "b", "c1": "c", "c2": "c"}
)

// Services lists the services of a cluster.
var Services = []string{"flags", "filings"}

// The ports of a node. They are the same for all nodes, since each node has its own IP address.
const (
	peerPort      = 21300
	lastSparePort = 21301
	controlPort   = "21302"
	directoryPort = "21303"
	listenerPort  = "21304"
	readinessPort = "21305"
)

const (
	firstNodeHost   = 2   // the last byte of the first node's address
	backendHost     = 202 // the last byte of the backends' address
	maxFailures     = 64  // capacity of Cluster.failures
	readinessPeriod = 20 * time.Millisecond
)

// clusterCount is the number of clusters of this process. Each uses its own loopback addresses.
var clusterCount atomic.Uint32

// Cluster is a running load balancer with its backends.
type Cluster struct {
	Ledger *Ledger

	options    Options
	subnet     string       // the first three bytes of all addresses, with a dot at the end
	operations atomic.Int64 // number that clients have started
	background sync.WaitGroup
	failures   chan error // errors of nodes that exited unexpectedly

	mu              sync.Mutex
	backendsStarted int
	backends        map[string]*Backend
	nodes           map[string]*node // proxies and controllers by name
	processes       map[string]*nodeProcess
}

// Start starts the controllers and the proxies, but no backends. The caller must close the cluster, also if Start
// returns it along with an error.
func Start(options Options) (*Cluster, error) {
	c := &Cluster{
		options:  options,
		Ledger:   NewLedger(),
		backends: map[string]*Backend{},
		nodes:    map[string]*node{},

		processes: map[string]*nodeProcess{},
		failures:  make(chan error, maxFailures),
		// The process ID and the counter keep the addresses of concurrent clusters apart.
		subnet: fmt.Sprintf("127.%d.%d.", 1+os.Getpid()%250, 100+clusterCount.Add(1)%150),
	}
	for i, zone := range zoneNames {
		if err := c.addNode(ControllerName(zone), c.controllerStarter(i, zone)); err != nil {
			return c, err
		}
	}
	for i := range options.Proxies {
		if err := c.addNode(ProxyName(i), c.proxyStarter(i)); err != nil {
			return c, err
		}
	}
	return c, nil
}

// ZoneNames returns the zones of a cluster. Each zone has one controller.
func ZoneNames() []string { return slices.Clone(zoneNames) }

// ControllerName returns the node name of a zone's controller, as used by StopNode and similar methods.
func ControllerName(zone string) string { return "controller-" + zone }

// ProxyName returns the node name of a proxy, as used by StopNode and similar methods.
func ProxyName(i int) string { return fmt.Sprint("proxy-", i) }

func (c *Cluster) controllerStarter(i int, zone string) startFunc {
	if c.options.Binary != "" {
		return c.processStarter("controller", c.nodeSettings(fmt.Sprint("core-", zone), i, zone))
	}
	return func() (runFunc, error) {
		controller, err := server.New(server.Options{
			Settings:       c.nodeSettings(fmt.Sprint("core-", zone), i, zone),
			MembersPerZone: 1,
			Log:            c.options.Logger,
			Dial:           c.dialer(zone),
		})
		if err != nil {
			return nil, err
		}
		return controller.Run, nil
	}
}

func (c *Cluster) proxyStarter(i int) startFunc {
	zone := zoneNames[i%len(zoneNames)]
	if c.options.Binary != "" {
		return c.processStarter("proxy", c.nodeSettings(fmt.Sprint("edge-", i), i, zone))
	}
	return func() (runFunc, error) {
		return proxy.New(proxy.Options{
			Settings: c.nodeSettings(fmt.Sprint("edge-", i), i, zone),
			Log:      c.options.Logger,
			Dial:     c.dialer(zone),
		}).Run, nil
	}
}

// ip returns the IP address of the node with an index.
func (c *Cluster) ip(i int) string { return fmt.Sprint(c.subnet, firstNodeHost+i) }

// controllerAddress returns the address of a zone's controller, and "" for an unknown zone.
func (c *Cluster) controllerAddress(zone string) string {
	for i, name := range zoneNames {
		if name == zone {
			return net.JoinHostPort(c.ip(i), controlPort)
		}
	}
	return ""
}

// ProxyAddress returns the address at which clients reach a proxy.
func (c *Cluster) ProxyAddress(i int) string { return net.JoinHostPort(c.ip(i), listenerPort) }

// ReadinessAddress returns the address of a proxy's readiness check and metrics.
func (c *Cluster) ReadinessAddress(i int) string { return net.JoinHostPort(c.ip(i), readinessPort) }

// DirectoryAddresses returns the addresses at which the controllers serve the proxy directory to clients.
func (c *Cluster) DirectoryAddresses() (addresses []string) {
	for i := range zoneNames {
		addresses = append(addresses, net.JoinHostPort(c.ip(i), directoryPort))
	}
	return addresses
}

// ControllerAddresses returns the addresses of all controllers.
func (c *Cluster) ControllerAddresses() (addresses []string) {
	for _, zone := range zoneNames {
		addresses = append(addresses, c.controllerAddress(zone))
	}
	return addresses
}

func (c *Cluster) nodeSettings(name string, i int, zone string) *settings.Settings {
	ip := c.ip(i)
	return &settings.Settings{
		Node:          name,
		IP:            ip,
		Zone:          zone,
		Region:        regionByZone[zone],
		Zones:         regionByZone,
		PeerPortRange: []int{peerPort, lastSparePort},
		ListenAddresses: map[string]string{
			"control":    net.JoinHostPort(ip, controlPort),
			"directory":  net.JoinHostPort(ip, directoryPort),
			"front":      net.JoinHostPort(ip, listenerPort),
			"readyCheck": net.JoinHostPort(ip, readinessPort),
		},
		SeedAddresses:  c.ControllerAddresses()[:3],
		FreshStart:     true,
		DataDir:        filepath.Join(c.options.Dir, name),
		FaultTolerance: settings.FaultTolerance{Hosts: 1, Zones: 1, Regions: 1},
		RuleLimits: settings.RuleLimits{
			HeartbeatInterval:     c.options.HeartbeatInterval,
			DrainTime:             c.options.DrainTime,
			ShutdownGrace:         c.options.ShutdownGrace,
			MaxTTL:                2 * time.Second,
			RetryPeriod:           10 * time.Second,
			RetryBudgetRatio:      0.2,
			MaxExtraRetries:       64,
			WarmUpLoadFactor:      1.5,
			WarmUpAllowance:       5,
			TrialRequestRatio:     0.1,
			TrialRequestAllowance: 50,
		},
	}
}

// dialer returns the dial function of a node in a zone. It adds the network delay to the zone of the dialed address.
func (c *Cluster) dialer(from string) rpc.DialFunc {
	netDialer := &net.Dialer{Timeout: time.Second}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := netDialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		host, _, _ := net.SplitHostPort(address)
		for i := range max(len(zoneNames), c.options.Proxies) {
			if c.ip(i) != host {
				continue
			}
			if delay := zoneDelay(regionByZone, from, zoneNames[i%len(zoneNames)]); delay > 0 {
				return WithDelay(conn, delay), nil
			}
		}
		return conn, nil
	}
}

// Close stops all nodes and backends, and waits until they have stopped.
func (c *Cluster) Close() {
	c.mu.Lock()
	var running []*node
	for _, n := range c.nodes {
		if n.cancel != nil {
			n.cancel()
			running = append(running, n)
		}
	}
	backends := make([]*Backend, 0, len(c.backends))
	for _, backend := range c.backends {
		backends = append(backends, backend)
	}
	c.mu.Unlock()
	for _, backend := range backends {
		backend.Kill()
	}
	for _, n := range running {
		<-n.done
	}
	c.background.Wait()
}

// Err returns the next error of a node that exited unexpectedly, or nil if there is none.
func (c *Cluster) Err() error {
	select {
	case err := <-c.failures:
		return err
	default:
		return nil
	}
}

// Operator returns a client for the operators' API of the controllers.
func (c *Cluster) Operator() *client.Client { return client.New(c.ControllerAddresses()) }

// Backends returns the backends of a service that are not draining.
func (c *Cluster) Backends(service string) (backends []*Backend) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, backend := range c.backends {
		if backend.Service == service && !backend.isDraining() {
			backends = append(backends, backend)
		}
	}
	return backends
}

// allBackends returns the backends of all services that are not draining.
func (c *Cluster) allBackends() (backends []*Backend) {
	for _, service := range Services {
		backends = append(backends, c.Backends(service)...)
	}
	return backends
}

// pause waits for a duration or until the context ends.
func pause(ctx context.Context, duration time.Duration) {
	select {
	case <-time.After(duration):
	case <-ctx.Done():
	}
}
