// Package hollow is a testbed for sizes that one machine can't hold whole: real members of the core, and real relays where
// they are asked for, each as a process of its own on loopback, beside many hollow agents and appliances in one process.
// The hollow ones speak the real messages over real sockets and carry no traffic. What each role sends, receives and uses
// is read from its own connections and its own process.
package hollow

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"sagelever/internal/control/client"
	"sagelever/internal/control/config"
	"sagelever/internal/control/message"
	"sagelever/internal/control/replication"
	"sagelever/internal/lease"
	"sagelever/internal/settings"
)

// Options are the size of a testbed.
type Options struct {
	Controllers       int // of the core, one in each zone; at least three
	RealProxies       int // real ones, each a process
	Proxies           int // hollow ones
	Backends          int
	Routes            int
	Tenants           int
	BatchSize         int           // items in one call that loads the configuration
	LoadTimeout       time.Duration // for all of these calls
	Changes           int           // made one after another once all is calm
	SettleTime        time.Duration // for which leases and first pulses go round before the calm part: longer than a pull of a member
	SteadyTime        time.Duration // how long the calm part is measured
	HeartbeatInterval time.Duration // of the appliances
	DrainTimeout      time.Duration // as the platform's settings have it: it bounds how long a pull waits
	Launch            LaunchFunc
	Dir               string // for the members' state and the settings files
}

// Ports of the real processes: the same on all machines, as the platform has it, and below those that the system gives out.
const (
	peerPort, lastPeerPort                                  = 21300, 21301
	controlPort, directoryPort, listenerPort, readinessPort = "21302", "21303", "21304", "21305"
	firstProxyHost                                          = 120 // last byte of the first real relay's address; members begin at 2
	maxProcesses                                            = 100
	concurrentFirstPulls                                    = 32 // hollow agents that are handed all at one time
)

// startTimeout is for how long the start of the core, and of agents each, is waited for.
const startTimeout = 2 * time.Minute

// testbedCount counts the testbeds of this process: each has loopback addresses of its own.
var testbedCount atomic.Uint32

// Testbed is a running testbed.
type Testbed struct {
	options     Options
	network     string // the first three bytes of its addresses
	zones       []string
	regions     map[string]string // by zone
	controllers []*Process
	realProxies []*Process
	proxies     []*Proxy
	backends    []*Backend
	tracker     *PropagationTracker
	version     uint64 // of the newest change
	stop        context.CancelFunc
	running     sync.WaitGroup
}

// Open starts the core and waits until it takes calls.
func Open(ctx context.Context, o Options) (*Testbed, error) {
	if o.Controllers < 3 || o.Controllers > maxProcesses || o.RealProxies > maxProcesses || o.BatchSize < 1 {
		return nil, errors.Errorf("want 3 to %d members, at most %d relays and a batch of one or more", maxProcesses, maxProcesses)
	}
	b := &Testbed{options: o, network: fmt.Sprintf("127.%d.%d.", 1+os.Getpid()%250, 250+testbedCount.Add(1)%5), regions: map[string]string{},
		tracker: newPropagationTracker(config.Key(config.KindRoutes, probeRoute)), stop: func() {}}
	for i := range o.Controllers {
		zone := fmt.Sprintf("%c%d", 'a'+i%3, 1+i/3) // three regions, as the users' sites have
		b.zones = append(b.zones, zone)
		b.regions[zone] = zone[:1]
	}
	for i := range o.Controllers {
		process, err := b.launch(RoleController, i, b.zones[i])
		if err != nil {
			return b, err
		}
		b.controllers = append(b.controllers, process)
	}
	return b, b.waitReady(ctx)
}

// launch writes a settings file as the platform does and starts a process with it.
func (b *Testbed) launch(role string, i int, zone string) (*Process, error) {
	ip := b.address(i)
	if role == RoleProxy {
		ip = b.address(firstProxyHost - 2 + i)
	}
	node := fmt.Sprintf("%s-%d", role, i)
	nodeSettings := settings.Settings{Node: node, Role: role, IP: ip, Zone: zone, Region: b.regions[zone], Zones: b.regions, PeerPortRange: []int{peerPort, lastPeerPort},
		ListenAddresses: map[string]string{"control": net.JoinHostPort(ip, controlPort), "directory": net.JoinHostPort(ip, directoryPort),
			"front": net.JoinHostPort(ip, listenerPort), "readyCheck": net.JoinHostPort(ip, readinessPort)},
		SeedAddresses: b.controllerAddresses()[:3], FreshStart: true, DataDir: filepath.Join(b.options.Dir, node), HeartbeatInterval: formatMillis(b.options.HeartbeatInterval),
		FaultTolerance: settings.FaultTolerance{Hosts: 1, Zones: 1, Regions: 1}, LimitsTable: []string{"empty=" + formatMillis(b.options.DrainTimeout), "ttl_max=5s", "leeway=1s"}}
	encoded, err := json.Marshal(nodeSettings)
	if err != nil {
		return nil, err
	}
	if err := os.MkdirAll(nodeSettings.DataDir, 0o755); err != nil {
		return nil, err
	}
	file := filepath.Join(b.options.Dir, node+".json")
	if err := os.WriteFile(file, encoded, 0o644); err != nil {
		return nil, err
	}
	return b.options.Launch(role, file)
}

