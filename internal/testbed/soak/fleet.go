package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"sagelever/internal/testbed/cluster"
)

const (
	// killMargin is how long after a SIGKILL a request may still be found to have been lost by it.
	killMargin = 100 * time.Millisecond

	// thawMargin is the same after a process was frozen.
	thawMargin = time.Second

	// maxAckKillDelay is how long after an acknowledgement KillAfterAck kills at most.
	maxAckKillDelay = 3 * time.Millisecond

	// rejoinTime is how long a controller has been up after the loss of its disk before another disk may be lost.
	rejoinTime = 8 * time.Second

	// newWarmUp is how long a backend that starts during a run warms up.
	newWarmUp = 500 * time.Millisecond
)

// fleet applies troubles to a cluster, and notes what they may excuse.
type fleet struct {
	cluster  *cluster.Cluster
	plan     Plan
	findings *findings
	bigOrder func(ctx context.Context)
	rng      *rand.Rand // of the order in which things that come at one time are done; guarded by mu

	mu        sync.Mutex
	nodeLocks map[string]*sync.Mutex
	disturbed disturbances
	calmSince map[string]time.Time // by node: the end of the last thing that happened to it
	killOnAck []Trouble
	wipedZone string // the last controller that has lost its disk, and since when it is up again
	wipedUpAt time.Time

	inProgress sync.WaitGroup
}

func newFleet(running *cluster.Cluster, plan Plan, found *findings) *fleet {
	f := &fleet{
		cluster:   running,
		plan:      plan,
		findings:  found,
		rng:       rand.New(rand.NewPCG(plan.Seed, 99)),
		nodeLocks: map[string]*sync.Mutex{},
		disturbed: disturbances{proxies: map[string][]interval{}},
		calmSince: map[string]time.Time{},
	}
	proxies, controllers := plan.nodes(AllNodes, 0)
	for _, name := range append(proxies, controllers...) {
		f.nodeLocks[name] = &sync.Mutex{}
		f.calmSince[name] = time.Now()
	}
	return f
}

// play brings the troubles of the plan about, each at its time, and waits until all are over.
func (f *fleet) play(ctx context.Context) {
	startedAt := time.Now()
	for _, trouble := range f.plan.Troubles {
		select {
		case <-time.After(time.Until(startedAt.Add(trouble.At))):
		case <-ctx.Done():
			f.inProgress.Wait()
			return
		}
		f.inProgress.Go(func() { f.apply(ctx, trouble) })
	}
	select {
	case <-time.After(time.Until(startedAt.Add(f.plan.For))):
	case <-ctx.Done():
	}
	f.inProgress.Wait()
}

// apply brings one trouble about and waits until it is over.
func (f *fleet) apply(ctx context.Context, trouble Trouble) {
	proxies, controllers := f.plan.nodes(trouble.Target, trouble.Index)
	names := append(proxies, controllers...)
	switch trouble.Kind {
	case Reload:
		f.eachNode(names, func(name string) { _ = f.cluster.Signal(name, syscall.SIGHUP) }) // it may have ended
	case Restart:
		f.eachNode(names, f.restart)
	case Kill:
		f.eachNode(names, func(name string) { f.kill(ctx, name, trouble.For) })
	case Freeze:
		f.eachNode(names, func(name string) { f.freeze(ctx, name, trouble.For) })
	case Wipe:
		f.wipe(ctx, cluster.ZoneNames()[trouble.Index%len(cluster.ZoneNames())], trouble.For)
	case KillAfterAck:
		f.mu.Lock()
		f.killOnAck = append(f.killOnAck, trouble)
		f.mu.Unlock()
	case BackendKill, BackendDrain, BackendCold, BackendSwap:
		f.disturbBackend(ctx, trouble)
	case BigOrder:
		f.bigOrder(ctx)
	}
}

// eachNode does something to some nodes at the same time and waits for its end.
func (f *fleet) eachNode(names []string, do func(name string)) {
	var all sync.WaitGroup
	for _, name := range names {
		all.Go(func() { do(name) })
	}
	all.Wait()
}

// acknowledged is told of each acknowledgement of an order: it kills what is to be killed then.
func (f *fleet) acknowledged(ctx context.Context) {
	f.mu.Lock()
	armed := f.killOnAck
	f.killOnAck = nil
	delay := time.Duration(f.rng.Int64N(int64(maxAckKillDelay)))
	f.mu.Unlock()
	for _, trouble := range armed {
		f.inProgress.Go(func() {
			wait(ctx, delay)
			proxies, controllers := f.plan.nodes(trouble.Target, trouble.Index)
			f.eachNode(append(proxies, controllers...), func(name string) { f.kill(ctx, name, trouble.For) })
		})
	}
}

// restart ends a node gracefully and starts it again. Its requests are not excused.
func (f *fleet) restart(name string) {
	f.cluster.StopNode(name)
	f.ensureStarted(name)
	f.noteEvent(name, time.Now())
}

// kill ends a process at once and starts it again after a while.
func (f *fleet) kill(ctx context.Context, name string, downFor time.Duration) {
	lock := f.nodeLocks[name]
	from := time.Now()
	lock.Lock()
	f.cluster.KillNode(name)
	lock.Unlock()
	f.excuseProxy(name, from, time.Now().Add(killMargin))
	wait(ctx, downFor)
	f.ensureStarted(name)
	f.noteEvent(name, time.Now())
}

