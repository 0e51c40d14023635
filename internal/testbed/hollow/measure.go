package hollow

import (
	"cmp"
	"context"
	"io/fs"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"sagelever/internal/control/client"
	"sagelever/internal/control/config"
)

// Sample is all counters of a testbed at one moment.
type Sample struct {
	At                           time.Time
	Controllers                  []Usage // by process; empty where they share this one
	RealProxies                  []Usage
	Hollow                       Usage   // of this process: all that is hollow, and this program's own work
	ControllerTraffic            Traffic // that members opened to one another, of all together
	RealProxyTraffic             Traffic // that real relays opened to members
	ProxyTraffic                 Traffic // that hollow agents opened
	BackendTraffic               Traffic
	Pulls, FailedPulls           int64 // of hollow agents
	Heartbeats, FailedHeartbeats int64 // of appliances
	Items                        int64 // that hollow agents were told
}

// sample takes all counters.
func (b *Testbed) sample() (r Sample, err error) {
	r.At = time.Now()
	if r.Hollow, err = ReadUsage(os.Getpid()); err != nil && runtime.GOOS == "linux" {
		return r, err
	}
	if r.Controllers, r.ControllerTraffic, err = sampleProcesses(b.controllers); err != nil {
		return r, err
	}
	if r.RealProxies, r.RealProxyTraffic, err = sampleProcesses(b.realProxies); err != nil {
		return r, err
	}
	for _, agent := range b.proxies {
		r.ProxyTraffic = r.ProxyTraffic.Add(agent.Meter.Read())
		r.Pulls += agent.pulls.Load()
		r.FailedPulls += agent.failures.Load()
		r.Items += agent.items.Load()
	}
	for _, appliance := range b.backends {
		r.BackendTraffic = r.BackendTraffic.Add(appliance.Meter.Read())
		r.Heartbeats += appliance.acknowledged.Load()
		r.FailedHeartbeats += appliance.failures.Load()
	}
	return r, nil
}

func sampleProcesses(processes []*Process) (usages []Usage, traffic Traffic, err error) {
	for _, process := range processes {
		t, err := process.Traffic()
		if err != nil {
			return nil, traffic, errors.Wrap(err, "a process does not tell its traffic")
		}
		traffic = traffic.Add(t)
		if process.PID == 0 {
			continue
		}
		usage, err := ReadUsage(process.PID)
		if err != nil {
			return nil, traffic, err
		}
		usages = append(usages, usage)
	}
	return usages, traffic, nil
}

// Propagation is how long after its order was sent a change was acknowledged, and held by a half, 99 in 100 and all of the
// hollow agents.
type Propagation struct {
	Acknowledged, Half, P99, All time.Duration
}

// Change makes one change and waits until every hollow agent holds it.
func (b *Testbed) Change(ctx context.Context) (propagation Propagation, err error) {
	b.version++
	probe, err := b.probeItem(b.version)
	if err != nil {
		return propagation, err
	}
	all := b.tracker.expect(b.version, len(b.proxies))
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	started := time.Now()
	if err := putItems(ctx, client.New(b.controllerAddresses()), []config.Item{probe}); err != nil {
		return propagation, err
	}
	propagation.Acknowledged = time.Since(started)
	if len(b.proxies) == 0 {
		return propagation, nil
	}
	select {
	case <-all:
	case <-ctx.Done():
		return propagation, errors.Errorf("%d of %d agents hold the change", len(b.tracker.times()), len(b.proxies))
	}
	moments := b.tracker.times()
	at := func(percent int) time.Duration { return moments[(len(moments)*percent+99)/100-1].Sub(started) }
	propagation.Half, propagation.P99, propagation.All = at(50), at(99), at(100)
	return propagation, nil
}

