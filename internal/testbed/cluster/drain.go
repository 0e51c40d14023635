package cluster

import (
	"context"
	"fmt"
	"time"

	"github.com/go-faster/errors"
)

const (
	configureTimeout = 20 * time.Second
	// settleTime is how long clients run before the figures count: until proxies know how long responses take.
	settleTime = 2 * time.Second
	// progressInterval is the pause between two looks at a drain's progress.
	progressInterval = 50 * time.Millisecond
)

// Result holds the figures of RunDrain.
type Result struct {
	Baseline           Summary       // while nothing was removed
	Drained            Summary       // while each backend was removed once
	Stress             Summary       // empty unless the stress phase was run
	RefusedForCapacity int           // drains that were refused at first, as too little capacity would have been left
	LongestDrain       time.Duration // of an operator, until nothing was in flight at the backend
	Duration           time.Duration
}

// Check returns an error where a phase violated a guarantee.
func (r Result) Check() error {
	if err := r.Baseline.Check(); err != nil {
		return errors.Wrap(err, "undisturbed")
	}
	if err := r.Drained.Check(); err != nil {
		return errors.Wrap(err, "drained")
	}
	if r.Stress.Requests == 0 {
		return nil // it was left out
	}
	if err := r.Stress.Check(); err != nil {
		return errors.Wrap(err, "storm")
	}
	return nil
}

// String returns the figures of all phases.
func (r Result) String() string {
	text := fmt.Sprintf("undisturbed: %v%s", r.Baseline, r.Baseline.CompareKinds(r.Baseline))
	text += fmt.Sprintf("\ndrained: %v%s", r.Drained, r.Drained.CompareKinds(r.Baseline))
	text += fmt.Sprintf("\n  refused_for_room=%d longest_drain=%v",
		r.RefusedForCapacity, r.LongestDrain.Round(time.Millisecond))
	if r.Stress.Requests > 0 {
		text += fmt.Sprintf("\nstorm: %v%s", r.Stress, r.Stress.CompareKinds(r.Baseline))
	}
	return text + fmt.Sprintf("\ntook %v", r.Duration.Round(time.Second))
}

// RunDrain starts a cluster and has every backend leave and return once under load, one after the other, by each of the
// ways there are. baseline is how long clients run undisturbed before that. With stress, all backends of a service are
// replaced then while a zone is evacuated, the proxies are restarted one by one, and a controller is.
func RunDrain(ctx context.Context, options Options, baseline time.Duration, stress bool) (result Result, err error) {
	startedAt := time.Now()
	defer func() { result.Duration = time.Since(startedAt) }()
	c, err := Start(options)
	if c != nil {
		defer c.Close()
	}
	if err != nil {
		return result, err
	}
	if err := c.prepare(ctx); err != nil {
		return result, err
	}
	if err := c.drainEachBackend(ctx, baseline, &result); err != nil {
		return result, err
	}
	if stress {
		if err := c.measureStress(ctx, &result); err != nil {
			return result, err
		}
	}
	return result, errors.Join(c.Err(), ctx.Err())
}

// prepare configures the cluster and starts its backends.
func (c *Cluster) prepare(ctx context.Context) error {
	setup, cancel := context.WithTimeout(ctx, configureTimeout)
	defer cancel()
	if err := c.Configure(setup); err != nil {
		return err
	}
	for i := range c.options.Backends {
		service := Services[i%len(Services)]
		zone := zoneNames[i/len(Services)%len(zoneNames)]
		if _, err := c.StartBackend(service, zone, "v1", 0); err != nil {
			return err
		}
	}
	pause(ctx, 2*c.options.HeartbeatInterval)
	return nil
}

// drainEachBackend measures the baseline, and then has each backend leave and return.
func (c *Cluster) drainEachBackend(ctx context.Context, baseline time.Duration, result *Result) error {
	clients := c.StartClients(c.options.Load)
	defer clients.Stop()
	pause(ctx, settleTime)
	from := time.Now()
	pause(ctx, baseline)
	to := time.Now()
	removals := []func(context.Context, *Backend, *Result) error{
		c.shutDownThenReplace,
		c.replaceThenShutDown,
		c.drainThenKill,
		c.drainThenWithdraw,
	}
	for i, backend := range c.allBackends() {
		removeAndReturn := removals[i%len(removals)]
		if err := removeAndReturn(ctx, backend, result); err != nil {
			return err
		}
		pause(ctx, c.options.WarmUp)
	}
	clients.Stop()
	result.Baseline = c.Ledger.Summarize(from, to)
	result.Drained = c.Ledger.Summarize(to, time.Time{})
	return nil
}
