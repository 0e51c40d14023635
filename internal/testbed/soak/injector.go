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
	// killMargin is how long after a SIGKILL the loss of a request is attributed to it.
	killMargin = 100 * time.Millisecond

	// resumeMargin is how long after a frozen process was resumed the loss of a request is attributed to the freeze.
	resumeMargin = time.Second

	// maxAckKillDelay is the maximum delay between an acknowledgement and the SIGKILL of KillAfterAck.
	maxAckKillDelay = 3 * time.Millisecond

	// rejoinTime is how long a controller must be up after the loss of its disk before another disk may be lost.
	rejoinTime = 8 * time.Second

	// newWarmUp is the warm-up time of backends that start during a run.
	newWarmUp = 500 * time.Millisecond

	// injectorStream selects the random number stream of the injector.
	injectorStream = 99

	// minBackendsDivisor determines which part of all backends a service keeps at least: one in so many.
	minBackendsDivisor = 4
)

// injector applies the troubles of a plan to a cluster, and records when they may cause the loss of requests.
type injector struct {
	cluster  *cluster.Cluster
	plan     Plan
	findings *findings
	bigOrder func(ctx context.Context)
	rng      *rand.Rand // guarded by mu

	mu          sync.Mutex
	nodeLocks   map[string]*sync.Mutex
	disturbed   disturbances
	lastEventAt map[string]time.Time // by node: end of the last trouble
	killOnAck   []Trouble            // triggered by the next acknowledgement
	wipedZone   string               // zone of the controller that lost its disk last
	wipedUpAt   time.Time            // when that controller was started again; zero: not yet

	inProgress sync.WaitGroup
}

func newInjector(running *cluster.Cluster, plan Plan, found *findings) *injector {
	f := &injector{
		cluster:     running,
		plan:        plan,
		findings:    found,
		rng:         rand.New(rand.NewPCG(plan.Seed, injectorStream)),
		nodeLocks:   map[string]*sync.Mutex{},
		disturbed:   disturbances{proxies: map[string][]interval{}},
		lastEventAt: map[string]time.Time{},
	}
	proxies, controllers := plan.nodes(AllNodes, 0)
	for _, name := range append(proxies, controllers...) {
		f.nodeLocks[name] = &sync.Mutex{}
		f.lastEventAt[name] = time.Now()
	}
	return f
}

// play injects the troubles of the plan at their times, and waits until all are over.
func (f *injector) play(ctx context.Context) {
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
	case <-time.After(time.Until(startedAt.Add(f.plan.Duration))):
	case <-ctx.Done():
	}
	f.inProgress.Wait()
}

// apply injects one trouble and waits until it is over.
func (f *injector) apply(ctx context.Context, trouble Trouble) {
	proxies, controllers := f.plan.nodes(trouble.Target, trouble.Index)
	names := append(proxies, controllers...)
	switch trouble.Kind {
	case Reload:
		f.eachNode(names, func(name string) { _ = f.cluster.Signal(name, syscall.SIGHUP) }) // fails if the process has exited
	case Restart:
		f.eachNode(names, f.restart)
	case Kill:
		f.eachNode(names, func(name string) { f.kill(ctx, name, trouble.Duration) })
	case Freeze:
		f.eachNode(names, func(name string) { f.freeze(ctx, name, trouble.Duration) })
	case Wipe:
		f.wipe(ctx, cluster.ZoneNames()[trouble.Index%len(cluster.ZoneNames())], trouble.Duration)
	case KillAfterAck:
		f.mu.Lock()
		f.killOnAck = append(f.killOnAck, trouble)
		f.mu.Unlock()
	case BackendKill, BackendDrain, BackendWarmUp, BackendSwap, BackendSilent, BackendFaulty, BackendFreeze, BackendRenew:
		f.disturbBackend(ctx, trouble)
	case BigOrder:
		f.bigOrder(ctx)
	}
}

// eachNode calls do concurrently for each node and waits until all calls have returned.
func (f *injector) eachNode(names []string, do func(name string)) {
	var all sync.WaitGroup
	for _, name := range names {
		all.Go(func() { do(name) })
	}
	all.Wait()
}

// orderAcknowledged must be called after each acknowledgement of an order. It applies the pending KillAfterAck
// troubles.
func (f *injector) orderAcknowledged(ctx context.Context) {
	f.mu.Lock()
	armed := f.killOnAck
	f.killOnAck = nil
	delay := time.Duration(f.rng.Int64N(int64(maxAckKillDelay)))
	f.mu.Unlock()
	for _, trouble := range armed {
		f.inProgress.Go(func() {
			wait(ctx, delay)
			proxies, controllers := f.plan.nodes(trouble.Target, trouble.Index)
			f.eachNode(append(proxies, controllers...), func(name string) { f.kill(ctx, name, trouble.Duration) })
		})
	}
}

