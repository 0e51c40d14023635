// Package hollow is a testbed for control groups of sizes that one machine cannot run in full. Real controllers and, if
// asked for, real proxies run as processes of their own on loopback, beside many hollow proxies and backends in one
// process. Like the hollow nodes of kubemark, these exchange the real messages over real connections but carry no
// traffic. What each role sends, receives and uses is measured at its own connections and its own process.
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

// Options are the size of a testbed.
type Options struct {
	Controllers       int // each a process in a zone of its own; at least three
	RealProxies       int // each a process
	Proxies           int // hollow ones
	Backends          int // hollow ones
	Routes            int
	Tenants           int
	BatchSize         int           // items in one call while the configuration is loaded
	LoadTimeout       time.Duration // for all of these calls
	Changes           int           // made one after another at the end
	SettleTime        time.Duration // between the start and the steady phase; longer than a pull of a controller waits
	SteadyTime        time.Duration // of the steady phase
	HeartbeatInterval time.Duration // of the backends
	DrainTimeout      time.Duration // as in the settings of the deployment; it bounds how long a pull waits
	Launch            LaunchFunc    // starts the processes
	Dir               string        // for the state and the settings files of the processes
}

const (
	minControllers = 3
	maxProcesses   = 100 // of each role
	// concurrentFirstPulls is how many hollow proxies are sent the whole configuration at a time.
	concurrentFirstPulls = 32
	// startTimeout bounds the start of the controllers, that of the proxies and the propagation of a change.
	startTimeout = 2 * time.Minute
)

// testbedCount is the number of testbeds of this process. Each uses loopback addresses of its own.
var testbedCount atomic.Uint32

// Testbed is a running testbed. Its methods must not be called concurrently.
type Testbed struct {
	options     Options
	network     string // the first three bytes of its addresses, with the dots
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

// Open starts the controllers and waits until they take calls. If it fails after it has started a process, it returns
// the testbed along with the error, and the caller must close it.
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

// waitReady waits until every controller takes calls, which it does once it reaches a majority of the others.
func (b *Testbed) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, address := range b.controllerAddresses() {
		if err := client.New([]string{address}).Call(ctx, calls.SettingsRead, "", nil, nil); err != nil {
			return errors.Wrap(err, "the controllers do not take calls")
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

// Close stops everything. It returns one of the errors of the processes.
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
