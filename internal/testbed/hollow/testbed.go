// Package hollow is a testbed for control groups that are too large to run in full on one machine. Real controllers and
// optionally real proxies run as separate processes on loopback, together with many hollow proxies and backends in one
// process. Like the hollow nodes of kubemark, these exchange the real messages over real connections but carry no
// traffic. The traffic and the resource usage of each role are measured at its own connections and its own process.
package hollow

import (
	"context"
	"fmt"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"sagelever/internal/control/calls"
	"sagelever/internal/control/client"
	"sagelever/internal/control/config"
)

// Options configure a testbed.
type Options struct {
	Controllers       int // each a process in its own zone; at least three
	RealProxies       int // each a process
	Proxies           int // hollow proxies
	Backends          int // hollow backends
	Routes            int
	Tenants           int
	BatchSize         int           // maximum number of items in a call that loads the configuration
	LoadTimeout       time.Duration // for loading the whole configuration
	Changes           int           // made sequentially at the end
	SettleTime        time.Duration // from start to steady phase; must exceed the wait time of the controllers' pulls
	SteadyTime        time.Duration // duration of the steady phase
	HeartbeatInterval time.Duration // of the backends
	DrainTimeout      time.Duration // as in the settings of the deployment; determines the wait time of pulls
	Launch            LaunchFunc    // starts a process
	Dir               string        // for the data and the settings files of the processes
}

const (
	minControllers = 3
	maxProcesses   = 100 // of each role
	// concurrentFirstPulls is how many hollow proxies receive the whole configuration at the same time.
	concurrentFirstPulls = 32
	// startTimeout bounds the start of the controllers, that of the proxies and the propagation of a change.
	startTimeout = 2 * time.Minute
)

// testbedCount is the number of testbeds of this process. Each uses its own loopback addresses.
var testbedCount atomic.Uint32

// Testbed is a running testbed. Its methods must not be called concurrently.
type Testbed struct {
	options     Options
	network     string // first three bytes of all addresses, with a trailing dot
	zones       []string
	regions     map[string]string // by zone
	controllers []*Process
	realProxies []*Process
	proxies     []*Proxy
	backends    []*Backend
	tracker     *PropagationTracker
	version     uint64             // of the probe route
	stop        context.CancelFunc // stops the hollow proxies and backends
	running     sync.WaitGroup     // of the hollow proxies and backends
}

// Open starts the controllers and waits until they accept calls. If it fails after it has started a process, it returns
// the testbed along with the error, and the caller must close the testbed.
func Open(ctx context.Context, o Options) (*Testbed, error) {
	if o.Controllers < minControllers || o.Controllers > maxProcesses || o.RealProxies > maxProcesses || o.BatchSize < 1 {
		return nil, errors.Errorf("want %d to %d controllers, at most %d real proxies and a batch size of 1 or more",
			minControllers, maxProcesses, maxProcesses)
	}
	b := &Testbed{
		options: o,
		network: fmt.Sprintf("127.%d.%d.", 1+os.Getpid()%250, 250+testbedCount.Add(1)%5),
		regions: map[string]string{},
		tracker: newPropagationTracker(config.Key(config.KindRoutes, probeRoute)),
		stop:    func() {},
	}
	for i := range o.Controllers {
		zone := fmt.Sprintf("%c%d", 'a'+i%3, 1+i/3) // three regions, each named by a letter
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

// waitReady waits until all controllers accept calls. A controller does so once it reaches a majority of the
// others.
func (b *Testbed) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, address := range b.controllerAddresses() {
		if err := client.New([]string{address}).Call(ctx, calls.SettingsRead, "", nil, nil); err != nil {
			return errors.Wrap(err, "controllers do not accept calls")
		}
	}
	return nil
}

// stopHollow stops the hollow proxies and backends, and releases the leases of the proxies.
func (b *Testbed) stopHollow() {
	b.stop()
	b.running.Wait()
	for proxies := range slices.Chunk(b.proxies, concurrentFirstPulls) {
		for _, proxy := range proxies {
			b.running.Go(proxy.releaseLease)
		}
		b.running.Wait()
	}
}

// Close stops all nodes and processes. If several processes fail, it returns one of their errors.
func (b *Testbed) Close() error {
	b.stop()
	b.running.Wait()
	var mu sync.Mutex
	var firstErr error
	var stopping sync.WaitGroup
	for _, process := range append(b.realProxies, b.controllers...) {
		stopping.Go(func() {
			if err := process.Stop(); err != nil {
				mu.Lock()
				defer mu.Unlock()
				firstErr = err
			}
		})
	}
	stopping.Wait()
	return firstErr
}