// restart stops a node gracefully and starts it again. This does not justify the loss of requests.
func (f *injector) restart(name string) {
	f.cluster.StopNode(name)
	f.ensureStarted(name)
	f.recordEvent(name, time.Now())
}

// kill kills a process and starts it again after a duration.
func (f *injector) kill(ctx context.Context, name string, downFor time.Duration) {
	lock := f.nodeLocks[name]
	from := time.Now()
	lock.Lock()
	f.cluster.KillNode(name)
	lock.Unlock()
	f.recordDisturbance(name, from, time.Now().Add(killMargin))
	wait(ctx, downFor)
	f.ensureStarted(name)
	f.recordEvent(name, time.Now())
}

// freeze suspends a process for a duration.
func (f *injector) freeze(ctx context.Context, name string, frozenFor time.Duration) {
	from := time.Now()
	_ = f.cluster.Signal(name, syscall.SIGSTOP) // fails if the process has exited
	wait(ctx, frozenFor)
	_ = f.cluster.Signal(name, syscall.SIGCONT)
	f.recordDisturbance(name, from, time.Now().Add(resumeMargin))
	f.recordEvent(name, time.Now())
}

// wipe kills a controller, removes its data and starts it again. It does nothing if the controller that lost its data
// last has not been up for rejoinTime.
func (f *injector) wipe(ctx context.Context, zone string, downFor time.Duration) {
	name := cluster.ControllerName(zone)
	f.mu.Lock()
	previous, upAt := f.wipedZone, f.wipedUpAt
	if previous != "" {
		upAt = later(upAt, f.lastEventAt[cluster.ControllerName(previous)])
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
	f.recordEvent(name, time.Now())
	f.mu.Lock()
	f.wipedUpAt = time.Now()
	f.mu.Unlock()
}

// ensureStarted starts a node that is not running.
func (f *injector) ensureStarted(name string) {
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

// recordDisturbance records an interval in which requests at a node may be lost.
func (f *injector) recordDisturbance(name string, from, to time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.disturbed.proxies[name] = append(f.disturbed.proxies[name], interval{from, to})
}

// recordEvent records the end of a trouble of a node.
func (f *injector) recordEvent(name string, to time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastEventAt[name] = later(f.lastEventAt[name], to)
}

// undisturbedSince returns the end of the last trouble of a proxy or of any controller. An empty name selects the
// controllers only.
func (f *injector) undisturbedSince(proxy string) (since time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	since = f.lastEventAt[proxy]
	for _, zone := range cluster.ZoneNames() {
		since = later(since, f.lastEventAt[cluster.ControllerName(zone)])
	}
	return since
}

// disturbBackend injects a trouble of a backend and waits until it is over.
func (f *injector) disturbBackend(ctx context.Context, trouble Trouble) {
	backend := f.pickBackend(trouble.Index)
	if backend == nil {
		return
	}
	var err error
	switch trouble.Kind {
	case BackendWarmUp:
		backend.SetWarmUp(trouble.Duration)
		return
	case BackendSilent:
		backend.SetSilent(trouble.Duration)
		return
	case BackendFaulty:
		backend.SetFaulty(trouble.Duration)
		f.recordBackendDisturbance(trouble.Duration)
		return
	case BackendFreeze:
		backend.SetFrozen(trouble.Duration)
		f.recordBackendDisturbance(trouble.Duration)
		return
	case BackendRenew:
		backend.SetFaulty(trouble.Duration)
		f.recordBackendDisturbance(trouble.Duration)
		backend.Renew()
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

// replaceBackend kills a backend and starts another one at its address.
func (f *injector) replaceBackend(ctx context.Context, backend *cluster.Backend, trouble Trouble) error {
	from := time.Now()
	backend.Kill()
	f.mu.Lock()
	f.disturbed.backends = append(f.disturbed.backends, interval{from, time.Now().Add(killMargin)})
	f.mu.Unlock()
	wait(ctx, trouble.Duration)
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

// recordBackendDisturbance records that a backend may lose and cut off responses for a duration.
func (f *injector) recordBackendDisturbance(duration time.Duration) {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.disturbed.backends = append(f.disturbed.backends, interval{now, now.Add(duration + resumeMargin)})
}

// pickBackend returns a backend of the service that has more of them, or nil if that service has too few. This keeps
// some backends of both services running.
func (f *injector) pickBackend(index int) *cluster.Backend {
	candidates := f.cluster.Backends(cluster.Services[0])
	if other := f.cluster.Backends(cluster.Services[1]); len(other) > len(candidates) {
		candidates = other
	}
	if len(candidates) < f.plan.Backends/minBackendsDivisor+1 {
		return nil
	}
	return candidates[index%len(candidates)]
}

// wait waits for a duration or until the context ends.
func wait(ctx context.Context, duration time.Duration) {
	select {
	case <-time.After(duration):
	case <-ctx.Done():
	}
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