// formatMillis writes a time as the platform does.
func formatMillis(d time.Duration) string { return fmt.Sprint(d.Milliseconds(), "ms") }

func (b *Testbed) address(i int) string { return fmt.Sprint(b.network, 2+i) }

// controllerAddresses are the members' addresses for appliances and operators.
func (b *Testbed) controllerAddresses() (out []string) {
	for i := range b.options.Controllers {
		out = append(out, net.JoinHostPort(b.address(i), controlPort))
	}
	return out
}

// pullAddresses are the members' addresses for agents, from one on: that of the agent's own zone comes first.
func (b *Testbed) pullAddresses(first int) (out []string) {
	for i := range b.options.Controllers {
		out = append(out, net.JoinHostPort(b.address((first+i)%b.options.Controllers), fmt.Sprint(peerPort)))
	}
	return out
}

// waitReady waits until every member answers that it hears most of the core.
func (b *Testbed) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, contact := range b.controllerAddresses() {
		if err := client.New([]string{contact}).Call(ctx, "settings.read", "", nil, nil); err != nil {
			return errors.Wrap(err, "the core does not take calls")
		}
	}
	return nil
}

// StartProxies starts the real relays and the hollow agents, and waits until each was told all; it tells how long that took.
func (b *Testbed) StartProxies(ctx context.Context) (time.Duration, error) {
	begun := time.Now()
	for i := range b.options.RealProxies {
		process, err := b.launch(RoleProxy, i, b.zones[i%len(b.zones)])
		if err != nil {
			return 0, err
		}
		b.realProxies = append(b.realProxies, process)
	}
	work, stop := context.WithCancel(context.Background())
	b.stop = stop
	permits := make(chan struct{}, concurrentFirstPulls)
	for i := range b.options.Proxies {
		zone := i % len(b.zones)
		member := message.Member{Node: fmt.Sprint("hollow-", i), Zone: b.zones[zone]}
		agent := newProxy(member, fmt.Sprintf("10.%d.%d.%d:%s", zone, i>>8, i&0xff, listenerPort), b.pullAddresses(zone), lease.PullWait(b.options.DrainTimeout), b.tracker)
		b.proxies = append(b.proxies, agent)
		b.running.Go(func() { agent.run(work, permits) })
	}
	for i := range b.options.Backends {
		zone := i % len(b.zones)
		pulse := replication.Heartbeat{Service: serviceName(i % b.serviceCount()), Address: fmt.Sprintf("10.%d.%d.%d:8080", 128+zone, i>>8, i&0xff), Zone: b.zones[zone],
			Version: "v1", Capacity: 3, Phase: replication.PhaseReady, WarmUpLeft: "0ms"}
		appliance := newBackend(fmt.Sprintf("i-%08x", i), pulse, net.JoinHostPort(b.address(zone), controlPort), b.options.HeartbeatInterval)
		b.backends = append(b.backends, appliance)
		delay := b.options.HeartbeatInterval * time.Duration(i) / time.Duration(b.options.Backends)
		b.running.Go(func() { appliance.run(work, delay) })
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if !waitUntil(ctx, func() bool {
		whole, heard := b.startProgress()
		return whole == len(b.proxies) && heard == len(b.backends)
	}) {
		whole, heard := b.startProgress()
		return time.Since(begun), errors.Errorf("not in time: %d of %d agents were told all, %d of %d appliances heard", whole, len(b.proxies), heard, len(b.backends))
	}
	return time.Since(begun), nil
}

// startProgress counts the agents that were told all, and the appliances that were acknowledged.
func (b *Testbed) startProgress() (synced, acknowledged int) {
	for _, agent := range b.proxies {
		if agent.synced.Load() {
			synced++
		}
	}
	for _, appliance := range b.backends {
		if appliance.acknowledged.Load() > 0 {
			acknowledged++
		}
	}
	return synced, acknowledged
}

// waitUntil waits for a condition, and tells whether it came about.
func waitUntil(ctx context.Context, condition func() bool) bool {
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// Close ends all.
func (b *Testbed) Close() error {
	b.stop()
	b.running.Wait()
	var failed error
	var ending sync.WaitGroup
	var mu sync.Mutex
	for _, process := range append(b.realProxies, b.controllers...) {
		ending.Go(func() {
			if err := process.Stop(); err != nil {
				mu.Lock()
				failed = err
				mu.Unlock()
			}
		})
	}
	ending.Wait()
	return failed
}