// freeze stops a process for a while.
func (f *fleet) freeze(ctx context.Context, name string, frozenFor time.Duration) {
	from := time.Now()
	_ = f.cluster.Signal(name, syscall.SIGSTOP) // it may have ended
	wait(ctx, frozenFor)
	_ = f.cluster.Signal(name, syscall.SIGCONT)
	f.excuseProxy(name, from, time.Now().Add(thawMargin))
	f.noteEvent(name, time.Now())
}

// wipe has a controller lose its disk, unless the one that lost its disk last may not be back yet.
func (f *fleet) wipe(ctx context.Context, zone string, downFor time.Duration) {
	name := cluster.ControllerName(zone)
	f.mu.Lock()
	previous, upAt := f.wipedZone, f.wipedUpAt
	if previous != "" {
		upAt = later(upAt, f.calmSince[cluster.ControllerName(previous)])
	}
	tooSoon := previous != "" && (upAt.IsZero() || time.Since(upAt) < rejoinTime)
	if !tooSoon {
		f.wipedZone = zone
		f.wipedUpAt = time.Time{}
	}
	f.mu.Unlock()
	if tooSoon {
		return
	}
	lock := f.nodeLocks[name]
	lock.Lock()
	f.cluster.KillNode(name)
	if err := f.cluster.WipeController(zone); err != nil {
		f.findings.add(finding{text: "the soak itself: " + err.Error()})
	}
	lock.Unlock()
	wait(ctx, downFor)
	f.ensureStarted(name)
	f.noteEvent(name, time.Now())
	f.mu.Lock()
	f.wipedUpAt = time.Now()
	f.mu.Unlock()
}

// ensureStarted starts a node that is not running.
func (f *fleet) ensureStarted(name string) {
	lock := f.nodeLocks[name]
	lock.Lock()
	defer lock.Unlock()
	if f.cluster.NodeRunning(name) {
		return
	}
	if err := f.cluster.StartNode(name); err != nil {
		f.findings.add(finding{node: name, text: "does not start: " + err.Error()})
	}
}

// excuseProxy notes that requests at a node may be lost in a span of time.
func (f *fleet) excuseProxy(name string, from, to time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.disturbed.proxies[name] = append(f.disturbed.proxies[name], interval{from, to})
}

// noteEvent notes until when something has happened to a node.
func (f *fleet) noteEvent(name string, to time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calmSince[name] = later(f.calmSince[name], to)
}

// calmFor returns since when nothing happens to a proxy and to the controllers. The zero name is about the controllers
// alone.
func (f *fleet) calmFor(proxy string) (since time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	since = f.calmSince[proxy]
	for _, zone := range cluster.ZoneNames() {
		since = later(since, f.calmSince[cluster.ControllerName(zone)])
	}
	return since
}

// disturbBackend brings a trouble of a backend about and waits until it is over.
func (f *fleet) disturbBackend(ctx context.Context, trouble Trouble) {
	backend := f.pickBackend(trouble.Index)
	if backend == nil {
		return
	}
	var err error
	switch trouble.Kind {
	case BackendCold:
		backend.SetWarmUp(trouble.For)
		return
	case BackendDrain:
		if err = backend.Shutdown(string(BackendDrain)); err == nil {
			_, err = f.cluster.StartBackend(backend.Service, backend.Zone, backend.Build, newWarmUp)
		}
	case BackendKill, BackendSwap:
		err = f.replaceBackend(ctx, backend, trouble)
	}
	if err != nil && !errors.Is(err, cluster.ErrNotAcknowledged) {
		f.findings.add(finding{text: "the soak itself: " + err.Error()})
	}
}

// replaceBackend kills a backend, and starts another one at its address.
func (f *fleet) replaceBackend(ctx context.Context, backend *cluster.Backend, trouble Trouble) error {
	from := time.Now()
	backend.Kill()
	f.mu.Lock()
	f.disturbed.backends = append(f.disturbed.backends, interval{from, time.Now().Add(killMargin)})
	f.mu.Unlock()
	wait(ctx, trouble.For)
	service := backend.Service
	if trouble.Kind == BackendSwap {
		service = cluster.Services[0]
		if service == backend.Service {
			service = cluster.Services[1]
		}
	}
	_, err := f.cluster.StartBackendAt(backend.Address, service, backend.Zone, backend.Build, newWarmUp)
	return err
}

// pickBackend returns a backend of the service that has more of them, so that neither runs out of them.
func (f *fleet) pickBackend(index int) *cluster.Backend {
	candidates := f.cluster.Backends(cluster.Services[0])
	if other := f.cluster.Backends(cluster.Services[1]); len(other) > len(candidates) {
		candidates = other
	}
	if len(candidates) < f.plan.Backends/4+1 {
		return nil
	}
	return candidates[index%len(candidates)]
}

// wait waits for a while, or until the context ends.
func wait(ctx context.Context, duration time.Duration) {
	select {
	case <-time.After(duration):
	case <-ctx.Done():
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