// Result is what a run of a testbed gave.
type Result struct {
	Options              Options
	Load                 LoadResult
	IdleUsage            []Usage // of members once the core stands, before anything was loaded
	LoadedUsage          []Usage // of members once all is loaded
	StartedUsage         []Usage // of members once every agent was told all, or the time for that had passed
	StartDuration        time.Duration
	InitialTraffic       Traffic // that hollow agents had when each was told all
	InitialItems         int64
	InitialBytes         int64 // of keys and bodies, unpacked, that one agent was told at the start
	Steady               [2]Sample
	Changing             [2]Sample
	Propagations         []Propagation
	VersionVectorEntries int64 // entries that an agent keeps of how far it has come
	DiskBytes            int64 // bytes of one member
	HollowBytes          int64 // bytes that the process of the hollow ones holds in heap and stacks
}

// Run plays a testbed from its start to its end.
func Run(ctx context.Context, o Options) (r *Result, err error) {
	r = &Result{Options: o}
	b, err := Open(ctx, o)
	if b != nil {
		defer func() {
			b.stopHollow()
			if e := b.Close(); err == nil && e != nil {
				err = e
			}
		}()
	}
	if err != nil {
		return r, err
	}
	if r.IdleUsage, _, err = sampleProcesses(b.controllers); err != nil {
		return r, err
	}
	r.Load, err = b.Load(ctx)
	use, _, useErr := sampleProcesses(b.controllers) // also of a load that was not taken whole: it tells what the core was busy with
	r.LoadedUsage = use
	if err != nil || useErr != nil {
		return r, cmp.Or(err, useErr)
	}
	if r.StartDuration, err = b.StartProxies(ctx); err != nil {
		r.StartedUsage, _, _ = sampleProcesses(b.controllers) // it tells what the core was busy with
		return r, err
	}
	if err := b.measureSteady(ctx, r); err != nil {
		return r, err
	}
	if err := b.measureChanges(ctx, r); err != nil {
		return r, err
	}
	r.DiskBytes = directorySize(filepath.Join(o.Dir, RoleController+"-0"))
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	r.HollowBytes = int64(memory.HeapInuse + memory.StackInuse)
	return r, nil
}

func (b *Testbed) measureSteady(ctx context.Context, r *Result) (err error) {
	whole, err := b.sample()
	if err != nil {
		return err
	}
	r.InitialTraffic, r.InitialItems, r.StartedUsage = whole.ProxyTraffic, whole.Items, whole.Controllers
	if len(b.proxies) > 0 {
		r.InitialBytes = b.proxies[0].bodyBytes.Load()
	}
	sleep(ctx, b.options.SettleTime)
	if r.Steady[0], err = b.sample(); err != nil {
		return err
	}
	sleep(ctx, b.options.SteadyTime)
	if r.Steady[1], err = b.sample(); err != nil {
		return err
	}
	return ctx.Err()
}

func (b *Testbed) measureChanges(ctx context.Context, r *Result) (err error) {
	if r.Changing[0], err = b.sample(); err != nil {
		return err
	}
	for range b.options.Changes {
		spread, err := b.Change(ctx)
		if err != nil {
			return err
		}
		r.Propagations = append(r.Propagations, spread)
	}
	if r.Changing[1], err = b.sample(); err != nil {
		return err
	}
	if len(b.proxies) > 0 {
		r.VersionVectorEntries = b.proxies[0].vectorEntries.Load()
	}
	return nil
}

// stopHollow ends the hollow ones and gives the agents' leases back.
func (b *Testbed) stopHollow() {
	b.stop()
	b.running.Wait()
	for agents := range slices.Chunk(b.proxies, concurrentFirstPulls) {
		for _, agent := range agents {
			b.running.Go(agent.releaseLease)
		}
		b.running.Wait()
	}
}

func directorySize(folder string) (size int64) {
	filepath.WalkDir(folder, func(_ string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return nil
		}
		if info, err := entry.Info(); err == nil {
			size += info.Size()
		}
		return nil
	})
	return size
}
