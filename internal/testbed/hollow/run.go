package hollow

import (
	"cmp"
	"context"
	"io/fs"
	"path/filepath"
	"runtime"
	"time"

	"github.com/go-faster/errors"

	"sagelever/internal/control/client"
	"sagelever/internal/control/config"
)

// Propagation holds the times from sending a change until it was acknowledged, and until half, 99 % and all of the
// hollow proxies had received it.
type Propagation struct {
	Acknowledged time.Duration
	Half         time.Duration
	P99          time.Duration
	All          time.Duration
}

// Change updates the probe route and waits until all hollow proxies have received the new version.
func (b *Testbed) Change(ctx context.Context) (propagation Propagation, err error) {
	b.version++
	probe, err := b.probeItem(b.version)
	if err != nil {
		return propagation, err
	}
	received := b.tracker.expect(b.version, len(b.proxies))
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
	case <-received:
	case <-ctx.Done():
		return propagation, errors.Errorf("%d of %d proxies have received the change", len(b.tracker.times()), len(b.proxies))
	}
	times := b.tracker.times()
	percentile := func(percent int) time.Duration { return times[(len(times)*percent+99)/100-1].Sub(started) }
	propagation.Half = percentile(50)
	propagation.P99 = percentile(99)
	propagation.All = percentile(100)
	return propagation, nil
}

// Result holds the measurements of a run.
type Result struct {
	Options              Options
	Load                 LoadResult
	IdleUsage            []Usage // of the controllers before the configuration is loaded
	LoadedUsage          []Usage // of the controllers after loading
	StartedUsage         []Usage // of the controllers after the proxies have started or their start has timed out
	StartDuration        time.Duration
	InitialTraffic       Traffic // of the hollow proxies until all had the whole configuration
	InitialItems         int64   // that all hollow proxies together received until then
	InitialBytes         int64   // uncompressed keys and bodies that one hollow proxy received until then
	Steady               [2]Sample
	Changing             [2]Sample
	Propagations         []Propagation
	VersionVectorEntries int64 // in the progress of one hollow proxy
	DiskBytes            int64 // of one controller
	HollowBytes          int64 // heap and stacks of the testbed's process
}

// Run runs a testbed from start to end. If it fails, the result holds the measurements up to the failure.
func Run(ctx context.Context, o Options) (r *Result, err error) {
	r = &Result{Options: o}
	b, err := Open(ctx, o)
	if b != nil {
		defer func() {
			b.stopHollow()
			err = cmp.Or(err, b.Close())
		}()
	}
	if err != nil {
		return r, err
	}
	if err := b.measureStart(ctx, r); err != nil {
		return r, err
	}
	if err := b.measureSteady(ctx, r); err != nil {
		return r, err
	}
	if err := b.measureChanges(ctx, r); err != nil {
		return r, err
	}
	r.DiskBytes, err = directorySize(filepath.Join(o.Dir, RoleController+"-0"))
	if err != nil {
		return r, err
	}
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	r.HollowBytes = int64(memory.HeapInuse + memory.StackInuse)
	return r, nil
}

// measureStart loads the configuration and starts the proxies. It reads the resource usage of the controllers even if
// either step fails, because the usage helps to find the cause.
func (b *Testbed) measureStart(ctx context.Context, r *Result) (err error) {
	r.IdleUsage, _, err = sampleProcesses(b.controllers)
	if err != nil {
		return err
	}
	var usageErr error
	r.Load, err = b.Load(ctx)
	r.LoadedUsage, _, usageErr = sampleProcesses(b.controllers)
	if err != nil || usageErr != nil {
		return cmp.Or(err, usageErr)
	}
	r.StartDuration, err = b.StartProxies(ctx)
	if err != nil {
		r.StartedUsage, _, _ = sampleProcesses(b.controllers) // the error of the start is more useful
		return err
	}
	return nil
}

func (b *Testbed) measureSteady(ctx context.Context, r *Result) (err error) {
	initial, err := b.sample()
	if err != nil {
		return err
	}
	r.InitialTraffic = initial.ProxyTraffic
	r.InitialItems = initial.Items
	r.StartedUsage = initial.Controllers
	if len(b.proxies) > 0 {
		r.InitialBytes = b.proxies[0].bodyBytes.Load()
	}
	sleep(ctx, b.options.SettleTime)
	r.Steady[0], err = b.sample()
	if err != nil {
		return err
	}
	sleep(ctx, b.options.SteadyTime)
	r.Steady[1], err = b.sample()
	if err != nil {
		return err
	}
	return ctx.Err()
}

func (b *Testbed) measureChanges(ctx context.Context, r *Result) (err error) {
	r.Changing[0], err = b.sample()
	if err != nil {
		return err
	}
	for range b.options.Changes {
		propagation, err := b.Change(ctx)
		if err != nil {
			return err
		}
		r.Propagations = append(r.Propagations, propagation)
	}
	r.Changing[1], err = b.sample()
	if err != nil {
		return err
	}
	if len(b.proxies) > 0 {
		r.VersionVectorEntries = b.proxies[0].vectorEntries.Load()
	}
	return nil
}

// directorySize returns the total size of the files in a directory. It ignores files that a controller removes
// concurrently.
func directorySize(dir string) (size int64, err error) {
	err = filepath.WalkDir(dir, func(_ string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return nil
		}
		if info, err := entry.Info(); err == nil {
			size += info.Size()
		}
		return nil
	})
	return size, err
}
