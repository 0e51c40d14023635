package cluster

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"sagelever/internal/control/client"
)

// Result is what came of Drain.
type Result struct {
	Baseline, Drained, Stress Summary
	RefusedForCapacity        int           // removals that were refused at first, as too little room would be left
	LongestDrain              time.Duration // that an operator's drain took until nothing was left there
	Duration                  time.Duration
}

// Check is an error where a part went wrong.
func (r Result) Check() error {
	for name, summary := range map[string]Summary{"undisturbed": r.Baseline, "drained": r.Drained, "storm": r.Stress} {
		if summary.Requests == 0 && name == "storm" {
			continue // it was left out
		}
		if err := summary.Check(); err != nil {
			return errors.Wrap(err, name)
		}
	}
	return nil
}

func (r Result) String() string {
	s := fmt.Sprintf("undisturbed: %v%s\ndrained: %v%s\n  refused_for_room=%d longest_drain=%v", r.Baseline, r.Baseline.CompareKinds(r.Baseline),
		r.Drained, r.Drained.CompareKinds(r.Baseline), r.RefusedForCapacity, r.LongestDrain.Round(time.Millisecond))
	if r.Stress.Requests > 0 {
		s += fmt.Sprintf("\nstorm: %v%s", r.Stress, r.Stress.CompareKinds(r.Baseline))
	}
	return s + fmt.Sprintf("\ntook %v", r.Duration.Round(time.Second))
}

// stressLoad is the share of the room that is asked for where a zone is gone and appliances are replaced besides.
const stressLoad = 0.6

// RunDrain has every appliance leave and return once under load, in each of the ways there are, one after the other; and then,
// with storm, all of a service replaced one by one while a zone is cleared out, nodes are restarted one by one, and a
// steward is.
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
	setup, cancel := context.WithTimeout(ctx, 20*time.Second)
	defer cancel()
	if err := c.Configure(setup); err != nil {
		return result, err
	}
	for i := range options.Backends {
		if _, err := c.StartBackend(Services[i%len(Services)], zoneNames[i/len(Services)%len(zoneNames)], "v1", 0); err != nil {
			return result, err
		}
	}
	sleep(ctx, 2*options.HeartbeatInterval)

	clients := c.StartClients(options.Load)
	sleep(ctx, 2*time.Second) // until the nodes know how long answers take
	from := time.Now()
	sleep(ctx, baseline)
	to := time.Now()
	for i, backend := range c.allBackends() {
		if err := c.drainAndReturn(ctx, backend, i, &result); err != nil {
			clients.Stop()
			return result, err
		}
	}
	clients.Stop()
	result.Baseline, result.Drained = c.Ledger.Summarize(from, to), c.Ledger.Summarize(to, time.Time{})
	if stress {
		from := time.Now()
		clients := c.StartClients(stressLoad)
		err := c.runStress(ctx)
		clients.Stop()
		if result.Stress = c.Ledger.Summarize(from, time.Time{}); err != nil {
			return result, err
		}
	}
	return result, errors.Join(c.Err(), ctx.Err())
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

func (c *Cluster) allBackends() (backends []*Backend) {
	for _, service := range Services {
		backends = append(backends, c.Backends(service)...)
	}
	return backends
}

// drainAndReturn has one appliance leave, by one of the ways, and come back: as a new life that is cold, or as itself.
func (c *Cluster) drainAndReturn(ctx context.Context, backend *Backend, method int, result *Result) error {
	startReplacement := func() error {
		_, err := c.StartBackend(backend.Service, backend.Zone, backend.Build, c.options.WarmUp)
		return err
	}
	switch method % 4 {
	case 0: // it leaves by itself, and another comes
		if err := errors.Join(c.shutdownBackend(ctx, backend, "emptying"), startReplacement()); err != nil {
			return err
		}
	case 1: // replaced: the other comes first
		if err := startReplacement(); err != nil {
			return err
		}
		sleep(ctx, c.options.WarmUp)
		if err := c.shutdownBackend(ctx, backend, "replaced"); err != nil {
			return err
		}
	case 2: // an operator drains it, and it is stopped without a word once nothing is left
		if err := c.drainByOperator(ctx, backend.ID, result, backend); err != nil {
			return err
		}
		backend.Kill()
		if err := errors.Join(startReplacement(), c.Operator().Undrain(ctx, backend.ID)); err != nil {
			return err
		}
	case 3: // an operator drains it, and takes it back
		if err := c.drainByOperator(ctx, backend.ID, result, backend); err != nil {
			return err
		}
		backend.SetWarmUp(c.options.WarmUp)
		if err := c.Operator().Undrain(ctx, backend.ID); err != nil {
			return err
		}
		c.Ledger.BackendReturned(backend.ID, time.Now())
	}
	sleep(ctx, c.options.WarmUp)
	return nil
}

