package cluster

import (
	"context"
	"fmt"
	"time"

	"github.com/go-faster/errors"
)

const (
	configureTimeout = 20 * time.Second
	// settleTime is how long clients run before measurements start, so that proxies have collected response times.
	settleTime = 2 * time.Second
	// progressInterval is how often the progress of a drain is polled.
	progressInterval = 50 * time.Millisecond
)

// Result is the result of RunDrain.
type Result struct {
	Baseline           Summary       // without removals
	Drained            Summary       // while each backend is removed once
	Stress             Summary       // empty if the stress phase is skipped
	RefusedForCapacity int           // drains that were refused without force because too little capacity would remain
	LongestDrain       time.Duration // longest drain by an operator, until no request was in flight at the backend
	Duration           time.Duration
}

// Check returns an error if a phase violated a guarantee.
func (r Result) Check() error {
	if err := r.Baseline.Check(); err != nil {
		return errors.Wrap(err, "undisturbed")
	}
	if err := r.Drained.Check(); err != nil {
		return errors.Wrap(err, "drained")
	}
	if r.Stress.Requests == 0 {
		return nil // the stress phase was skipped
	}
	if err := r.Stress.Check(); err != nil {
		return errors.Wrap(err, "storm")
	}
	return nil
}

// String returns the report of all phases.
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

// RunDrain starts a cluster under load, then removes and returns its backends one after the other, each by one of the
// methods of removal in turn. baseline is how long clients run before the first removal. With stress, it then replaces
// all backends of a service while a zone is evacuated, the proxies are restarted one by one and a controller is
// restarted.
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

// drainEachBackend measures the baseline, and then removes and returns each backend.
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
