package cluster

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"sagelever/internal/control/calls"
)

// stressLoad is the load of the stress phase, in which backends are replaced while one zone is evacuated.
const stressLoad = 0.6

const (
	evacuateBefore = 1 // index of the backend before whose replacement the evacuation begins
	restartBefore  = 2 // index of the backend before whose replacement a controller is restarted
)

// measureStress runs the stress phase under load.
func (c *Cluster) measureStress(ctx context.Context, result *Result) error {
	from := time.Now()
	clients := c.StartClients(stressLoad)
	err := c.runStress(ctx)
	clients.Stop()
	result.Stress = c.Ledger.Summarize(from, time.Time{})
	return err
}

// runStress replaces all backends of a service one by one while a zone is evacuated and the proxies are restarted one
// by one. It also restarts a controller directly after a removal that this controller may have acknowledged.
func (c *Cluster) runStress(ctx context.Context) error {
	restarts := make(chan error, 1)
	go func() { restarts <- c.restartProxies() }()
	err := c.replaceDuringEvacuation(ctx, zoneNames[2])
	return errors.Join(err, <-restarts)
}

func (c *Cluster) restartProxies() error {
	for i := range c.options.Proxies {
		if err := c.RestartNode(ProxyName(i)); err != nil {
			return err
		}
	}
	return nil
}

func (c *Cluster) replaceDuringEvacuation(ctx context.Context, zone string) error {
	for i, backend := range c.Backends(Services[0]) {
		switch i {
		case evacuateBefore:
			if err := c.beginEvacuation(ctx, zone); err != nil {
				return err
			}
		case restartBefore:
			if err := c.RestartNode(ControllerName(zoneNames[0])); err != nil {
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
	return c.endEvacuation(ctx, zone)
}

func (c *Cluster) beginEvacuation(ctx context.Context, zone string) error {
	if err := c.Operator().Call(ctx, calls.EvacuationBegin, zone, nil, nil); err != nil {
		return errors.Wrap(err, "begin evacuation")
	}
	for _, backend := range c.allBackends() {
		if backend.Zone == zone {
			c.Ledger.RemovalAcknowledged(backend.ID, "zone cleared out", time.Now())
		}
	}
	return nil
}

func (c *Cluster) endEvacuation(ctx context.Context, zone string) error {
	for _, backend := range c.allBackends() {
		if backend.Zone == zone {
			backend.SetWarmUp(c.options.WarmUp)
			c.Ledger.BackendReturned(backend.ID, time.Now())
		}
	}
	if err := c.Operator().Call(ctx, calls.EvacuationEnd, zone, nil, nil); err != nil {
		return errors.Wrap(err, "end evacuation")
	}
	return nil
}