func (c *Cluster) shutdownBackend(ctx context.Context, backend *Backend, method string) error {
	if c.options.Fault == FaultStrayRequest {
		time.AfterFunc(c.options.DrainTime/2+c.options.ArrivalBound, func() { c.sendStray(backend) })
	}
	return backend.Shutdown(method)
}

// sendStray is a node that has not heard: it sends to an appliance that leaves.
func (c *Cluster) sendStray(backend *Backend) {
	req, err := http.NewRequest(http.MethodGet, "http://"+backend.Address+"/look/stray", bytes.NewReader(nil))
	if err != nil {
		return
	}
	req.Header.Set("X-Sagelever-Meant-Server", backend.ID)
	req.Header.Set("X-Sagelever-Time-Left-Ms", "1000")
	if resp, err := http.DefaultClient.Do(req); err == nil {
		resp.Body.Close()
	}
}

// drainByOperator drains a target, by force where there is too little room, and waits until nothing is left there.
func (c *Cluster) drainByOperator(ctx context.Context, target string, result *Result, backends ...*Backend) error {
	operator, startedAt := c.Operator(), time.Now()
	_, err := operator.Drain(ctx, target, false)
	if _, refused := errors.Into[*client.InsufficientCapacityError](err); refused {
		result.RefusedForCapacity++
		_, err = operator.Drain(ctx, target, true)
	}
	if err != nil {
		return errors.Wrap(err, "drain")
	}
	for _, backend := range backends {
		c.Ledger.RemovalAcknowledged(backend.ID, "drained", time.Now())
	}
	for {
		list, err := operator.ListDrains(ctx, target)
		if err != nil {
			return errors.Wrap(err, "drains")
		}
		if len(list) == 1 && list[0].Done {
			result.LongestDrain = max(result.LongestDrain, time.Since(startedAt))
			return nil
		}
		sleep(ctx, 50*time.Millisecond)
	}
}

// runStress replaces all of a service one by one while a zone is cleared out, the nodes are restarted one by one, and one
// steward is, on whose word a removal may just have gone out.
func (c *Cluster) runStress(ctx context.Context) error {
	restarts := make(chan error, 1)
	go func() {
		for i := range c.options.Proxies {
			if err := c.RestartNode(fmt.Sprint("relay-", i)); err != nil {
				restarts <- err
				return
			}
		}
		restarts <- nil
	}()
	zone := zoneNames[2]
	for i, backend := range c.Backends(Services[0]) {
		switch i {
		case 1:
			if err := c.Operator().Call(ctx, "clear_out.begin", zone, nil, nil); err != nil {
				return errors.Wrap(err, "clear out")
			}
			for _, other := range c.allBackends() {
				if other.Zone == zone {
					c.Ledger.RemovalAcknowledged(other.ID, "zone cleared out", time.Now())
				}
			}
		case 2:
			if err := c.RestartNode("steward-" + zoneNames[0]); err != nil {
				return err
			}
		}
		if _, err := c.StartBackend(backend.Service, backend.Zone, backend.Build, 0); err != nil {
			return err
		}
		if err := backend.Shutdown("replaced in a storm"); err != nil {
			return err
		}
	}
	for _, other := range c.allBackends() {
		if other.Zone == zone {
			other.SetWarmUp(c.options.WarmUp)
			c.Ledger.BackendReturned(other.ID, time.Now())
		}
	}
	if err := c.Operator().Call(ctx, "clear_out.finish", zone, nil, nil); err != nil {
		return errors.Wrap(err, "take back")
	}
	return <-restarts
}
