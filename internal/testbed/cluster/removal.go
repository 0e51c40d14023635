package cluster

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"sagelever/internal/control/client"
)

// The methods by which a backend is removed and returns, as a new incarnation that warms up or as itself.

// shutDownThenReplace shuts the backend down and then starts its replacement.
func (c *Cluster) shutDownThenReplace(_ context.Context, backend *Backend, _ *Result) error {
	return errors.Join(c.shutdownBackend(backend, "emptying"), c.startReplacement(backend))
}

// replaceThenShutDown starts the replacement before it shuts the backend down.
func (c *Cluster) replaceThenShutDown(ctx context.Context, backend *Backend, _ *Result) error {
	if err := c.startReplacement(backend); err != nil {
		return err
	}
	pause(ctx, c.options.WarmUp)
	return c.shutdownBackend(backend, "replaced")
}

// drainThenKill drains the backend as an operator, and kills it once no request is in flight there.
func (c *Cluster) drainThenKill(ctx context.Context, backend *Backend, result *Result) error {
	if err := c.drainByOperator(ctx, backend, result); err != nil {
		return err
	}
	backend.Kill()
	return errors.Join(c.startReplacement(backend), c.Operator().Undrain(ctx, backend.ID))
}

// drainThenWithdraw drains the backend as an operator, and then withdraws the drain.
func (c *Cluster) drainThenWithdraw(ctx context.Context, backend *Backend, result *Result) error {
	if err := c.drainByOperator(ctx, backend, result); err != nil {
		return err
	}
	backend.SetWarmUp(c.options.WarmUp)
	if err := c.Operator().Undrain(ctx, backend.ID); err != nil {
		return err
	}
	c.Ledger.BackendReturned(backend.ID, time.Now())
	return nil
}

// startReplacement starts a new incarnation of a backend.
func (c *Cluster) startReplacement(backend *Backend) error {
	_, err := c.StartBackend(backend.Service, backend.Zone, backend.Build, c.options.WarmUp)
	return err
}

// shutdownBackend shuts a backend down, and sends it a stray request if that fault is injected.
func (c *Cluster) shutdownBackend(backend *Backend, method string) error {
	if c.options.Fault == FaultStrayRequest {
		time.AfterFunc(c.options.DrainTime/2+c.options.ArrivalBound, func() { sendStrayRequest(backend) })
	}
	return backend.Shutdown(method)
}

// sendStrayRequest sends a request to a backend that is being removed, as a proxy with outdated state would.
func sendStrayRequest(backend *Backend) {
	request, err := http.NewRequest(http.MethodGet, "http://"+backend.Address+"/look/stray", http.NoBody)
	if err != nil {
		return
	}
	request.Header.Set(headerTargetBackend, backend.ID)
	request.Header.Set(headerTimeLeft, "1000")
	if response, err := http.DefaultClient.Do(request); err == nil {
		response.Body.Close()
	}
}

// drainByOperator drains a backend, with force if too little capacity would remain, and waits until no request is in
// flight there.
func (c *Cluster) drainByOperator(ctx context.Context, backend *Backend, result *Result) error {
	operator := c.Operator()
	startedAt := time.Now()
	_, err := operator.Drain(ctx, backend.ID, false)
	if _, refused := errors.Into[*client.InsufficientCapacityError](err); refused {
		result.RefusedForCapacity++
		_, err = operator.Drain(ctx, backend.ID, true)
	}
	if err != nil {
		return errors.Wrap(err, "drain")
	}
	c.Ledger.RemovalAcknowledged(backend.ID, "drained", time.Now())
	for {
		list, err := operator.ListDrains(ctx, backend.ID)
		if err != nil {
			return errors.Wrap(err, "list drains")
		}
		if len(list) == 1 && list[0].Done {
			result.LongestDrain = max(result.LongestDrain, time.Since(startedAt))
			return nil
		}
		pause(ctx, progressInterval)
	}
}
